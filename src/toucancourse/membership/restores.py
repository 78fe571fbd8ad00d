"""What a store that came back from an older copy has lost.

The copy is a beginning of the log that was read before: up to where both are
equal, every record is known, and what was written since follows there.
"""

import threading
from collections.abc import Collection, Sequence
from itertools import takewhile
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from .clock import read_clock
from .topics import ExpiredError, Record, Topic

#: Pause after a write that the store refused or did not answer, in seconds.
WRITE_RETRY_SECONDS: Final = 1.0


class Divergence(NamedTuple):
    """Where the log of a restored store leaves the one that was read."""

    #: Records from the first known one on, as the store has them now.
    records: tuple[Record, ...]
    #: Number of these that were read before.
    common: int
    #: Key -> newest known content of the records that the store lost; None if
    #: it was deleted.
    lost: dict[str, bytes | None]

    def list_new(self) -> tuple[Record, ...]:
        """Return the records that were written since the copy."""
        return self.records[self.common :]


def find_divergence(
    topic: Topic, known: Sequence[Record], era: int
) -> Divergence | None:
    """Compare the records that were read without a gap with the store's.

    Returns None if they have none in common, so that the copy may be older
    than they are. Raises LogDownError, also if the era is another.
    """
    try:
        records = _read_all(topic, known[0].offset, era) if known else ()
    except ExpiredError as error:
        kept = [record for record in known if record.offset >= error.first]
        if len(kept) == len(known):
            logger.info('known records not compared', why=error.text)
            return None
        return find_divergence(topic, kept, era)
    pairs = zip(records, known, strict=False)
    common = sum(1 for _ in takewhile(_is_equal, pairs))
    if not common:
        return None
    lost = {record.key: record.content for record in known[common:]}
    for record in records[common:]:
        lost.pop(record.key, None)
    return Divergence(records, common, lost)


def find_missing(
    known: Sequence[Record], present: Collection[str]
) -> dict[str, bytes | None]:
    """Return the newest known content of the keys that are not present."""
    newest = {record.key: record.content for record in known}
    return {
        key: content
        for key, content in newest.items()
        if content is not None and key not in present
    }


class LostRecords:
    """Records to write again; may be used by several threads."""

    def __init__(self) -> None:
        """Create it without records."""
        self._lock = threading.Lock()
        self._changes: dict[str, bytes | None] = {}

    def add(self, changes: dict[str, bytes | None]) -> None:
        """Add the newest content of keys, None for deleted ones."""
        with self._lock:
            self._changes.update(changes)

    def discard(self, key: str) -> None:
        """Forget a key that has a newer record."""
        with self._lock:
            self._changes.pop(key, None)

    def list_changes(self) -> dict[str, bytes | None]:
        """Return the content of each lost key."""
        with self._lock:
            return dict(self._changes)


class LostRecordWriter:
    """Writes the records of a topic again that a restored store lost."""

    def __init__(self, topic: Topic) -> None:
        """Create it for a topic; check() must be called periodically."""
        self._topic = topic
        #: read_clock() until which nothing is written.
        self._paused_until = 0.0

    def check(self, lost: LostRecords, end: int | None) -> None:
        """Append what was lost if the topic still ends where it was read.

        If another entry was first, its records are read before the next try.
        """
        changes = lost.list_changes()
        if not changes or end is None or read_clock() < self._paused_until:
            return
        try:
            is_written = self._topic.append_all(changes, end)
        except LogDownError as error:
            self._paused_until = read_clock() + WRITE_RETRY_SECONDS
            logger.warning('lost records not written', why=error.text)
            return
        logger.info(
            'lost records written again',
            records=len(changes),
            written=is_written,
        )


def _read_all(topic: Topic, start: int, era: int) -> tuple[Record, ...]:
    records: tuple[Record, ...] = ()
    while True:
        page = topic.read(start + len(records), 0)
        if page.era != era:
            raise LogDownError('the store was restored once more')
        records += page.records
        if not page.records or start + len(records) >= page.end:
            return records


def _is_equal(pair: tuple[Record, Record]) -> bool:
    return pair[0] == pair[1]
