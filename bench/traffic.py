"""Callers that send random requests and record every response."""

import itertools
import json
import random
import threading
import time
from http.client import HTTPException
from typing import Any, Final, NamedTuple

from standins.calls import Response, call
from standins.fleet import Fleet

API_KEY: Final = 'chaos-key'
DEADLINE_MS: Final = 4000
TIMEOUT_SECONDS: Final = 10
#: Times a caller sends a booking with the same idempotency key.
MAX_KEYED_ATTEMPTS: Final = 4
CONVERSATION_TURNS: Final = 4
DONE_EVENT: Final = b'data: [DONE]\n\n'
#: Outcomes of a request as its caller sees them.
DONE: Final = 'done'
NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'


class RequestRecord(NamedTuple):
    """The outcome of one request as its caller saw it."""

    #: 'chat', 'booking' or 'keyed'.
    kind: str
    #: Identifies the request in the journals of the engines and services.
    mark: str
    #: 'done', 'not_run' or 'unknown'.
    outcome: str
    code: str
    version: str
    conversation: str


class Traffic:
    """Caller threads, each with a random generator of its own."""

    def __init__(self, fleet: Fleet, entries: list[str], seed: int) -> None:
        """Create the traffic; no request is sent before start()."""
        self._fleet = fleet
        self._entries = entries
        self._seed = seed
        self._marks = itertools.count(1)
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.records: list[RequestRecord] = []

    def start(self, threads: int) -> None:
        """Start this many caller threads."""
        for number in range(threads):
            rng = random.Random(self._seed * 1000 + number)
            thread = threading.Thread(target=self._run_caller, args=(rng,))
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop the callers and wait for their last requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, rng: random.Random) -> None:
        actions = (
            self._send_chat,
            self._send_chat,
            self._send_booking,
            self._send_keyed_booking,
            self._send_conversation,
        )
        while not self._stop.is_set():
            rng.choice(actions)(rng)
            time.sleep(rng.uniform(0, 0.05))

    def _send_chat(self, rng: random.Random) -> None:
        stream = rng.random() < 0.5
        model = rng.choice(('auto', 'large@1', 'small'))
        self._request_completion(
            rng, {'model': model, 'stream': stream}, {}, 'chat'
        )

    def _send_conversation(self, rng: random.Random) -> None:
        headers: dict[str, str] = {}
        name = f'c{next(self._marks)}'
        for _ in range(CONVERSATION_TURNS):
            body = {'model': 'auto', 'stream': rng.random() < 0.5}
            response = self._request_completion(
                rng, body, headers, 'chat', name
            )
            if response is not None and 'x-conversation-id' in response.headers:
                headers = {
                    'X-Conversation-Id': response.headers['x-conversation-id']
                }

    def _request_completion(
        self,
        rng: random.Random,
        body: dict[str, Any],
        headers: dict[str, str],
        kind: str,
        conversation: str = '',
    ) -> Response | None:
        mark = f'm{next(self._marks)}'
        payload = {
            'messages': [{'role': 'user', 'content': 'Which wire gauge?'}],
            'max_tokens': rng.randint(1, 30),
            'metadata': {'mark': mark},
            **body,
        }
        response = self._call(rng, '/v1/chat/completions', payload, headers)
        self._record(kind, mark, response, conversation)
        return response

    def _send_booking(self, rng: random.Random) -> None:
        mark = f'b{next(self._marks)}'
        response = self._call(rng, _BOOKINGS_PATH, {'mark': mark}, {})
        self._record('booking', mark, response)

    def _send_keyed_booking(self, rng: random.Random) -> None:
        mark = f'k{next(self._marks)}'
        for _ in range(MAX_KEYED_ATTEMPTS):
            headers = {'Idempotency-Key': mark}
            response = self._call(rng, _BOOKINGS_PATH, {'mark': mark}, headers)
            self._record('keyed', mark, response)
            if response is not None and response.status < 300:
                return
            time.sleep(0.2)

    def _call(
        self,
        rng: random.Random,
        path: str,
        body: object,
        headers: dict[str, str],
    ) -> Response | None:
        """Return the response, or None if the connection failed."""
        entry = rng.choice(self._entries)
        try:
            return call(
                self._fleet.daemons[entry].caller_address,
                'POST',
                path,
                body,
                {
                    'Authorization': f'Bearer {API_KEY}',
                    'X-Deadline-Ms': str(DEADLINE_MS),
                    **headers,
                },
                TIMEOUT_SECONDS,
            )
        except (OSError, HTTPException):
            return None

    def _record(
        self,
        kind: str,
        mark: str,
        response: Response | None,
        conversation: str = '',
    ) -> None:
        outcome, code = _classify_response(response)
        version = (
            response.headers.get('x-served-version', '') if response else ''
        )
        record = RequestRecord(kind, mark, outcome, code, version, conversation)
        with self._lock:
            self.records.append(record)


_BOOKINGS_PATH: Final = '/v1/services/booking/bookings'


def _classify_response(response: Response | None) -> tuple[str, str]:
    """Return outcome and error code of a response, None if none came."""
    if response is None:
        return UNKNOWN, 'connection_lost'
    if response.status >= 300:
        error = response.json()['error']
        return error['outcome'], error['code']
    if 'event-stream' not in response.headers.get('content-type', ''):
        return DONE, ''
    if response.body.endswith(DONE_EVENT):
        return DONE, ''
    events = response.body.strip().split(b'\n\n')
    try:
        last = json.loads(events[-1].removeprefix(b'data: '))
        return UNKNOWN, str(last['error']['code'])
    except (ValueError, KeyError):
        return UNKNOWN, 'cut_without_error'
