"""Callers on kept connections, which record what they sent and got."""

import os
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple

from .fleet import HOST, KEY, Entry


class Answer(NamedTuple):
    """One request and its answer."""

    call: str
    #: time.time() of sending and of the answer's end.
    sent_at: float
    ended_at: float
    #: 0 if no answer's head came.
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    def is_own(self) -> bool:
        """Return True for a whole signed success of this request."""
        return (
            self.status == 200
            and self.is_complete
            and self.headers.get('x-server-signature') == f'signature-{self.call}'
        )


class Caller:
    """One kept connection; it is opened again when it closed."""

    def __init__(self, entry: Entry, timeout: float = 12) -> None:
        """Create it without a connection."""
        self._connection = HTTPConnection(entry.host, entry.callers, timeout=timeout)

    def send(
        self, path: str, prefix: str = '', deadline_ms: int = 10000, mark: str = ''
    ) -> Answer:
        """Send a request and return the answer."""
        call = mark + os.urandom(8).hex()
        headers = {
            'Host': HOST,
            'X-Attempt-Id': call,
            'X-Key': KEY,
            'X-Deadline-Ms': str(deadline_ms),
        }
        if prefix:
            tokens = sum(int(part.rpartition(':')[2]) for part in prefix.split(','))
            headers['X-Model'] = 'model-a'
            headers['X-Token-Usage'] = f'{tokens},60'
            headers['X-Prompt-Prefix'] = prefix
        sent_at = time.time()
        status, received, body, is_complete = 0, {}, b'', False
        try:
            self._connection.request('POST', path, b'{}', headers)
            response = self._connection.getresponse()
            status = response.status
            received = {name.lower(): text for name, text in response.getheaders()}
            body = response.read()
            is_complete = True
        except (OSError, HTTPException) as error:
            body = getattr(error, 'partial', body)
            self._connection.close()
        return Answer(call, sent_at, time.time(), status, received, body, is_complete)


def run_callers(
    count: int, work: Callable[[int], None]
) -> list[threading.Thread]:
    """Start threads that each call work with their number."""
    threads = [
        threading.Thread(target=work, args=(number,), daemon=True)
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads
