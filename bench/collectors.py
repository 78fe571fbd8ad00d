"""What collectors save at the log, with all entries under a light load.

Run as `python -m bench.collectors`. The same fleet serves the same open-loop
arrivals with and without collectors, one after the other in one run.
"""

import itertools
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import Any, NamedTuple

from standins.calls import call

from .capacity import cpu_of, total
from .streams import percentile
from .worlds import KEY, BenchWorld

ENTRIES = (4, 8, 16)
ENGINES = 5
SECONDS = 10.0
#: Of each entry, a second.
CHATS = 1.5
BOOKINGS = 0.5
NEVER = 100_000
MS = 1000

_numbers = itertools.count()


class Row(NamedTuple):
    """One fleet's calls to the log and their cost."""

    entries: int
    collected: bool
    served: int
    sent: int
    reads: float
    appends: float
    entry_cpu: float
    sidecar_cpu: float
    booking_ms: float


def measure(entries: int, *, collected: bool) -> Row:
    """Return the figures of one fleet."""
    limit = 1 if collected else NEVER
    with BenchWorld(
        ENGINES, entries, zones=2, entry={'collect_entries': limit}
    ) as world:
        load(world, 2.0)
        before = call(world.platform, 'GET', '/counts').json()
        used = {row.name: cpu_of(row.process.pid) for row in daemons(world)}
        served, sent, waits = load(world, SECONDS)
        after = call(world.platform, 'GET', '/counts').json()
        roles: dict[str, list[float]] = {'entry': [], 'sidecar': []}
        for row in daemons(world):
            spent = cpu_of(row.process.pid) - used[row.name]
            roles[row.role].append(spent / SECONDS)
    return Row(
        entries,
        collected,
        served,
        sent,
        total(after['reads'], before['reads']) / SECONDS,
        total(after['appends'], before['appends']) / SECONDS,
        sum(roles['entry']) / len(roles['entry']),
        sum(roles['sidecar']) / len(roles['sidecar']),
        percentile(waits, 0.5) * MS,
    )


def daemons(world: BenchWorld) -> list[Any]:
    """Return the fleet's daemons."""
    return list(world.daemons.values())


def load(world: BenchWorld, seconds: float) -> tuple[int, int, list[float]]:
    """Return answers, requests and the seconds of each keyed booking."""
    entries = [row for row in daemons(world) if row.role == 'entry']
    lock = threading.Lock()
    done: list[bool] = []
    waits: list[float] = []

    def one(action: Callable[[], int], booking: bool) -> None:
        began = time.monotonic()
        try:
            good = action() in {200, 201}
        except (OSError, HTTPException):
            good = False
        with lock:
            done.append(good)
            if booking and good:
                waits.append(time.monotonic() - began)

    plan = sorted(
        (place / rate, row, rate == BOOKINGS)
        for rate in (CHATS, BOOKINGS)
        for place in range(max(1, int(seconds * rate)))
        for row in [row.caller_address for row in entries]
    )
    began = time.monotonic()
    with ThreadPoolExecutor(64) as workers:
        for due, address, booking in plan:
            time.sleep(max(0.0, began + due - time.monotonic()))
            workers.submit(one, _make_action(address, booking), booking)
    return sum(done), len(done), waits


def _make_action(address: str, booking: bool) -> Callable[[], int]:
    headers = {'Authorization': f'Bearer {KEY}'}
    path = '/v1/chat/completions'
    body: dict[str, Any] = {
        'model': 'small@1',
        'messages': [{'role': 'user', 'content': 'Which gauge?'}],
        'max_tokens': 1,
    }
    if booking:
        headers['Idempotency-Key'] = f'collectors-{next(_numbers)}'
        path = '/v1/services/booking/bookings'
        body = {'motor': 1}
    return lambda: call(address, 'POST', path, body, headers).status


def main() -> None:
    """Print a table."""
    sys.stdout.write(
        '| entries | collectors | answered | log reads/s | log appends/s '
        '| entry CPU % | sidecar CPU % | keyed booking p50 ms |\n'
        '|' + ' --- |' * 8 + '\n'
    )
    for entries in ENTRIES:
        for collected in (False, True):
            row = measure(entries, collected=collected)
            sys.stdout.write(
                f'| {row.entries} | {"yes" if collected else "no"} '
                f'| {row.served} of {row.sent} | {row.reads:.1f} '
                f'| {row.appends:.1f} | {row.entry_cpu * 100:.1f} '
                f'| {row.sidecar_cpu * 100:.1f} | {row.booking_ms:.0f} |\n'
            )
            sys.stdout.flush()


if __name__ == '__main__':
    main()
