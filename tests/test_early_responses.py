"""Answers that come before a request was sent whole, and odd statuses."""

import select
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from standins.rawserver import EarlyServer, RawServer
from standins.replica import SIGNATURE, make_event, make_record
from toucancourse.delivery.attempts import Attempt
from toucancourse.delivery.endpoint import EndpointCall
from toucancourse.errors import (
    EndpointError,
    Outcome,
    ResponseDefect,
    UnavailableError,
    UnknownOutcomeError,
)
from toucancourse.forwarding.connections import ConnectionPool
from toucancourse.forwarding.objects import AttemptOptions, EndpointRecord
from toucancourse.interfaces.responses import CheckedConnection, CheckedResponse
from toucancourse.platform.messages import PlatformCodec
from toucancourse.platform.records import PlatformDecoder
from toucancourse.protocol import peer_pb2
from toucancourse.web.messages import make_status_line

from .forwarding import RelayHarness, make_request
from .test_cut_responses import ERRORS, READERS

WMEM: Final = Path('/proc/sys/net/ipv4/tcp_wmem')
#: An upload that is longer than any buffer of its sender, by a half.
UPLOAD: Final = b'u' * (int(WMEM.read_text().split()[2]) * 3 // 2)
BODY: Final = b'the whole answer'
EVENTS: Final = b''.join(make_event(number) for number in range(1, 4))
#: Longest wait for an event on a connection, in ms.
WAIT_MS: Final = 5000
PATHS: Final = ('/book/x', '/look/x')


def make_head(*fields: str, status: str = '200 OK') -> bytes:
    """Return the head of an endpoint's signed answer."""
    lines = (
        f'HTTP/1.1 {status}',
        f'X-Server-Signature: {SIGNATURE}',
        *fields,
        '\r\n',
    )
    return '\r\n'.join(lines).encode()


UNFRAMED: Final = make_head()
STREAM: Final = make_head('Content-Type: text/event-stream')


def make_sized(body: bytes, status: str = '200 OK') -> bytes:
    """Return a signed answer with a length."""
    return make_head(f'Content-Length: {len(body)}', status=status) + body


WHOLE: Final = (
    make_sized(BODY),
    make_head('Transfer-Encoding: chunked')
    + b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY),
)


@pytest.fixture
def early() -> Iterator[EarlyServer]:
    """Return a server that answers before it has read a body."""
    server = EarlyServer()
    yield server
    server.close()


