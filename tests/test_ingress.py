"""Callers' connections: what is answered, announced and closed."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.calls import find_port, wait_until
from toucancourse.forwarding.messages import RawRequest
from toucancourse.forwarding.responses import ResponseWriter
from toucancourse.ingress.server import (
    DEFAULT_HELD_BYTES,
    HIGH_WATERMARK_BYTES,
    IngressLimits,
    IngressServer,
)

TIMEOUT_SECONDS = 5.0
#: Patience where the server acts at its regular checks.
PATIENCE_SECONDS = 60.0
LIMITS = IngressLimits(100, 10, 65_536, 65_536)
#: The head of a request but for its length.
HEAD = b'POST /plain HTTP/1.1\r\nHost: a\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
#: Digits of a length that Python refuses to convert.
LENGTH_DIGITS = 5000
#: What leaves room for less than two of the largest bodies.
HELD_BYTES = DEFAULT_HELD_BYTES * 3 // 4 - 100_000
LAST_CHUNK = b'0\r\n\r\n'


class Ingress:
    """A server whose streams end when a test says so."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.port = find_port()
        self.ends = threading.Event()
        self.is_filled = threading.Event()
        self.server = IngressServer(
            self._handle, f'127.0.0.1:{self.port}', LIMITS
        )
        self.server.start()

    def connect(self, patience: float = TIMEOUT_SECONDS) -> 'Caller':
        """Return a caller with a connection of its own.

        It waits for so many seconds when it reads.
        """
        return Caller(self.port, patience)

    def start_drain(self) -> None:
        """Let every response announce that its connection closes."""
        self.server.is_draining = True

    def end_streams(self) -> None:
        """Write the ends of all streams."""
        self.ends.set()

    def _handle(self, request: RawRequest, response: ResponseWriter) -> None:
        if request.target == '/large':
            self._fill(response)
            return
        if request.target == '/endless':
            response.begin(200, ())
            while True:
                response.write(bytes(HIGH_WATERMARK_BYTES))
        if request.target != '/stream':
            response.send(200, (), b'plain')
            return
        response.begin(200, ())
        response.write(b'event')
        self.ends.wait(TIMEOUT_SECONDS)
        response.finish()

    def _fill(self, response: ResponseWriter) -> None:
        """Write until a caller that doesn't read holds up the server."""
        response.begin(200, ())
        while self.count_unread() <= HIGH_WATERMARK_BYTES:
            response.write(bytes(HIGH_WATERMARK_BYTES))
            time.sleep(0.05)
        self.is_filled.set()

    def count_unread(self) -> int:
        """Return the bytes of answers that callers haven't read."""
        channels = tuple(self.server.active_channels.values())
        return sum(channel.total_outbufs_len for channel in channels)


class Caller:
    """A connection on which requests are sent and responses read."""

    def __init__(self, port: int, patience: float) -> None:
        """Connect to a port."""
        address = ('127.0.0.1', port)
        self._sock = socket.create_connection(address, patience)
        self._reader = self._sock.makefile('rb')

    def send(self, *targets: str) -> None:
        """Send a request for each target at once."""
        self._sock.sendall(
            b''.join(
                f'POST {target} HTTP/1.1\r\nHost: a\r\n'
                f'X-Attempt-Id: call-{target[1:]}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
                for target in targets
            )
        )

    def send_raw(self, content: bytes) -> None:
        """Send bytes; ignore that the server takes no more."""
        with contextlib.suppress(OSError):
            self._sock.sendall(content)

    def read_raw(self, size: int) -> None:
        """Read some bytes; ignore that the server closed the connection."""
        with contextlib.suppress(OSError):
            self._sock.recv(size)

    def read_head(self) -> bytes:
        """Return the next head, or what came of it before the end."""
        head = b''
        while not head.endswith(b'\r\n\r\n'):
            line = self._reader.readline()
            if not line:
                break
            head += line
        return head

    def read_body(self) -> bytes:
        """Return the body of a plain response."""
        return self._reader.read(len(b'plain'))

    def read_stream_end(self) -> None:
        """Read the rest of a stream."""
        while self._reader.readline() != LAST_CHUNK[:3]:
            continue
        self._reader.readline()

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._sock.close()


