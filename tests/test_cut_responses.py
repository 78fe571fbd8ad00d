"""A response that broke off at any byte never passes as whole."""

import json
import threading
from collections.abc import Callable, Iterator

import pytest

from standins.rawserver import RawServer
from standins.replica import SIGNATURE
from toucancourse.command.client import AdminClient
from toucancourse.delivery.endpoint import EndpointCall
from toucancourse.errors import CourseError, LogDownError
from toucancourse.interfaces.calls import PlatformDownError, call_json
from toucancourse.platform.store import StoreTopic

from .forwarding import RecordedResponse, RelayHarness, break_off

BODY = b'answer of i-0'
#: Callers at the same time, and the requests of each.
CALLERS = 16
#: Events of a stream.
EVENTS = 4
REQUESTS = 40


def is_whole_answer(response: RecordedResponse) -> bool:
    """Return True for the endpoint's whole signed answer."""
    return (
        response.status == 200
        and response.body == BODY
        and response.headers['X-Server-Signature'] == SIGNATURE
    )


def count_ids(body: bytes) -> int:
    """Return the number of whole events in a stream."""
    return body.count(b'\n\n')


def is_whole(response: RecordedResponse, path: str) -> bool:
    """Return True for a whole response, or a whole stream of events."""
    if path != '/draft/x':
        return is_whole_answer(response)
    signature = response.headers['X-Server-Signature']
    return count_ids(response.body) == EVENTS and signature == SIGNATURE


