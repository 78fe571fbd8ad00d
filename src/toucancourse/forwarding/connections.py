"""Pool of keep-alive connections to endpoints, and HTTP exchanges on them."""

import select
import socket
import threading
import time
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final, NamedTuple, cast

from loguru import logger

from ..errors import CourseError, EndpointError, Outcome, ResponseDefect
from ..interfaces.responses import find_body_defect, find_head_defect
from ..interfaces.restarts import holds_response, holds_status_line
from .buffers import PieceBuffer, ResponseBuffers
from .deadlines import EndpointResponse
from .messages import Codec
from .objects import (
    AttemptOptions,
    Call,
    EndpointRecord,
    Headers,
    ResponseHead,
)

#: Connect timeout. Round trips take a few milliseconds, and a lost SYN packet
#: is only resent after a second, so trying another endpoint is faster.
CONNECT_SECONDS: Final = 0.4
#: Connect timeout of the check that an endpoint's process has ended.
PROBE_SECONDS: Final = 0.1
#: Idle connections are closed this long before the endpoint's own keep-alive
#: timeout, so that no request meets a connection that is being closed.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.7
#: Keep-alive timeout assumed for endpoints that state none.
DEFAULT_IDLE_SECONDS: Final = 3.0
MAX_IDLE_PER_ENDPOINT: Final = 24
READ_BYTES: Final = 16_384
MS_PER_SECOND: Final = 1000.0
#: Sent data that stays unacknowledged this long closes the connection.
TCP_USER_TIMEOUT_MS: Final = 3000

_TRANSPORT_ERRORS: Final = (OSError, HTTPException, ValueError)


class NotSentError(CourseError):
    """No byte of the request reached the endpoint."""

    code = 'endpoint_unreachable'
    status = 503
    outcome = Outcome.not_run


class SilentError(EndpointError):
    """The endpoint did not send or read data before a timeout."""

    code = 'endpoint_silent'


class ConnectionLostError(EndpointError):
    """The endpoint closed or reset the connection before its response ended."""

    code = 'endpoint_connection_lost'


class _IdleConnection(NamedTuple):
    connection: HTTPConnection
    #: time.monotonic() until which it may be reused.
    expires_at: float


