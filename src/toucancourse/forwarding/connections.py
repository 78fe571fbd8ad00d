"""Kept connections to endpoints, and one request on one of them."""

import socket
import threading
import time
from http.client import HTTPConnection, HTTPException, HTTPResponse
from io import BufferedReader
from typing import Any, Final, NamedTuple, cast

from loguru import logger

from ..errors import CourseError, EndpointError, Outcome
from .messages import Codec
from .objects import Call, EndpointRecord, Head, Headers, Order

#: Time to connect: the round trip is a few milliseconds and a lost opening
#: packet comes again after a second, so another endpoint is the better try.
CONNECT_SECONDS: Final = 0.4
#: An idle connection is closed this long before the endpoint would.
CLOSE_MARGIN_SECONDS: Final = 0.7
#: Idle time after which a connection of unknown patience is not trusted.
IDLE_SECONDS: Final = 3.0
#: Idle connections kept to one endpoint.
MAX_IDLE: Final = 24
READ_BYTES: Final = 65_536
#: Unacknowledged bytes end a connection after this time, in milliseconds.
USER_TIMEOUT_MS: Final = 3000

_TRANSPORT_ERRORS: Final = (OSError, HTTPException, ValueError)


class NotSentError(CourseError):
    """No byte of the request reached the endpoint."""

    code = 'endpoint_unreachable'
    status = 503
    outcome = Outcome.not_run


class SilentError(EndpointError):
    """The endpoint sent nothing for too long."""

    code = 'endpoint_silent'


class _Kept(NamedTuple):
    connection: HTTPConnection
    #: time.monotonic() until which it may be used again.
    until: float


class _CheckedResponse(HTTPResponse):
    """Remembers its buffered reader, to see bytes past the answer's end."""

    reader: BufferedReader | None = None

    def begin(self) -> None:
        """Read the answer's start."""
        self.reader = self.fp
        super().begin()

    def has_excess(self, sock: socket.socket) -> bool:
        """Return True if bytes follow the answer's last one."""
        reader = self.reader
        if reader is None:
            return True
        if reader.closed:
            return False
        sock.settimeout(0)
        try:
            return bool(reader.peek(1))
        except (OSError, ValueError):
            return False

    def abandon(self) -> None:
        """Close the reader before the answer's end."""
        self.fp = None  # type: ignore[assignment]
        if self.reader is not None:
            self.reader.close()

    def _close_conn(self) -> None:
        """Keep the reader open until it was looked at."""
        self.fp = None  # type: ignore[assignment]


class Exchange:
    """One request at one endpoint."""

    def __init__(
        self,
        connection: HTTPConnection,
        codec: Codec,
        call: Call,
    ) -> None:
        """Take over a connection."""
        self._connection = connection
        # The connection forgets its socket when an answer is its last one.
        self._sock: socket.socket = connection.sock
        self._codec = codec
        self._call = call
        self._response: _CheckedResponse | None = None
        self._cancelled = False
        self.is_complete = False
        self.head: Head | None = None

    def send(self, order: Order, until: float) -> None:
        """Send the request, whole by a time.monotonic().

        Raises NotSentError if no byte can have reached the endpoint, and
        SilentError if the endpoint stopped to read.
        """
        connection = self._connection
        call = self._call
        try:
            self._limit(until)
            connection.putrequest(
                call.method,
                call.target,
                skip_host=True,
                skip_accept_encoding=True,
            )
            for name, text in self._codec.encode_order(call, order):
                connection.putheader(name, text)
            if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
                connection.putheader('Content-Length', str(len(call.body)))
            connection.endheaders(call.body or None)
        except TimeoutError as error:
            raise SilentError('the request was not read in time') from error
        except OSError as error:
            # The endpoint may have answered before it read all.
            logger.debug(
                'request cut short', call=call.identifier, why=repr(error)
            )
        except (HTTPException, ValueError) as error:
            raise NotSentError(f'request not sendable: {error!r}') from error

    def read_head(self, until: float) -> Head:
        """Return the answer's start, read until a time.monotonic().

        Raises SilentError or EndpointError.
        """
        try:
            self._limit(until)
            response = self._connection.getresponse()
        except TimeoutError as error:
            raise SilentError('no answer began in time') from error
        except _TRANSPORT_ERRORS as error:
            raise EndpointError(f'no answer: {error!r}') from error
        self._response = cast(_CheckedResponse, response)
        headers: Headers = tuple(response.getheaders())
        self.head = self._codec.decode_head(response.status, headers)
        if self.head.call and self.head.call != self._call.identifier:
            raise EndpointError('the answer belongs to another request')
        return self.head

    def read_body(self, until: float) -> bytes:
        """Return the rest of the answer, whole.

        Raises SilentError or EndpointError.
        """
        parts: list[bytes] = []
        while True:
            part = self.read_some(until)
            if not part:
                return b''.join(parts)
            parts.append(part)

    def read_some(self, until: float) -> bytes:
        """Return the next bytes of the answer, or b'' at its end.

        Raises SilentError, or EndpointError if the answer was cut off.
        """
        response = self._response
        assert response is not None
        try:
            self._limit(until)
            content = response.read1(READ_BYTES)
        except TimeoutError as error:
            raise SilentError('the answer stopped') from error
        except _TRANSPORT_ERRORS as error:
            raise EndpointError(f'the answer broke off: {error!r}') from error
        if content:
            return content
        if response.length:
            raise EndpointError('the answer is shorter than its length')
        if self._cancelled:
            raise EndpointError('the request was cancelled')
        self.is_complete = True
        return b''

    def cancel(self) -> None:
        """End the exchange from any thread."""
        self._cancelled = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        response = self._response
        if response is not None:
            response.abandon()
        self._connection.close()

    def release(self) -> HTTPConnection | None:
        """Return the connection if another request may use it, else close."""
        response = self._response
        is_over = self.is_complete and not self._cancelled
        if response is None or not is_over:
            self.close()
            return None
        if response.will_close or response.has_excess(self._sock):
            self.close()
            return None
        response.close()
        return self._connection

    def _limit(self, until: float) -> None:
        left = until - time.monotonic()
        if left <= 0 or self._cancelled:
            raise TimeoutError
        self._sock.settimeout(left)


