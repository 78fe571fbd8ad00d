"""Naive router: the best version always, round robin, retry at once.

Run as `python -m bench.router --port PORT`. `POST /routes` sets its engines
and the share in percent of each version. It relays to engines directly and
knows no windows, priorities, zones or ratings; `GET /counts` tells how many
tries it made.
"""

import itertools
import json
import random
import threading
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, Final

from standins.serving import Request, parse_port, serve, wait_forever

MAX_TRIES: Final = 6
TIMEOUT_SECONDS: Final = 10
READ_BYTES: Final = 65536
DONE_EVENT: Final = b'data: [DONE]\n\n'


class Router:
    """Sends each request to the next engine in turn."""

    def __init__(self, seed: int) -> None:
        """Start without engines."""
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._turns: Iterator[str] = iter(())
        self._shares: dict[str, float] = {}
        self._tries = 0

    def route(self, request: Request) -> None:
        """Answer one request."""
        if request.path == '/routes':
            body = request.json()
            with self._lock:
                self._turns = itertools.cycle(body['engines'])
                self._shares = body['shares']
            request.reply({})
        elif request.path == '/counts':
            request.reply({'tries': self._tries})
        else:
            self._relay(request)

    def _relay(self, request: Request) -> None:
        body = {**request.json(), 'model': self._choose()}
        for _ in range(MAX_TRIES):
            engine = self._take()
            connection = HTTPConnection(engine, timeout=TIMEOUT_SECONDS)
            try:
                response = self._ask(connection, body)
                if response is not None and self._pass_on(request, response):
                    return
            except (OSError, HTTPException):
                continue
            finally:
                connection.close()
        request.reply({'error': 'no engine answered'}, 503)

    def _choose(self) -> str:
        versions = list(self._shares)
        weights = list(self._shares.values())
        return self._random.choices(versions, weights)[0]

    def _take(self) -> str:
        with self._lock:
            self._tries += 1
            return next(self._turns)

    def _ask(
        self,
        connection: HTTPConnection,
        body: dict[str, Any],
    ) -> HTTPResponse | None:
        """Return an engine's answer if it may be passed on."""
        sent = {'Content-Type': 'application/json'}
        payload = json.dumps(body).encode()
        connection.request('POST', '/v1/chat/completions', payload, sent)
        response = connection.getresponse()
        return response if response.status == 200 else None

    def _pass_on(self, request: Request, response: HTTPResponse) -> bool:
        """Relay a stream; False if it broke before its first byte."""
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
    """Run the router."""
    options = parse_port('The naive router.', seed=1)
    serve(options.port, Router(options.seed).route)
    wait_forever()


if __name__ == '__main__':
    main()
