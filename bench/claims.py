"""Measures the cost of idempotency keys and bookings during a log outage.

A booking with an idempotency key must claim the key in the log before it runs.
"""

import itertools
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import NamedTuple

from standins.calls import call

from .fleet import API_KEY, BenchFleet
from .streams import percentile

REQUEST_RATES = (1, 50, 300)
MEASURED_SECONDS = 5.0
WORKER_THREADS = 64
OUTAGE_BOOKINGS = 40
MS_PER_SECOND = 1000


class BookingFigures(NamedTuple):
    """Bookings at one request rate, with or without idempotency keys."""

    keyed: bool
    rate: int
    succeeded: int
    sent: int
    median_ms: float
    p95_ms: float
    appends_per_second: float


_numbers = itertools.count()


def book(fleet: BenchFleet, *, keyed: bool) -> int:
    """Send one booking to the first entry and return its status."""
    headers = {'Authorization': f'Bearer {API_KEY}'}
    if keyed:
        headers['Idempotency-Key'] = f'bench-{next(_numbers)}'
    return call(
        fleet.daemons['e1'].caller_address,
        'POST',
        '/v1/services/booking/bookings',
        {'motor': 1},
        headers,
    ).status


def measure_rate(
    fleet: BenchFleet, rate: int, *, keyed: bool
) -> BookingFigures:
    """Return the figures of bookings that arrive at a fixed rate.

    Latencies count from the time at which a booking was due, so that waiting
    for a free worker thread is part of them.
    """
    latencies: list[float] = []
    statuses: list[int] = []
    lock = threading.Lock()

    def book_at(due_at: float) -> None:
        try:
            status = book(fleet, keyed=keyed)
        except (OSError, HTTPException):
            return
        with lock:
            latencies.append(time.monotonic() - due_at)
            statuses.append(status)

    appends_before = call(fleet.platform, 'GET', '/counts').json()['appends']
    started_at = time.monotonic()
    sent = 0
    with ThreadPoolExecutor(WORKER_THREADS) as workers:
        while time.monotonic() - started_at < MEASURED_SECONDS:
            due_at = started_at + sent / rate
            time.sleep(max(0.0, due_at - time.monotonic()))
            workers.submit(book_at, due_at)
            sent += 1
    elapsed = time.monotonic() - started_at
    appends_after = call(fleet.platform, 'GET', '/counts').json()['appends']
    appends = sum(appends_after.values()) - sum(appends_before.values())
    sorted_latencies = sorted(latencies)
    return BookingFigures(
        keyed,
        rate,
        sum(status == 201 for status in statuses),
        sent,
        percentile(sorted_latencies, 0.5) * MS_PER_SECOND,
        percentile(sorted_latencies, 0.95) * MS_PER_SECOND,
        appends / elapsed,
    )


def measure_outage(fleet: BenchFleet, *, keyed: bool) -> float:
    """Return the share of bookings served while the log is down."""
    call(fleet.platform, 'POST', '/fault', {'log_down_seconds': 60})
    with ThreadPoolExecutor(8) as workers:
        statuses = list(
            workers.map(
                lambda _: book(fleet, keyed=keyed), range(OUTAGE_BOOKINGS)
            )
        )
    call(fleet.platform, 'POST', '/fault', {'log_down_seconds': 0})
    time.sleep(2)
    return sum(status == 201 for status in statuses) / OUTAGE_BOOKINGS


def main() -> None:
    """Print the figures of all rates and of a log outage."""
    with BenchFleet(1, 1) as fleet:
        sys.stdout.write(
            'keyed  rate/s  done/sent  p50 ms  p95 ms  appends/s\n'
        )
        for rate in REQUEST_RATES:
            for keyed in (False, True):
                figures = measure_rate(fleet, rate, keyed=keyed)
                sys.stdout.write(
                    f'{figures.keyed!s:5}  {figures.rate:6}  '
                    f'{figures.succeeded}/{figures.sent}  '
                    f'{figures.median_ms:6.1f}  {figures.p95_ms:6.1f}  '
                    f'{figures.appends_per_second:9.1f}\n'
                )
                sys.stdout.flush()
        for keyed in (False, True):
            share = measure_outage(fleet, keyed=keyed)
            sys.stdout.write(
                f'log outage, keyed {keyed}: {share:.0%} of bookings served\n'
            )


if __name__ == '__main__':
    main()
