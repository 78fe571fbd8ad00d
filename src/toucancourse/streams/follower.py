"""Replicates the state of one stream of the log."""

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
#: Longest wait of one long poll for a new record.
LONG_POLL_SECONDS: Final = 2.0


class StreamState(ABC):
    """State machine that a stream's items are applied to, in log order."""

    @abstractmethod
    def apply(self, item: Any) -> None:
        """Apply one item; must be deterministic, so that all readers agree."""

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""

    @abstractmethod
    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""


StateT = TypeVar('StateT', bound=StreamState)


class Follower(Generic[StateT]):
    """Reads one stream in order and applies its items to a state.

    Hold `lock` while reading the state.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        codec: Codec,
        state: StateT,
        poll_seconds: float,
    ) -> None:
        """Create a follower at offset 0; run(), sync() and catch_up() read."""
        self._log = log
        self._stream = stream
        self._codec = codec
        self._poll = poll_seconds
        self._offset = 0
        self._apply_lock = threading.Lock()
        self._stop = threading.Event()
        self._since_snapshot = 0
        #: time.monotonic() at the start of the last read that succeeded.
        self.last_read = float('-inf')
        self.state = state
        self.lock = threading.Condition()

    @property
    def offset(self) -> int:
        """Return the offset after the last applied record."""
        return self._offset

    @property
    def records_since_snapshot(self) -> int:
        """Return the number of records applied since the last snapshot."""
        return self._since_snapshot

    def sync(self, offset: int, timeout: float) -> None:
        """Apply every record before an offset.

        Raises LogDownError.
        """
        deadline = time.monotonic() + timeout
        while self._offset < offset:
            if time.monotonic() > deadline:
                raise LogDownError(f'reading stream "{self._stream}" timed out')
            self._read_page(0)

    def catch_up(self) -> None:
        """Apply every record that the log holds now.

        Raises LogDownError.
        """
        self.sync(self._read_page(0), MAX_BACKOFF_SECONDS)

    def wait(self, check: Callable[[], bool], timeout: float) -> bool:
        """Return True once the check holds, or False after the timeout."""
        with self.lock:
            return self.lock.wait_for(check, timeout)

    def run(self) -> None:
        """Follow the stream until stopped."""
        backoff = self._poll
        while not self._stop.is_set():
            try:
                self._read_page(max(self._poll, LONG_POLL_SECONDS))
                backoff = self._poll
            except LogDownError:
                self._stop.wait(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def write_snapshot(self) -> None:
        """Append a snapshot of the state.

        Raises LogDownError.
        """
        with self.lock:
            item = SnapshotItem(self._offset, self.state.dump())
        self._log.append(self._stream, encode_items([item]))

    def _read_page(self, wait_seconds: float) -> int:
        """Apply a page of records; return the end offset of the stream."""
        start = self._offset
        began = time.monotonic()
        # The lock is not held during a long poll, which would delay sync().
        page = self._log.read(self._stream, start, PAGE_RECORDS, wait_seconds)
        self.last_read = max(self.last_read, began - page.age_seconds)
        with self._apply_lock:
            if page.earliest > self._offset and self._offset == start:
                self._start_from_snapshot(page.earliest)
                return page.end
            for entry in page.entries:
                if entry.offset == self._offset:
                    self._apply_record(entry)
        return page.end

    def _apply_record(self, entry: Entry) -> None:
        with self.lock:
            self._since_snapshot += 1
            for item in self._codec.decode(entry.body):
                if isinstance(item, SnapshotItem):
                    self._since_snapshot = 0
                else:
                    self._apply_item(item)
            self._offset = entry.offset + 1
            self.lock.notify_all()

    def _apply_item(self, item: Any) -> None:
        """Apply an item; an invalid one has the same effect on all readers."""
        try:
            self.state.apply(item)
        except DECODE_ERRORS as error:
            logger.warning(
                'invalid item {} ignored: {}', type(item).__name__, error
            )

    def _start_from_snapshot(self, earliest: int) -> None:
        offset = earliest
        records: list[Entry] = []
        while True:
            page = self._log.read(self._stream, offset, PAGE_RECORDS)
            if not page.entries:
                logger.error(
                    'stream "{}" has no snapshot to start from', self._stream
                )
                self._stop.wait(self._poll)
                return
            for entry in page.entries:
                offset = entry.offset + 1
                records.append(entry)
                if self._load_snapshot(entry, records, earliest):
                    return

    def _load_snapshot(
        self, entry: Entry, records: list[Entry], first: int
    ) -> bool:
        for item in self._codec.decode(entry.body):
            if isinstance(item, SnapshotItem) and item.offset >= first:
                with self.lock:
                    self.state.load(item.dump)
                    self._offset = item.offset
                for later in records:
                    if later.offset == self._offset:
                        self._apply_record(later)
                return True
        return False
