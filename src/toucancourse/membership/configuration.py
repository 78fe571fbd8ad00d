"""The configuration in force in this process."""

import threading
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Final

from loguru import logger

from ..contract.fold import DAMAGED, Verdict, fold_entry
from ..contract.records import Snapshot, decode_record
from ..contract.snapshots import open_snapshot
from ..contract.state import State
from ..interfaces.log import Entry

#: Raw records kept to bring peers up to date.
RECENT_RECORDS: Final = 2000
#: Verdicts and digests kept to answer operators and check snapshots.
RECENT_VERDICTS: Final = 2000


class Configuration:
    """The folded state, moving only forwards, and waits for its progress."""

    def __init__(self) -> None:
        """Start with no state; is_ready() turns True with the first one."""
        self._changed = threading.Condition()
        self._state = State()
        self._ready = False
        self._recent: deque[Entry] = deque(maxlen=RECENT_RECORDS)
        self._verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self._digests: OrderedDict[int, str] = OrderedDict()
        #: Offset of the last snapshot record, or of the adopted state.
        self.last_snapshot = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def state(self) -> State:
        """Return the newest folded state."""
        return self._state

    @property
    def offset(self) -> int:
        """Return the offset after the last folded record."""
        return self._state.offset

    def is_ready(self) -> bool:
        """Return True once a first state was adopted."""
        return self._ready

    def listen(self, listener: Callable[[], None]) -> None:
        """Call the listener after each advance, from the advancing thread."""
        self._listeners.append(listener)

    def adopt(self, state: State) -> None:
        """Take a whole state if it is newer than the present one."""
        with self._changed:
            if self._ready and state.offset <= self._state.offset:
                return
            self._state = state
            self._ready = True
            self.last_snapshot = state.offset
            self._recent.clear()
            self._changed.notify_all()
        self._tell()

    def apply(self, entries: Iterable[Entry]) -> bool:
        """Fold entries in order; return False if one lies beyond a gap."""
        advanced = False
        whole = True
        with self._changed:
            if not self._ready:
                return False
            for entry in entries:
                if entry.offset < self._state.offset:
                    continue
                if entry.offset > self._state.offset:
                    whole = False
                    break
                self._fold(entry)
                advanced = True
            if advanced:
                self._changed.notify_all()
        if advanced:
            self._tell()
        return whole

    def adopt_pushed(self, body: str) -> None:
        """Take the snapshot of a peer's state if it is newer than ours."""
        record = decode_record(body)
        if isinstance(record, Snapshot):
            state = open_snapshot(record)
            if state is not None:
                self.adopt(state)

    def after(self, offset: int) -> tuple[Entry, ...] | None:
        """Return the records from an offset on, or None if not all kept."""
        with self._changed:
            if offset >= self._state.offset:
                return ()
            if not self._recent or self._recent[0].offset > offset:
                return None
            return tuple(
                entry for entry in self._recent if entry.offset >= offset
            )

    def wait_offset(self, offset: int, timeout: float) -> bool:
        """Return True once every record before the offset is folded."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state.offset >= offset, timeout
            )

    def wait_verdict(self, change_id: str, timeout: float) -> Verdict | None:
        """Return the first verdict on a change, or None after the timeout."""
        with self._changed:
            self._changed.wait_for(lambda: change_id in self._verdicts, timeout)
            return self._verdicts.get(change_id)

    def _fold(self, entry: Entry) -> None:
        folded = fold_entry(self._state, entry)
        self._state = folded.state
        self._recent.append(entry)
        verdict = folded.verdict
        if verdict.change_id:
            self._verdicts.setdefault(verdict.change_id, verdict)
            _trim(self._verdicts)
        if verdict.code == DAMAGED:
            logger.bind(offset=entry.offset).warning(
                'configuration record skipped: {}', verdict.problems[0].text
            )
        self._check_snapshot(entry)
        self._digests[self._state.offset] = self._state.digest()
        _trim(self._digests)

    def _check_snapshot(self, entry: Entry) -> None:
        record = decode_record(entry.body)
        if not isinstance(record, Snapshot):
            return
        self.last_snapshot = entry.offset
        known = self._digests.get(record.offset)
        if known is not None and known != record.digest:
            logger.bind(offset=entry.offset).error(
                'snapshot at offset {} has digest "{}", expected "{}"',
                record.offset,
                record.digest,
                known,
            )

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _trim(rows: OrderedDict) -> None:  # type: ignore[type-arg]
    while len(rows) > RECENT_VERDICTS:
        rows.popitem(last=False)