class TestBrokenResponses:
    """Callers of endpoints get whole responses, or see that they are not."""

    # Guards against a 200 with a cut signature and an empty body.
    @pytest.mark.parametrize('path', ['/book/x', '/look/x'])
    def test_plain_response_cut_at_any_byte_is_no_success(
        self, relay: RelayHarness, path: str
    ) -> None:
        size = 0
        while not is_whole_answer(break_off(relay, path, size)):
            response = break_off(relay, path, size)
            assert not response.is_finished
            assert response.error is not None
            assert response.error.status == 502
            size += 1
        assert size > len(BODY)

    # Guards against a stream that ends as a whole response by length.
    def test_stream_cut_at_any_byte_does_not_end(
        self, relay: RelayHarness
    ) -> None:
        size = 0
        response = break_off(relay, '/draft/x', size)
        while not response.is_finished:
            size += 1
            response = break_off(relay, '/draft/x', size)
        assert is_whole(response, '/draft/x')

    # Guards against the same where only the connection's end marks the end.
    def test_unframed_stream_cut_before_an_event_does_not_end(
        self, relay: RelayHarness
    ) -> None:
        relay.replicas[0].is_framed = False
        size = 0
        response = break_off(relay, '/draft/x', size)
        while count_ids(response.body) < EVENTS:
            is_at_event = response.body.endswith(b'\n\n')
            assert is_at_event or not response.is_finished
            if response.status:
                signature = response.headers['X-Server-Signature']
                assert signature == SIGNATURE
            size += 1
            response = break_off(relay, '/draft/x', size)

    # Guards against one response made of the heads of two.
    @pytest.mark.parametrize('path', ['/book/x', '/draft/x'])
    def test_response_that_starts_again_within_its_head_is_no_mixture(
        self, relay: RelayHarness, path: str
    ) -> None:
        for size in range(1, 150):
            response = break_off(relay, path, size, 'restart')
            assert not response.is_finished or is_whole(response, path)

    # Guards against wrong answers when much breaks off at the same time.
    def test_many_broken_responses_at_once(self) -> None:
        relay = RelayHarness(replicas=3)
        for replica in relay.replicas:
            replica.fault = 'break_off'
        wrong: list[RecordedResponse] = []

        def send(number: int) -> None:
            for serial in range(REQUESTS):
                for replica in relay.replicas:
                    replica.break_off_at = (number * 13 + serial * 7) % 260
                path = ('/book/x', '/look/x', '/draft/x')[serial % 3]
                response = relay.send(path)
                if response.is_finished and not (
                    response.body.startswith(b'answer of i-')
                    if path != '/draft/x'
                    else count_ids(response.body) == EVENTS
                ):
                    wrong.append(response)

        threads = [
            threading.Thread(target=send, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        relay.close()
        assert not wrong


#: Heads that don't tell where the body ends, though they try to.
UNREADABLE = (
    b'Content-Length: 1x',
    b'Content-Length: -1',
    b'Content-Length: +13',
    b'Content-Length: 1_3',
    b'Content-Length: 13\r\nContent-Length: 14',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding: chunked \x0b',
    b'Transfer-Encoding: chunked\r\nContent-Length: 13',
    b'no header',
)


def make_response(framing: bytes, body: bytes) -> bytes:
    """Return the bytes of a successful response."""
    return b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n\r\n' + body


def read_store(address: str) -> object:
    """Read the newest records of a topic."""
    return StoreTopic(address, 'topic').fetch_newest()


def read_log(address: str) -> object:
    """Read the records of a topic from an offset on."""
    return StoreTopic(address, 'topic').read(0, 0.1)


def append(address: str) -> object:
    """Append a record."""
    return StoreTopic(address, 'topic').append('key', b'content')


def read_json(address: str) -> object:
    """Call one of the platform's services."""
    return call_json('GET', f'http://{address}/x', timeout=2)


def read_endpoint(address: str) -> object:
    """Read the whole response of the endpoint beside a sidecar."""
    call = EndpointCall(f'http://{address}', 2)
    call.connect()
    call.start_request('POST', '/x', b'{}', {})
    call.finish_request()
    call.receive_head()
    return b''.join(call.read_chunks())


def read_entry(address: str) -> object:
    """Read a response of an entry's admin API."""
    return AdminClient([address], 'token').fetch('/x')


RECORD = b'\x00\x00\x00\x08\x03keybody'
PAGE = (1).to_bytes(8) + (0).to_bytes(8) + RECORD
APPENDED = json.dumps({'offset': 0, 'endOffset': 1}).encode()
NEWEST = json.dumps({'items': [], 'endOffset': 1}).encode()
READERS: tuple[tuple[Callable[[str], object], bytes], ...] = (
    (read_store, NEWEST),
    (read_log, PAGE),
    (append, APPENDED),
    (read_json, NEWEST),
    (read_endpoint, NEWEST),
    (read_entry, NEWEST),
)
ERRORS = (LogDownError, PlatformDownError, CourseError)


@pytest.fixture
def server() -> Iterator[RawServer]:
    """Return a server of given bytes."""
    server = RawServer()
    yield server
    server.close()


def check_each_cut(
    server: RawServer, read: Callable[[str], object], response: bytes
) -> None:
    """Check that only the whole response can be read."""
    for size in range(len(response)):
        server.content = response[:size]
        with pytest.raises(ERRORS):
            read(server.address)
    server.content = response
    read(server.address)


@pytest.mark.parametrize(('read', 'body'), READERS)
class TestReaders:
    """Each client of an HTTP service notices that a response broke off."""

    # Guards against a cut head or body that passes as a whole response.
    def test_response_cut_at_any_byte_is_an_error(
        self,
        server: RawServer,
        read: Callable[[str], object],
        body: bytes,
    ) -> None:
        framing = b'X-Other: 1\r\nContent-Length: %d' % len(body)
        response = make_response(framing, body)
        check_each_cut(server, read, response)

    # Guards against a chunked body whose last chunk is cut.
    def test_chunked_response_cut_at_any_byte_is_an_error(
        self,
        server: RawServer,
        read: Callable[[str], object],
        body: bytes,
    ) -> None:
        chunk = b'00%x\r\n%b\r\n' % (len(body), body) if body else b''
        response = make_response(
            b'Transfer-Encoding: chunked', chunk + b'0\r\n\r\n'
        )
        check_each_cut(server, read, response)

    # Guards against reading until the connection's end where a length is due.
    @pytest.mark.parametrize('framing', UNREADABLE)
    def test_unreadable_length_is_an_error(
        self,
        server: RawServer,
        read: Callable[[str], object],
        body: bytes,
        framing: bytes,
    ) -> None:
        server.content = make_response(framing, body)
        with pytest.raises(ERRORS):
            read(server.address)


class TestStorePages:
    """Pages of the store are applied whole or not at all."""

    # Guards against a short record where a page ends with its connection.
    def test_page_that_ends_within_a_record_is_an_error(
        self, server: RawServer
    ) -> None:
        for size in range(len(PAGE) - len(RECORD) + 1, len(PAGE)):
            server.content = make_response(b'X-Other: 1', PAGE[:size])
            with pytest.raises(LogDownError):
                read_log(server.address)
