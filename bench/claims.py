"""Cost of idempotency keys, and what is served in a log outage."""

import itertools
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import NamedTuple

from standins.calls import call

from .streams import percentile
from .worlds import KEY, BenchWorld

RATES = (1, 50, 300)
SECONDS = 5.0
WORKERS = 64
OUTAGE_CALLS = 40
MS = 1000


class Row(NamedTuple):
    """Bookings at one rate, with or without keys."""

    keyed: bool
    rate: int
    done: int
    sent: int
    median_ms: float
    p95_ms: float
    appends_a_second: float


_numbers = itertools.count()


def book(world: BenchWorld, *, keyed: bool) -> int:
    """Return the status of one booking."""
    headers = {'Authorization': f'Bearer {KEY}'}
    if keyed:
        headers['Idempotency-Key'] = f'bench-{next(_numbers)}'
    return call(
        world.daemons['e1'].caller_address,
        'POST',
        '/v1/services/booking/bookings',
        {'motor': 1},
        headers,
    ).status


def measure(world: BenchWorld, rate: int, *, keyed: bool) -> Row:
    """Return the figures of one rate, with open-loop arrivals."""
    seconds: list[float] = []
    done: list[int] = []
    lock = threading.Lock()

    def one(due: float) -> None:
        try:
            status = book(world, keyed=keyed)
        except (OSError, HTTPException):
            return
        with lock:
            seconds.append(time.monotonic() - due)
            done.append(status)

    before = call(world.platform, 'GET', '/counts').json()['appends']
    began = time.monotonic()
    sent = 0
    with ThreadPoolExecutor(WORKERS) as workers:
        while time.monotonic() - began < SECONDS:
            due = began + sent / rate
            time.sleep(max(0.0, due - time.monotonic()))
            workers.submit(one, due)
            sent += 1
    spent = time.monotonic() - began
    after = call(world.platform, 'GET', '/counts').json()['appends']
    appends = sum(after.values()) - sum(before.values())
    ordered = sorted(seconds)
    return Row(
        keyed,
        rate,
        sum(status == 201 for status in done),
        sent,
        percentile(ordered, 0.5) * MS,
        percentile(ordered, 0.95) * MS,
        appends / spent,
    )


def measure_outage(world: BenchWorld, *, keyed: bool) -> float:
    """Return the share of bookings served while the log is down."""
    call(world.platform, 'POST', '/fault', {'log_down_seconds': 60})
    with ThreadPoolExecutor(8) as workers:
        statuses = list(
            workers.map(lambda _: book(world, keyed=keyed), range(OUTAGE_CALLS))
        )
    call(world.platform, 'POST', '/fault', {'log_down_seconds': 0})
    time.sleep(2)
    return sum(status == 201 for status in statuses) / OUTAGE_CALLS


def main() -> None:
    """Print all figures."""
    with BenchWorld(1, 1) as world:
        sys.stdout.write(
            'keyed  rate/s  done/sent  p50 ms  p95 ms  appends/s\n'
        )
        for rate in RATES:
            for keyed in (False, True):
                row = measure(world, rate, keyed=keyed)
                sys.stdout.write(
                    f'{row.keyed!s:5}  {row.rate:6}  {row.done}/{row.sent}  '
                    f'{row.median_ms:6.1f}  {row.p95_ms:6.1f}  '
                    f'{row.appends_a_second:9.1f}\n'
                )
                sys.stdout.flush()
        for keyed in (False, True):
            share = measure_outage(world, keyed=keyed)
            sys.stdout.write(
                f'log outage, keyed {keyed}: {share:.0%} of bookings served\n'
            )


if __name__ == '__main__':
    main()