class Exchange:
    """One HTTP request to an endpoint and its response."""

    def __init__(
        self,
        connection: HTTPConnection,
        codec: Codec,
        call: Call,
        buffers: ResponseBuffers,
        *,
        is_reused: bool,
    ) -> None:
        """Create an exchange that owns a connection until release()."""
        #: True if earlier requests were sent on the connection.
        self.is_reused = is_reused
        self._connection = connection
        # HTTPConnection drops its socket after a "Connection: close" response.
        self._sock: socket.socket = connection.sock
        self._codec = codec
        self._call = call
        self._buffers = buffers
        #: Bytes of the response that are held in memory.
        self._held = 0
        self._response: EndpointResponse | None = None
        #: True once the whole request was given to the connection.
        self._is_sent = False
        self._cancelled = False
        self.is_complete = False
        self.head: ResponseHead | None = None

    def send(self, options: AttemptOptions, until: float) -> None:
        """Send the request until a time.monotonic().

        Raises NotSentError if no byte can have reached the endpoint, and
        SilentError if the endpoint stopped reading.
        """
        connection = self._connection
        call = self._call
        try:
            self._set_timeout(until)
            connection.putrequest(
                call.method,
                call.target,
                skip_host=True,
                skip_accept_encoding=True,
            )
            for name, text in self._codec.encode_attempt_headers(call, options):
                connection.putheader(name, text)
            if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
                connection.putheader('Content-Length', str(len(call.body)))
            connection.endheaders(call.body or None)
            self._is_sent = True
        except TimeoutError as error:
            raise SilentError('timeout sending the request') from error
        except OSError as error:
            # The endpoint may have responded before it read the whole body.
            logger.debug(
                'request partially sent', call=call.identifier, why=repr(error)
            )
        except (HTTPException, ValueError) as error:
            raise NotSentError(f'request is invalid: {error!r}') from error

    def wait_for_data(self, until: float) -> bool:
        """Return True once there is data, or the end of it, to read.

        Returns False if there is none at a time.monotonic(). The exchange
        can be continued in either case.
        """
        response = self._response
        while response is None or not response.has_next_data():
            remaining = until - time.monotonic()
            if self._cancelled or remaining <= 0:
                return False
            poll = select.poll()
            try:
                poll.register(self._sock, select.POLLIN)
                if not poll.poll(remaining * MS_PER_SECOND):
                    return False
                if response is None:
                    return True
                response.set_deadline(until)
                if not response.buffer_chunk_end():
                    return True
            except (OSError, ValueError):
                return True
        return True

    def read_head(self, until: float) -> ResponseHead:
        """Return the response head, read until a time.monotonic().

        Raises SilentError or EndpointError.
        """
        try:
            self._set_timeout(until)
            connection = self._connection
            connection.response_class = cast(
                type[HTTPResponse], self._make_response
            )
            response = connection.getresponse()
        except TimeoutError as error:
            raise SilentError('timeout waiting for the response') from error
        except _TRANSPORT_ERRORS as error:
            raise ConnectionLostError(
                f'no response: {error!r}',
                find_head_defect(error, self.count_received()),
            ) from error
        headers: Headers = tuple(response.getheaders())
        self.head = self._codec.decode_head(response.status, headers)
        defect = self._find_foreign(self.head)
        if defect is not None:
            raise EndpointError(
                'the response belongs to another request', defect
            )
        return self.head

    def count_received(self) -> int:
        """Return the number of bytes received of the response."""
        response = self._response
        return 0 if response is None else response.count_received()

    def _find_foreign(self, head: ResponseHead) -> ResponseDefect | None:
        """Return why a response may not be that of this exchange's request.

        Without an identifier it may be a late copy of the response to an
        earlier request, unless the connection is new.
        """
        if not head.call and self.is_reused:
            return ResponseDefect.no_request
        if head.call and head.call != self._call.identifier:
            return ResponseDefect.other_request
        return None

    def read_body(self, until: float) -> bytes:
        """Return the complete rest of the body.

        Raises SilentError or EndpointError.
        """
        body = PieceBuffer()
        try:
            self._read_pieces(body, until)
        except EndpointError:
            self.check_events(body.pop_all())
            raise
        content = body.pop_all()
        if self.ends_with_connection():
            self.check_events(content)
        elif holds_response(content, self._call.identifier):
            raise _make_restart_error()
        return content

    def _read_pieces(self, body: PieceBuffer, until: float) -> None:
        chunk = self.read_chunk(until)
        while chunk:
            body.add(chunk)
            self.hold(body.size)
            chunk = self.read_chunk(until)

    def check_events(self, content: bytes) -> None:
        """Raise EndpointError if another response begins in events.

        Their lines end without a carriage return, so that they can't hold a
        status line. A body without a length may, but more likely another
        response follows it.
        """
        identifier = self._call.identifier
        if holds_response(content, identifier) or holds_status_line(content):
            raise _make_restart_error()

    def hold(self, size: int) -> None:
        """Count the bytes of the response that are held until its end.

        Raises EndpointError if there is no memory for so many.
        """
        self._buffers.resize(self._held, size)
        self._held = size

    def read_chunk(self, until: float) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Raises SilentError, or EndpointError if the response was truncated.
        """
        response = self._response
        assert response is not None
        try:
            content = self._read_next(response, until)
        except TimeoutError as error:
            raise SilentError('timeout within the response') from error
        except _TRANSPORT_ERRORS as error:
            raise ConnectionLostError(
                f'the response was interrupted: {error!r}',
                find_body_defect(error),
            ) from error
        if content:
            return content
        if self._cancelled:
            raise EndpointError('the request was cancelled')
        self.is_complete = True
        return b''

    def _read_next(self, response: EndpointResponse, until: float) -> bytes:
        """Return the next bytes of the body, b'' at its end at any time."""
        if response.isclosed():
            return b''
        self._set_timeout(until)
        response.set_deadline(until)
        return response.read1(READ_BYTES)

    def ends_with_connection(self) -> bool:
        """Return True if only the connection's end marks the body's end."""
        response = self._response
        return response is not None and response.ends_with_connection()

    def is_cancelled(self) -> bool:
        """Return True after cancel()."""
        return self._cancelled

    def cancel(self) -> None:
        """Shut the socket down; may be called from any thread."""
        self._cancelled = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        self.hold(0)
        response = self._response
        if response is not None:
            response.close()
        self._connection.close()

    def release(self) -> HTTPConnection | None:
        """Return the connection if it is reusable, or else close it."""
        self.hold(0)
        response = self._response
        is_reusable = self.is_complete and not self._cancelled
        if response is None or response.will_close or not is_reusable:
            self.close()
            return None
        # The rest of the body would be filled with the next request.
        if not self._is_sent:
            self.close()
            return None
        # Data that follow would be parsed as the response to the next request.
        trailing = response.peek_trailing()
        if trailing:
            logger.info(
                'data after the response',
                call=self._call.identifier,
                received=response.count_received(),
            )
        if trailing != b'':
            self.close()
            return None
        response.close()
        return self._connection

    def _make_response(
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> EndpointResponse:
        """Return the response that getresponse() reads.

        It refers to the socket also if reading its head fails.
        """
        self._response = EndpointResponse(sock, *args, **kwargs)
        self._response.is_request_sent = self._is_sent
        return self._response

    def _set_timeout(self, until: float) -> None:
        remaining = until - time.monotonic()
        if remaining <= 0 or self._cancelled:
            raise TimeoutError
        self._sock.settimeout(remaining)


class ConnectionPool:
    """Idle connections to endpoints; may be used by several threads."""

    def __init__(
        self, codec: Codec, buffers: ResponseBuffers | None = None
    ) -> None:
        """Create an empty pool; buffers bound the responses in memory."""
        self._codec = codec
        self._buffers = buffers or ResponseBuffers()
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[_IdleConnection]] = {}
        #: Exchanges that have not ended.
        self._open: set[Exchange] = set()
        #: Exchanges on new connections and on reused ones so far.
        self.opened = 0
        self.reused = 0

    def open(self, record: EndpointRecord, call: Call) -> Exchange:
        """Return an exchange on an idle or new connection.

        Raises NotSentError if the endpoint is unreachable.
        """
        connection = self._pop_idle(record)
        is_reused = connection is not None
        if connection is None:
            connection = self._connect(record)
            self.opened += 1
        else:
            self.reused += 1
        exchange = Exchange(
            connection, self._codec, call, self._buffers, is_reused=is_reused
        )
        self._open.add(exchange)
        return exchange

    def cancel_all(self) -> int:
        """Cancel all exchanges that have not ended; return their number."""
        running = [
            exchange
            for exchange in tuple(self._open)
            if not exchange.is_cancelled()
        ]
        for exchange in running:
            exchange.cancel()
        return len(running)

    def return_connection(
        self, record: EndpointRecord, exchange: Exchange
    ) -> None:
        """End an exchange and put its connection back if it is reusable."""
        self._open.discard(exchange)
        connection = exchange.release()
        if connection is None:
            return
        head = exchange.head
        idle_seconds = DEFAULT_IDLE_SECONDS
        if head is not None and head.keep_alive is not None:
            idle_seconds = max(0.0, head.keep_alive - KEEP_ALIVE_MARGIN_SECONDS)
        expires_at = time.monotonic() + idle_seconds
        with self._lock:
            idle = self._idle.setdefault(_make_key(record), [])
            idle.append(_IdleConnection(connection, expires_at))
            evicted = idle.pop(0) if len(idle) > MAX_IDLE_PER_ENDPOINT else None
        if evicted is not None:
            evicted.connection.close()

    def close_idle(self, record: EndpointRecord) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            idle = self._idle.pop(_make_key(record), [])
        for idle_connection in idle:
            idle_connection.connection.close()

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        now = time.monotonic()
        with self._lock:
            expired = [
                idle_connection
                for idle in self._idle.values()
                for idle_connection in idle
                if idle_connection.expires_at < now
            ]
            for key, idle in tuple(self._idle.items()):
                self._idle[key] = [
                    pooled for pooled in idle if pooled.expires_at >= now
                ]
        for idle_connection in expired:
            idle_connection.connection.close()

    def _pop_idle(self, record: EndpointRecord) -> HTTPConnection | None:
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(_make_key(record))
                if not idle:
                    return None
                idle_connection = idle.pop()
            connection = idle_connection.connection
            if idle_connection.expires_at > now and (
                connection.sock is not None and _is_silent(connection.sock)
            ):
                return connection
            connection.close()

    def _connect(self, record: EndpointRecord) -> HTTPConnection:
        connection = HTTPConnection(
            record.host, record.port, timeout=CONNECT_SECONDS
        )
        try:
            connection.connect()
        except OSError as error:
            raise NotSentError(
                f'endpoint "{record.identifier}" is unreachable: {error!r}'
            ) from error
        _set_options(connection.sock)
        return connection


def is_refusing(record: EndpointRecord) -> bool:
    """Return True if no process listens at an endpoint's address any more."""
    address = (record.host, record.port)
    try:
        socket.create_connection(address, PROBE_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError as error:
        logger.debug(
            'endpoint not probed',
            endpoint=record.identifier,
            why=repr(error),
        )
    return False


def _make_restart_error() -> EndpointError:
    return EndpointError(
        'the response broke off and another one began',
        ResponseDefect.body_restarted,
    )


def _set_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
    except OSError:
        return


def _is_silent(sock: socket.socket) -> bool:
    """Return True if a connection is open and has no unread data."""
    sock.settimeout(0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _make_key(record: EndpointRecord) -> tuple[str, int]:
    return record.identifier, record.incarnation
