"""Waitress channels, tasks and parsers for callers' connections."""

import functools
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from loguru import logger
from waitress.channel import ClientDisconnected
from waitress.parser import ParsingError
from waitress.task import Task

from ..errors import CourseError, LeavingError
from ..forwarding.messages import RawRequest
from ..forwarding.objects import Headers
from ..forwarding.responses import CallerGoneError, ResponseWriter
from ..web.channels import BoundedChannel, BoundedParser
from ..web.messages import make_error_response

CLOSE: Final = 'close'
#: Bytes of a body that are passed to waitress at once.
WRITE_BYTES: Final = 65_536
#: Header names that are kept in both forms, and the longest of these.
CACHED_NAMES: Final = 512
CACHED_NAME_LENGTH: Final = 64


class StrictParser(BoundedParser):
    """Rejects requests with ambiguous length, against request smuggling."""

    #: True once the request was passed to a task.
    is_served = False

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the header.

        Raises ParsingError if the body's length is ambiguous.
        """
        super().parse_header(header_plus)
        if self.chunked and 'CONTENT_LENGTH' in self.headers:
            raise ParsingError(
                'request has both Content-Length and Transfer-Encoding'
            )
        if 'TRANSFER_ENCODING' in self.headers:
            raise ParsingError('Transfer-Encoding is not allowed in HTTP/1.0')

    def close(self) -> None:
        """Release the body, and log a request that nobody served."""
        super().close()
        if self.completed and not self.is_served and not self.error:
            logger.warning(
                'request dropped',
                call=self.headers.get('X_ATTEMPT_ID'),
                why='the connection closes before its turn',
            )


@functools.lru_cache(maxsize=CACHED_NAMES)
def _restore_short_name(name: str) -> str:
    return name.replace('_', '-').title()


def _restore_name(name: str) -> str:
    """Return a header's name as it is sent, of the form in which it is kept."""
    if len(name) <= CACHED_NAME_LENGTH:
        return _restore_short_name(name)
    return name.replace('_', '-').title()


class ChannelResponseWriter(ResponseWriter):
    """Writes a response to a waitress channel."""

    def __init__(self, task: 'IngressTask') -> None:
        """Create a writer for the task's request."""
        self._task = task
        self._channel: Any = task.channel

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = ('Content-Length', str(len(body)))
        head = self._make_head(status, (*headers, length))
        self._write(head + body[:WRITE_BYTES])
        # Each further write waits until the caller has read enough.
        for start in range(WRITE_BYTES, len(body), WRITE_BYTES):
            self._write(body[start : start + WRITE_BYTES])

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked response."""
        chunked = ('Transfer-Encoding', 'chunked')
        self._write(self._make_head(status, (*headers, chunked)))

    def write(self, content: bytes) -> None:
        """Send a chunk of the body at once."""
        self._write(b'%x\r\n%b\r\n' % (len(content), content))

    def finish(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Close the connection without a last chunk.

        The caller sees that the response is truncated.
        """
        self._task.close_on_finish = True

    def is_disconnected(self) -> bool:
        """Return True if the caller has closed its connection."""
        return not self._channel.connected

    def watch_disconnect(
        self, on_disconnect: Callable[[], None] | None
    ) -> None:
        """Call a function when the caller closes its connection."""
        self._channel.on_disconnect = on_disconnect

    def _write(self, content: bytes) -> None:
        self._channel.last_used = time.monotonic()
        try:
            self._channel.write_soon(content)
        except (ClientDisconnected, OSError) as error:
            raise CallerGoneError('the caller closed its connection') from error

    def _make_head(self, status: int, headers: Headers) -> bytes:
        task = self._task
        task.wrote_header = True
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = 'Status'
        lines = [f'HTTP/1.1 {status} {phrase}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if task.closes_connection():
            task.close_on_finish = True
            lines.append('Connection: close')
        return '\r\n'.join((*lines, '', '')).encode('latin-1')


class IngressTask(Task):
    """One request on a channel."""

    channel: Any
    request: Any

    def closes_connection(self) -> bool:
        """Return True if the connection is closed after this response."""
        request = self.request
        return (
            self.channel.server.is_draining
            or self.close_on_finish
            or request.version != '1.1'
            or request.headers.get('CONNECTION', '').lower() == CLOSE
        )

    def execute(self) -> None:
        """Pass the request to the handler, and errors to the caller."""
        writer = ChannelResponseWriter(self)
        server = self.channel.server
        self.request.is_served = True
        try:
            if server.is_closed:
                raise LeavingError('the instance is shutting down')
            server.handler(self._read_request(), writer)
        except CallerGoneError:
            self.close_on_finish = True
        except CourseError as error:
            self._send_error(error, writer)

    def finish(self) -> None:
        """Do nothing: the handler has completed the response."""

    def _read_request(self) -> RawRequest:
        request = self.request
        headers = tuple(
            (_restore_name(name), text)
            for name, text in request.headers.items()
        )
        target = request.request_uri
        if not target.startswith('/'):
            query = f'?{request.query}' if request.query else ''
            target = f'{request.path}{query}'
        body = request.get_body_stream().read()
        return RawRequest(
            request.command, target, headers, body, time.monotonic()
        )

    def _send_error(
        self, error: CourseError, writer: ChannelResponseWriter
    ) -> None:
        if self.wrote_header:
            self.close_on_finish = True
            return
        response = make_error_response(error)
        content_type = ('Content-Type', response.content_type)
        if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # Closed so that the caller's retry can reach another instance.
            self.close_on_finish = True
        try:
            writer.send(
                response.status,
                (content_type, *response.headers),
                response.body,
            )
        except CallerGoneError:
            self.close_on_finish = True


class IngressChannel(BoundedChannel):
    """A caller's connection that reports when it is closed."""

    task_class: Any = IngressTask
    parser_class = StrictParser
    #: Called when the caller closes its connection.
    on_disconnect: Callable[[], None] | None = None

    def handle_read(self) -> None:
        """Read, or cancel the running request if the caller disconnected."""
        super().handle_read()
        if not self.connected:
            self._notify_disconnect()

    def handle_close(self) -> None:
        """Close the connection and cancel the running request."""
        super().handle_close()
        self._notify_disconnect()

    def is_busy(self) -> bool:
        """Return True while a request is received, served or answered."""
        return self.has_requests() or self.has_output()

    def _notify_disconnect(self) -> None:
        on_disconnect = self.on_disconnect
        if on_disconnect is not None:
            self.on_disconnect = None
            on_disconnect()
