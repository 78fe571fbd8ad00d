"""A TCP proxy that injects faults between two processes."""

import random
import resource
import socket
import threading
import time
from fnmatch import fnmatch
from typing import Any

from .serving import Call, parse_port, serve, wait_forever

READ_BYTES = 65536
SLICE_SECONDS = 0.05


class Route:
    """One listening address, its target and its present fault."""

    def __init__(self, listen: int, target: str, seed: int) -> None:
        """Listen at once."""
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        #: 'none', 'cut', 'refuse', 'freeze', 'lose_replies' or 'delay'.
        self.mode = 'none'
        #: Upper bound of the delay of one connection, in seconds.
        self.delay = 0.0
        self.bytes = 0
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.port = listen
        self._open()

    def set(self, mode: str, delay: float) -> None:
        """Change the fault; 'cut' and 'refuse' break open connections."""
        with self._lock:
            self._set(mode, delay)

    def _set(self, mode: str, delay: float) -> None:
        before = self.mode
        self.mode = mode
        self.delay = delay
        if mode in {'cut', 'refuse'}:
            for pair in list(self._pairs):
                self._close(pair)
        if mode == 'refuse' != before:
            self._server.shutdown(socket.SHUT_RDWR)
            self._server.close()
        elif before == 'refuse' != mode:
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
        for wire in (client, server):
            wire.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._pairs.add(pair)
        # Connections get delays of their own, so their messages cross.
        delay = self._random.uniform(0, 1)
        for source, sink, is_reply in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self._copy,
                args=(pair, source, sink, is_reply, delay),
                daemon=True,
            ).start()

    def _copy(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
        is_reply: bool,
        share: float,
    ) -> None:
        try:
            while True:
                data = source.recv(READ_BYTES)
                while self.mode == 'freeze':
                    time.sleep(SLICE_SECONDS)
                if not data:
                    break
                if self.mode == 'delay':
                    time.sleep(self.delay * share)
                if self.mode == 'lose_replies' and is_reply:
                    break
                self.bytes += len(data)
                sink.sendall(data)
        except (OSError, ValueError):
            pass
        self._close(pair)

    def _close(self, pair: tuple[socket.socket, socket.socket]) -> None:
        self._pairs.discard(pair)
        for wire in pair:
            try:
                wire.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            wire.close()


class Proxy:
    """All routes of one proxy process."""

    def __init__(self) -> None:
        """Start with no routes."""
        self._routes: dict[str, Route] = {}

    def route(self, call: Call) -> None:
        """Answer one control request."""
        body: Any = call.json()
        if call.path == '/routes':
            self._routes[body['name']] = Route(
                body['listen'], body['target'], len(self._routes)
            )
        elif call.path == '/fault':
            for name, route in self._routes.items():
                if fnmatch(name, body['name']):
                    route.set(body['mode'], body.get('delay', 0.0))
        elif call.path == '/counts':
            counts = {name: row.bytes for name, row in self._routes.items()}
            call.reply(counts)
            return
        call.reply({})


def main() -> None:
    """Run the proxy."""
    options = parse_port('A fault-injecting TCP proxy.')
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    serve(options.port, Proxy().route)
    wait_forever()


if __name__ == '__main__':
    main()
