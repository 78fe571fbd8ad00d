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
from typing import Any, Final, NamedTuple

from loguru import logger
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from ..forwarding.messages import RawRequest
from ..forwarding.responses import ResponseWriter
from .channels import IngressChannel

#: How often idle connections are looked at, in seconds.
CLEANUP_SECONDS: Final = 2
#: Unsent bytes of one caller at which its endpoint is no longer read.
HIGH_WATERMARK: Final = 262_144
#: Added to the idle time that operators state, in seconds, so that a caller
#: that stays within it never meets a closed connection.
IDLE_MARGIN: Final = 1.0
#: Stack of a request's thread; the deepest calls need far less.
STACK_BYTES: Final = 262_144

Handler = Callable[[RawRequest, ResponseWriter], None]


class IngressBounds(NamedTuple):
    """Limits of the callers' server."""

    connections: int
    threads: int
    max_header_bytes: int
    max_body_bytes: int


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


class IngressServer(TcpWSGIServer):
    """Accepts callers."""

    channel_class = IngressChannel
    active_channels: Any
    socket: Any

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
        dispatcher: Any = PoolDispatcher(bounds.threads)
        super().__init__(_refuse_wsgi, dispatcher=dispatcher, adj=adjustments)
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


def _refuse_wsgi(*_: object) -> list[bytes]:
    """Stand where waitress wants an application; the task replaces it."""
    raise NotImplementedError
