"""Adaptive concurrency limit of an endpoint, with a priority queue."""

import bisect
import itertools
import threading
import time
from typing import Final

from ..errors import UnavailableError

#: A stream counts as stalled after this multiple of the usual time between
#: tokens.
STALL_FACTOR: Final = 3.0
#: Shortest pause after which a stream counts as stalled, in seconds.
MIN_STALL_SECONDS: Final = 0.06
#: Weight of the newest time between tokens in its moving average.
INTERVAL_WEIGHT: Final = 0.05
#: Requests that any endpoint can run at a time while it is cold.
COLD_WINDOW: Final = 1


class FullError(UnavailableError):
    """The endpoint runs and queues as many requests as it may."""

    code = 'endpoint_full'


class _Waiter:
    """A request in the queue.

    `resolved` is set once the request is admitted or shed.
    """

    def __init__(self, priority: int, number: int) -> None:
        #: Sorts by priority, the highest first, then by arrival.
        self.rank = (-priority, number)
        self.resolved = threading.Event()
        self.admitted = False


class Window:
    """A concurrency limit that starts at one and grows with fast first tokens.

    More than COLD_WINDOW requests run only while every stream keeps receiving
    tokens. An endpoint that becomes cold without reporting it stalls most of
    its streams, and gets no further requests then.
    """

    def __init__(
        self,
        slots: int,
        first_token_seconds: float,
        max_stall_seconds: float,
    ) -> None:
        """Create a window for a cold endpoint of at most `slots` requests.

        It grows with first tokens within `first_token_seconds`. A stream
        counts as stalled after a pause of `max_stall_seconds`, or of less once
        the usual time between tokens is known.
        """
        self._lock = threading.Lock()
        self._slots = slots
        self._first_token_seconds = first_token_seconds
        self._max_stall_seconds = max_stall_seconds
        self._token_interval = max_stall_seconds / STALL_FACTOR
        self._window = COLD_WINDOW
        self._running = 0
        self._queue: list[_Waiter] = []
        self._numbers = itertools.count()
        self._last_progress = float('-inf')
        #: Stream -> time of its last token, for streams that have had one.
        self._token_times: dict[int, float] = {}
        self._is_reported_cold = False

    @property
    def running(self) -> int:
        """Return the number of requests running at the endpoint."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def size(self) -> int:
        """Return the present concurrency limit."""
        return self._window

    def is_cold(self) -> bool:
        """Return True until fast first tokens show a warm endpoint."""
        return self._window == COLD_WINDOW

    def acquire(self, timeout: float, priority: int = 0) -> None:
        """Admit a request, after those of higher priority in the queue.

        Raises FullError if it isn't admitted within `timeout` seconds, if the
        queue is full of requests of no lower priority, or if it is shed for
        one of higher priority.
        """
        with self._lock:
            waiter = _Waiter(priority, next(self._numbers))
            self._enqueue(waiter)
            self._admit()
        if not waiter.resolved.wait(timeout):
            self._dequeue(waiter)
        if not waiter.admitted:
            raise FullError(
                f'the endpoint runs {self._running} of {self._window} '
                f'requests and {len(self._queue)} are queued',
            )

    def release(self, stream: int = 0) -> None:
        """End an admitted request and its stream."""
        with self._lock:
            self._running -= 1
            self._token_times.pop(stream, None)
            self._admit()

    def record_token(self, stream: int) -> None:
        """Record that a stream received a token, which shows progress."""
        now = time.monotonic()
        previous = self._token_times.get(stream)
        if previous is not None:
            self._token_interval += INTERVAL_WEIGHT * (
                now - previous - self._token_interval
            )
        self._last_progress = now
        self._token_times[stream] = now
        if self._queue:
            with self._lock:
                self._admit()

    def record_first_token(self, seconds: float) -> None:
        """Grow the window after a fast first token, else reset it to cold."""
        with self._lock:
            if self._is_reported_cold or seconds > self._first_token_seconds:
                self._window = COLD_WINDOW
                return
            self._last_progress = time.monotonic()
            self._window = min(self._slots, self._window + 1)
            self._admit()

    def record_failure(self) -> None:
        """Reset the window after a failure, which may mean a cold endpoint."""
        with self._lock:
            self._window = COLD_WINDOW
            self._last_progress = float('-inf')

    def record_report(self, *, cold: bool) -> None:
        """Update from the endpoint's delayed report whether it is cold."""
        with self._lock:
            self._is_reported_cold = cold
            if cold:
                self._window = COLD_WINDOW

    def _enqueue(self, waiter: _Waiter) -> None:
        if len(self._queue) >= self._slots:
            lowest = self._queue[-1]
            if waiter.rank > lowest.rank:
                raise FullError("the endpoint's queue is full")
            self._queue.remove(lowest)
            lowest.resolved.set()
        bisect.insort(self._queue, waiter, key=lambda queued: queued.rank)

    def _dequeue(self, waiter: _Waiter) -> None:
        with self._lock:
            if waiter in self._queue:
                self._queue.remove(waiter)

    def _admit(self) -> None:
        """Admit from the front of the queue while there is capacity."""
        while self._queue and self._has_capacity():
            waiter = self._queue.pop(0)
            self._running += 1
            waiter.admitted = True
            waiter.resolved.set()

    def _has_capacity(self) -> bool:
        if self._running < COLD_WINDOW:
            return True
        if self._running >= self._window:
            return False
        # The stream with the oldest token decides, or the last token of any
        # stream if no running one has had a token yet.
        oldest = min(
            list(self._token_times.values()), default=self._last_progress
        )
        return time.monotonic() - oldest <= self._compute_stall_seconds()

    def _compute_stall_seconds(self) -> float:
        learned = max(MIN_STALL_SECONDS, self._token_interval * STALL_FACTOR)
        return min(self._max_stall_seconds, learned)
