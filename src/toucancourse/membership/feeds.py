"""Follows a keyed topic and passes changes to a listener."""

import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from .clock import read_clock
from .restores import LostRecords, find_divergence, find_missing
from .tails import TopicTail
from .topics import ExpiredError, Record, Records, Topic

#: First pause after a failed call; later ones double.
INITIAL_BACKOFF_SECONDS: Final = 0.1
#: An empty response to a long poll proves that nothing newer existed when the
#: poll ended; the store's timer may fire early by this much.
TIMER_MARGIN_SECONDS: Final = 0.05


class Listener(ABC):
    """Receives each key's newest record, in one thread."""

    #: How often the store recovered from a failure.
    recoveries = 0

    @abstractmethod
    def apply(self, key: str, content: bytes | None) -> None:
        """Apply the newest content of a key, or None if it was deleted."""

    def record_recovery(self) -> None:
        """Record that the store is reachable again; its records follow."""
        self.recoveries += 1

    def record_restore(  # noqa: B027  # few listeners need it
        self, missing: Collection[str]
    ) -> None:
        """Record that the store came back from an older copy.

        Called before the records that were written since; `missing` are the
        keys that it no longer has.
        """

    def record_catch_up(self) -> None:  # noqa: B027  # few listeners need it
        """Record that all records up to the topic's end were applied."""


class PollTiming(NamedTuple):
    """Intervals at which a topic is polled, in seconds."""

    #: Timeout of one long poll; each response renews the freshness proof.
    wait_seconds: float
    #: Pause after a read that returned records, so that the next returns many.
    pause_seconds: float
    #: Longest pause after a failed call.
    max_backoff_seconds: float = 0.4


