"""Shares a server's memory between requests that aren't answered yet.

Decides without network who is refused: those that hold much before those that
hold little, and among equals those that make no progress.
"""

import threading
from collections.abc import Callable
from typing import Any, Final, NamedTuple

#: A request that holds no more is an ordinary one.
ORDINARY_BYTES: Final = 65_536
#: Share of the bytes that larger requests leave to ordinary ones.
ORDINARY_SHARE: Final = 0.25
#: Share of the bytes that is freed at once, so that refusals are few.
FREED_SHARE: Final = 0.05
#: Share of the unfinished requests that is refused at once.
REFUSED_SHARE: Final = 0.02
#: Time over which the pace of a request is measured.
PACE_SECONDS: Final = 1.0
#: Bytes per second of a request that makes progress.
MIN_PACE: Final = 1024.0


class IntakeLimits(NamedTuple):
    """What all requests of a server may hold together."""

    capacity_bytes: int
    #: Requests that were begun and aren't whole.
    unfinished: int


class Holding:
    """What the unfinished request of one connection holds."""

    def __init__(self, refuse: Callable[[], None]) -> None:
        """Create it with the function that refuses the request."""
        self.refuse = refuse
        #: True from its first byte until it is whole, refused or gone.
        self.is_unfinished = False
        #: Bytes of memory.
        self.size = 0
        #: time.monotonic() of the request's first byte.
        self.began = 0.0
        self._grown_at = 0.0
        self._marked_at = 0.0
        self._marked_size = 0
        self._pace = 0.0

    def begin(self, now: float) -> None:
        """Begin a request at a time of time.monotonic()."""
        self.is_unfinished = True
        self.size = 0
        self.began = now
        self._grown_at = now
        self._marked_at = now
        self._marked_size = 0
        self._pace = MIN_PACE

    def grow(self, size: int, now: float) -> None:
        """Note the size after bytes have come."""
        self.size = size
        self._grown_at = now
        seconds = now - self._marked_at
        if seconds >= PACE_SECONDS:
            self._pace = (size - self._marked_size) / seconds
            self._marked_at = now
            self._marked_size = size

    def is_stalled(self, now: float) -> bool:
        """Return True if the request makes no progress."""
        is_silent = now - self._grown_at >= PACE_SECONDS
        return is_silent or self._pace < MIN_PACE

    def is_large(self) -> bool:
        """Return True if it holds more than an ordinary request."""
        return self.size > ORDINARY_BYTES

    def rank(self, now: float) -> tuple[bool, bool, float]:
        """Return a key that is the greater, the sooner it is refused."""
        weight = float(self.size) if self.is_large() else now - self.began
        return self.is_large(), self.is_stalled(now), weight


class Intake:
    """The bytes that the requests of a server hold, and whom to refuse."""

    def __init__(self, limits: IntakeLimits) -> None:
        """Create it with nothing held."""
        self._limits = limits
        self._large_capacity = int(limits.capacity_bytes * (1 - ORDINARY_SHARE))
        self._lock = threading.Lock()
        self._unfinished: set[Holding] = set()
        #: Bytes of all requests, and those of the large ones.
        self.used = 0
        self._large_used = 0
        self._unread = 0

    def receive(self, holding: Holding, size: int, now: float) -> list[Holding]:
        """Note what an unfinished request holds; return whom to refuse.

        The request itself may be among them.
        """
        with self._lock:
            if not holding.is_unfinished:
                holding.begin(now)
                self._unfinished.add(holding)
            self._count(holding.size, -1)
            holding.grow(size, now)
            self._count(size, 1)
            return self._make_room(0, now, is_large=holding.is_large())

    def end(self, holding: Holding) -> None:
        """Forget an unfinished request: it is whole, or its caller is gone."""
        with self._lock:
            self._forget(holding)

    def weigh(self, size: int) -> int:
        """Return what counts of a whole request that holds some bytes.

        One that needs more than all large ones may hold is served alone.
        """
        return min(size, self._large_capacity)

    def keep(self, size: int, now: float) -> tuple[bool, list[Holding]]:
        """Keep a whole request if there is room once others are refused.

        Returns if it is kept, and whom to refuse. free() ends it.
        """
        is_large = size > ORDINARY_BYTES
        refused: list[Holding] = []
        with self._lock:
            is_over = self._is_over(size, is_large=is_large)
            if is_over:
                refused = self._make_room(size, now, is_large=is_large)
                is_over = self._is_over(size, is_large=is_large)
            if not is_over:
                self._count(size, 1)
        return not is_over, refused

    def free(self, size: int) -> None:
        """Free what a whole request held."""
        with self._lock:
            self._count(size, -1)

    def note_unread(self, size: int) -> int:
        """Note the bytes of answers that callers don't read.

        Returns by how many bytes the server is over its capacity.
        """
        with self._lock:
            self._unread = size
            return max(0, self.used + size - self._limits.capacity_bytes)

    def count_unfinished(self) -> int:
        """Return the number of unfinished requests."""
        return len(self._unfinished)

    def _count(self, size: int, sign: int) -> None:
        self.used += sign * size
        if size > ORDINARY_BYTES:
            self._large_used += sign * size

    def _forget(self, holding: Holding) -> None:
        if holding.is_unfinished:
            self._unfinished.remove(holding)
            self._count(holding.size, -1)
            holding.size = 0
            holding.is_unfinished = False

    def _is_over(self, extra: int, *, is_large: bool) -> bool:
        """Return True if some more bytes would be over the capacity.

        Answers that nobody reads displace large requests only.
        """
        capacity = self._limits.capacity_bytes
        if self.used + extra > capacity:
            return True
        return is_large and (
            self.used + self._unread + extra > capacity
            or self._large_used + extra > self._large_capacity
        )

    def _make_room(
        self, extra: int, now: float, *, is_large: bool
    ) -> list[Holding]:
        refused = self._end_surplus(now)
        if not self._is_over(extra, is_large=is_large):
            return refused
        spare = extra + int(self._limits.capacity_bytes * FREED_SHARE)
        largest = self._order(lambda one: one.rank(now))
        for holding in largest:
            # A large request never displaces an ordinary one.
            is_safe = is_large and not holding.is_large()
            if is_safe or not self._is_over(spare, is_large=is_large):
                break
            self._forget(holding)
            refused.append(holding)
        return refused

    def _end_surplus(self, now: float) -> list[Holding]:
        """Forget the slowest, oldest requests if there are too many."""
        most = self._limits.unfinished
        surplus = len(self._unfinished) - most
        if surplus <= 0:
            return []
        slowest = self._order(lambda one: (one.is_stalled(now), -one.began))
        refused = slowest[: surplus + int(most * REFUSED_SHARE)]
        for holding in refused:
            self._forget(holding)
        return refused

    def _order(self, rank: Callable[[Holding], Any]) -> list[Holding]:
        return sorted(self._unfinished, key=rank, reverse=True)