class Connections:
    """Idle connections by endpoint."""

    def __init__(self, codec: Codec) -> None:
        """Start with none."""
        self._codec = codec
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[_Kept]] = {}
        #: Connections made and reused so far.
        self.made = 0
        self.reused = 0

    def open(self, record: EndpointRecord, call: Call) -> Exchange:
        """Return an exchange on a kept or new connection.

        Raises NotSentError.
        """
        connection = self._take(record)
        if connection is None:
            connection = self._connect(record)
            self.made += 1
        else:
            self.reused += 1
        return Exchange(connection, self._codec, call)

    def keep(self, record: EndpointRecord, exchange: Exchange) -> None:
        """Keep the exchange's connection if it may be used again."""
        connection = exchange.release()
        if connection is None:
            return
        head = exchange.head
        patience = IDLE_SECONDS
        if head is not None and head.keep_alive is not None:
            patience = max(0.0, head.keep_alive - CLOSE_MARGIN_SECONDS)
        until = time.monotonic() + patience
        with self._lock:
            idle = self._idle.setdefault(_make_key(record), [])
            idle.append(_Kept(connection, until))
            surplus = idle.pop(0) if len(idle) > MAX_IDLE else None
        if surplus is not None:
            surplus.connection.close()

    def drop(self, record: EndpointRecord) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            idle = self._idle.pop(_make_key(record), [])
        for kept in idle:
            kept.connection.close()

    def sweep(self) -> None:
        """Close connections that are idle for too long."""
        now = time.monotonic()
        with self._lock:
            old = [
                kept
                for idle in self._idle.values()
                for kept in idle
                if kept.until < now
            ]
            for key, idle in tuple(self._idle.items()):
                self._idle[key] = [row for row in idle if row.until >= now]
        for kept in old:
            kept.connection.close()

    def _take(self, record: EndpointRecord) -> HTTPConnection | None:
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(_make_key(record))
                if not idle:
                    return None
                kept = idle.pop()
            if kept.until > now and _is_quiet(kept.connection):
                return kept.connection
            kept.connection.close()

    def _connect(self, record: EndpointRecord) -> HTTPConnection:
        connection = HTTPConnection(
            record.host, record.port, timeout=CONNECT_SECONDS
        )
        connection.response_class = _CheckedResponse
        try:
            connection.connect()
        except OSError as error:
            raise NotSentError(
                f'endpoint "{record.identifier}" is not reachable: {error!r}'
            ) from error
        _set_options(connection.sock)
        return connection


def _set_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
    except OSError:
        return


def _is_quiet(connection: HTTPConnection) -> bool:
    """Return True if nothing arrived on an idle connection."""
    sock = connection.sock
    if sock is None:
        return False
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