@pytest.fixture
def ingress() -> Iterator[Ingress]:
    """Return a server that has one caller's stream to end."""
    ingress = Ingress()
    yield ingress
    ingress.end_streams()
    ingress.server.close_idle()


class TestDroppedRequests:
    """A request that was read but not served leaves a line."""

    def test_request_behind_an_announced_close_is_logged(
        self, ingress: Ingress, lines: list[dict[str, Any]]
    ) -> None:
        ingress.start_drain()
        caller = ingress.connect()
        caller.send('/plain', '/next')
        assert b'Connection: close' in caller.read_head()
        wait_until(
            lambda: any(line['message'] == 'request dropped' for line in lines),
            TIMEOUT_SECONDS,
            'line',
        )
        dropped = [
            line['call']
            for line in lines
            if line['message'] == 'request dropped'
        ]
        assert dropped == ['call-next']
        caller.close()

    def test_served_requests_leave_no_such_line(
        self, ingress: Ingress, lines: list[dict[str, Any]]
    ) -> None:
        caller = ingress.connect()
        caller.send('/plain', '/next')
        for _ in range(2):
            assert b'200 OK' in caller.read_head()
            caller.read_body()
        caller.close()
        time.sleep(0.1)
        assert not any(line['message'] == 'request dropped' for line in lines)


