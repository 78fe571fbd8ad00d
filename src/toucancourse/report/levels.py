"""Counts of requests against objectives, kept in the log."""

import threading
import time
from collections import defaultdict
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from ..interfaces.log import Log
from ..streams.codec import Codec, encode_items
from ..streams.follower import StreamState

STREAM: Final = 'levels'
DAY_SECONDS: Final = 86400
BUCKET_SECONDS: Final = 300
#: Longest window of a burn rate.
KEPT_SECONDS: Final = 3 * DAY_SECONDS
SHARE_SECONDS: Final = 15.0


class Level(StrEnum):
    """What an objective measures."""

    availability = 'availability'
    first_token = 'first_token'
    quality = 'quality'


class Counts(NamedTuple):
    """Requests of one customer in one bucket, as one entry saw them."""

    incarnation: str
    #: 1, 2, 3, ...: a repeated number is the same record again.
    number: int
    #: Rows of customer, level, bucket, total and bad.
    rows: list[list[Any]]


CODEC: Final = Codec(Counts)

Key = tuple[str, str, int]


class LevelBook(StreamState):
    """Totals of all entries by customer, level and bucket."""

    def __init__(self) -> None:
        """Start with no requests."""
        self._totals: dict[Key, tuple[int, int]] = {}
        self._numbers: dict[str, int] = {}

    def apply(self, item: Counts) -> None:
        """Fold one record of counts; a repeated one changes nothing."""
        if item.number <= self._numbers.get(item.incarnation, 0):
            return
        self._numbers[item.incarnation] = item.number
        newest = 0
        for customer, level, bucket, total, bad in item.rows:
            key = (customer, level, bucket)
            old = self._totals.get(key, (0, 0))
            self._totals[key] = (old[0] + total, old[1] + bad)
            newest = max(newest, bucket)
        self._drop_before(newest - KEPT_SECONDS // BUCKET_SECONDS)

    def window(
        self,
        customer: str,
        level: str,
        buckets: range,
    ) -> tuple[int, int]:
        """Return total and bad requests over some buckets."""
        total = 0
        bad = 0
        for bucket in buckets:
            found = self._totals.get((customer, level, bucket), (0, 0))
            total += found[0]
            bad += found[1]
        return total, bad

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            'totals': [[*key, *row] for key, row in self._totals.items()],
            'numbers': self._numbers,
        }

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""
        self._totals = {
            (customer, level, bucket): (total, bad)
            for customer, level, bucket, total, bad in dump['totals']
        }
        self._numbers = dict(dump['numbers'])

    def _drop_before(self, bucket: int) -> None:
        old = [key for key in self._totals if key[2] < bucket]
        for key in old:
            del self._totals[key]


class LevelRecorder:
    """Counts this entry's requests and shares the counts."""

    def __init__(self, incarnation: str, log: Log) -> None:
        """Start with none."""
        self._incarnation = incarnation
        self._log = log
        self._lock = threading.Lock()
        self._number = 0
        self._counts: dict[Key, list[int]] = defaultdict(lambda: [0, 0])
        self._pending: Counts | None = None

    def note(self, customer: str, level: Level, *, bad: bool) -> None:
        """Count one request."""
        bucket = find_bucket(time.time())
        with self._lock:
            row = self._counts[customer, str(level), bucket]
            row[0] += 1
            row[1] += bad

    def share(self) -> None:
        """Append the counts since the last call; keep them on failure."""
        with self._lock:
            if self._pending is None and self._counts:
                self._number += 1
                rows = [[*key, *row] for key, row in self._counts.items()]
                self._pending = Counts(self._incarnation, self._number, rows)
                self._counts.clear()
            pending = self._pending
        if pending is None:
            return
        try:
            self._log.append(STREAM, encode_items([pending]))
        except LogDownError as error:
            logger.warning('service-level counts wait for the log: {}', error)
            return
        self._pending = None


def find_bucket(at: float) -> int:
    """Return the number of the bucket of a time since the epoch."""
    return int(at) // BUCKET_SECONDS
