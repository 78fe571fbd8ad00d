"""Counts requests of a withdrawn version that a paused sidecar still starts.

All sidecars are paused under load, the version is withdrawn, and the sidecars
are resumed after the time in which the change must be in effect everywhere. A
request that an engine received after that time is counted: its sidecar was
paused between its last check and the last byte it sent.
"""

import argparse
import threading
import time
from http.client import HTTPException
from typing import Final

from standins.calls import call

from .fleet import API_KEY, VERSION, BenchFleet

ENGINE_COUNT: Final = 8
CALLER_COUNT: Final = 24
PAUSE_SECONDS: Final = 6.0
#: Time in which an accepted change must be in effect on every daemon.
MAX_PROPAGATION_SECONDS: Final = 5.0
OBJECT_NAME: Final = 'version/small@1'


class Callers:
    """Threads that request short completions until they are stopped."""

    def __init__(self, fleet: BenchFleet) -> None:
        """Start one thread for each caller."""
        self._address = fleet.daemons['e1'].caller_address
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        body = {
            'model': 'small@1',
            'messages': [{'role': 'user', 'content': 'Which gauge?'}],
            'max_tokens': 1,
        }
        headers = {
            'Authorization': f'Bearer {API_KEY}',
            'X-Deadline-Ms': '2000',
        }
        while not self._stop.is_set():
            try:
                response = call(
                    self._address,
                    'POST',
                    '/v1/chat/completions',
                    body,
                    headers,
                )
            except (OSError, HTTPException):
                continue
            if response.status != 200:
                time.sleep(0.05)


def run_round(fleet: BenchFleet) -> tuple[int, int]:
    """Pause all sidecars once while the version is withdrawn.

    Returns the number of requests that engines received too late, and of those
    that they received before the withdrawal was accepted.
    """
    callers = Callers(fleet)
    load_started_at = time.time()
    time.sleep(2)
    sidecars = [fleet.daemons[name] for name in fleet.engines]
    for sidecar in sidecars:
        sidecar.pause()
    withdrawn = {**VERSION, 'state': 'withdrawn'}
    assert fleet.put('e1', OBJECT_NAME, withdrawn, 0, force=True).status == 200
    accepted_at = time.time()
    time.sleep(PAUSE_SECONDS)
    for sidecar in sidecars:
        sidecar.resume()
    time.sleep(1)
    callers.stop()
    start_times = [
        row['at']
        for address in fleet.engines.values()
        for row in fleet.journal(address)
    ]
    late_starts = [
        started
        for started in start_times
        if started > accepted_at + MAX_PROPAGATION_SECONDS
    ]
    before_change = [
        started
        for started in start_times
        if load_started_at < started < accepted_at
    ]
    assert fleet.put('e1', OBJECT_NAME, VERSION, 10).status == 200
    time.sleep(1)
    return len(late_starts), len(before_change)


def main() -> None:
    """Print the number of requests that were started too late."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=10)
    rounds = parser.parse_args().rounds
    late_starts = total_before = 0
    with BenchFleet(ENGINE_COUNT, step_ms=2.0) as fleet:
        for _ in range(rounds):
            counts = run_round(fleet)
            late_starts += counts[0]
            total_before += counts[1]
    print(f'paused sidecars: {rounds * ENGINE_COUNT}')
    print(f'requests in the 2 s before each pause: {total_before}')
    print(
        f'requests started {MAX_PROPAGATION_SECONDS:g} s or more after the '
        f'withdrawal: {late_starts}'
    )


if __name__ == '__main__':
    main()
