"""Compares log calls with and without collectors under a light load.

A collector is a sidecar that batches the log calls of the entries in its zone.
Run as `python -m bench.collectors`. For each number of entries,
two fleets of the same size serve the same open-loop arrivals one after the
other, first without collectors and then with them.
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

from .capacity import find_growth, read_cpu_seconds
from .fleet import API_KEY, BenchFleet
from .streams import percentile

ENTRY_COUNTS = (4, 8, 16)
ENGINE_COUNT = 5
MEASURED_SECONDS = 10.0
#: Requests per second to each entry.
CHATS_PER_SECOND = 1.5
BOOKINGS_PER_SECOND = 0.5
#: Collectors are used from this number of entries on, which is never reached.
COLLECTORS_OFF = 100_000
MS_PER_SECOND = 1000

_numbers = itertools.count()


class LogUsage(NamedTuple):
    """The log calls of one fleet and the CPU use of its daemons."""

    entries: int
    with_collectors: bool
    served: int
    sent: int
    #: Read calls and append calls that the log received, per second.
    reads: float
    appends: float
    #: Mean CPU use of an entry and of a sidecar, in cores.
    entry_cpu: float
    sidecar_cpu: float
    #: Latency of a booking with an idempotency key.
    booking_ms: float


def measure_fleet(entries: int, *, with_collectors: bool) -> LogUsage:
    """Return what was measured on a fleet with a number of entries."""
    min_entries = 1 if with_collectors else COLLECTORS_OFF
    with BenchFleet(
        ENGINE_COUNT, entries, zones=2, entry={'collect_entries': min_entries}
    ) as fleet:
        run_load(fleet, 2.0)
        counts_before = call(fleet.platform, 'GET', '/counts').json()
        cpu_before = {
            daemon.name: read_cpu_seconds(daemon.process.pid)
            for daemon in list_daemons(fleet)
        }
        served, sent, booking_seconds = run_load(fleet, MEASURED_SECONDS)
        counts_after = call(fleet.platform, 'GET', '/counts').json()
        cpu_by_role: dict[str, list[float]] = {'entry': [], 'sidecar': []}
        for daemon in list_daemons(fleet):
            cpu_seconds = (
                read_cpu_seconds(daemon.process.pid) - cpu_before[daemon.name]
            )
            cpu_by_role[daemon.role].append(cpu_seconds / MEASURED_SECONDS)
    return LogUsage(
        entries,
        with_collectors,
        served,
        sent,
        find_growth(counts_after['reads'], counts_before['reads'])
        / MEASURED_SECONDS,
        find_growth(counts_after['appends'], counts_before['appends'])
        / MEASURED_SECONDS,
        sum(cpu_by_role['entry']) / len(cpu_by_role['entry']),
        sum(cpu_by_role['sidecar']) / len(cpu_by_role['sidecar']),
        percentile(booking_seconds, 0.5) * MS_PER_SECOND,
    )


def list_daemons(fleet: BenchFleet) -> list[Any]:
    """Return all entries and sidecars of the fleet."""
    return list(fleet.daemons.values())


def run_load(fleet: BenchFleet, seconds: float) -> tuple[int, int, list[float]]:
    """Send requests to all entries at fixed rates.

    Returns the number of successes, the number of requests and the latency of
    each successful booking in seconds.
    """
    entries = [
        daemon for daemon in list_daemons(fleet) if daemon.role == 'entry'
    ]
    lock = threading.Lock()
    outcomes: list[bool] = []
    booking_seconds: list[float] = []

    def send_request(action: Callable[[], int], booking: bool) -> None:
        started_at = time.monotonic()
        try:
            succeeded = action() in {200, 201}
        except (OSError, HTTPException):
            succeeded = False
        with lock:
            outcomes.append(succeeded)
            if booking and succeeded:
                booking_seconds.append(time.monotonic() - started_at)

    schedule = sorted(
        (index / rate, address, rate == BOOKINGS_PER_SECOND)
        for rate in (CHATS_PER_SECOND, BOOKINGS_PER_SECOND)
        for index in range(max(1, int(seconds * rate)))
        for address in [entry.caller_address for entry in entries]
    )
    started_at = time.monotonic()
    with ThreadPoolExecutor(64) as workers:
        for due_at, address, booking in schedule:
            time.sleep(max(0.0, started_at + due_at - time.monotonic()))
            workers.submit(
                send_request, _make_action(address, booking), booking
            )
    return sum(outcomes), len(outcomes), booking_seconds


def _make_action(address: str, booking: bool) -> Callable[[], int]:
    headers = {'Authorization': f'Bearer {API_KEY}'}
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
    """Print a table with one row for each fleet."""
    sys.stdout.write(
        '| entries | collectors | answered | log reads/s | log appends/s '
        '| entry CPU % | sidecar CPU % | keyed booking p50 ms |\n'
        '|' + ' --- |' * 8 + '\n'
    )
    for entries in ENTRY_COUNTS:
        for with_collectors in (False, True):
            usage = measure_fleet(entries, with_collectors=with_collectors)
            sys.stdout.write(
                f'| {usage.entries} | {"yes" if with_collectors else "no"} '
                f'| {usage.served} of {usage.sent} | {usage.reads:.1f} '
                f'| {usage.appends:.1f} | {usage.entry_cpu * 100:.1f} '
                f'| {usage.sidecar_cpu * 100:.1f} | {usage.booking_ms:.0f} |\n'
            )
            sys.stdout.flush()


if __name__ == '__main__':
    main()
