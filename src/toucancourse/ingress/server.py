"""Serves callers on waitress and passes each request to a handler.

Requests and responses pass unchanged, which WSGI does not allow: the path
stays undecoded, a connection is kept alive after a stream, and the Connection
header depends on whether the daemon is draining.
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
from ..web.channels import ChannelCare
from ..web.intake import IntakeLimits
from .channels import IngressChannel

#: Interval between checks for idle connections.
CLEANUP_INTERVAL_SECONDS: Final = 2
#: Unsent bytes of one caller above which its endpoint is not read further.
HIGH_WATERMARK_BYTES: Final = 262_144
#: Added to the configured idle timeout, so that a caller that reuses its
#: connection just within the timeout never finds it closed.
IDLE_MARGIN_SECONDS: Final = 1.0
#: Time after the last byte in which the caller may still send a request on a
#: connection of which no response announced that it closes.
LINGER_SECONDS: Final = 0.5
#: Bytes that all requests hold together, unless they are configured.
DEFAULT_HELD_BYTES: Final = 33_554_432
#: A whole body and the copy of it that is served.
BODY_COPIES: Final = 2
#: Share of the connections on which a request may be unfinished.
UNFINISHED_SHARE: Final = 0.75
#: Share of the connections above which silent ones are closed, and the time
#: without a request after which one is silent.
OPEN_SHARE: Final = 0.85
SILENCE_SECONDS: Final = 2.0
#: Stack size of all threads of the process that start later, also of gRPC's,
#: whose C++ code and the signal handlers on top of it are not ours to bound.
#: It is reserved; only what a thread touches takes memory.
THREAD_STACK_BYTES: Final = 1_048_576

Handler = Callable[[RawRequest, ResponseWriter], None]


class IngressLimits(NamedTuple):
    """Resource limits of the server for callers."""

    connections: int
    threads: int
    max_header_bytes: int
    max_body_bytes: int
    #: Bytes that all requests may hold together, from their first byte to the
    #: end of their answer.
    held_bytes: int = DEFAULT_HELD_BYTES


class PoolDispatcher:
    """Runs waitress's tasks on a thread pool that grows on demand."""

    def __init__(self, threads: int) -> None:
        """Create a pool of at most this many threads."""
        threading.stack_size(THREAD_STACK_BYTES)
        self._pool = ThreadPoolExecutor(threads, 'request')
        self._has_thread = False
        self._lock = threading.Lock()
        self._waiting = 0

    def add_task(self, task: Any) -> None:
        """Queue a channel's next request.

        If no further thread can be started, it waits for one that runs.
        """
        self._add_waiting(1)
        try:
            self._pool.submit(self._run, task)
        except RuntimeError as error:
            # The pool has queued the task before it starts a thread.
            if not self._has_thread:
                self._add_waiting(-1)
                raise
            logger.warning('thread not started', why=repr(error))
        self._has_thread = True

    def shutdown(self) -> None:
        """Cancel queued requests and accept no more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a thread."""
        return self._waiting

    def _add_waiting(self, number: int) -> None:
        with self._lock:
            self._waiting += number

    def _run(self, task: Any) -> None:
        self._add_waiting(-1)
        try:
            task.service()
        except Exception:
            logger.exception('request failed')
            task.cancel()


