"""Cache of the newest records of one stream, shared by many readers."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from ..errors import LogDownError
from ..interfaces.log import Entry, Log, Page
from ..protocol import peer_pb2

MS: Final = 1000
#: Older records are dropped; readers that are further behind call the log.
MAX_CACHED_RECORDS: Final = 2000
PAGE_RECORDS: Final = 1000
#: Longest and shortest wait of one long poll at the log.
MAX_WAIT_SECONDS: Final = 2.0
MIN_WAIT_SECONDS: Final = 0.05
#: After new records the next long poll starts at a multiple of this, equal in
#: all streams, so that the responses for several streams share a message.
POLL_PERIOD_SECONDS: Final = 0.5
#: Pause between reads up to the current end of the log.
END_READ_PAUSE_SECONDS: Final = 0.02
#: Pause after a read that failed.
FAILURE_PAUSE_SECONDS: Final = 0.2

Reply = Callable[[peer_pb2.LogAnswer], None]


class PendingRead(NamedTuple):
    """A read without a response yet; times are of time.monotonic()."""

    call: peer_pb2.LogCall
    reply: Reply
    arrived: float
    deadline: float

    def is_long_poll(self) -> bool:
        """Return True if the read waits for a new record."""
        return bool(self.call.wait_ms)


class TailCache:
    """Serves reads near a stream's end from shared reads of the log.

    Long polls share one long poll of the log. A read that does not wait is
    served from a read of the log that started after its arrival, so that it
    sees every earlier append.
    """

    def __init__(self, log: Log, stream: str) -> None:
        """Create an empty cache; the two serve methods read the log."""
        self._log = log
        self._stream = stream
        self._changed = threading.Condition()
        self._records: deque[Entry] = deque(maxlen=MAX_CACHED_RECORDS)
        self._end = 0
        self._earliest = 0
        self._log_end = 0
        #: Start of the last read of the log that succeeded.
        self._read_at = float('-inf')
        self._pending_reads: list[PendingRead] = []
        self._stopped = threading.Event()

    def submit(self, call: peer_pb2.LogCall, reply: Reply) -> None:
        """Queue a read, or reply at once if its records were dropped."""
        now = time.monotonic()
        pending = PendingRead(call, reply, now, now + call.wait_ms / MS)
        with self._changed:
            if call.start > self._end:
                self._reset(call.start)
            behind = call.start < self._first_offset()
            if not behind:
                self._pending_reads.append(pending)
                self._changed.notify_all()
        if behind:
            reply(peer_pb2.LogAnswer(number=call.number, behind=True))
        elif pending.is_long_poll():
            self._answer_due_reads(float('-inf'))

    def serve_long_polls(self) -> None:
        """Read the log for queued long polls, until stopped."""
        while self._wait_for_reads(lambda pending: pending.is_long_poll()):
            if self._read_log(self._compute_wait()):
                now = time.monotonic()
                self._stopped.wait(
                    POLL_PERIOD_SECONDS - now % POLL_PERIOD_SECONDS
                )

    def serve_end_reads(self) -> None:
        """Read the log for queued reads that do not wait, until stopped."""
        while self._wait_for_reads(lambda pending: not pending.is_long_poll()):
            self._read_log(0)
            self._stopped.wait(END_READ_PAUSE_SECONDS)

    def stop(self) -> None:
        """End serve_long_polls() and serve_end_reads()."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def _wait_for_reads(self, matches: Callable[[PendingRead], bool]) -> bool:
        """Return True once a queued read matches, False if stopped."""
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._stopped.is_set()
                    or any(map(matches, self._pending_reads))
                )
            )
        return not self._stopped.is_set()

    def _compute_wait(self) -> float:
        with self._changed:
            deadlines = [pending.deadline for pending in self._pending_reads]
        left = min(deadlines, default=0.0) - time.monotonic()
        return min(max(left, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)

    def _read_log(self, wait_seconds: float) -> bool:
        """Read the log once; return True if there were records."""
        started_at = time.monotonic()
        start = self._end
        try:
            page = self._log.read(
                self._stream, start, PAGE_RECORDS, wait_seconds
            )
        except LogDownError as error:
            self._fail_reads(started_at, error)
            self._stopped.wait(FAILURE_PAUSE_SECONDS)
            return False
        with self._changed:
            self._store_page(page, started_at)
        self._answer_due_reads(started_at)
        return bool(page.entries)

    def _store_page(self, page: Page, started_at: float) -> None:
        if page.earliest > self._end:
            self._reset(page.earliest)
        for entry in page.entries:
            if entry.offset == self._end:
                self._records.append(entry)
                self._end += 1
        self._earliest = max(self._earliest, page.earliest)
        self._log_end = max(self._log_end, page.end)
        self._read_at = max(self._read_at, started_at)

    def _answer_due_reads(self, started_at: float) -> None:
        """Reply to the queued reads that a read of the log has served."""
        now = time.monotonic()
        with self._changed:
            answers = [
                (pending, self._make_answer(pending.call, now))
                for pending in self._pending_reads
                if self._is_due(pending, started_at, now)
            ]
            due_ids = {id(pending) for pending, _ in answers}
            self._pending_reads = [
                pending
                for pending in self._pending_reads
                if id(pending) not in due_ids
            ]
        for pending, answer in answers:
            pending.reply(answer)

    def _is_due(
        self, pending: PendingRead, started_at: float, now: float
    ) -> bool:
        if not pending.is_long_poll():
            return started_at >= pending.arrived
        if (
            self._end > pending.call.start
            or pending.call.start < self._first_offset()
        ):
            return True
        return now >= pending.deadline and self._read_at >= pending.arrived

    def _make_answer(
        self,
        call: peer_pb2.LogCall,
        now: float,
    ) -> peer_pb2.LogAnswer:
        first = self._first_offset()
        if call.start < first:
            return peer_pb2.LogAnswer(number=call.number, behind=True)
        answer = peer_pb2.LogAnswer(
            number=call.number,
            earliest=self._earliest,
            end=max(self._log_end, self._end),
            age_ms=int(max(0.0, now - self._read_at) * MS) + 1,
        )
        first_index = call.start - first
        for index in range(
            first_index, min(len(self._records), first_index + call.limit)
        ):
            entry = self._records[index]
            answer.records.add(offset=entry.offset, body=entry.body)
        return answer

    def _fail_reads(self, started_at: float, error: LogDownError) -> None:
        with self._changed:
            failed_reads = [
                pending
                for pending in self._pending_reads
                if pending.arrived <= started_at
            ]
            self._pending_reads = [
                pending
                for pending in self._pending_reads
                if pending.arrived > started_at
            ]
        for pending in failed_reads:
            pending.reply(
                peer_pb2.LogAnswer(number=pending.call.number, error=error.text)
            )

    def _first_offset(self) -> int:
        return self._end - len(self._records)

    def _reset(self, offset: int) -> None:
        """Drop the cached records and continue at a later offset."""
        self._records.clear()
        self._end = offset
