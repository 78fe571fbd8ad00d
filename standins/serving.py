"""A small threaded HTTP server that the stand-ins share."""

import argparse
import json
import threading
import time
import zlib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class Call:
    """One request to a stand-in."""

    def __init__(self, handler: BaseHTTPRequestHandler) -> None:
        """Read the whole request."""
        parts = urlsplit(handler.path)
        self.handler = handler
        self.method = handler.command
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        length = int(handler.headers.get('Content-Length') or 0)
        self.raw = handler.rfile.read(length)
        if len(self.raw) < length:
            raise ConnectionError('the body broke off')

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.raw or b'{}')

    def reply(self, value: object, status: int = 200) -> None:
        """Send a JSON answer."""
        body = json.dumps(value).encode()
        self.handler.send_response(status)
        self.handler.send_header('Content-Type', 'application/json')
        self.handler.send_header('Content-Length', str(len(body)))
        self.handler.end_headers()
        self.handler.wfile.write(body)

    def reply_tagged(self, value: object) -> None:
        """Send a JSON answer with its tag, or that the tag still holds."""
        body = json.dumps(value).encode()
        tag = f'"{zlib.crc32(body):x}"'
        same = self.handler.headers.get('If-None-Match') == tag
        sent = b'' if same else body
        self.handler.send_response(304 if same else 200)
        self.handler.send_header('ETag', tag)
        self.handler.send_header('Content-Length', str(len(sent)))
        self.handler.end_headers()
        self.handler.wfile.write(sent)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.handler.close_connection = True


class Journal:
    """All that a stand-in executed, in order."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._rows: list[dict[str, Any]] = []

    def add(self, **row: Any) -> dict[str, Any]:
        """Append a row and return it, so that its end can be noted."""
        row['at'] = time.time()
        with self._lock:
            self._rows.append(row)
        return row

    def rows(self) -> list[dict[str, Any]]:
        """Return a copy of all rows."""
        with self._lock:
            return [dict(row) for row in self._rows]


def serve(
    port: int,
    route: Callable[[Call], None],
    await_body: Callable[[], None] | None = None,
) -> ThreadingHTTPServer:
    """Serve in threads; return the running server.

    await_body is called before the body of a request is read.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_any(self) -> None:
            try:
                if await_body is not None:
                    await_body()
                route(Call(self))
                self.wfile.flush()
            except (ConnectionError, ValueError):
                self.close_connection = True

        do_GET = do_POST = do_PUT = do_DELETE = do_any  # noqa: N815

        def log_message(self, *arguments: object) -> None:
            """Write no access log."""

    class Server(ThreadingHTTPServer):
        request_queue_size = 1024
        daemon_threads = True

        def handle_error(self, *arguments: object) -> None:
            """Ignore callers that vanish."""

    server = Server(('127.0.0.1', port), Handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


def parse_port(description: str, **options: Any) -> argparse.Namespace:
    """Return the command line: a port and options with their defaults."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, required=True)
    for name, default in options.items():
        flag = '--' + name.replace('_', '-')
        parser.add_argument(flag, type=type(default), default=default)
    return parser.parse_args()


def wait_forever() -> None:
    """Block until the process is ended."""
    threading.Event().wait()
