"""How much work an endpoint may carry, learnt from its first tokens."""

import bisect
import itertools
import threading
import time
from typing import Final, NamedTuple

from ..errors import UnavailableError

#: Requests that any endpoint bears while cold.
COLD_WINDOW: Final = 1


class FullError(UnavailableError):
    """The endpoint carries as much as it may."""

    code = 'endpoint_full'


class _Ticket(NamedTuple):
    """A place in the queue; lower sorts first."""

    rank: int
    number: int


class Window:
    """A concurrency limit that starts at one and grows with good answers.

    More than COLD_WINDOW requests run only while tokens keep arriving: an
    endpoint that turned cold without notice stops producing before it is sent
    more work.
    """

    def __init__(
        self,
        slots: int,
        first_token_seconds: float,
        proof_seconds: float,
    ) -> None:
        """Keep the limits; the window starts cold."""
        self._changed = threading.Condition()
        self._slots = slots
        self._first_token = first_token_seconds
        self._proof_seconds = proof_seconds
        self._window = COLD_WINDOW
        self._running = 0
        self._queue: list[_Ticket] = []
        self._tickets = itertools.count()
        self._last_token = float('-inf')

    @property
    def running(self) -> int:
        """Return the requests now at the endpoint."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the requests now waiting for the window."""
        return len(self._queue)

    @property
    def size(self) -> int:
        """Return the present limit."""
        return self._window

    def is_cold(self) -> bool:
        """Return True while the endpoint has not shown that it is warm."""
        return self._window == COLD_WINDOW

    def free(self) -> int:
        """Return how many more requests the window admits."""
        return max(0, self._window - self._running - len(self._queue))

    def acquire(self, timeout: float, priority: int = 0) -> None:
        """Take a place, waiting for one behind higher priorities.

        Raises FullError if none came free in time, or if the queue is full
        and holds nothing of a lower priority.
        """
        deadline = time.monotonic() + timeout
        with self._changed:
            ticket = _Ticket(-priority, next(self._tickets))
            self._join(ticket)
            try:
                self._await_place(ticket, deadline)
            finally:
                if ticket in self._queue:
                    self._queue.remove(ticket)
                self._changed.notify_all()
            self._running += 1

    def release(self) -> None:
        """Give a place back."""
        with self._changed:
            self._running -= 1
            self._changed.notify_all()

    def note_token(self) -> None:
        """Take a token as proof that the endpoint is working."""
        now = time.monotonic()
        stalled = now - self._last_token > self._proof_seconds
        self._last_token = now
        if stalled and self._queue:
            with self._changed:
                self._changed.notify_all()

    def note_first_token(self, seconds: float) -> None:
        """Grow the window if the first token came in time, else collapse."""
        with self._changed:
            if seconds > self._first_token:
                self._window = COLD_WINDOW
                return
            self._last_token = time.monotonic()
            self._window = min(self._slots, self._window + 1)
            self._changed.notify_all()

    def note_failure(self) -> None:
        """Collapse the window after a sign that the endpoint is cold."""
        with self._changed:
            self._window = COLD_WINDOW
            self._last_token = float('-inf')

    def _join(self, ticket: '_Ticket') -> None:
        if len(self._queue) >= self._slots:
            lowest = self._queue[-1]
            if ticket > lowest:
                raise FullError("the endpoint's queue is full")
            # Its waiter finds its ticket gone and gives up.
            self._queue.remove(lowest)
            self._changed.notify_all()
        bisect.insort(self._queue, ticket)

    def _await_place(self, ticket: '_Ticket', deadline: float) -> None:
        while True:
            if ticket not in self._queue:
                raise FullError('the request was shed for a higher priority')
            if self._queue[0] == ticket and self._has_place():
                return
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise FullError(
                    f'the endpoint runs {self._running} of {self._window}'
                )
            # A stalled endpoint frees no place by itself, so look again.
            self._changed.wait(min(remaining, self._proof_seconds))

    def _has_place(self) -> bool:
        if self._running < COLD_WINDOW:
            return True
        quiet = time.monotonic() - self._last_token
        return self._running < self._window and quiet <= self._proof_seconds
