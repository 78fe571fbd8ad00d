"""Keeps a book folded from one stream of the log."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Final, Generic, TypeVar

from loguru import logger

from ..errors import DECODE_ERRORS, LogDownError
from ..interfaces.log import Entry, Log
from .codec import Codec, SnapshotItem, encode_items

PAGE_RECORDS: Final = 1000
MAX_BACKOFF_SECONDS: Final = 2.0
#: How long a read waits at the log for a new record.
WAIT_SECONDS: Final = 2.0


class Book(ABC):
    """State folded from a stream's items, in log order."""

    @abstractmethod
    def apply(self, item: Any) -> None:
        """Fold one item; equal on all readers."""

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""

    @abstractmethod
    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""


BookT = TypeVar('BookT', bound=Book)


class Follower(Generic[BookT]):
    """Reads one stream in order and folds it into a book.

    Hold `lock` while reading the book.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        codec: Codec,
        book: BookT,
        poll_seconds: float,
    ) -> None:
        """Keep the parts; run() or sync() reads."""
        self._log = log
        self._stream = stream
        self._codec = codec
        self._poll = poll_seconds
        self._offset = 0
        self._reading = threading.Lock()
        self._stop = threading.Event()
        self._since_snapshot = 0
        #: time.monotonic() at the start of the last read that succeeded.
        self.last_read = float('-inf')
        self.book = book
        self.lock = threading.Condition()

    @property
    def offset(self) -> int:
        """Return the offset after the last folded record."""
        return self._offset

    @property
    def records_since_snapshot(self) -> int:
        """Return the records folded since the last snapshot was seen."""
        return self._since_snapshot

    def sync(self, offset: int, timeout: float) -> None:
        """Fold every record before an offset.

        Raises LogDownError.
        """
        deadline = time.monotonic() + timeout
        while self._offset < offset:
            if time.monotonic() > deadline:
                raise LogDownError(f'stream "{self._stream}" is not readable')
            self._read(0)

    def catch_up(self) -> None:
        """Fold every record that the log holds now.

        Raises LogDownError.
        """
        self.sync(self._read(0), MAX_BACKOFF_SECONDS)

    def wait(self, check: Callable[[], bool], timeout: float) -> bool:
        """Return True once a check of the book holds."""
        with self.lock:
            return self.lock.wait_for(check, timeout)

    def run(self) -> None:
        """Follow the stream until stopped."""
        backoff = self._poll
        while not self._stop.is_set():
            try:
                self._read(max(self._poll, WAIT_SECONDS))
                backoff = self._poll
            except LogDownError:
                self._stop.wait(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def write_snapshot(self) -> None:
        """Append a snapshot of the book.

        Raises LogDownError.
        """
        with self.lock:
            item = SnapshotItem(self._offset, self.book.dump())
        self._log.append(self._stream, encode_items([item]))

    def _read(self, wait_seconds: float) -> int:
        """Fold a page of records; return the end of the stream."""
        start = self._offset
        began = time.monotonic()
        # A long poll does not hold the lock, so sync() is never delayed by it.
        page = self._log.read(self._stream, start, PAGE_RECORDS, wait_seconds)
        self.last_read = max(self.last_read, began - page.age_seconds)
        with self._reading:
            if page.earliest > self._offset and self._offset == start:
                self._start_from_snapshot(page.earliest)
                return page.end
            for entry in page.entries:
                if entry.offset == self._offset:
                    self._fold(entry)
        return page.end

    def _fold(self, entry: Entry) -> None:
        with self.lock:
            self._since_snapshot += 1
            for item in self._codec.decode(entry.body):
                if isinstance(item, SnapshotItem):
                    self._since_snapshot = 0
                else:
                    self._apply(item)
            self._offset = entry.offset + 1
            self.lock.notify_all()

    def _apply(self, item: Any) -> None:
        """Fold an item; what a damaged one changes is alike for all readers."""
        try:
            self.book.apply(item)
        except DECODE_ERRORS as error:
            logger.warning('item {} skipped: {}', type(item).__name__, error)

    def _start_from_snapshot(self, earliest: int) -> None:
        offset = earliest
        pending: list[Entry] = []
        while True:
            page = self._log.read(self._stream, offset, PAGE_RECORDS)
            if not page.entries:
                logger.error('stream "{}" has no snapshot', self._stream)
                self._stop.wait(self._poll)
                return
            for entry in page.entries:
                offset = entry.offset + 1
                pending.append(entry)
                if self._adopt(entry, pending, earliest):
                    return

    def _adopt(self, entry: Entry, pending: list[Entry], first: int) -> bool:
        for item in self._codec.decode(entry.body):
            if isinstance(item, SnapshotItem) and item.offset >= first:
                with self.lock:
                    self.book.load(item.dump)
                    self._offset = item.offset
                for later in pending:
                    if later.offset == self._offset:
                        self._fold(later)
                return True
        return False
