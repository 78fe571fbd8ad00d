"""Serves callers on waitress and hands each request to a handler.

Requests and answers go through as they are, which WSGI does not allow: the
path stays undecoded, streams keep their connection, and headers that concern
the connection follow the state of the daemon.
"""

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from loguru import logger
from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import TcpWSGIServer
from waitress.task import Task

from ..errors import CourseError, LeavingError
from ..forwarding.messages import RawRequest
from ..forwarding.objects import Headers
from ..forwarding.replies import CallerGoneError, Reply
from .messages import make_error

#: How often idle connections are looked at, in seconds.
CLEANUP_SECONDS: Final = 2
#: Unsent bytes of one caller at which its endpoint is no longer read.
HIGH_WATERMARK: Final = 262_144
#: Added to the idle time that operators state, in seconds, so that a caller
#: that stays within it never meets a closed connection.
IDLE_MARGIN: Final = 1.0
#: Stack of a request's thread; the deepest calls need far less.
STACK_BYTES: Final = 262_144
CLOSE: Final = 'close'

Handler = Callable[[RawRequest, Reply], None]


class IngressBounds(NamedTuple):
    """Limits of the callers' server."""

    connections: int
    threads: int
    max_header_bytes: int
    max_body_bytes: int


class StrictParser(HTTPRequestParser):  # type: ignore[misc]
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


class ChannelReply(Reply):
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

    def is_gone(self) -> bool:
        """Return True if the caller closed its connection."""
        return not self._channel.connected

    def watch(self, on_gone: Callable[[], None] | None) -> None:
        """Call a function when the caller closes its connection."""
        self._channel.on_gone = on_gone

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


class IngressTask(Task):  # type: ignore[misc]
    """One request on a channel."""

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
        answer = make_error(error)
        kind = ('Content-Type', answer.content_type)
        if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # The caller's next try shall reach another instance.
            self.close_on_finish = True
        try:
            reply.send(answer.status, (kind, *answer.headers), answer.body)
        except CallerGoneError:
            self.close_on_finish = True


class IngressChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection that tells when it is closed."""

    task_class = IngressTask
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


class PoolDispatcher:
    """Runs waitress's tasks on a pool that grows as it is needed."""

    def __init__(self, threads: int) -> None:
        """Keep the largest number of threads."""
        threading.stack_size(STACK_BYTES)
        self._pool = ThreadPoolExecutor(threads, 'request')

    def add_task(self, task: Any) -> None:
        """Run a channel's next request."""
        self._pool.submit(self._run, task)

    def shutdown(self) -> None:
        """Take no more requests."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, task: Any) -> None:
        try:
            task.service()
        except Exception:
            logger.exception('request failed')
            task.cancel()


class IngressServer(TcpWSGIServer):  # type: ignore[misc]
    """Accepts callers."""

    channel_class = IngressChannel

    def __init__(
        self,
        handler: Handler,
        address: str,
        bounds: IngressBounds,
    ) -> None:
        """Bind the address; start() serves."""
        host, _, port = address.rpartition(':')
        self.handler = handler
        #: True once answers end their connections.
        self.is_draining = False
        #: True once idle connections and new ones are closed.
        self.is_closed = False
        self.idle_seconds = 60.0
        adjustments = Adjustments(
            host=host,
            port=int(port),
            connection_limit=bounds.connections,
            asyncore_use_poll=True,
            cleanup_interval=CLEANUP_SECONDS,
            max_request_body_size=bounds.max_body_bytes + 1,
            max_request_header_size=bounds.max_header_bytes,
            # Instances have no disks, so bodies stay in memory.
            inbuf_overflow=bounds.max_body_bytes * 2,
            outbuf_overflow=HIGH_WATERMARK * 8,
            outbuf_high_watermark=HIGH_WATERMARK,
            channel_request_lookahead=1,
            ident=None,
            backlog=1024,
            clear_untrusted_proxy_headers=False,
        )
        super().__init__(
            None, dispatcher=PoolDispatcher(bounds.threads), adj=adjustments
        )
        self._thread = threading.Thread(
            target=self.run, name=f'callers {address}', daemon=True
        )

    def start(self) -> None:
        """Serve in a thread."""
        self._thread.start()

    def set_socket_options(self, conn: socket.socket) -> None:
        """Send each event of a stream at once."""
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def maintenance(self, now: float) -> None:
        """Close connections that are idle for too long.

        The time of day that waitress gives may jump, so it isn't used.
        """
        horizon = time.monotonic() - self.idle_seconds - IDLE_MARGIN
        if self.is_closed:
            horizon = float('inf')
            self._stop_listening()
        for channel in tuple(self.active_channels.values()):
            if not channel.last_used:
                channel.last_used = time.monotonic()
            is_idle = not channel.requests and channel.request is None
            if is_idle and channel.last_used < horizon:
                channel.will_close = True

    def close_idle(self) -> None:
        """Close idle connections now and take no new ones.

        Called again and again until none is left, since a request may be
        running on any of them.
        """
        self.is_closed = True
        self.next_channel_cleanup = 0
        self.pull_trigger()

    def _stop_listening(self) -> None:
        if self.accepting:
            self.accepting = False
            self.del_channel()
            self.socket.close()

    def count_running(self) -> int:
        """Return the requests that are not answered yet."""
        return sum(
            len(channel.requests) > 0 or channel.request is not None
            for channel in tuple(self.active_channels.values())
        )
