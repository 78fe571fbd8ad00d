"""Naive router: always the best version, round robin, immediate retries.

Run as `python -m bench.router --port PORT`. `POST /routes` sets its engines
and the share in percent of each version. It relays to engines directly, without
concurrency windows, priorities, zones or ratings. `GET /counts` returns the
number of attempts it made.
"""

import itertools
import json
import random
import threading
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final

from standins.serving import Request, parse_port, serve, wait_forever

MAX_ATTEMPTS: Final = 6
TIMEOUT_SECONDS: Final = 10
READ_BYTES: Final = 65536
DONE_EVENT: Final = b'data: [DONE]\n\n'


class Router:
    """Relays each request to the next engine in round-robin order."""

    def __init__(self, seed: int) -> None:
        """Create a router without engines; the seed fixes its versions."""
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._engine_cycle: Iterator[str] = iter(())
        self._shares: dict[str, float] = {}
        self._attempts = 0

    def handle(self, request: Request) -> None:
        """Handle one HTTP request."""
        if request.path == '/routes':
            body = request.json()
            with self._lock:
                self._engine_cycle = itertools.cycle(body['engines'])
                self._shares = body['shares']
            request.reply({})
        elif request.path == '/counts':
            request.reply({'tries': self._attempts})
        else:
            self._relay(request)

    def _relay(self, request: Request) -> None:
        body = {**request.json(), 'model': self._choose_version()}
        for _ in range(MAX_ATTEMPTS):
            engine = self._next_engine()
            connection = HTTPConnection(engine, timeout=TIMEOUT_SECONDS)
            try:
                response = self._send(connection, body)
                if response is not None and self._relay_response(
                    request, response
                ):
                    return
            except (OSError, HTTPException):
                continue
            finally:
                connection.close()
        request.reply({'error': 'no engine answered'}, 503)

    def _choose_version(self) -> str:
        versions = list(self._shares)
        weights = list(self._shares.values())
        return self._random.choices(versions, weights)[0]

    def _next_engine(self) -> str:
        with self._lock:
            self._attempts += 1
            return next(self._engine_cycle)

    def _send(
        self,
        connection: HTTPConnection,
        body: dict[str, Any],
    ) -> HTTPResponse | None:
        """Return an engine's response, or None if its status is not 200."""
        headers = {'Content-Type': 'application/json'}
        payload = json.dumps(body).encode()
        connection.request('POST', '/v1/chat/completions', payload, headers)
        response = connection.getresponse()
        return response if response.status == 200 else None

    def _relay_response(self, request: Request, response: HTTPResponse) -> bool:
        """Relay a stream; return False if it ended before its first byte."""
        first = response.read1(READ_BYTES)
        if not first:
            return False
        handler = request.handler
        handler.send_response(200)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Connection', 'close')
        handler.end_headers()
        data = first
        try:
            while data:
                handler.wfile.write(data)
                handler.wfile.flush()
                data = response.read1(READ_BYTES)
        except (OSError, HTTPException):
            pass
        handler.close_connection = True
        return True


def main() -> None:
    """Run the router until the process is killed."""
    options = parse_port('The naive router.', seed=1)
    serve(options.port, Router(options.seed).handle)
    wait_forever()


if __name__ == '__main__':
    main()
