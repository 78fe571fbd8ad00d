"""Stand-in for a plain service: jobs, bookings, refunds and stock."""

import itertools
import json
import threading
import time

from .serving import Call, Journal, parse_port, serve, wait_forever


class Service:
    """Executes calls and remembers them all."""

    def __init__(self) -> None:
        """Start with nothing executed."""
        self._journal = Journal()
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._delay = 0.0
        self._lose_replies = 0

    def route(self, call: Call) -> None:
        """Answer one request."""
        if call.path == '/journal':
            call.reply({'rows': self._journal.rows()})
        elif call.path == '/fault':
            self._set_fault(call)
        else:
            self._execute(call)

    def _execute(self, call: Call) -> None:
        text = call.raw.decode(errors='replace')
        number = next(self._numbers)
        self._journal.add(
            number=number, method=call.method, path=call.path, body=text
        )
        if self._delay:
            time.sleep(self._delay)
        with self._lock:
            lost = self._lose_replies > 0
            self._lose_replies -= lost
        if lost:
            call.drop()
            return
        try:
            echoed = json.loads(text or 'null')
        except ValueError:
            echoed = text
        call.reply(
            {'number': number, 'path': call.path, 'received': echoed},
            201 if call.method == 'POST' else 200,
        )

    def _set_fault(self, call: Call) -> None:
        fault = call.json()
        self._delay = fault.get('delay_seconds', self._delay)
        self._lose_replies = fault.get('lose_replies', self._lose_replies)
        call.reply({})


def main() -> None:
    """Run the service stand-in."""
    options = parse_port('A plain service.')
    serve(options.port, Service().route)
    wait_forever()


if __name__ == '__main__':
    main()
