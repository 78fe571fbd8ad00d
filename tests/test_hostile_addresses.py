"""Crowds at addresses besides the callers' of the users' platform.

Crowds and bounds were set before the daemons were changed to bear them.
"""

import contextlib
import json
import threading
from collections.abc import Iterator
from http.client import HTTPConnection
from typing import Final

import pytest

from standins.nodes import Daemon

from .crowds import (
    ANSWER_SECONDS,
    BODY_BYTES,
    CROWD,
    DESCRIPTORS,
    MANY,
    MEMORY_MB,
    OWN_GROWTH_MB,
    OWN_MEMORY_BYTES,
    CompleteClient,
    CrowdTarget,
    Entry,
    ProcessView,
    SilentClient,
    send_crowd,
)
from .fleet import CHIKUGO_KEY, SmallFleet
from .http2 import send_unfinished

#: Connections with unfinished messages, and streams of each.
MESSAGE_CONNECTIONS: Final = 60
MESSAGE_STREAMS: Final = 4
CONNECT_PATH: Final = '/toucancourse.Peer/Connect'
TELL_PATH: Final = '/toucancourse.Loads/Tell'
#: Entries that a sidecar takes in these tests.
MAX_ENTRIES: Final = 8
#: Tokens per second that the model servers read.
PREFILL_RATE: Final = 10_000_000
#: Memory that texts which are parsed and sent on may take.
TEXTS_GROWTH_MB: Final = 128


def find_target(daemon: Daemon, address: str) -> CrowdTarget:
    """Return an address "host:port" of a daemon as the target of a crowd."""
    host, _, port = address.rpartition(':')
    return CrowdTarget(host, int(port), ProcessView(daemon.process))


