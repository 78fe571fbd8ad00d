"""Streams leave threads to other requests."""

import contextlib
import json
import time
from collections.abc import Iterator
from http.client import HTTPConnection

import pytest

from toucancourse.admission.slots import (
    STREAM_SHARE,
    StreamSlots,
    TooManyStreamsError,
)

from .crowds import ANSWER_SECONDS
from .fleet import CHIKUGO_KEY, SmallFleet
from .forwarding import THREADS, RelayHarness

STREAMS = int(THREADS * STREAM_SHARE)
#: Threads of an entry at the product's own interface, and its streams.
OWN_THREADS = 4
OWN_STREAMS = 12
#: A stream of this many tokens runs until the test has ended.
STEP_MS = 30
TOKENS = 4000
#: Time in which streams that find a thread have begun.
BEGIN_SECONDS = 3.0


@contextlib.contextmanager
def hold_streams(address: str) -> Iterator[None]:
    """Open streams that are read and don't end; close them afterwards."""
    body = {
        'model': 'auto',
        'messages': [{'role': 'user', 'content': 'Which wire gauge?'}],
        'max_tokens': TOKENS,
        'metadata': {'tokens': TOKENS},
        'stream': True,
    }
    headers = {
        'Content-Type': 'application/json',
        'Authorization': f'Bearer {CHIKUGO_KEY}',
        'X-Deadline-Ms': str(TOKENS * STEP_MS),
    }
    connections = [HTTPConnection(address) for _ in range(OWN_STREAMS)]
    for connection in connections:
        path = '/v1/chat/completions'
        connection.request('POST', path, json.dumps(body), headers)
    time.sleep(BEGIN_SECONDS)
    yield
    for connection in connections:
        connection.close()


class TestStreamSlots:
    """How many streams run at a time."""

    def test_slot_of_an_ended_stream_is_free(self) -> None:
        slots = StreamSlots(2)
        for _ in range(2):
            with slots.admit(is_stream=True):
                pass

    def test_another_stream_is_refused(self) -> None:
        slots = StreamSlots(2)
        with slots.admit(is_stream=True), pytest.raises(TooManyStreamsError):
            slots.admit(is_stream=True).__enter__()

    def test_other_requests_need_no_slot(self) -> None:
        slots = StreamSlots(2)
        with slots.admit(is_stream=True), slots.admit(is_stream=False):
            pass


class TestRelay:
    """An entry that forwards raw requests."""

    def test_stream_beyond_the_slots_is_refused_unsent(
        self, relay: RelayHarness
    ) -> None:
        with contextlib.ExitStack() as held:
            for _ in range(STREAMS):
                held.enter_context(relay.streams.admit(is_stream=True))
            refused = relay.send('/draft/x')
            other = relay.send('/look/x')
        served = relay.send('/draft/x')
        assert isinstance(refused.error, TooManyStreamsError)
        assert refused.error.status == 503
        assert refused.error.retry_after
        assert other.status == 200
        assert served.status == 200
        assert len(relay.runs()) == 2


class TestOwnInterface:
    """An entry at the interface that is the product's own."""

    def test_ordinary_request_is_answered_beside_streams(self) -> None:
        """Every thread was held: the ordinary request waited for a stream."""
        slow = {'step_ms': STEP_MS}
        settings = {'threads': OWN_THREADS}
        with SmallFleet(('e1',), engine=slow, entry=settings) as fleet:
            daemon = fleet.daemons['e1']
            fleet.warm_up()
            with hold_streams(daemon.caller_address):
                answer = fleet.chat(max_tokens=1, timeout=ANSWER_SECONDS)
            assert daemon.is_running()
        assert answer.status == 200
