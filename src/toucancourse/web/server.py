"""HTTP servers on waitress."""

import threading
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from waitress.server import create_server

from .writers import MAX_BACKLOG_BYTES

Application = Callable[..., Iterable[bytes]]

MAX_HEADER_BYTES: Final = 32768
#: Connections beyond the threads, which wait for a thread.
EXTRA_CONNECTIONS: Final = 200


class Bounds(NamedTuple):
    """Limits of one server."""

    threads: int
    max_body_bytes: int
    idle_seconds: int


class Server:
    """One waitress server in its own thread."""

    def __init__(
        self,
        application: Application,
        addresses: tuple[str, ...],
        bounds: Bounds,
    ) -> None:
        """Bind the addresses; start() serves."""
        self._server: Any = create_server(
            application,
            listen=' '.join(addresses),
            threads=bounds.threads,
            connection_limit=bounds.threads + EXTRA_CONNECTIONS,
            asyncore_use_poll=True,
            channel_timeout=bounds.idle_seconds,
            cleanup_interval=max(1, bounds.idle_seconds // 4),
            max_request_body_size=bounds.max_body_bytes + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            # Instances have no disks, so bodies stay in memory.
            inbuf_overflow=bounds.max_body_bytes * 2,
            outbuf_overflow=MAX_BACKLOG_BYTES * 8,
            channel_request_lookahead=1,
            ident=None,
            clear_untrusted_proxy_headers=True,
            backlog=1024,
        )
        self._thread = threading.Thread(
            target=self._run, name=f'http {addresses[0]}', daemon=True
        )

    def start(self) -> None:
        """Serve in a thread."""
        self._thread.start()

    def stop_accepting(self) -> None:
        """Take no new connections."""
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
