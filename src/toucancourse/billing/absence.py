"""Returns the allowances of entries that are gone."""

import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from ..streams.follower import Follower
from .ledger import Ledger
from .spend import SpendBook

#: Without a read of the log for this long, silence there proves nothing.
BLIND_SECONDS: Final = 10.0


class Absence(NamedTuple):
    """Since when a holder of allowances is silent."""

    #: time.monotonic() at which its silence was first seen.
    since: float
    #: What of it the log held then.
    mark: tuple[int, int]


class AbsenceWatch:
    """Retires holders that neither peers nor the log have heard of.

    An entry that connects to a subset of the sidecars does not hear of all
    other entries. Those are seen in the log: a live entry that holds an
    allowance bills from it or gives it back within a minute.
    """

    def __init__(
        self,
        incarnation: str,
        ledger: Ledger,
        follower: Follower[SpendBook],
        limit_seconds: float,
    ) -> None:
        """Keep the parts and the silence after which a holder is gone."""
        self._incarnation = incarnation
        self._ledger = ledger
        self._follower = follower
        self._limit = limit_seconds
        self._absent: dict[str, Absence] = {}

    def is_retired(self) -> bool:
        """Return True if others returned what this process held."""
        with self._follower.lock:
            return self._follower.state.is_retired(self._incarnation)

    def check(self, live: set[str]) -> None:
        """Retire those that are silent too long; peers know the live ones."""
        now = time.monotonic()
        if now - self._follower.last_read > BLIND_SECONDS:
            self._absent.clear()
            return
        self._absent = self._find_absent(live | {self._incarnation}, now)
        for name, absence in self._absent.items():
            if now - absence.since > self._limit:
                self._retire(name)

    def _find_absent(self, live: set[str], now: float) -> dict[str, Absence]:
        with self._follower.lock:
            book = self._follower.state
            marks = {
                name: book.find_mark(name) for name in book.holders() - live
            }
        absent: dict[str, Absence] = {}
        for name, mark in marks.items():
            known = self._absent.get(name)
            if known is None or known.mark != mark:
                known = Absence(now, mark)
            absent[name] = known
        return absent

    def _retire(self, name: str) -> None:
        try:
            self._ledger.retire(name)
        except LogDownError as error:
            logger.warning('allowances not returned: {}', error)
