"""Open-loop load: arrivals don't wait for the responses to earlier requests."""

import json
import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final, NamedTuple

SENDER_THREADS: Final = 600
TIMEOUT_SECONDS: Final = 12.0
DEADLINE_MS: Final = 10_000
READ_BYTES: Final = 65536
DONE_EVENT: Final = b'data: [DONE]'
CHARS_PER_TOKEN: Final = 4


class RequestProfile(NamedTuple):
    """One kind of request in the traffic of a user."""

    kind: str
    #: Share of the user's requests, in [0, 1].
    share: float
    priority: int
    prompt_tokens: int
    output_tokens: int


class RequestResult(NamedTuple):
    """The outcome of one request; both latencies count from its arrival."""

    #: Scheduled arrival, counted from the start of the load.
    arrival_seconds: float
    kind: str
    priority: int
    #: True if the response ended with its last event.
    succeeded: bool
    #: 0 if no response arrived.
    first_token_seconds: float
    total_seconds: float
    #: 0 if no response arrived.
    status: int


class LoadGenerator:
    """Sends a mix of requests with Poisson arrivals to addresses in turn."""

    def __init__(
        self,
        addresses: Sequence[str],
        mix: Sequence[RequestProfile],
        key: str,
        seed: int,
    ) -> None:
        """Create a generator; the seed fixes arrival times and kinds."""
        self._addresses = addresses
        self._mix = mix
        self._key = key
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._results: list[RequestResult] = []

    def run(self, rate: float, seconds: float) -> list[RequestResult]:
        """Send requests at a mean rate per second; return their results."""
        started_at = time.monotonic()
        arrival_seconds = 0.0
        number = 0
        with ThreadPoolExecutor(SENDER_THREADS) as pool:
            while True:
                arrival_seconds += self._rng.expovariate(rate)
                if arrival_seconds > seconds:
                    break
                profile = self._draw()
                delay = started_at + arrival_seconds - time.monotonic()
                if delay > 0:
                    time.sleep(delay)
                address = self._addresses[number % len(self._addresses)]
                pool.submit(
                    self._send,
                    address,
                    profile,
                    number,
                    started_at,
                    arrival_seconds,
                )
                number += 1
        return sorted(self._results)

    def _draw(self) -> RequestProfile:
        weights = [profile.share for profile in self._mix]
        return self._rng.choices(self._mix, weights)[0]

    def _send(
        self,
        address: str,
        profile: RequestProfile,
        number: int,
        started_at: float,
        arrival_seconds: float,
    ) -> None:
        status, first_token_seconds = 0, 0.0
        succeeded = False
        connection = HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        try:
            connection.request(
                'POST',
                '/v1/chat/completions',
                json.dumps(_make_body(profile, number)).encode(),
                self._headers(profile),
            )
            response = connection.getresponse()
            status = response.status
            data = response.read1(READ_BYTES)
            first_token_seconds = (
                time.monotonic() - started_at - arrival_seconds
            )
            succeeded = status == 200 and _read_to_end(response, data)
        except (OSError, HTTPException):
            succeeded = False
        finally:
            connection.close()
        total_seconds = time.monotonic() - started_at - arrival_seconds
        result = RequestResult(
            arrival_seconds,
            profile.kind,
            profile.priority,
            succeeded,
            first_token_seconds,
            total_seconds,
            status,
        )
        with self._lock:
            self._results.append(result)

    def _headers(self, profile: RequestProfile) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._key}',
            'Content-Type': 'application/json',
            'X-Kind': profile.kind,
            'X-Priority': str(profile.priority),
            'X-Deadline-Ms': str(DEADLINE_MS),
        }


def _make_body(profile: RequestProfile, number: int) -> dict[str, Any]:
    sentence = f'entry {number}: bearing changed, insulation tested. '
    chars = profile.prompt_tokens * CHARS_PER_TOKEN
    text = (sentence * (chars // len(sentence) + 1))[:chars]
    return {
        'model': 'auto',
        'stream': True,
        'max_tokens': profile.output_tokens,
        'metadata': {
            'kind': profile.kind,
            'tokens': str(profile.output_tokens),
        },
        'messages': [{'role': 'user', 'content': text}],
    }


def _read_to_end(response: HTTPResponse, data: bytes) -> bool:
    """Return True if the stream reaches its last event without an error."""
    tail = b''
    while data:
        tail = (tail + data)[-len(DONE_EVENT) * 4 :]
        if b'"error"' in data:
            return False
        data = response.read1(READ_BYTES)
    return DONE_EVENT in tail
