"""Reclaims the spend allowances of entries that have stopped."""

import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from ..streams.follower import Follower
from .ledger import Ledger
from .spend import SpendState

#: If the last read of the log is older than this, an entry's silence in the log
#: is no evidence that it has stopped.
MAX_READ_AGE_SECONDS: Final = 10.0


class Silence(NamedTuple):
    """Since when a holder of allowances has been silent."""

    #: time.monotonic() of the first check without a sign of it.
    since: float
    #: Its last item numbers in the log at that time.
    progress: tuple[int, int]


class AllowanceReclaimer:
    """Retires holders without a sign of life from peers or in the log.

    An entry that connects to a subset of the sidecars doesn't receive reports
    of all other entries, but sees their items in the log: a live entry that
    holds an allowance bills from it or releases it within a minute.
    """

    def __init__(
        self,
        incarnation: str,
        ledger: Ledger,
        follower: Follower[SpendState],
        limit_seconds: float,
    ) -> None:
        """Create a reclaimer for the entry process of this incarnation.

        A holder that is silent for more than `limit_seconds` is retired.
        """
        self._incarnation = incarnation
        self._ledger = ledger
        self._follower = follower
        self._limit = limit_seconds
        self._silent: dict[str, Silence] = {}

    def is_retired(self) -> bool:
        """Return True if another entry has retired this process."""
        with self._follower.lock:
            return self._follower.state.is_retired(self._incarnation)

    def check(self, live: set[str]) -> None:
        """Retire the holders that have been silent for too long.

        `live` holds the incarnations that peers report.
        """
        now = time.monotonic()
        if now - self._follower.last_read > MAX_READ_AGE_SECONDS:
            self._silent.clear()
            return
        self._silent = self._find_silent(live | {self._incarnation}, now)
        for name, silence in self._silent.items():
            if now - silence.since > self._limit:
                self._retire_holder(name)

    def _find_silent(self, live: set[str], now: float) -> dict[str, Silence]:
        with self._follower.lock:
            state = self._follower.state
            progress_by_holder = {
                name: state.get_progress(name)
                for name in state.list_holders() - live
            }
        silent: dict[str, Silence] = {}
        for name, progress in progress_by_holder.items():
            silence = self._silent.get(name)
            if silence is None or silence.progress != progress:
                silence = Silence(now, progress)
            silent[name] = silence
        return silent

    def _retire_holder(self, name: str) -> None:
        try:
            self._ledger.retire_entry(name)
        except LogDownError as error:
            logger.warning('allowances not reclaimed: {}', error)
