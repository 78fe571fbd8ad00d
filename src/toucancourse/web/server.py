"""HTTP server that runs waitress in a thread."""

import threading
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from waitress.server import BaseWSGIServer, create_server

from .channels import BoundedChannel, ChannelCare
from .intake import IntakeLimits
from .writers import MAX_UNSENT_BYTES

#: The largest bodies that all requests of a server may hold at least.
HELD_BODIES: Final = 4
Application = Callable[..., Iterable[bytes]]

MAX_HEADER_BYTES: Final = 32768
#: Connections beyond the number of threads; they wait for a free thread.
MAX_QUEUED_CONNECTIONS: Final = 200


class ServerLimits(NamedTuple):
    """Limits of one server; idle connections are closed after idle_seconds.

    held_bytes is the memory of all requests on each address; it is at least
    that of a few of the largest bodies.
    """

    threads: int
    max_body_bytes: int
    idle_seconds: int
    held_bytes: int = 4_194_304
    #: Copies of a whole body while it is served, the received one included.
    body_copies: int = 2


class Server:
    """One waitress server in its own thread."""

    def __init__(
        self,
        application: Application,
        addresses: tuple[str, ...],
        limits: ServerLimits,
    ) -> None:
        """Bind the addresses; start() serves."""
        self._server: Any = create_server(
            application,
            listen=' '.join(addresses),
            threads=limits.threads,
            connection_limit=limits.threads + MAX_QUEUED_CONNECTIONS,
            asyncore_use_poll=True,
            channel_timeout=limits.idle_seconds,
            cleanup_interval=max(1, limits.idle_seconds // 4),
            max_request_body_size=limits.max_body_bytes + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            # Instances have no disks: these thresholds keep waitress from
            # buffering bodies in temporary files.
            inbuf_overflow=limits.max_body_bytes * 2,
            outbuf_overflow=MAX_UNSENT_BYTES * 8,
            channel_request_lookahead=1,
            ident=None,
            clear_untrusted_proxy_headers=True,
            backlog=1024,
        )
        for listener in _list_listeners(self._server):
            _bound_channels(listener, limits)
        self._thread = threading.Thread(
            target=self._run, name=f'http {addresses[0]}', daemon=True
        )

    def start(self) -> None:
        """Serve in a thread."""
        self._thread.start()

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones stay."""
        self._server.accepting = False
        self._server.del_channel()
        listener = self._server.socket
        if listener is not None:
            listener.close()

    def _run(self) -> None:
        self._server.run()


def is_disconnected(environ: Any) -> bool:
    """Return True if the caller has closed its connection."""
    check = environ.get('waitress.client_disconnected')
    return bool(check and check())


def _list_listeners(server: Any) -> list[Any]:
    """Return the listeners of a server with one or several addresses."""
    sockets = getattr(server, 'map', None) or server._map
    return [one for one in sockets.values() if isinstance(one, BaseWSGIServer)]


def _bound_channels(listener: Any, limits: ServerLimits) -> None:
    """Let the channels of a listener share a bounded memory."""
    held_bytes = max(limits.held_bytes, limits.max_body_bytes * HELD_BODIES)
    unfinished = limits.threads + MAX_QUEUED_CONNECTIONS // 2
    address = f'{listener.effective_host}:{listener.effective_port}'
    tasks = listener.task_dispatcher.queue
    care = ChannelCare(
        IntakeLimits(held_bytes, unfinished), address, lambda: len(tasks)
    )
    listener.channel_class = BoundedChannel
    listener.body_copies = limits.body_copies
    listener.intake = care.intake
    listener.refusals = care.refusals
    maintain = listener.maintenance

    def check(now: float) -> None:
        maintain(now)
        care.check(tuple(listener.active_channels.values()))

    listener.maintenance = check
