"""Callers that keep a record of all they were told."""

import itertools
import json
import random
import threading
import time
from http.client import HTTPException
from typing import Any, Final, NamedTuple

from standins.calls import Response, call
from standins.fleet import Fleet

KEY: Final = 'chaos-key'
DEADLINE_MS: Final = 4000
TIMEOUT_SECONDS: Final = 10
#: Times a caller repeats a booking with the same key.
KEY_TRIES: Final = 4
CONVERSATION_TURNS: Final = 4
DONE_EVENT: Final = b'data: [DONE]\n\n'
DONE: Final = 'done'
NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'


class Told(NamedTuple):
    """What a caller was told of one request."""

    kind: str
    #: Names the request in the journals.
    mark: str
    #: 'done', 'not_run' or 'unknown'.
    outcome: str
    code: str
    version: str
    conversation: str


class Traffic:
    """Threads of callers, each with its own seed."""

    def __init__(self, fleet: Fleet, entries: list[str], seed: int) -> None:
        """Keep the fleet; start() sends."""
        self._fleet = fleet
        self._entries = entries
        self._seed = seed
        self._marks = itertools.count(1)
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.told: list[Told] = []

    def start(self, threads: int) -> None:
        """Start the callers."""
        for number in range(threads):
            source = random.Random(self._seed * 1000 + number)
            thread = threading.Thread(target=self._run, args=(source,))
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, source: random.Random) -> None:
        actions = (
            self._chat,
            self._chat,
            self._book,
            self._book_keyed,
            self._converse,
        )
        while not self._stop.is_set():
            source.choice(actions)(source)
            time.sleep(source.uniform(0, 0.05))

    def _chat(self, source: random.Random) -> None:
        stream = source.random() < 0.5
        model = source.choice(('auto', 'large@1', 'small'))
        self._ask(source, {'model': model, 'stream': stream}, {}, 'chat')

    def _converse(self, source: random.Random) -> None:
        headers: dict[str, str] = {}
        name = f'c{next(self._marks)}'
        for _ in range(CONVERSATION_TURNS):
            body = {'model': 'auto', 'stream': source.random() < 0.5}
            answer = self._ask(source, body, headers, 'chat', name)
            if answer is not None and 'x-conversation-id' in answer.headers:
                headers = {
                    'X-Conversation-Id': answer.headers['x-conversation-id']
                }

    def _ask(
        self,
        source: random.Random,
        body: dict[str, Any],
        headers: dict[str, str],
        kind: str,
        conversation: str = '',
    ) -> Response | None:
        mark = f'm{next(self._marks)}'
        asked = {
            'messages': [{'role': 'user', 'content': 'Which wire gauge?'}],
            'max_tokens': source.randint(1, 30),
            'metadata': {'mark': mark},
            **body,
        }
        answer = self._call(source, '/v1/chat/completions', asked, headers)
        self._note(kind, mark, answer, conversation)
        return answer

    def _book(self, source: random.Random) -> None:
        mark = f'b{next(self._marks)}'
        answer = self._call(source, _BOOKINGS, {'mark': mark}, {})
        self._note('booking', mark, answer)

    def _book_keyed(self, source: random.Random) -> None:
        mark = f'k{next(self._marks)}'
        for _ in range(KEY_TRIES):
            headers = {'Idempotency-Key': mark}
            answer = self._call(source, _BOOKINGS, {'mark': mark}, headers)
            self._note('keyed', mark, answer)
            if answer is not None and answer.status < 300:
                return
            time.sleep(0.2)

    def _call(
        self,
        source: random.Random,
        path: str,
        body: object,
        headers: dict[str, str],
    ) -> Response | None:
        """Return the answer, or None if the connection broke."""
        entry = source.choice(self._entries)
        try:
            return call(
                self._fleet.daemons[entry].caller_address,
                'POST',
                path,
                body,
                {
                    'Authorization': f'Bearer {KEY}',
                    'X-Deadline-Ms': str(DEADLINE_MS),
                    **headers,
                },
                TIMEOUT_SECONDS,
            )
        except (OSError, HTTPException):
            return None

    def _note(
        self,
        kind: str,
        mark: str,
        answer: Response | None,
        conversation: str = '',
    ) -> None:
        outcome, code = _read(answer)
        version = answer.headers.get('x-served-version', '') if answer else ''
        told = Told(kind, mark, outcome, code, version, conversation)
        with self._lock:
            self.told.append(told)


_BOOKINGS: Final = '/v1/services/booking/bookings'


def _read(answer: Response | None) -> tuple[str, str]:
    """Return outcome and code of an answer."""
    if answer is None:
        return UNKNOWN, 'connection_lost'
    if answer.status >= 300:
        error = answer.json()['error']
        return error['outcome'], error['code']
    if 'event-stream' not in answer.headers.get('content-type', ''):
        return DONE, ''
    if answer.body.endswith(DONE_EVENT):
        return DONE, ''
    events = answer.body.strip().split(b'\n\n')
    try:
        last = json.loads(events[-1].removeprefix(b'data: '))
        return UNKNOWN, str(last['error']['code'])
    except (ValueError, KeyError):
        return UNKNOWN, 'cut_without_error'
