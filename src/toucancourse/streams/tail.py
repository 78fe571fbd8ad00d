"""The newest records of one stream, read once for many readers."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from ..errors import LogDownError
from ..interfaces.log import Entry, Log, Page
from ..protocol import peer_pb2

MS: Final = 1000
KEPT_RECORDS: Final = 2000
PAGE_RECORDS: Final = 1000
#: Longest wait of one read at the log.
MAX_WAIT_SECONDS: Final = 2.0
MIN_WAIT_SECONDS: Final = 0.05
#: Reads that bring records begin at multiples of this, in all streams alike,
#: so that answers about several streams share a message.
POLL_PERIOD_SECONDS: Final = 0.5
#: Pause between reads of the log's present end.
SYNC_PAUSE_SECONDS: Final = 0.02
#: Pause after a read that failed.
FAILURE_PAUSE_SECONDS: Final = 0.2

Reply = Callable[[peer_pb2.LogAnswer], None]


class Reading(NamedTuple):
    """A read that waits for its answer; times are of time.monotonic()."""

    call: peer_pb2.LogCall
    reply: Reply
    arrived: float
    deadline: float

    def is_waiting(self) -> bool:
        """Return True if the read waits for new records."""
        return bool(self.call.wait_ms)


class Tail:
    """Answers reads near a stream's end from one read of the log.

    Reads that wait for new records share a long poll; those that want the
    present end share a read that began after they arrived.
    """

    def __init__(self, log: Log, stream: str) -> None:
        """Start with no records; poll() and sync() read."""
        self._log = log
        self._stream = stream
        self._changed = threading.Condition()
        self._records: deque[Entry] = deque(maxlen=KEPT_RECORDS)
        self._end = 0
        self._earliest = 0
        self._log_end = 0
        #: Start of the last read of the log that succeeded.
        self._read_at = float('-inf')
        self._readings: list[Reading] = []
        self._stopped = threading.Event()

    def ask(self, call: peer_pb2.LogCall, reply: Reply) -> None:
        """Answer a read later, or at once if its records are gone here."""
        now = time.monotonic()
        reading = Reading(call, reply, now, now + call.wait_ms / MS)
        with self._changed:
            if call.start > self._end:
                self._restart(call.start)
            behind = call.start < self._first()
            if not behind:
                self._readings.append(reading)
                self._changed.notify_all()
        if behind:
            reply(peer_pb2.LogAnswer(number=call.number, behind=True))
        elif reading.is_waiting():
            self._answer(float('-inf'))

    def poll(self) -> None:
        """Read for those that wait for new records, until stopped."""
        while self._wait_for(lambda row: row.is_waiting()):
            if self._advance(self._find_wait()):
                now = time.monotonic()
                self._stopped.wait(
                    POLL_PERIOD_SECONDS - now % POLL_PERIOD_SECONDS
                )

    def sync(self) -> None:
        """Read for those that want the present end, until stopped."""
        while self._wait_for(lambda row: not row.is_waiting()):
            self._advance(0)
            self._stopped.wait(SYNC_PAUSE_SECONDS)

    def stop(self) -> None:
        """End poll() and sync()."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def _wait_for(self, wanted: Callable[[Reading], bool]) -> bool:
        """Return True once there is a wanted reading, False if stopped."""
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._stopped.is_set() or any(map(wanted, self._readings))
                )
            )
        return not self._stopped.is_set()

    def _find_wait(self) -> float:
        with self._changed:
            deadlines = [row.deadline for row in self._readings]
        left = min(deadlines, default=0.0) - time.monotonic()
        return min(max(left, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)

    def _advance(self, wait_seconds: float) -> bool:
        """Read the log once; return True if it brought records."""
        began = time.monotonic()
        start = self._end
        try:
            page = self._log.read(
                self._stream, start, PAGE_RECORDS, wait_seconds
            )
        except LogDownError as error:
            self._fail(began, error)
            self._stopped.wait(FAILURE_PAUSE_SECONDS)
            return False
        with self._changed:
            self._take(page, began)
        self._answer(began)
        return bool(page.entries)

    def _take(self, page: Page, began: float) -> None:
        if page.earliest > self._end:
            self._restart(page.earliest)
        for entry in page.entries:
            if entry.offset == self._end:
                self._records.append(entry)
                self._end += 1
        self._earliest = max(self._earliest, page.earliest)
        self._log_end = max(self._log_end, page.end)
        self._read_at = max(self._read_at, began)

    def _answer(self, began: float) -> None:
        """Answer what can be answered after a read begun at a moment."""
        now = time.monotonic()
        with self._changed:
            answers = [
                (row, self._make_answer(row.call, now))
                for row in self._readings
                if self._is_due(row, began, now)
            ]
            done = {id(row) for row, _ in answers}
            self._readings = [
                row for row in self._readings if id(row) not in done
            ]
        for row, answer in answers:
            row.reply(answer)

    def _is_due(self, row: Reading, began: float, now: float) -> bool:
        if not row.is_waiting():
            return began >= row.arrived
        if self._end > row.call.start or row.call.start < self._first():
            return True
        return now >= row.deadline and self._read_at >= row.arrived

    def _make_answer(
        self,
        call: peer_pb2.LogCall,
        now: float,
    ) -> peer_pb2.LogAnswer:
        first = self._first()
        if call.start < first:
            return peer_pb2.LogAnswer(number=call.number, behind=True)
        answer = peer_pb2.LogAnswer(
            number=call.number,
            earliest=self._earliest,
            end=max(self._log_end, self._end),
            age_ms=int(max(0.0, now - self._read_at) * MS) + 1,
        )
        skipped = call.start - first
        for place in range(
            skipped, min(len(self._records), skipped + call.limit)
        ):
            entry = self._records[place]
            answer.records.add(offset=entry.offset, body=entry.body)
        return answer

    def _fail(self, began: float, error: LogDownError) -> None:
        with self._changed:
            failed = [row for row in self._readings if row.arrived <= began]
            self._readings = [
                row for row in self._readings if row.arrived > began
            ]
        for row in failed:
            row.reply(
                peer_pb2.LogAnswer(number=row.call.number, error=error.text)
            )

    def _first(self) -> int:
        return self._end - len(self._records)

    def _restart(self, offset: int) -> None:
        """Forget the records and go on at an offset further on."""
        self._records.clear()
        self._end = offset