@contextlib.contextmanager
def send_messages(target: CrowdTarget, path: str) -> Iterator[None]:
    """Let a crowd leave messages unfinished; its connections stay open."""
    socks = [target.connect() for _ in range(MESSAGE_CONNECTIONS)]
    threads = [
        threading.Thread(
            target=send_unfinished,
            args=(sock, path, MESSAGE_STREAMS, BODY_BYTES),
        )
        for sock in socks
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    yield
    for sock in socks:
        sock.close()


def make_text_body(letter: str) -> bytes:
    """Return a chat completion request of the largest legal size."""
    body = {
        'model': 'auto',
        'messages': [{'role': 'user', 'content': 'TEXT'}],
        'max_tokens': 8,
    }
    frame = json.dumps(body).encode()
    room = BODY_BYTES - len(frame)
    text = letter.encode() * (room // len(letter.encode()))
    return frame.replace(b'TEXT', text)


class TextClient(CompleteClient):
    """Sends a legal chat completion request of the largest size."""

    def make_head(self) -> bytes:
        """Return the head."""
        lines = (
            'POST /v1/chat/completions HTTP/1.1',
            'Host: entry',
            'Content-Type: application/json',
            f'Authorization: Bearer {CHIKUGO_KEY}',
            f'X-Deadline-Ms: {ANSWER_SECONDS * 1000}',
            self.make_length_line(),
        )
        return '\r\n'.join((*lines, '', '')).encode()

    def make_length_line(self) -> str:
        """Return the header of the length."""
        return f'Content-Length: {len(make_text_body("b"))}'

    def make_pieces(self) -> Iterator[bytes]:
        """Yield the body at once."""
        yield make_text_body('b')


@pytest.fixture(scope='module')
def fleet() -> Iterator[SmallFleet]:
    """Return a fleet whose sidecars take few entries and read texts fast."""
    overrides = {'sidecar': {'max_entries': MAX_ENTRIES}}
    engine = {'prefill_rate': PREFILL_RATE}
    with SmallFleet(('e1',), engine=engine, **overrides) as fleet:
        yield fleet


class TestSidecar:
    """A crowd at the port at which a sidecar serves entries."""

    def test_unfinished_messages_are_bounded(self, fleet: SmallFleet) -> None:
        sidecar = fleet.daemons['m1']
        target = find_target(sidecar, sidecar.address)
        before_mb = target.process.read_peak_mb()
        with send_messages(target, CONNECT_PATH):
            answer = fleet.chat(timeout=ANSWER_SECONDS)
            peak_mb = target.process.read_peak_mb() + target.count_unread_mb()
            descriptors = target.process.count_descriptors()
        print(f'{peak_mb - before_mb:.0f} MB more, {descriptors} descriptors')
        assert sidecar.is_running()
        assert answer.status == 200
        assert descriptors < DESCRIPTORS
        assert peak_mb - before_mb < OWN_GROWTH_MB

    def test_silent_connections_are_bounded(self, fleet: SmallFleet) -> None:
        sidecar = fleet.daemons['m2']
        target = find_target(sidecar, sidecar.address)
        with send_crowd(target, SilentClient):
            answer = fleet.chat(timeout=ANSWER_SECONDS)
            descriptors = target.process.count_descriptors()
        print(f'{descriptors} descriptors')
        assert sidecar.is_running()
        assert answer.status == 200
        assert descriptors < MANY


class TestEntryPeers:
    """A crowd at the port at which an entry serves other entries."""

    def test_unfinished_messages_are_bounded(self, entry: Entry) -> None:
        target = entry.peer_target
        target.wait_listening()
        with send_messages(target, TELL_PATH):
            answer = entry.send_ordinary()
            peak_mb = target.process.read_peak_mb() + target.count_unread_mb()
            descriptors = target.process.count_descriptors()
        print(f'{peak_mb:.0f} MB, {descriptors} descriptors')
        assert entry.node.is_running()
        assert answer.status == 200
        assert descriptors < DESCRIPTORS
        assert peak_mb < MEMORY_MB

    def test_silent_connections_are_bounded(self, entry: Entry) -> None:
        target = entry.peer_target
        target.wait_listening()
        with send_crowd(target, SilentClient):
            answer = entry.send_ordinary()
            descriptors = target.process.count_descriptors()
        print(f'{descriptors} descriptors')
        assert entry.node.is_running()
        assert answer.status == 200
        assert descriptors < MANY


class TestTexts:
    """Legal requests of the largest size at the product's own interface."""

    @pytest.mark.parametrize('letter', ['b', '\u00e9', '\u6f22'])
    def test_one_is_served(self, fleet: SmallFleet, letter: str) -> None:
        body = make_text_body(letter)
        address = fleet.daemons['e1'].caller_address
        connection = HTTPConnection(address, timeout=ANSWER_SECONDS)
        headers = {
            'Content-Type': 'application/json',
            'Authorization': f'Bearer {CHIKUGO_KEY}',
        }
        connection.request('POST', '/v1/chat/completions', body, headers)
        response = connection.getresponse()
        content = response.read()
        connection.close()
        assert response.status == 200, content[:200]

    def test_crowd_is_borne(self) -> None:
        overrides = {'entry': {'request_memory_bytes': OWN_MEMORY_BYTES}}
        engine = {'prefill_rate': PREFILL_RATE}
        with SmallFleet(('e1',), engine=engine, **overrides) as fleet:
            daemon = fleet.daemons['e1']
            target = find_target(daemon, daemon.caller_address)
            before_mb = target.process.read_peak_mb()
            with send_crowd(target, TextClient):
                target.wait_read()
                answer = fleet.chat(timeout=ANSWER_SECONDS)
                peak_mb = (
                    target.process.read_peak_mb() + target.count_unread_mb()
                )
                descriptors = target.process.count_descriptors()
            assert daemon.is_running()
        print(f'{CROWD} texts: {peak_mb - before_mb:.0f} MB more')
        assert answer.status == 200
        assert descriptors < DESCRIPTORS
        assert peak_mb - before_mb < TEXTS_GROWTH_MB
