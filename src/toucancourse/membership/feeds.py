"""Follows a keyed topic and tells what changed."""

import random
import threading
from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from .clock import read_clock
from .topics import ExpiredError, Record, Records, Topic

#: First pause after a failed call.
RETRY_SECONDS: Final = 0.1
#: An empty answer to a long poll proves what was newest when the poll ended;
#: the store's timer may fire early by this much.
TIMER_MARGIN: Final = 0.05


class Listener(ABC):
    """Told of each key's newest record, by one thread."""

    #: How often the store came back after a failure.
    returns = 0

    @abstractmethod
    def apply(self, key: str, content: bytes | None) -> None:
        """Take the newest content of a key, or None if it was dropped."""

    def note_return(self) -> None:
        """Take note that the store is back; its records follow."""
        self.returns += 1

    def settle(self) -> None:  # noqa: B027  # few listeners need it
        """Take note that all records up to the end were applied."""


class Pace(NamedTuple):
    """How a topic is read."""

    #: Longest wait of one read in seconds; each answer proves what is newest.
    wait: float
    #: Pause between reads in seconds, so that one read carries many records.
    pause: float
    #: Longest pause after a failed call in seconds.
    max_retry: float = 0.4


class Feed:
    """Keeps a listener up to date with a keyed topic."""

    def __init__(
        self,
        name: str,
        topic: Topic,
        listener: Listener,
        pace: Pace,
    ) -> None:
        """Keep the parts; run() follows the topic."""
        self._name = name
        self._topic = topic
        self._listener = listener
        self._pace = pace
        #: Key -> offset of its newest record.
        self._offsets: dict[str, int] = {}
        self._next: int | None = None
        self._stop = threading.Event()
        self._is_down = False
        #: Set once all records up to the end were applied.
        self.settled = threading.Event()
        #: read_clock() up to which everything written is known here.
        self.proof = float('-inf')

    def run(self) -> None:
        """Follow the topic until stopped."""
        delay = RETRY_SECONDS
        while not self._stop.is_set():
            try:
                self._step()
            except LogDownError as error:
                self._note_down(error)
                self._stop.wait(delay * random.uniform(0.5, 1))
                delay = min(self._pace.max_retry, delay * 2)
                continue
            delay = RETRY_SECONDS
            if self._pace.pause:
                self._stop.wait(self._pace.pause)

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def age(self) -> float:
        """Return the age of the newest proof in seconds."""
        return read_clock() - self.proof

    def find_end(self) -> int | None:
        """Return the offset up to which records are known here."""
        return self._next

    def _step(self) -> None:
        began = read_clock()
        wait = 0.0 if self._is_down else self._pace.wait
        start = self._next
        if start is None:
            page = self._topic.fetch_newest()
            self._note_up()
            reached = self._synchronize(page)
        else:
            try:
                page = self._topic.read(start, wait)
            except ExpiredError as error:
                logger.info('feed restarts', feed=self._name, why=error.text)
                self._next = None
                return
            self._note_up()
            for record in page.records:
                self._take(record)
            reached = start + len(page.records)
            if not page.records:
                began += max(0.0, wait - TIMER_MARGIN)
        self._next = reached
        if reached >= page.end:
            self._listener.settle()
            self.settled.set()
            self.proof = max(self.proof, began)

    def _note_up(self) -> None:
        if self._is_down:
            self._is_down = False
            logger.info('dependency back', dependency=self._name)
            self._listener.note_return()

    def _synchronize(self, page: Records) -> int:
        """Take the newest records; return the offset after them."""
        present = {record.key for record in page.records}
        gone = set(self._offsets) - present
        for key in gone:
            self._offsets.pop(key)
            self._listener.apply(key, None)
        for record in page.records:
            self._take(record)
        return page.end

    def _take(self, record: Record) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.content is None:
            self._offsets.pop(record.key, None)
        else:
            self._offsets[record.key] = record.offset
        self._listener.apply(record.key, record.content)

    def _note_down(self, error: LogDownError) -> None:
        if self._is_down:
            return
        self._is_down = True
        logger.warning('dependency lost', dependency=self._name, why=error.text)
