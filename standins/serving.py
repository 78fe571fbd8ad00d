"""A threaded HTTP server for the emulated systems."""

import argparse
import json
import socket
import threading
import time
import zlib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class Request:
    """An HTTP request and the means to respond to it."""

    def __init__(self, handler: BaseHTTPRequestHandler) -> None:
        """Read the body; raises ConnectionError if it is incomplete."""
        parts = urlsplit(handler.path)
        self.handler = handler
        #: Sent with each JSON response.
        self.added_headers: dict[str, str] = {}
        self.method = handler.command
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        length = int(handler.headers.get('Content-Length') or 0)
        self.body = handler.rfile.read(length)
        if len(self.body) < length:
            raise ConnectionError(
                'connection closed before the end of the request body'
            )

    def json(self) -> Any:
        """Return the body decoded from JSON, or {} if it is empty."""
        return json.loads(self.body or b'{}')

    def reply(self, value: object, status: int = 200) -> None:
        """Send a JSON response."""
        body = json.dumps(value).encode()
        self.handler.send_response(status)
        self.handler.send_header('Content-Type', 'application/json')
        self.handler.send_header('Content-Length', str(len(body)))
        for name, text in self.added_headers.items():
            self.handler.send_header(name, text)
        self.handler.end_headers()
        self.handler.wfile.write(body)

    def reply_with_etag(self, value: object) -> None:
        """Send a JSON response with an ETag, or 304 if the client has it."""
        body = json.dumps(value).encode()
        tag = f'"{zlib.crc32(body):x}"'
        is_unchanged = self.handler.headers.get('If-None-Match') == tag
        sent = b'' if is_unchanged else body
        self.handler.send_response(304 if is_unchanged else 200)
        self.handler.send_header('ETag', tag)
        self.handler.send_header('Content-Length', str(len(sent)))
        self.handler.end_headers()
        self.handler.wfile.write(sent)

    def drop(self) -> None:
        """Close the connection without a response, or in the middle of one."""
        self.handler.close_connection = True


class Journal:
    """The requests that an emulated system executed, in order."""

    def __init__(self) -> None:
        """Create an empty journal."""
        self._lock = threading.Lock()
        self._rows: list[dict[str, Any]] = []

    def add(self, **row: Any) -> dict[str, Any]:
        """Append a row and return it; its outcome can be set later."""
        row['at'] = time.time()
        with self._lock:
            self._rows.append(row)
        return row

    def rows(self) -> list[dict[str, Any]]:
        """Return a copy of all rows."""
        with self._lock:
            return [dict(row) for row in self._rows]


class EmulatedServer(ThreadingHTTPServer):
    """Serves each connection in a thread, and may crash."""

    request_queue_size = 1024
    daemon_threads = True

    def __init__(self, *arguments: Any) -> None:
        """Create it without connections."""
        self._open: set[Any] = set()
        super().__init__(*arguments)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    def crash(self) -> None:
        """Close the listener, then all connections, as a killed process."""
        self.shutdown()
        self.server_close()
        for connection in tuple(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle_error(self, *arguments: object) -> None:
        """Ignore errors of connections that clients close."""


def serve(
    port: int,
    route: Callable[[Request], None],
    before_body: Callable[[], None] | None = None,
) -> EmulatedServer:
    """Start a server on loopback and return it.

    Each connection has a thread; `before_body` is called before the body of a
    request is read.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_any(self) -> None:
            try:
                if before_body is not None:
                    before_body()
                route(Request(self))
                self.wfile.flush()
            except (ConnectionError, ValueError):
                self.close_connection = True

        do_GET = do_POST = do_PUT = do_DELETE = do_any  # noqa: N815

        def log_message(self, *arguments: object) -> None:
            """Write no access log."""

    server = EmulatedServer(('127.0.0.1', port), Handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


def parse_port(description: str, **options: Any) -> argparse.Namespace:
    """Parse the command line: --port and options with their defaults."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, required=True)
    for name, default in options.items():
        flag = '--' + name.replace('_', '-')
        parser.add_argument(flag, type=type(default), default=default)
    return parser.parse_args()


def wait_forever() -> None:
    """Block until the process ends."""
    threading.Event().wait()
