"""Counts of good and bad requests per objective, stored in the log."""

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
#: Equals the longest window of a burn rate.
RETENTION_SECONDS: Final = 3 * DAY_SECONDS
PUBLISH_INTERVAL_SECONDS: Final = 15.0


class Level(StrEnum):
    """The service-level indicators that an objective can be set on."""

    availability = 'availability'
    first_token = 'first_token'
    quality = 'quality'


class Counts(NamedTuple):
    """Requests that one entry counted since its previous record."""

    incarnation: str
    #: Sequence number 1, 2, 3, ...; a repeated one marks a duplicate record.
    number: int
    #: One row each of customer, level, bucket, total and bad requests.
    rows: list[list[Any]]


CODEC: Final = Codec(Counts)

#: Customer, level and bucket number.
BucketKey = tuple[str, str, int]


class LevelState(StreamState):
    """Requests counted by all entries, by customer, level and bucket."""

    def __init__(self) -> None:
        """Create the state of an empty stream."""
        self._totals: dict[BucketKey, tuple[int, int]] = {}
        self._numbers: dict[str, int] = {}

    def apply(self, item: Counts) -> None:
        """Add the counts of one record; a duplicate changes nothing."""
        if item.number <= self._numbers.get(item.incarnation, 0):
            return
        self._numbers[item.incarnation] = item.number
        newest = 0
        for customer, level, bucket, total, bad in item.rows:
            key = (customer, level, bucket)
            counts = self._totals.get(key, (0, 0))
            self._totals[key] = (counts[0] + total, counts[1] + bad)
            newest = max(newest, bucket)
        self._drop_before(newest - RETENTION_SECONDS // BUCKET_SECONDS)

    def count_requests(
        self,
        customer: str,
        level: str,
        buckets: range,
    ) -> tuple[int, int]:
        """Return total and bad requests of a range of buckets."""
        total = 0
        bad = 0
        for bucket in buckets:
            counts = self._totals.get((customer, level, bucket), (0, 0))
            total += counts[0]
            bad += counts[1]
        return total, bad

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-serializable values."""
        return {
            'totals': [[*key, *counts] for key, counts in self._totals.items()],
            'numbers': self._numbers,
        }

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state by one that dump() returned."""
        self._totals = {
            (customer, level, bucket): (total, bad)
            for customer, level, bucket, total, bad in dump['totals']
        }
        self._numbers = dict(dump['numbers'])

    def _drop_before(self, bucket: int) -> None:
        expired = [key for key in self._totals if key[2] < bucket]
        for key in expired:
            del self._totals[key]


class LevelRecorder:
    """Counts this entry's requests and publishes the counts to the log."""

    def __init__(self, incarnation: str, log: Log) -> None:
        """Create a recorder that appends as one incarnation of an entry."""
        self._incarnation = incarnation
        self._log = log
        self._lock = threading.Lock()
        self._number = 0
        self._counts: dict[BucketKey, list[int]] = defaultdict(lambda: [0, 0])
        self._pending: Counts | None = None

    def record(self, customer: str, level: Level, *, bad: bool) -> None:
        """Count one request in the bucket of the present time."""
        bucket = find_bucket(time.time())
        with self._lock:
            counts = self._counts[customer, str(level), bucket]
            counts[0] += 1
            counts[1] += bad

    def publish(self) -> None:
        """Append the counts since the last call to the log.

        While the log is unavailable, the same record is appended again at the
        next call, so that a duplicate is recognized by its number.
        """
        with self._lock:
            if self._pending is None and self._counts:
                self._number += 1
                rows = [[*key, *counts] for key, counts in self._counts.items()]
                self._pending = Counts(self._incarnation, self._number, rows)
                self._counts.clear()
            pending = self._pending
        if pending is None:
            return
        try:
            self._log.append(STREAM, encode_items([pending]))
        except LogDownError as error:
            logger.warning('service-level counts not appended yet: {}', error)
            return
        self._pending = None


def find_bucket(at: float) -> int:
    """Return the bucket number of a time in seconds since the epoch."""
    return int(at) // BUCKET_SECONDS
