"""Emulates a plain service: jobs, bookings, refunds and stock."""

import itertools
import json
import threading
import time

from .serving import Journal, Request, parse_port, serve, wait_forever


class Service:
    """Executes requests and records them in a journal."""

    def __init__(self) -> None:
        """Create a service without faults."""
        self._journal = Journal()
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._delay = 0.0
        self._lose_replies = 0

    def route(self, request: Request) -> None:
        """Handle a request of a caller or a control request of a test."""
        if request.path == '/journal':
            request.reply({'rows': self._journal.rows()})
        elif request.path == '/fault':
            self._set_fault(request)
        else:
            self._execute(request)

    def _execute(self, request: Request) -> None:
        text = request.body.decode(errors='replace')
        number = next(self._numbers)
        self._journal.add(
            number=number, method=request.method, path=request.path, body=text
        )
        if self._delay:
            time.sleep(self._delay)
        with self._lock:
            lost = self._lose_replies > 0
            self._lose_replies -= lost
        if lost:
            request.drop()
            return
        try:
            received = json.loads(text or 'null')
        except ValueError:
            received = text
        request.reply(
            {'number': number, 'path': request.path, 'received': received},
            201 if request.method == 'POST' else 200,
        )

    def _set_fault(self, request: Request) -> None:
        fault = request.json()
        self._delay = fault.get('delay_seconds', self._delay)
        self._lose_replies = fault.get('lose_replies', self._lose_replies)
        request.reply({})


def main() -> None:
    """Run the service."""
    options = parse_port('A plain service.')
    serve(options.port, Service().route)
    wait_forever()


if __name__ == '__main__':
    main()