class Feed:
    """Keeps a listener up to date with a keyed topic."""

    def __init__(
        self,
        name: str,
        topic: Topic,
        listener: Listener,
        timing: PollTiming,
    ) -> None:
        """Create a feed of one topic; the name appears in log messages."""
        self._name = name
        self._topic = topic
        self._listener = listener
        self.timing = timing
        #: The newest records, for other entries.
        self.tail = TopicTail()
        #: Key -> offset of its newest record.
        self._offsets: dict[str, int] = {}
        #: Offset of the next read; None before the newest records were fetched.
        self._next_offset: int | None = None
        #: Era of these offsets, or 0 if the store doesn't tell it.
        self._era = 0
        #: What the store lost and nobody has written again.
        self.lost = LostRecords()
        #: Key -> hash of its newest content.
        self._digests: dict[str, int] = {}
        self._stop = threading.Event()
        self._is_down = False
        #: True if the last page came from the store and had records.
        self._needs_pause = False
        #: Source of pages -> recoveries of the store that it had seen.
        self._recoveries: dict[str, int] = {}
        #: Set once all records up to the topic's end were applied.
        self.caught_up = threading.Event()
        #: read_clock() time of the newest freshness proof: everything written
        #: before it is known here.
        self.proof = float('-inf')

    def run(self) -> None:
        """Poll the topic until stop() is called."""
        delay = INITIAL_BACKOFF_SECONDS
        while not self._stop.is_set():
            try:
                self._poll_once()
            except LogDownError as error:
                self._record_failure(error)
                self._stop.wait(delay * random.uniform(0.5, 1))
                delay = min(self.timing.max_backoff_seconds, delay * 2)
                continue
            delay = INITIAL_BACKOFF_SECONDS
            if self.timing.pause_seconds and self._needs_pause:
                self._stop.wait(self.timing.pause_seconds)

    def stop(self) -> None:
        """Make run() return."""
        self._stop.set()

    def proof_age(self) -> float:
        """Return the age of the newest freshness proof in seconds."""
        return read_clock() - self.proof

    def find_next_offset(self) -> int | None:
        """Return the offset of the first record that is not known here.

        Returns None before the newest records were fetched.
        """
        return self._next_offset

    def _poll_once(self) -> None:
        started_at = read_clock()
        wait_seconds = 0.0 if self._is_down else self.timing.wait_seconds
        start = self._next_offset
        if start is None:
            page = self._topic.fetch_newest()
        else:
            try:
                page = self._topic.read(start, wait_seconds)
            except ExpiredError as error:
                logger.info(
                    'feed expired; fetching the newest records',
                    feed=self._name,
                    why=error.text,
                )
                self._next_offset = None
                return
        self._record_success(page)
        if self._era and page.era != self._era:
            self._restore(started_at)
            return
        self._era = page.era
        if start is None:
            next_offset = self._synchronize(page)
            page = page._replace(records=())
        else:
            self._apply_records(page.records)
            next_offset = start + len(page.records)
        proof = started_at
        if start is not None:
            proof = _find_proof(page, started_at, wait_seconds)
        self._advance(page, next_offset, proof)

    def _advance(self, page: Records, next_offset: int, proof: float) -> None:
        """Read on from an offset, up to which all records were applied.

        proof is the read_clock() before which all records are on the page.
        """
        self._next_offset = next_offset
        if next_offset >= page.end:
            self._listener.record_catch_up()
            self.caught_up.set()
            self.proof = max(self.proof, proof)
        self.tail.publish(
            page.records,
            next_offset,
            self.proof,
            self._listener.recoveries,
            page.era,
        )

    def _restore(self, started_at: float) -> None:
        """Go on after the store came back from an older copy.

        What is known here stays, since it is newer than the copy, until it is
        written again. Raises LogDownError.
        """
        newest = self._topic.fetch_newest()
        known = self.tail.list_records()
        divergence = find_divergence(self._topic, known, newest.era)
        present = {record.key for record in newest.records}
        logger.warning(
            'store restored from an older copy',
            feed=self._name,
            era=newest.era,
            before=self._era,
            lost=None if divergence is None else len(divergence.lost),
        )
        self._era = newest.era
        self._listener.record_restore(
            [key for key in self._offsets if key not in present]
        )
        if divergence is None:
            self.lost.add(find_missing(known, present))
            self._apply_unequal(newest.records)
            self._advance(newest._replace(records=()), newest.end, started_at)
            return
        first = divergence.records[0].offset
        for key, offset in self._offsets.items():
            self._offsets[key] = min(offset, first + divergence.common - 1)
        self.lost.add(divergence.lost)
        self._apply_records(divergence.list_new())
        end = first + len(divergence.records)
        page = newest._replace(records=divergence.records, end=end)
        self._advance(page, end, started_at)

    def _apply_unequal(self, records: Sequence[Record]) -> None:
        """Apply the newest record of each key, but for those known already."""
        equal = {
            record.key: record.offset
            for record in records
            if self._offsets.get(record.key) == record.offset
            and self._digests.get(record.key) == hash(record.content)
        }
        self._offsets = equal
        self._apply_records(records)

    def _record_success(self, page: Records) -> None:
        self._needs_pause = bool(page.records) and not page.source
        known = self._recoveries.get(page.source, page.recoveries)
        self._recoveries[page.source] = page.recoveries
        if self._is_down:
            self._is_down = False
            logger.info('dependency recovered', dependency=self._name)
            self._listener.record_recovery()
        elif page.recoveries > known:
            # The other entry saw an outage, in which records may have expired.
            self._listener.record_recovery()

    def _synchronize(self, page: Records) -> int:
        """Replace the known records by a page of all newest ones.

        Returns the topic's end as of the page.
        """
        present = {record.key for record in page.records}
        deleted = set(self._offsets) - present
        for key in deleted:
            self._offsets.pop(key)
            self._digests.pop(key, None)
            self._listener.apply(key, None)
        self._apply_records(page.records)
        return page.end

    def _apply_records(self, records: Iterable[Record]) -> None:
        for record in records:
            self._apply_record(record)

    def _apply_record(self, record: Record) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.content is None:
            self._offsets.pop(record.key, None)
            self._digests.pop(record.key, None)
        else:
            self._offsets[record.key] = record.offset
            self._digests[record.key] = hash(record.content)
        self.lost.discard(record.key)
        try:
            self._listener.apply(record.key, record.content)
        except Exception:  # noqa: BLE001 - others' records must be followed
            logger.exception(
                'record not applied', feed=self._name, key=record.key
            )

    def _record_failure(self, error: LogDownError) -> None:
        if self._is_down:
            return
        self._is_down = True
        self.tail.mark_unavailable()
        logger.warning(
            'dependency unavailable', dependency=self._name, why=error.text
        )


def _find_proof(page: Records, started_at: float, wait_seconds: float) -> float:
    """Return the read_clock() before which all records are on the page.

    The read, with a wait of wait_seconds, began at started_at.
    """
    if page.proof_age is not None:
        return started_at - page.proof_age
    if page.records:
        return started_at
    return started_at + max(0.0, wait_seconds - TIMER_MARGIN_SECONDS)
