"""One caller's connection: requests in, answers out."""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import Task

from ..errors import CourseError, LeavingError
from ..forwarding.messages import RawRequest
from ..forwarding.objects import Headers
from ..forwarding.responses import CallerGoneError, ResponseWriter
from ..web.messages import make_error_response

CLOSE: Final = 'close'


class StrictParser(HTTPRequestParser):
    """Refuses requests whose length can be read in two ways."""

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the header.

        Raises ParsingError.
        """
        super().parse_header(header_plus)
        if self.chunked and 'CONTENT_LENGTH' in self.headers:
            raise ParsingError('Content-Length beside Transfer-Encoding')
        if 'TRANSFER_ENCODING' in self.headers:
            raise ParsingError('Transfer-Encoding in HTTP/1.0')


class ChannelReply(ResponseWriter):
    """Answers on a waitress channel."""

    def __init__(self, task: 'IngressTask') -> None:
        """Keep the task."""
        self._task = task
        self._channel: Any = task.channel

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = ('Content-Length', str(len(body)))
        self._write(self._make_head(status, (*headers, length)) + body)

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""
        chunked = ('Transfer-Encoding', 'chunked')
        self._write(self._make_head(status, (*headers, chunked)))

    def write(self, content: bytes) -> None:
        """Send a part of the answer at once."""
        self._write(b'%x\r\n%b\r\n' % (len(content), content))

    def finish(self) -> None:
        """End the answer as a complete one."""
        self._write(b'0\r\n\r\n')
        if self._channel.server.is_draining:
            self._task.close_on_finish = True

    def abort(self) -> None:
        """Close the connection, so that the answer shows as cut off."""
        self._task.close_on_finish = True

    def is_disconnected(self) -> bool:
        """Return True if the caller closed its connection."""
        return not self._channel.connected

    def watch_disconnect(
        self, on_disconnect: Callable[[], None] | None
    ) -> None:
        """Call a function when the caller closes its connection."""
        self._channel.on_gone = on_disconnect

    def _write(self, content: bytes) -> None:
        try:
            self._channel.write_soon(content)
        except (ClientDisconnected, OSError) as error:
            raise CallerGoneError('the caller closed it') from error

    def _make_head(self, status: int, headers: Headers) -> bytes:
        task = self._task
        task.wrote_header = True
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = 'Status'
        lines = [f'HTTP/1.1 {status} {phrase}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if task.must_close():
            task.close_on_finish = True
            lines.append('Connection: close')
        return '\r\n'.join((*lines, '', '')).encode('latin-1')


class IngressTask(Task):
    """One request on a channel."""

    channel: Any
    request: Any

    def must_close(self) -> bool:
        """Return True if the connection ends with this answer."""
        request = self.request
        return (
            self.channel.server.is_draining
            or self.close_on_finish
            or request.version != '1.1'
            or request.headers.get('CONNECTION', '').lower() == CLOSE
        )

    def execute(self) -> None:
        """Answer the request."""
        reply = ChannelReply(self)
        server = self.channel.server
        try:
            if server.is_closed:
                raise LeavingError('the instance is shutting down')
            server.handler(self._read(), reply)
        except CallerGoneError:
            self.close_on_finish = True
        except CourseError as error:
            self._refuse(error, reply)

    def finish(self) -> None:
        """Leave the answer as the handler ended it."""

    def _read(self) -> RawRequest:
        request = self.request
        headers = tuple(
            (name.replace('_', '-').title(), text)
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

    def _refuse(self, error: CourseError, reply: ChannelReply) -> None:
        if self.wrote_header:
            self.close_on_finish = True
            return
        answer = make_error_response(error)
        kind = ('Content-Type', answer.content_type)
        if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # The caller's next try shall reach another instance.
            self.close_on_finish = True
        try:
            reply.send(answer.status, (kind, *answer.headers), answer.body)
        except CallerGoneError:
            self.close_on_finish = True


class IngressChannel(HTTPChannel):
    """A caller's connection that tells when it is closed."""

    task_class: Any = IngressTask
    parser_class = StrictParser
    #: Called when the caller closes its connection.
    on_gone: Callable[[], None] | None = None
    #: time.monotonic() of the last byte in or out.
    last_used = 0.0

    def handle_read(self) -> None:
        """Read, or end the running request if the caller has left."""
        self.last_used = time.monotonic()
        super().handle_read()
        if not self.connected:
            self._tell_gone()

    def handle_close(self) -> None:
        """Close the connection and end the running request."""
        super().handle_close()
        self._tell_gone()

    def readable(self) -> bool:
        """Return True unless the caller has left."""
        return self.connected and super().readable()

    def writable(self) -> bool:
        """Return True if there is something to send, or to close."""
        if not self.connected and not self.requests:
            self.will_close = True
        return bool(super().writable())

    def service(self) -> None:
        """Answer the first request that waits."""
        super().service()
        self.last_used = time.monotonic()

    def _tell_gone(self) -> None:
        on_gone = self.on_gone
        if on_gone is not None:
            self.on_gone = None
            on_gone()
