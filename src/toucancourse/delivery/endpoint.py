"""HTTP client for the endpoint beside this sidecar."""

import json
import socket
from collections.abc import Iterator
from http.client import HTTPException
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

from ..errors import EndpointError, UnavailableError, UnknownOutcomeError
from ..interfaces.responses import CheckedConnection, CheckedResponse
from ..interfaces.restarts import holds_status_line, may_hold_response
from ..protocol import peer_pb2

MAX_READ_BYTES: Final = 65536
EVENT_END: Final = b'\n\n'
DONE_EVENT: Final = b'data: [DONE]'
JSON_TYPE: Final = 'application/json'
USAGE_KEY: Final = b'"usage"'
#: Methods whose requests have a Content-Length even without a body.
METHODS_WITH_BODY: Final = frozenset(('PATCH', 'POST', 'PUT'))


class ResponseHead(NamedTuple):
    """Status and headers of the endpoint's response.

    stream_id is empty if the stream can't be resumed.
    """

    status: int
    content_type: str
    stream_id: str


class EndpointCall:
    """One HTTP exchange with the endpoint."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a call; timeout is the socket timeout in seconds."""
        parts = urlsplit(url)
        self._connection = CheckedConnection(
            parts.hostname or '', parts.port, timeout=timeout
        )
        # The connection drops its socket if the response will end with it.
        self._sock: socket.socket | None = None
        self._response: CheckedResponse | None = None
        self._is_aborted = False
        #: Last byte of the body, or b'' if only the end of the headers is
        #: unsent.
        self._unsent = b''

    def connect(self) -> None:
        """Open the connection without sending anything.

        Raises UnavailableError if the endpoint can't be reached.
        """
        try:
            self._connection.connect()
        except OSError as error:
            raise UnavailableError(
                f'connecting to the endpoint failed: {error}'
            ) from error
        self._sock = self._connection.sock
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start_request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Send the request except its last part.

        An endpoint does not run a request that it received only in part, so a
        failure here is safe to retry. Raises UnavailableError, or
        UnknownOutcomeError if the endpoint has answered already.
        """
        connection = self._connection
        try:
            connection.putrequest(method, path)
            for name, value in headers.items():
                connection.putheader(name, value)
            if body or method in METHODS_WITH_BODY:
                connection.putheader('Content-Length', str(len(body)))
            if body:
                connection.endheaders(body[:-1] or None)
        except (OSError, HTTPException) as error:
            if connection.peek_unread():
                raise _make_lost_error(error) from error
            raise UnavailableError(
                f'sending the request to the endpoint failed: {error}'
            ) from error
        self._unsent = body[-1:]

    def finish_request(self) -> None:
        """Send the last part of the request; from here on it may run.

        Raises UnknownOutcomeError if sending fails.
        """
        try:
            if self._unsent:
                self._connection.send(self._unsent)
            else:
                self._connection.endheaders()
        except (OSError, HTTPException) as error:
            raise _make_lost_error(error) from error

    def receive_head(self) -> ResponseHead:
        """Wait for the response head and return it.

        Raises UnknownOutcomeError if none is received.
        """
        try:
            self._response = self._connection.getresponse()
        except (OSError, HTTPException) as error:
            raise _make_lost_error(error) from error
        head = self._response
        return ResponseHead(
            head.status,
            head.getheader('Content-Type', 'application/json'),
            head.getheader('X-Stream-Id', ''),
        )

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the response body as it arrives.

        Raises EndpointError if the connection breaks before its end, or if
        only an abort ended it.
        """
        assert self._response is not None
        while True:
            try:
                data = self._response.read1(MAX_READ_BYTES)
            except (OSError, HTTPException, ValueError) as error:
                raise EndpointError(
                    f"the endpoint's response was interrupted: {error}"
                ) from error
            if not data:
                break
            yield data
        if self._is_aborted and self._response.ends_with_connection():
            raise EndpointError('the request was cancelled')

    def read_body(self) -> bytes:
        """Return the whole response body.

        Raises EndpointError as read_chunks() does, and if another response
        began in a JSON body. Bodies of other types may quote responses.
        """
        assert self._response is not None
        body = b''.join(self.read_chunks())
        content_type = self._response.getheader('Content-Type', '')
        if not content_type.startswith(JSON_TYPE):
            return body
        if may_hold_response(body) and not _is_json(body):
            raise _make_restart_error()
        return body

    def abort(self) -> None:
        """Shut the socket down; another thread may be using the call."""
        self._is_aborted = True
        if self._sock is None:
            return
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class EventStreamParser:
    """Splits a stream of server-sent events and extracts the usage."""

    def __init__(self, *, keep_usage: bool) -> None:
        """Create a parser; keep_usage passes the usage event on as well."""
        self._keep_usage = keep_usage
        self._buffer = b''
        self.usage: peer_pb2.Usage | None = None
        self.event_count = 0
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that are to be forwarded.

        The beginning of an incomplete event is buffered; data after the last
        event are dropped. Raises EndpointError if another response began.
        """
        if self.done:
            return b''
        data = self._buffer + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._buffer = data
            return b''
        end += len(EVENT_END)
        self._buffer = data[end:]
        complete = data[:end]
        if holds_status_line(complete):
            raise _make_restart_error()
        if USAGE_KEY in complete or DONE_EVENT in complete:
            return b''.join(self._process_events(complete))
        self.event_count += complete.count(EVENT_END)
        return complete

    def drop_incomplete(self) -> None:
        """Drop a buffered event, which a resumed stream sends again."""
        self._buffer = b''

    def _process_events(self, complete: bytes) -> Iterator[bytes]:
        for event in complete.split(EVENT_END)[:-1]:
            if self.done:
                return
            if event.startswith(DONE_EVENT):
                self.done = True
            else:
                self.event_count += 1
            usage = read_usage(event.removeprefix(b'data: '))
            if usage is not None:
                self.usage = usage
                if not self._keep_usage:
                    continue
            yield event + EVENT_END


def read_usage(body: bytes) -> peer_pb2.Usage | None:
    """Return the token usage in a JSON body, or None if it has none."""
    if USAGE_KEY not in body:
        return None
    try:
        usage = json.loads(body).get('usage')
    except (ValueError, AttributeError):
        return None
    if not isinstance(usage, dict):
        return None
    details = usage.get('prompt_tokens_details') or {}
    return peer_pb2.Usage(
        prompt_tokens=_read_count(usage, 'prompt_tokens'),
        completion_tokens=_read_count(usage, 'completion_tokens'),
        cached_tokens=_read_count(details, 'cached_tokens'),
    )


def _make_lost_error(error: Exception) -> UnknownOutcomeError:
    return UnknownOutcomeError(f"the endpoint's response was lost: {error}")


def _make_restart_error() -> EndpointError:
    return EndpointError("the endpoint's response broke off and began again")


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def _read_count(usage: dict[str, Any], key: str) -> int:
    number = usage.get(key)
    return number if isinstance(number, int) and number >= 0 else 0