class TestDrain:
    """A connection closes only after a response that announced it."""

    # Guards against requests on a connection that closes without notice after
    # a stream which began before the shutdown.
    def test_stream_that_ends_in_a_drain_keeps_its_connection(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send('/stream')
        assert b'Connection: close' not in caller.read_head()
        ingress.start_drain()
        ingress.end_streams()
        caller.read_stream_end()
        time.sleep(0.1)
        caller.send('/plain')
        head = caller.read_head()
        assert b'200 OK' in head
        assert b'Connection: close' in head
        caller.close()

    # Guards against the same once the instance takes no more requests.
    def test_request_right_after_such_a_stream_is_refused_with_an_answer(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send('/stream')
        caller.read_head()
        ingress.start_drain()
        ingress.server.close_idle()
        time.sleep(0.1)
        ingress.end_streams()
        caller.read_stream_end()
        ingress.server.close_idle()
        time.sleep(0.1)
        caller.send('/plain')
        head = caller.read_head()
        assert b' 503 ' in head
        assert b'Connection: close' in head
        caller.close()

    def test_idle_connection_is_closed_in_the_end(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send('/plain')
        caller.read_head()
        caller.read_body()
        ingress.start_drain()

        def is_closed() -> bool:
            ingress.server.close_idle()
            return not ingress.server.count_open()

        wait_until(is_closed, TIMEOUT_SECONDS, 'close')
        assert not caller.read_head()
        caller.close()


class TestWaitingConnections:
    """Connections that wait to be accepted as the listener closes."""

    # Guards against a reset of callers that had connected and sent a request.
    def test_request_that_waits_gets_an_answer(self, ingress: Ingress) -> None:
        blocked = threading.Event()
        ingress.server.trigger.pull_trigger(
            lambda: blocked.wait(TIMEOUT_SECONDS)
        )
        callers = [ingress.connect() for _ in range(5)]
        for caller in callers:
            caller.send('/plain')
        ingress.start_drain()
        ingress.server.close_idle()
        blocked.set()
        for caller in callers:
            head = caller.read_head()
            assert b' 503 ' in head
            assert b'Connection: close' in head
            caller.close()


class TestThreads:
    """Requests that no new thread can be started for."""

    # Guards against connections that are closed without an answer.
    def test_request_waits_for_a_thread_that_runs(
        self, ingress: Ingress, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        first = ingress.connect()
        first.send('/stream')
        first.read_head()

        def fail(_: threading.Thread) -> None:
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(threading.Thread, 'start', fail)
        others = [ingress.connect() for _ in range(3)]
        for caller in others:
            caller.send('/plain')
        time.sleep(0.1)
        ingress.end_streams()
        for caller in others:
            assert b'200 OK' in caller.read_head()
            caller.close()
        first.close()


class TestIdleConnections:
    """Connections that are kept open without a request."""

    @pytest.mark.parametrize('request_bytes', [b'\r\n\r\n', HEAD + NO_BODY])
    def test_idle_crowd_leaves_room_for_others(
        self, ingress: Ingress, request_bytes: bytes
    ) -> None:
        crowd = [ingress.connect() for _ in range(LIMITS.connections + 20)]
        for caller in crowd:
            caller.send_raw(request_bytes)
        other = ingress.connect()
        other.send('/plain')
        assert b' 200 ' in other.read_head()
        for caller in (other, *crowd):
            caller.close()


class TestUnfinishedRequests:
    """Requests that don't end, or that need more memory than there is."""

    def test_body_over_the_limit_is_refused_at_its_head(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(HEAD + b'Content-Length: 65537\r\n\r\n')
        assert b' 413 ' in caller.read_head()
        caller.close()

    # Guards against an invitation to send the body all the same.
    def test_expected_body_over_the_limit_is_refused(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(
            HEAD + b'Expect: 100-continue\r\nContent-Length: 65537\r\n\r\n'
        )
        assert b' 413 ' in caller.read_head()
        caller.close()

    def test_request_that_expects_no_body_is_answered(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(HEAD + b'Expect: 100-continue\r\n' + NO_BODY)
        assert b' 200 ' in caller.read_head()
        caller.close()

    # Guards against a reset in place of the answer.
    def test_caller_that_still_sends_reads_its_refusal(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(HEAD + b'Content-Length: 999999\r\n\r\n')
        for _ in range(20):
            caller.send_raw(b'b' * 8192)
            time.sleep(0.01)
        assert b' 413 ' in caller.read_head()
        caller.close()

    def test_framing_of_chunks_does_not_count(self, ingress: Ingress) -> None:
        caller = ingress.connect()
        chunks = b'1\r\nb\r\n' * LIMITS.max_body_bytes
        caller.send_raw(HEAD + CHUNKED + chunks + LAST_CHUNK)
        assert b'200 OK' in caller.read_head()
        caller.close()

    def test_one_byte_over_in_chunks_is_refused(self, ingress: Ingress) -> None:
        caller = ingress.connect()
        chunks = b'1\r\nb\r\n' * (LIMITS.max_body_bytes + 1)
        caller.send_raw(HEAD + CHUNKED + chunks)
        assert b' 413 ' in caller.read_head()
        caller.close()

    @pytest.mark.parametrize('line', [b'1;' + b'a' * 9000, b'0' * 9000])
    def test_endless_line_of_a_chunk_is_refused(
        self, ingress: Ingress, line: bytes
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(HEAD + CHUNKED + line)
        assert b' 400 ' in caller.read_head()
        caller.close()

    # Guards against an exception that ends the thread of all connections.
    def test_absurd_length_behind_a_stream_is_refused(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send_raw(
            HEAD.replace(b'plain', b'stream')
            + NO_BODY
            + HEAD
            + NO_BODY
            + HEAD
            + b'Content-Length: %b\r\n\r\n' % (b'9' * LENGTH_DIGITS)
        )
        caller.read_head()
        ingress.end_streams()
        caller.read_stream_end()
        assert b' 200 ' in caller.read_head()
        caller.read_body()
        assert b' 400 ' in caller.read_head()
        caller.close()
        other = ingress.connect()
        other.send('/plain')
        assert b' 200 ' in other.read_head()
        other.close()

    def test_unfinished_body_is_refused_for_another(
        self, ingress: Ingress, lines: list[dict[str, Any]]
    ) -> None:
        ingress.server.intake.keep(HELD_BYTES, 0)
        callers = [ingress.connect() for _ in range(2)]
        for caller in callers:
            caller.send_raw(HEAD + b'Content-Length: 65536\r\n\r\n')
            caller.send_raw(b'b' * 65535)
            time.sleep(0.2)
        heads = callers[0].read_head()
        assert b' 503 ' in heads
        assert b'Connection: close' in heads
        assert any(line.get('why') == 'crowded' for line in lines)
        for caller in callers:
            caller.close()

    def test_request_in_service_is_never_refused(
        self, ingress: Ingress
    ) -> None:
        first = ingress.connect()
        first.send('/stream')
        first.read_head()
        first.send_raw(HEAD + CHUNKED + b'1')
        time.sleep(0.1)
        for channel in tuple(ingress.server.active_channels.values()):
            channel.holding.refuse()
        ingress.end_streams()
        first.read_stream_end()
        assert b' 503 ' in first.read_head()
        first.close()

    def test_head_that_does_not_end_is_refused(self, ingress: Ingress) -> None:
        ingress.server.care.head_seconds = 0.1
        caller = ingress.connect()
        caller.send_raw(HEAD)
        assert b' 408 ' in caller.read_head()
        caller.close()

    def test_many_requests_at_once_are_served_in_turn(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send(*['/plain'] * 300)
        for _ in range(300):
            assert b'200 OK' in caller.read_head()
            caller.read_body()
        caller.close()

    def test_nothing_is_held_in_the_end(self, ingress: Ingress) -> None:
        callers = [ingress.connect() for _ in range(5)]
        for caller in callers:
            caller.send('/plain', '/stream')
            caller.send_raw(HEAD + CHUNKED + b'5\r\nb')
        time.sleep(0.1)
        ingress.end_streams()
        for caller in callers:
            caller.close()
        wait_until(
            lambda: not ingress.server.intake.used, TIMEOUT_SECONDS, 'release'
        )
        assert not ingress.server.intake.count_unfinished()

    # Guards against a count that grows until everybody is refused.
    def test_request_behind_an_unread_answer_is_freed(
        self, ingress: Ingress
    ) -> None:
        caller = ingress.connect()
        caller.send('/large', '/plain')
        caller.read_head()
        assert ingress.is_filled.wait(TIMEOUT_SECONDS)
        time.sleep(0.2)
        caller.close()
        wait_until(
            lambda: not ingress.server.intake.used, TIMEOUT_SECONDS, 'release'
        )


class TestUnreadAnswers:
    """Clients that read nothing of their answers, or hardly anything."""

    def test_one_is_closed_though_its_socket_takes_nothing(
        self, ingress: Ingress
    ) -> None:
        ingress.server.idle_seconds = 0.5
        caller = ingress.connect()
        caller.send('/large')
        assert ingress.is_filled.wait(TIMEOUT_SECONDS)
        wait_until(
            lambda: not ingress.server.count_open(), PATIENCE_SECONDS, 'close'
        )
        caller.close()

    @pytest.mark.parametrize('read_bytes', [0, 64])
    def test_others_get_their_threads(
        self, ingress: Ingress, read_bytes: int
    ) -> None:
        callers = [ingress.connect() for _ in range(LIMITS.threads)]
        for caller in callers:
            caller.send('/endless')
        is_over = threading.Event()
        reader = threading.Thread(
            target=_read_slowly, args=(callers, read_bytes, is_over)
        )
        reader.start()
        other = ingress.connect(PATIENCE_SECONDS)
        other.send('/plain')
        head = other.read_head()
        is_over.set()
        reader.join()
        for caller in callers:
            caller.close()
        assert b'200 OK' in head


def _read_slowly(
    callers: list[Caller], size: int, is_over: threading.Event
) -> None:
    """Read some bytes of each answer ten times a second, or none."""
    while not is_over.wait(0.1):
        for caller in callers:
            caller.read_raw(size)
