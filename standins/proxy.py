"""A TCP proxy that injects network faults between processes."""

import random
import resource
import socket
import threading
import time
from fnmatch import fnmatch
from typing import Any

from .serving import Request, parse_port, serve, wait_forever

READ_BYTES = 65536
#: Polling interval while a route is frozen.
FREEZE_POLL_SECONDS = 0.05


class Route:
    """A listening port that forwards to a target, with an injected fault."""

    def __init__(self, listen: int, target: str, seed: int) -> None:
        """Start listening; `seed` is for the delays of the connections."""
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        #: 'none', 'cut' (closes connections), 'refuse' (also stops listening),
        #: 'freeze' (holds back all data), 'lose_replies' (closes a connection
        #: at its first response data) or 'delay'.
        self.mode = 'none'
        #: Upper bound of the delay of one connection, in seconds.
        self.delay = 0.0
        #: Bytes forwarded in both directions.
        self.bytes = 0
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.port = listen
        self._open()

    def set_fault(self, mode: str, delay: float) -> None:
        """Set the fault; 'cut' and 'refuse' close open connections."""
        with self._lock:
            self._apply_fault(mode, delay)

    def _apply_fault(self, mode: str, delay: float) -> None:
        old_mode = self.mode
        self.mode = mode
        self.delay = delay
        if mode in {'cut', 'refuse'}:
            for pair in list(self._pairs):
                self._close(pair)
        if mode == 'refuse' != old_mode:
            self._server.shutdown(socket.SHUT_RDWR)
            self._server.close()
        elif old_mode == 'refuse' != mode:
            self._open()

    def _open(self) -> None:
        self._server = socket.create_server(('127.0.0.1', self.port))
        threading.Thread(
            target=self._accept, args=(self._server,), daemon=True
        ).start()

    def _accept(self, server: socket.socket) -> None:
        while True:
            try:
                client, _ = server.accept()
            except OSError:
                return
            if self.mode == 'cut':
                client.close()
                continue
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target, 2)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._pairs.add(pair)
        # Each connection has its own delay, so that messages on different
        # connections are reordered.
        delay_fraction = self._random.uniform(0, 1)
        for source, sink, is_reply in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self._copy,
                args=(pair, source, sink, is_reply, delay_fraction),
                daemon=True,
            ).start()

    def _copy(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
        is_reply: bool,
        delay_fraction: float,
    ) -> None:
        try:
            while True:
                data = source.recv(READ_BYTES)
                while self.mode == 'freeze':
                    time.sleep(FREEZE_POLL_SECONDS)
                if not data:
                    break
                if self.mode == 'delay':
                    time.sleep(self.delay * delay_fraction)
                if self.mode == 'lose_replies' and is_reply:
                    break
                self.bytes += len(data)
                sink.sendall(data)
        except (OSError, ValueError):
            pass
        self._close(pair)

    def _close(self, pair: tuple[socket.socket, socket.socket]) -> None:
        self._pairs.discard(pair)
        for connection in pair:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()


class Proxy:
    """The routes of one proxy process, by name."""

    def __init__(self) -> None:
        """Create a proxy without routes."""
        self._routes: dict[str, Route] = {}

    def route(self, request: Request) -> None:
        """Handle a control request of a test."""
        body: Any = request.json()
        if request.path == '/routes':
            self._routes[body['name']] = Route(
                body['listen'], body['target'], len(self._routes)
            )
        elif request.path == '/fault':
            for name, route in self._routes.items():
                if fnmatch(name, body['name']):
                    route.set_fault(body['mode'], body.get('delay', 0.0))
        elif request.path == '/counts':
            counts = {name: route.bytes for name, route in self._routes.items()}
            request.reply(counts)
            return
        request.reply({})


def main() -> None:
    """Run the proxy."""
    options = parse_port('A fault-injecting TCP proxy.')
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    serve(options.port, Proxy().route)
    wait_forever()


if __name__ == '__main__':
    main()
