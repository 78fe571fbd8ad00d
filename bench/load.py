"""Open-loop load: requests arrive when they do, whatever became of others."""

import json
import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final, NamedTuple

THREADS: Final = 600
TIMEOUT_SECONDS: Final = 12.0
DEADLINE_MS: Final = 10_000
READ_BYTES: Final = 65536
DONE_EVENT: Final = b'data: [DONE]'
CHARS_A_TOKEN: Final = 4


class Work(NamedTuple):
    """One kind of request of a user."""

    kind: str
    #: Share of the user's requests, in [0, 1].
    share: float
    priority: int
    prompt_tokens: int
    tokens: int


class Result(NamedTuple):
    """How one request went; times in seconds."""

    #: Arrival, counted from the start of the load.
    at: float
    kind: str
    priority: int
    #: True if the whole answer came.
    done: bool
    first_token: float
    whole: float
    status: int


class Load:
    """Sends Poisson arrivals of a mix of work to some addresses in turn."""

    def __init__(
        self,
        addresses: Sequence[str],
        mix: Sequence[Work],
        key: str,
        seed: int,
    ) -> None:
        """Keep the parts; the seed fixes arrivals and kinds."""
        self._addresses = addresses
        self._mix = mix
        self._key = key
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._results: list[Result] = []

    def run(self, rate: float, seconds: float) -> list[Result]:
        """Return the results of arrivals at a rate per second."""
        began = time.monotonic()
        due = 0.0
        number = 0
        with ThreadPoolExecutor(THREADS) as workers:
            while True:
                due += self._random.expovariate(rate)
                if due > seconds:
                    break
                work = self._draw()
                pause = began + due - time.monotonic()
                if pause > 0:
                    time.sleep(pause)
                address = self._addresses[number % len(self._addresses)]
                workers.submit(self._send, address, work, number, began, due)
                number += 1
        return sorted(self._results)

    def _draw(self) -> Work:
        weights = [work.share for work in self._mix]
        return self._random.choices(self._mix, weights)[0]

    def _send(
        self,
        address: str,
        work: Work,
        number: int,
        began: float,
        due: float,
    ) -> None:
        status, first = 0, 0.0
        done = False
        connection = HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        try:
            connection.request(
                'POST',
                '/v1/chat/completions',
                json.dumps(_make_body(work, number)).encode(),
                self._headers(work),
            )
            response = connection.getresponse()
            status = response.status
            data = response.read1(READ_BYTES)
            first = time.monotonic() - began - due
            done = status == 200 and _read_rest(response, data)
        except (OSError, HTTPException):
            done = False
        finally:
            connection.close()
        whole = time.monotonic() - began - due
        row = Result(due, work.kind, work.priority, done, first, whole, status)
        with self._lock:
            self._results.append(row)

    def _headers(self, work: Work) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._key}',
            'Content-Type': 'application/json',
            'X-Kind': work.kind,
            'X-Priority': str(work.priority),
            'X-Deadline-Ms': str(DEADLINE_MS),
        }


def _make_body(work: Work, number: int) -> dict[str, Any]:
    history = f'entry {number}: bearing changed, insulation tested. '
    chars = work.prompt_tokens * CHARS_A_TOKEN
    text = (history * (chars // len(history) + 1))[:chars]
    return {
        'model': 'auto',
        'stream': True,
        'max_tokens': work.tokens,
        'metadata': {'kind': work.kind, 'tokens': str(work.tokens)},
        'messages': [{'role': 'user', 'content': text}],
    }


def _read_rest(response: HTTPResponse, data: bytes) -> bool:
    """Return True if the stream reaches its last event."""
    tail = b''
    while data:
        tail = (tail + data)[-len(DONE_EVENT) * 4 :]
        if b'"error"' in data:
            return False
        data = response.read1(READ_BYTES)
    return DONE_EVENT in tail