@pytest.fixture
def raw() -> Iterator[RawServer]:
    """Return a server of given bytes."""
    server = RawServer()
    yield server
    server.close()


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay whose endpoints are given by use_server()."""
    relay = RelayHarness(replicas=0)
    yield relay
    relay.close()


def use_server(relay: RelayHarness, server: RawServer) -> None:
    """Make a server the only endpoint, without history."""
    relay.endpoints.apply('i-0', None)
    relay.endpoints.apply(
        'i-0', make_record(server.port, born=server.requests + 1)
    )


def find_record(server: RawServer) -> EndpointRecord:
    """Return the record of a server that use_server() registered first."""
    return PlatformDecoder().decode_endpoint('i-0', make_record(server.port))


class TestUnframedResponses:
    """An answer without a length is whole if its connection ends well."""

    # Guards against a part that passes as a whole answer.
    @pytest.mark.parametrize('path', PATHS)
    def test_part_before_a_reset_during_an_upload_is_no_success(
        self, relay: RelayHarness, early: EarlyServer, path: str
    ) -> None:
        wrong = []
        for size in range(len(BODY) + 1):
            use_server(relay, early)
            early.content = UNFRAMED + BODY[:size]
            response = relay.send(path, body=UPLOAD)
            if response.status or response.error is None:
                wrong.append((size, response.body))
            elif response.error.outcome is Outcome.not_run:
                wrong.append((size, response.error.code.encode()))
        assert not wrong
        assert early.requests > len(BODY)

    # Guards against a stream that ends as complete before its last event.
    def test_stream_before_a_reset_during_an_upload_does_not_end(
        self, relay: RelayHarness, early: EarlyServer
    ) -> None:
        for size in range(len(EVENTS) + 1):
            use_server(relay, early)
            early.content = STREAM + EVENTS[:size]
            response = relay.send('/draft/x', body=UPLOAD)
            assert not response.is_finished
            assert response.error is not None
            assert response.is_aborted == bool(response.status)
            assert EVENTS.startswith(response.body)

    # Guards against error responses of which a part is passed on.
    @pytest.mark.parametrize('status', ['404 Missing', '500 Failed'])
    def test_part_of_an_error_response_is_not_passed_on(
        self, relay: RelayHarness, early: EarlyServer, status: str
    ) -> None:
        use_server(relay, early)
        early.content = make_head(status=status) + BODY
        response = relay.send('/book/x', body=UPLOAD)
        assert response.status == 0
        assert isinstance(response.error, EndpointError)
        assert response.error.outcome is Outcome.unknown

    def test_defect_is_logged(
        self,
        relay: RelayHarness,
        early: EarlyServer,
        lines: list[dict[str, Any]],
    ) -> None:
        use_server(relay, early)
        early.content = UNFRAMED + BODY
        relay.send('/book/x', body=UPLOAD)
        defects = [
            line['defect']
            for line in lines
            if line['message'] == 'attempt failed'
        ]
        assert defects == ['body_truncated']

    def test_answer_to_a_whole_upload_is_passed_on(
        self, relay: RelayHarness, raw: RawServer
    ) -> None:
        use_server(relay, raw)
        raw.content = UNFRAMED + BODY
        response = relay.send('/book/x', body=UPLOAD)
        assert (response.status, response.body) == (200, BODY)


class TestFramedResponses:
    """An early answer whose own framing proves it whole is passed on."""

    @pytest.mark.parametrize('content', WHOLE)
    @pytest.mark.parametrize('path', PATHS)
    def test_whole_answer_before_a_reset_reaches_its_caller(
        self,
        relay: RelayHarness,
        early: EarlyServer,
        path: str,
        content: bytes,
    ) -> None:
        use_server(relay, early)
        early.content = content
        for number in (1, 2):
            response = relay.send(path, body=UPLOAD)
            assert (response.status, response.body) == (200, BODY)
            # A connection whose request was cut is not used again.
            assert early.connections == number

    @pytest.mark.parametrize('content', WHOLE)
    def test_cut_answer_before_a_reset_is_no_success(
        self, relay: RelayHarness, early: EarlyServer, content: bytes
    ) -> None:
        for size in range(len(content)):
            use_server(relay, early)
            early.content = content[:size]
            response = relay.send('/book/x', body=UPLOAD)
            assert response.status == 0
            assert isinstance(response.error, EndpointError)

    # Guards against another request where the rest of a body is due.
    @pytest.mark.parametrize('deadline_ms', [200, WAIT_MS])
    def test_endpoint_that_reads_on_gets_nothing_but_the_body(
        self, relay: RelayHarness, early: EarlyServer, deadline_ms: int
    ) -> None:
        use_server(relay, early)
        early.ending = 'read'
        early.content = WHOLE[0]
        is_prompt = deadline_ms == WAIT_MS
        if is_prompt:
            early.released.set()
        response = relay.send('/book/x', body=UPLOAD, deadline_ms=deadline_ms)
        assert response.status == (200 if is_prompt else 0)
        if not is_prompt:
            use_server(relay, early)
            relay.send('/book/x', body=UPLOAD, deadline_ms=deadline_ms)
            assert early.connections == 2
        early.released.set()
        relay.connections.close_idle(find_record(early))
        assert early.has_reset.wait(WAIT_MS / 1000)
        # Of two connections, as long as the two bodies.
        assert not early.late.strip(UPLOAD[:1])


def wait_for_reset(sock: socket.socket) -> None:
    """Wait until a connection was reset, without reading why."""
    poll = select.poll()
    poll.register(sock, 0)
    assert poll.poll(WAIT_MS)


class TestEndedThenReset:
    """A connection that was reset after its end has not ended well."""

    # Guards against an end that hides the reset behind it.
    def test_endpoint(self, early: EarlyServer) -> None:
        early.ending = 'end'
        early.content = UNFRAMED + BODY
        codec = PlatformCodec()
        record = find_record(early)
        pool = ConnectionPool(codec)
        exchange = pool.open(record, codec.decode_call(make_request('/x')))
        until = time.monotonic() + WAIT_MS
        exchange.send(AttemptOptions('i-0', '', 1, '', 0, ''), until)
        wait_for_reset(exchange._sock)
        assert exchange.read_head(until).status == 200
        with pytest.raises(EndpointError) as caught:
            exchange.read_body(until)
        assert caught.value.defect is ResponseDefect.body_truncated
        pool.return_connection(record, exchange)

    @pytest.mark.parametrize(('read', 'body'), READERS)
    def test_other_readers(
        self,
        early: EarlyServer,
        monkeypatch: pytest.MonkeyPatch,
        read: Callable[[str], object],
        body: bytes,
    ) -> None:
        get_response = CheckedConnection.getresponse

        def wait_and_get(connection: CheckedConnection) -> CheckedResponse:
            wait_for_reset(connection.sock)
            return get_response(connection)

        monkeypatch.setattr(CheckedConnection, 'getresponse', wait_and_get)
        early.ending = 'end'
        early.content = UNFRAMED + body
        with pytest.raises(ERRORS):
            read(early.address)


class TestSidecar:
    """A sidecar tells truly whether a request may have run."""

    # Guards against a second run of a request that was answered early.
    @pytest.mark.parametrize('content', [UNFRAMED + BODY, *WHOLE])
    def test_request_that_was_answered_early_may_have_run(
        self, early: EarlyServer, content: bytes
    ) -> None:
        early.content = content
        with pytest.raises(UnknownOutcomeError):
            send_upload(early.address)

    def test_request_that_was_not_answered_did_not_run(
        self, early: EarlyServer
    ) -> None:
        with pytest.raises(UnavailableError):
            send_upload(early.address)


def send_upload(address: str) -> None:
    """Send all but the end of an upload to the endpoint of a sidecar."""
    call = EndpointCall(f'http://{address}', WAIT_MS / 1000)
    call.connect()
    call.start_request('POST', '/x', UPLOAD, {})


#: Statuses that are none, or have more or other characters than digits.
INVALID_STATUSES: Final = (
    '000',
    '099',
    '600',
    '999',
    '0200',
    '+200',
    '2_0',
    '20',
    '2000',
    '-20',
)
INTERIM_STATUSES: Final = ('100', '102', '103', '199')


class TestAbort:
    """An answer that only an abort of this end ended is not whole."""

    def test_unframed_answer(self, raw: RawServer) -> None:
        raw.script = [[UNFRAMED + BODY, WAIT_MS / 1000]]
        call = EndpointCall(f'http://{raw.address}', WAIT_MS / 1000)
        call.connect()
        call.start_request('POST', '/x', b'{}', {})
        call.finish_request()
        call.receive_head()
        chunks = call.read_chunks()
        received = next(chunks)
        call.abort()
        with pytest.raises(EndpointError, match='cancelled'):
            received += b''.join(chunks)
        assert BODY.startswith(received)
        call.close()


class TestPeers:
    """An entry passes on no status of a sidecar that HTTP does not have."""

    @pytest.mark.parametrize('status', [0, 100, 199, 600, 999])
    def test_invalid_status_is_an_error(self, status: int) -> None:
        attempt = Attempt(peer_pb2.Open())
        head = peer_pb2.Head(status=status)
        attempt.deliver([peer_pb2.Frame(head=head)])
        assert attempt.head is None
        assert attempt.may_have_run()
        with pytest.raises(EndpointError):
            attempt.check()

    @pytest.mark.parametrize('status', [200, 299, 404, 599])
    def test_status_line_is_made_of_any_status(self, status: int) -> None:
        attempt = Attempt(peer_pb2.Open())
        head = peer_pb2.Head(status=status)
        attempt.deliver([peer_pb2.Frame(head=head)])
        assert attempt.head == head
        assert make_status_line(status).startswith(f'{status} ')


class TestStatuses:
    """Statuses are those of HTTP; interim ones come before the final one."""

    @pytest.mark.parametrize('status', INVALID_STATUSES)
    @pytest.mark.parametrize('path', [*PATHS, '/draft/x'])
    def test_invalid_status_is_not_passed_on(
        self,
        relay: RelayHarness,
        raw: RawServer,
        lines: list[dict[str, Any]],
        path: str,
        status: str,
    ) -> None:
        use_server(relay, raw)
        raw.content = make_sized(BODY, status)
        response = relay.send(path)
        assert response.status == 0
        assert isinstance(response.error, EndpointError)
        assert response.error.outcome is Outcome.unknown
        assert 'head_malformed' in {line.get('defect') for line in lines}

    @pytest.mark.parametrize('status', INVALID_STATUSES)
    @pytest.mark.parametrize(('read', 'body'), READERS)
    def test_invalid_status_is_an_error(
        self,
        raw: RawServer,
        read: Callable[[str], object],
        body: bytes,
        status: str,
    ) -> None:
        raw.content = make_sized(body, status)
        with pytest.raises(ERRORS):
            read(raw.address)

    @pytest.mark.parametrize('status', ['200', '299', '404', '599'])
    def test_valid_status_is_passed_on(
        self, relay: RelayHarness, raw: RawServer, status: str
    ) -> None:
        use_server(relay, raw)
        raw.content = make_sized(BODY, status)
        response = relay.send('/book/x')
        assert (response.status, response.body) == (int(status), BODY)

    @pytest.mark.parametrize('status', INTERIM_STATUSES)
    def test_interim_response_is_skipped(
        self, relay: RelayHarness, raw: RawServer, status: str
    ) -> None:
        use_server(relay, raw)
        interim = make_head('X-Routing-Confidence: 1', status=status)
        raw.content = interim + interim + make_sized(BODY)
        response = relay.send('/book/x')
        assert (response.status, response.body) == (200, BODY)

    @pytest.mark.parametrize('status', INTERIM_STATUSES)
    @pytest.mark.parametrize(('read', 'body'), READERS)
    def test_readers_skip_interim_responses(
        self,
        raw: RawServer,
        read: Callable[[str], object],
        body: bytes,
        status: str,
    ) -> None:
        raw.content = make_head(status=status) + make_sized(body)
        read(raw.address)

    # Guards against an interim head, or another protocol, as an answer.
    @pytest.mark.parametrize(
        'content',
        [
            make_head(status='101'),
            make_head(status='101') + make_sized(BODY),
            make_head(status='100'),
            make_head(status='103') + make_sized(BODY)[:-1],
            make_head(status='103')[:-2],
        ],
    )
    def test_no_final_response_is_an_error(
        self, relay: RelayHarness, raw: RawServer, content: bytes
    ) -> None:
        use_server(relay, raw)
        raw.content = content
        response = relay.send('/book/x')
        assert response.status == 0
        assert isinstance(response.error, EndpointError)
