"""How much work an endpoint may carry, learnt from its first tokens."""

import bisect
import itertools
import threading
import time
from typing import Final

from ..errors import UnavailableError

#: Usual pauses between tokens after which a stream counts as starved.
STARVED_PAUSES: Final = 3.0
#: Shortest pause that counts as starved, in seconds.
MIN_PROOF_SECONDS: Final = 0.06
#: Weight of the newest pause in the usual one.
PAUSE_STEP: Final = 0.05
#: Requests that any endpoint bears while cold.
COLD_WINDOW: Final = 1


class FullError(UnavailableError):
    """The endpoint carries as much as it may."""

    code = 'endpoint_full'


class _Ticket:
    """A request that waits for a place."""

    def __init__(self, priority: int, number: int) -> None:
        self.rank = (-priority, number)
        self.called = threading.Event()
        self.admitted = False


class Window:
    """A concurrency limit that starts at one and grows with good answers.

    More than COLD_WINDOW requests run only while every stream keeps getting
    tokens: an endpoint that turned cold without notice starves most of its
    streams, and is sent no more work then.
    """

    def __init__(
        self,
        slots: int,
        first_token_seconds: float,
        proof_seconds: float,
    ) -> None:
        """Keep the limits; the window starts cold.

        proof_seconds is the longest pause of a stream that counts as warm;
        less is allowed once the usual pause between tokens is known.
        """
        self._lock = threading.Lock()
        self._slots = slots
        self._first_token = first_token_seconds
        self._proof_seconds = proof_seconds
        self._pause = proof_seconds / STARVED_PAUSES
        self._window = COLD_WINDOW
        self._running = 0
        self._queue: list[_Ticket] = []
        self._tickets = itertools.count()
        self._last_token = float('-inf')
        #: Stream -> time of its last token, for streams that had one.
        self._streams: dict[int, float] = {}
        self._reported_cold = False

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

    def acquire(self, timeout: float, priority: int = 0) -> None:
        """Take a place, waiting for one behind higher priorities.

        Raises FullError if none came free in time, or if the queue is full
        and holds nothing of a lower priority.
        """
        with self._lock:
            ticket = _Ticket(priority, next(self._tickets))
            self._join(ticket)
            self._admit()
        if not ticket.called.wait(timeout):
            self._leave(ticket)
        if not ticket.admitted:
            raise FullError(
                f'the endpoint runs {self._running} of {self._window} and '
                f'{len(self._queue)} wait',
            )

    def release(self, stream: int = 0) -> None:
        """Give a place back and forget its stream."""
        with self._lock:
            self._running -= 1
            self._streams.pop(stream, None)
            self._admit()

    def note_token(self, stream: int) -> None:
        """Take a stream's token as proof that the endpoint is working."""
        now = time.monotonic()
        before = self._streams.get(stream)
        if before is not None:
            self._pause += PAUSE_STEP * (now - before - self._pause)
        self._last_token = now
        self._streams[stream] = now
        if self._queue:
            with self._lock:
                self._admit()

    def note_first_token(self, seconds: float) -> None:
        """Grow the window if the first token came in time, else collapse."""
        with self._lock:
            if self._reported_cold or seconds > self._first_token:
                self._window = COLD_WINDOW
                return
            self._last_token = time.monotonic()
            self._window = min(self._slots, self._window + 1)
            self._admit()

    def note_failure(self) -> None:
        """Collapse the window after a sign that the endpoint is cold."""
        with self._lock:
            self._window = COLD_WINDOW
            self._last_token = float('-inf')

    def note_report(self, *, cold: bool) -> None:
        """Take the endpoint's lagging word on whether it is cold."""
        with self._lock:
            self._reported_cold = cold
            if cold:
                self._window = COLD_WINDOW

    def _join(self, ticket: _Ticket) -> None:
        if len(self._queue) >= self._slots:
            lowest = self._queue[-1]
            if ticket.rank > lowest.rank:
                raise FullError("the endpoint's queue is full")
            self._queue.remove(lowest)
            lowest.called.set()
        bisect.insort(self._queue, ticket, key=lambda waiting: waiting.rank)

    def _leave(self, ticket: _Ticket) -> None:
        with self._lock:
            if ticket in self._queue:
                self._queue.remove(ticket)

    def _admit(self) -> None:
        """Call those in front of the queue for whom there is a place."""
        while self._queue and self._has_place():
            ticket = self._queue.pop(0)
            self._running += 1
            ticket.admitted = True
            ticket.called.set()

    def _has_place(self) -> bool:
        if self._running < COLD_WINDOW:
            return True
        if self._running >= self._window:
            return False
        # The slowest stream decides; with none, the last token of any did.
        slowest = min(list(self._streams.values()), default=self._last_token)
        return time.monotonic() - slowest <= self._find_proof_seconds()

    def _find_proof_seconds(self) -> float:
        learnt = max(MIN_PROOF_SECONDS, self._pause * STARVED_PAUSES)
        return min(self._proof_seconds, learnt)
