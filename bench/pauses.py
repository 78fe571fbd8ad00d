"""How often a paused sidecar starts work that was withdrawn meanwhile.

All sidecars are paused while requests flow, the version is withdrawn, and the
sidecars go on after the time in which the change must be in force. A request
that an engine received after that is counted: its sidecar was paused between
its last check and the last byte it sent.
"""

import argparse
import threading
import time
from http.client import HTTPException
from typing import Final

from standins.calls import call

from .worlds import KEY, VERSION, BenchWorld

ENGINES: Final = 8
CALLERS: Final = 24
PAUSE_SECONDS: Final = 6.0
#: Time in which an accepted change must be in force everywhere.
IN_FORCE_SECONDS: Final = 5.0
NAME: Final = 'version/small@1'


class Callers:
    """Threads that ask for short answers until they are stopped."""

    def __init__(self, world: BenchWorld) -> None:
        """Start the threads."""
        self._address = world.daemons['e1'].caller_address
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        body = {
            'model': 'small@1',
            'messages': [{'role': 'user', 'content': 'Which gauge?'}],
            'max_tokens': 1,
        }
        headers = {'Authorization': f'Bearer {KEY}', 'X-Deadline-Ms': '2000'}
        while not self._stop.is_set():
            try:
                answer = call(
                    self._address,
                    'POST',
                    '/v1/chat/completions',
                    body,
                    headers,
                )
            except (OSError, HTTPException):
                continue
            if answer.status != 200:
                time.sleep(0.05)


def run_round(world: BenchWorld) -> tuple[int, int]:
    """Return the requests received too late and those before the pause."""
    callers = Callers(world)
    began = time.time()
    time.sleep(2)
    sidecars = [world.daemons[name] for name in world.engines]
    for sidecar in sidecars:
        sidecar.pause()
    withdrawn = {**VERSION, 'state': 'withdrawn'}
    assert world.put('e1', NAME, withdrawn, 0, force=True).status == 200
    accepted = time.time()
    time.sleep(PAUSE_SECONDS)
    for sidecar in sidecars:
        sidecar.resume()
    time.sleep(1)
    callers.stop()
    times = [
        row['at']
        for address in world.engines.values()
        for row in world.journal(address)
    ]
    late = [at for at in times if at > accepted + IN_FORCE_SECONDS]
    before = [at for at in times if began < at < accepted]
    assert world.put('e1', NAME, VERSION, 10).status == 200
    time.sleep(1)
    return len(late), len(before)


def main() -> None:
    """Print the count of requests that started too late."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=10)
    rounds = parser.parse_args().rounds
    late = served = 0
    with BenchWorld(ENGINES, step_ms=2.0) as world:
        for _ in range(rounds):
            found = run_round(world)
            late += found[0]
            served += found[1]
    print(f'paused sidecars: {rounds * ENGINES}')
    print(f'requests in the 2 s before each pause: {served}')
    print(f'requests started {IN_FORCE_SECONDS:g} s or more too late: {late}')


if __name__ == '__main__':
    main()
