"""Callers' connections: what is answered, announced and closed."""

import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.calls import find_port, wait_until
from toucancourse.forwarding.messages import RawRequest
from toucancourse.forwarding.responses import ResponseWriter
from toucancourse.ingress.server import IngressLimits, IngressServer

TIMEOUT_SECONDS = 5.0
LIMITS = IngressLimits(100, 10, 65_536, 65_536)
LAST_CHUNK = b'0\r\n\r\n'


class Ingress:
    """A server whose streams end when a test says so."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.port = find_port()
        self.ends = threading.Event()
        self.server = IngressServer(
            self._handle, f'127.0.0.1:{self.port}', LIMITS
        )
        self.server.start()

    def connect(self) -> 'Caller':
        """Return a caller with a connection of its own."""
        return Caller(self.port)

    def start_drain(self) -> None:
        """Let every response announce that its connection closes."""
        self.server.is_draining = True

    def end_streams(self) -> None:
        """Write the ends of all streams."""
        self.ends.set()

    def _handle(self, request: RawRequest, response: ResponseWriter) -> None:
        if request.target != '/stream':
            response.send(200, (), b'plain')
            return
        response.begin(200, ())
        response.write(b'event')
        self.ends.wait(TIMEOUT_SECONDS)
        response.finish()


class Caller:
    """A connection on which requests are sent and responses read."""

    def __init__(self, port: int) -> None:
        """Connect to a port."""
        address = ('127.0.0.1', port)
        self._sock = socket.create_connection(address, TIMEOUT_SECONDS)
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
