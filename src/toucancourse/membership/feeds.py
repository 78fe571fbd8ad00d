"""Follows a keyed topic and passes changes to a listener."""

import random
import threading
from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from .clock import read_clock
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

    def record_catch_up(self) -> None:  # noqa: B027  # few listeners need it
        """Record that all records up to the topic's end were applied."""


class PollTiming(NamedTuple):
    """Intervals at which a topic is polled, in seconds."""

    #: Timeout of one long poll; each response renews the freshness proof.
    wait_seconds: float
    #: Pause between reads, so that one read returns many records.
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
        self._stop = threading.Event()
        self._is_down = False
        #: True if the last page came from another entry.
        self._is_shared = False
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
            if self.timing.pause_seconds and not self._is_shared:
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
            self._record_success(page)
            next_offset = self._synchronize(page)
            page = page._replace(records=())
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
            for record in page.records:
                self._apply_record(record)
            next_offset = start + len(page.records)
        self._next_offset = next_offset
        if next_offset >= page.end:
            self._listener.record_catch_up()
            self.caught_up.set()
            proof = _find_proof(page, started_at, wait_seconds)
            if start is None:
                proof = started_at
            self.proof = max(self.proof, proof)
        self.tail.publish(
            page.records, next_offset, self.proof, self._listener.recoveries
        )

    def _record_success(self, page: Records) -> None:
        self._is_shared = bool(page.source)
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
            self._listener.apply(key, None)
        for record in page.records:
            self._apply_record(record)
        return page.end

    def _apply_record(self, record: Record) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.content is None:
            self._offsets.pop(record.key, None)
        else:
            self._offsets[record.key] = record.offset
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
