"""Work at one endpoint that a new request has to share it with."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from .loads import Work
from .objects import Load

#: A report of other entries' work counts half after this time: reading what
#: waits at a loaded endpoint takes seconds.
HALF_LIFE_SECONDS: Final = 1.5
#: Part of less urgent work that delays a request: a prompt is read in pieces
#: that are not broken off.
LESS_URGENT_PART: Final = 0.2
#: Time that each running request takes from a new one, in seconds.
RUNNING_SECONDS: Final = 0.005
#: Reading time that is not worth telling others of, in seconds.
LEAST_TOLD_SECONDS: Final = 0.005
RANKS: Final = range(10)


class Backlog:
    """Running and unread requests; times are time.monotonic() seconds."""

    def __init__(self) -> None:
        """Start with none."""
        self._lock = threading.Lock()
        #: Requests of this entry that are there now.
        self.running = 0
        #: Rank -> requests of this entry without a first event, and the time
        #: that reading them takes.
        self._unread: dict[int, int] = defaultdict(int)
        self._reading: dict[int, float] = defaultdict(float)
        self._others_running = 0.0
        self._others_waiting = 0.0
        self._moment = 0.0

    def enter(self, rank: int, seconds: float) -> 'Visit':
        """Return a new request that takes some seconds to read."""
        return Visit(self, rank, seconds)

    def note_load(self, load: Load) -> None:
        """Take the load that came with an answer."""
        with self._lock:
            unread = sum(self._unread.values())
            running = self.running - unread
            self._others_waiting = max(0, load.waiting - unread)
            self._others_running = max(0, load.running - running)
            self._moment = time.monotonic()

    def others(self) -> float:
        """Return the estimated requests of other entries there now."""
        return (self._others_running + self._others_waiting) * self._fade()

    def describe(self) -> Work:
        """Return this entry's work here, for other entries."""
        with self._lock:
            reading = [self._reading.get(rank, 0.0) for rank in RANKS]
            running = self.running
        while reading and reading[-1] < LEAST_TOLD_SECONDS:
            reading.pop()
        return Work(running, tuple(round(row, 2) for row in reading))

    def find_wait(
        self,
        rank: int,
        usual_reading: float,
        told: Work | None,
    ) -> float:
        """Return the seconds until a request of a rank is read.

        told is the work of the other entries if they tell. If not, it is
        estimated from reports, with usual_reading for each request of theirs
        that waits.
        """
        with self._lock:
            own = tuple(self._reading.items())
        wait = sum_reading(own, rank) + self.running * RUNNING_SECONDS
        if told is not None:
            wait += sum_reading(enumerate(told.reading), rank)
            return wait + told.running * RUNNING_SECONDS
        waiting = self._others_waiting * max(RUNNING_SECONDS, usual_reading)
        running = self._others_running * RUNNING_SECONDS
        return wait + (waiting + running) * self._fade()

    def _fade(self) -> float:
        age = time.monotonic() - self._moment
        return float(0.5 ** (age / HALF_LIFE_SECONDS))

    def count(
        self,
        running: int,
        rank: int,
        unread: int,
        reading: float,
    ) -> None:
        """Add to the requests here, and to the unread ones of a rank."""
        with self._lock:
            self.running += running
            self._unread[rank] += unread
            self._reading[rank] = max(0.0, self._reading[rank] + reading)


class Visit:
    """One request of this entry at an endpoint."""

    def __init__(self, backlog: Backlog, rank: int, seconds: float) -> None:
        """Count it as running and unread."""
        self._backlog = backlog
        self._rank = rank
        self._seconds = seconds
        self._is_unread = True
        backlog.count(1, rank, 1, seconds)

    def begin(self) -> None:
        """Count it as read, once."""
        if self._is_unread:
            self._is_unread = False
            self._backlog.count(0, self._rank, -1, -self._seconds)

    def end(self) -> None:
        """Count it as no longer there; called once."""
        self.begin()
        self._backlog.count(-1, self._rank, 0, 0)


def sum_reading(reading: Iterable[tuple[int, float]], rank: int) -> float:
    """Return the seconds by which others delay a request of a rank.

    They are given as ranks and the time that reading their prompts takes.
    """
    return sum(
        seconds if other <= rank else LESS_URGENT_PART * seconds
        for other, seconds in reading
    )
