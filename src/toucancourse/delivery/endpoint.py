"""HTTP calls to the endpoint beside this sidecar."""

import json
import socket
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

from ..errors import EndpointError, UnavailableError, UnknownOutcomeError
from ..protocol import peer_pb2

READ_BYTES: Final = 65536
EVENT_END: Final = b'\n\n'
DONE_EVENT: Final = b'data: [DONE]'
USAGE_MARK: Final = b'"usage"'
#: Methods whose requests state their length even without a body.
METHODS_WITH_BODY: Final = frozenset(('PATCH', 'POST', 'PUT'))


class Reply(NamedTuple):
    """Status and content type of the endpoint's answer."""

    status: int
    content_type: str
    stream_id: str


class EndpointCall:
    """One HTTP exchange with the endpoint."""

    def __init__(self, url: str, timeout: float) -> None:
        """Keep the endpoint's address and the socket timeout in seconds."""
        parts = urlsplit(url)
        self._connection = HTTPConnection(
            parts.hostname or '', parts.port, timeout=timeout
        )
        self._response: HTTPResponse | None = None
        #: Last byte of the body, or b'' if the headers are to be ended.
        self._rest = b''

    def connect(self) -> None:
        """Open the connection; no byte of the request is sent.

        Raises UnavailableError.
        """
        try:
            self._connection.connect()
        except OSError as error:
            raise UnavailableError(
                f'the endpoint refused the connection: {error}'
            ) from error
        sock = self._connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def begin(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Send all of the request but its last part.

        An endpoint runs no request that it has in part only. Raises
        UnavailableError.
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
            raise UnavailableError(
                f'the request was not sent to the endpoint: {error}'
            ) from error
        self._rest = body[-1:]

    def finish(self) -> None:
        """Send the last part of the request: from here on it may run.

        Raises UnknownOutcomeError.
        """
        try:
            if self._rest:
                self._connection.send(self._rest)
            else:
                self._connection.endheaders()
        except (OSError, HTTPException) as error:
            raise _make_loss(error) from error

    def receive(self) -> Reply:
        """Return the head of the answer.

        Raises UnknownOutcomeError if none came.
        """
        try:
            self._response = self._connection.getresponse()
        except (OSError, HTTPException) as error:
            raise _make_loss(error) from error
        head = self._response
        return Reply(
            head.status,
            head.getheader('Content-Type', 'application/json'),
            head.getheader('X-Stream-Id', ''),
        )

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises EndpointError if the connection breaks before its end.
        """
        assert self._response is not None
        while True:
            try:
                data = self._response.read1(READ_BYTES)
            except (OSError, HTTPException, ValueError) as error:
                raise EndpointError(
                    f"the endpoint's answer broke off: {error}"
                ) from error
            if not data:
                return
            yield data

    def abort(self) -> None:
        """Break the connection from another thread."""
        sock = self._connection.sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class EventStream:
    """Splits a stream of server-sent events and takes the usage out."""

    def __init__(self, *, keep_usage: bool) -> None:
        """Keep whether the caller asked for the usage event."""
        self._keep_usage = keep_usage
        self._rest = b''
        self.usage: peer_pb2.Usage | None = None
        self.events = 0
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that may be passed on."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b''
        end += len(EVENT_END)
        self._rest = data[end:]
        whole = data[:end]
        if USAGE_MARK in whole or DONE_EVENT in whole:
            return b''.join(self._inspect(whole))
        self.events += whole.count(EVENT_END)
        return whole

    def _inspect(self, whole: bytes) -> Iterator[bytes]:
        for event in whole.split(EVENT_END)[:-1]:
            if event.startswith(DONE_EVENT):
                self.done = True
            else:
                self.events += 1
            usage = read_usage(event.removeprefix(b'data: '))
            if usage is not None:
                self.usage = usage
                if not self._keep_usage:
                    continue
            yield event + EVENT_END


def read_usage(body: bytes) -> peer_pb2.Usage | None:
    """Return the usage that a JSON body reports, or None."""
    if USAGE_MARK not in body:
        return None
    try:
        usage = json.loads(body).get('usage')
    except (ValueError, AttributeError):
        return None
    if not isinstance(usage, dict):
        return None
    details = usage.get('prompt_tokens_details') or {}
    return peer_pb2.Usage(
        prompt_tokens=_count(usage, 'prompt_tokens'),
        completion_tokens=_count(usage, 'completion_tokens'),
        cached_tokens=_count(details, 'cached_tokens'),
    )


def _make_loss(error: Exception) -> UnknownOutcomeError:
    return UnknownOutcomeError(f"the endpoint's answer was lost: {error}")


def _count(usage: dict[str, Any], key: str) -> int:
    number = usage.get(key)
    return number if isinstance(number, int) and number >= 0 else 0
