"""Newest records of a keyed topic, kept for other entries."""

import threading
from collections import deque
from itertools import islice
from typing import Final

from .clock import read_clock
from .topics import Record, Records

#: Records kept; an entry that is further behind reads the store.
MAX_RECORDS: Final = 4000


class TopicTail:
    """The last records that a feed applied; may be read by many threads."""

    def __init__(self) -> None:
        """Create a tail that knows nothing yet."""
        self._changed = threading.Condition()
        self._records: deque[Record] = deque(maxlen=MAX_RECORDS)
        #: Offset after the last record, None while the store is unavailable.
        self._end: int | None = None
        self._proof = float('-inf')
        self._recoveries = 0
        self._era = 0

    def publish(
        self,
        records: tuple[Record, ...],
        end: int,
        proof: float,
        recoveries: int,
        era: int = 0,
    ) -> None:
        """Add the records before an end, which continue the known ones.

        proof is the read_clock() of their freshness proof, recoveries the
        number of the store's recoveries, era that of the offsets.
        """
        with self._changed:
            known = self._records
            if era != self._era:
                known.clear()
            self._era = era
            if known and end - len(records) != known[-1].offset + 1:
                known.clear()
            known.extend(records)
            self._end = end
            self._proof = proof
            self._recoveries = recoveries
            self._changed.notify_all()

    def list_records(self) -> tuple[Record, ...]:
        """Return the records that are kept, without a gap."""
        with self._changed:
            return tuple(self._records)

    def mark_unavailable(self) -> None:
        """Refuse reads until the next records."""
        with self._changed:
            self._end = None
            self._changed.notify_all()

    def read(self, start: int, wait_seconds: float) -> Records | None:
        """Return the records from an offset on, waiting if there are none.

        Returns None if they are not known here.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._end is None or start < self._end, wait_seconds
            )
            if self._end is None:
                return None
            first = self._end - len(self._records)
            if start < first:
                return None
            return Records(
                tuple(islice(self._records, start - first, None)),
                self._end,
                read_clock() - self._proof,
                recoveries=self._recoveries,
                era=self._era,
            )