class IngressServer(TcpWSGIServer):
    """Accepts callers' connections and passes requests to a handler."""

    channel_class = IngressChannel
    body_copies = BODY_COPIES
    active_channels: Any
    socket: Any
    trigger: Any

    def __init__(
        self,
        handler: Handler,
        address: str,
        limits: IngressLimits,
        listener: socket.socket | None = None,
    ) -> None:
        """Bind the address unless a socket listens there; start() serves."""
        host, _, port = address.rpartition(':')
        self.handler = handler
        #: True once every response closes its connection.
        self.is_draining = False
        #: True once idle connections are closed and new ones not accepted.
        self.is_closed = False
        self.idle_seconds = 60.0
        self._free_from = int(limits.connections * OPEN_SHARE)
        unfinished = max(1, int(limits.connections * UNFINISHED_SHARE))
        dispatcher: Any = PoolDispatcher(limits.threads)
        self.care = ChannelCare(
            IntakeLimits(limits.held_bytes, unfinished),
            address,
            dispatcher.count_waiting,
        )
        self.intake = self.care.intake
        self.refusals = self.care.refusals
        adjustments = Adjustments(
            host=host,
            port=int(port),
            connection_limit=limits.connections,
            asyncore_use_poll=True,
            cleanup_interval=CLEANUP_INTERVAL_SECONDS,
            max_request_body_size=limits.max_body_bytes + 1,
            max_request_header_size=limits.max_header_bytes,
            # Instances have no disk, so bodies are buffered in memory.
            inbuf_overflow=limits.max_body_bytes * 2,
            outbuf_overflow=HIGH_WATERMARK_BYTES * 8,
            outbuf_high_watermark=HIGH_WATERMARK_BYTES,
            channel_request_lookahead=1,
            ident=None,
            backlog=1024,
            clear_untrusted_proxy_headers=False,
        )
        super().__init__(
            _reject_wsgi,
            _sock=listener,
            dispatcher=dispatcher,
            adj=adjustments,
            bind_socket=listener is None,
        )
        self._thread = threading.Thread(
            target=self.run, name=f'callers {address}', daemon=True
        )

    def start(self) -> None:
        """Serve in a background thread."""
        self._thread.start()

    def set_socket_options(self, conn: socket.socket) -> None:
        """Disable Nagle's algorithm, so that events are sent at once."""
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def maintenance(self, now: float) -> None:
        """Close connections that have been idle for too long.

        The argument of waitress is wall-clock time, which may jump, so the
        monotonic clock is used.
        """
        used_before = time.monotonic() - self.idle_seconds - IDLE_MARGIN_SECONDS
        for channel in tuple(self.active_channels.values()):
            # A caller that does not read its response is idle, too.
            is_idle = channel.has_output() or not channel.has_requests()
            if is_idle and channel.last_used < used_before:
                channel.will_close = True
        self.care.check(tuple(self.active_channels.values()))
        self._close_unused_surplus()

    def _close_unused_surplus(self) -> None:
        """Close connections without a request if there are many.

        Others could not connect once the limit is reached. Those that never
        sent a byte go first, then those that are idle for longest.
        """
        surplus = self.count_open() - self._free_from
        if surplus <= 0:
            return
        opened_before = time.monotonic() - SILENCE_SECONDS
        silent = [
            channel
            for channel in tuple(self.active_channels.values())
            if not channel.is_busy() and channel.last_used < opened_before
        ]
        silent.sort(key=lambda channel: (channel.was_used, channel.last_used))
        for channel in silent[:surplus]:
            channel.will_close = True
            self.refusals.add('silent')

    def close_idle(self) -> None:
        """Close idle connections now and accept no new ones.

        Must be called repeatedly until none is open, since those that are busy
        or were used just now are skipped.
        """
        self.is_closed = True
        # Runs in the thread of the connections, also without a listener.
        self.trigger.pull_trigger(self._close_unused)

    def _close_unused(self) -> None:
        self._stop_listening()
        used_before = time.monotonic() - LINGER_SECONDS
        for channel in tuple(self.active_channels.values()):
            if not channel.is_busy() and channel.last_used < used_before:
                channel.will_close = True

    def _stop_listening(self) -> None:
        """Accept the connections that wait, and no more."""
        if not self.accepting:
            return
        known = -1
        while known < self.count_open():
            known = self.count_open()
            self.handle_accept()
        self.accepting = False
        self.del_channel()
        self.socket.close()

    def count_open(self) -> int:
        """Return the number of callers' connections."""
        return len(self.active_channels)

    def count_running(self) -> int:
        """Return the number of connections with an unfinished request."""
        return sum(
            channel.is_busy()
            for channel in tuple(self.active_channels.values())
        )


def _reject_wsgi(*_: object) -> list[bytes]:
    """Placeholder for the WSGI application that waitress requires.

    Never called, since IngressTask serves the requests.
    """
    raise NotImplementedError
