"""Work at endpoints, as the entries of a fleet tell each other."""

import threading
import time
from collections.abc import Callable, Mapping
from itertools import zip_longest
from typing import Final, NamedTuple

from .digests import hash_text

#: Silence after which an entry's word counts no more, in seconds; entries
#: tell something at least each half of it.
STALE_SECONDS: Final = 1.0
#: Part of the other entries that must have told; with fewer, the endpoints'
#: own reports say more.
HEARD_PART: Final = 0.6


class Work(NamedTuple):
    """Requests at one endpoint."""

    running: int
    #: Seconds that reading the waiting prompts takes, by rank from 0 on.
    reading: tuple[float, ...]

    def add(self, other: 'Work') -> 'Work':
        """Return both together."""
        pairs = zip_longest(self.reading, other.reading, fillvalue=0.0)
        return Work(
            self.running + other.running,
            tuple(mine + theirs for mine, theirs in pairs),
        )


NO_WORK: Final = Work(0, ())


class _Told(NamedTuple):
    #: Stands for the stream that told it.
    owner: object
    #: time.monotonic() of its newest report.
    moment: float
    #: Endpoint's digest -> work there.
    work: dict[int, Work]


class LoadBook:
    """What the other entries have at endpoints now."""

    def __init__(self, count_entries: Callable[[], int]) -> None:
        """Start with nothing told; the count includes this entry."""
        self._count_entries = count_entries
        self._lock = threading.Lock()
        #: Instance -> what it told.
        self._told: dict[str, _Told] = {}
        #: Endpoint's digest -> work of all that told.
        self._totals: dict[int, Work] = {}

    def take(
        self,
        instance: str,
        owner: object,
        changed: Mapping[int, Work],
    ) -> None:
        """Take an entry's changed work, told on a stream."""
        with self._lock:
            known = self._told.get(instance)
            if known is None or known.owner is not owner:
                self._forget(instance)
                known = _Told(owner, 0, {})
            known.work.update(changed)
            self._told[instance] = known._replace(moment=time.monotonic())
            self._add_up(changed)

    def drop(self, instance: str, owner: object) -> None:
        """Forget an entry whose stream ended, unless it opened another."""
        with self._lock:
            known = self._told.get(instance)
            if known is not None and known.owner is owner:
                self._forget(instance)

    def sweep(self) -> None:
        """Forget the entries that are silent."""
        horizon = time.monotonic() - STALE_SECONDS
        with self._lock:
            for instance, told in tuple(self._told.items()):
                if told.moment < horizon:
                    self._forget(instance)

    def find(self, identifier: str) -> Work | None:
        """Return the others' work at an endpoint, or None if few told."""
        others = self._count_entries() - 1
        if others < 1 or len(self._told) < HEARD_PART * others:
            return None
        return self._totals.get(hash_text(identifier), NO_WORK)

    def _forget(self, instance: str) -> None:
        told = self._told.pop(instance, None)
        if told is not None:
            self._add_up(told.work)

    def _add_up(self, digests: Mapping[int, Work]) -> None:
        """Add the work at some endpoints anew."""
        for digest in digests:
            total = NO_WORK
            for told in self._told.values():
                total = total.add(told.work.get(digest, NO_WORK))
            self._totals[digest] = total
