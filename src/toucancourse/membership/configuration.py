"""The configuration that this process has applied."""

import threading
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Final

from loguru import logger

from ..contract.records import Snapshot, decode_record
from ..contract.replay import DAMAGED, Verdict, apply_entry
from ..contract.snapshots import load_snapshot
from ..contract.state import State
from ..interfaces.log import Entry

#: Raw records kept to push to peers that lack them.
MAX_RECENT_RECORDS: Final = 2000
#: Verdicts kept to answer operators, and digests kept to check snapshots.
MAX_RECENT_VERDICTS: Final = 2000


class Configuration:
    """The replicated state, which only advances; thread-safe.

    Other threads can wait for an offset or for the verdict on a change.
    """

    def __init__(self) -> None:
        """Create a configuration, not ready until a state is installed."""
        self._changed = threading.Condition()
        self._state = State()
        self._ready = False
        self._recent: deque[Entry] = deque(maxlen=MAX_RECENT_RECORDS)
        self._verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self._digests: OrderedDict[int, str] = OrderedDict()
        #: Offset of the last snapshot record, or of the installed state.
        self.last_snapshot_offset = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def state(self) -> State:
        """Return the newest state."""
        return self._state

    @property
    def offset(self) -> int:
        """Return the offset after the last applied record."""
        return self._state.offset

    def is_ready(self) -> bool:
        """Return True once a first state was installed."""
        return self._ready

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each advance, in the thread that advances."""
        self._listeners.append(listener)

    def install_state(self, state: State) -> None:
        """Replace the state by a newer one; ignore one that is not newer."""
        with self._changed:
            if self._ready and state.offset <= self._state.offset:
                return
            self._state = state
            self._ready = True
            self.last_snapshot_offset = state.offset
            self._recent.clear()
            self._changed.notify_all()
        self._notify_listeners()

    def apply(self, entries: Iterable[Entry]) -> bool:
        """Apply entries in order; return False at a gap in their offsets.

        Entries that were applied already are skipped, and nothing is applied
        before a first state is installed.
        """
        advanced = False
        contiguous = True
        with self._changed:
            if not self._ready:
                return False
            for entry in entries:
                if entry.offset < self._state.offset:
                    continue
                if entry.offset > self._state.offset:
                    contiguous = False
                    break
                self._apply_entry(entry)
                advanced = True
            if advanced:
                self._changed.notify_all()
        if advanced:
            self._notify_listeners()
        return contiguous

    def install_snapshot(self, body: str) -> None:
        """Install the state of a peer's snapshot record if it is newer."""
        record = decode_record(body)
        if isinstance(record, Snapshot):
            state = load_snapshot(record)
            if state is not None:
                self.install_state(state)

    def entries_from(self, offset: int) -> tuple[Entry, ...] | None:
        """Return the entries from an offset on, or None if not all are kept."""
        with self._changed:
            if offset >= self._state.offset:
                return ()
            if not self._recent or self._recent[0].offset > offset:
                return None
            return tuple(
                entry for entry in self._recent if entry.offset >= offset
            )

    def wait_offset(self, offset: int, timeout: float) -> bool:
        """Return True once every record before the offset is applied.

        Returns False after the timeout in seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state.offset >= offset, timeout
            )

    def wait_verdict(self, change_id: str, timeout: float) -> Verdict | None:
        """Return the first verdict on a change.

        Returns None after the timeout in seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: change_id in self._verdicts, timeout)
            return self._verdicts.get(change_id)

    def _apply_entry(self, entry: Entry) -> None:
        applied = apply_entry(self._state, entry)
        self._state = applied.state
        self._recent.append(entry)
        verdict = applied.verdict
        if verdict.change_id:
            self._verdicts.setdefault(verdict.change_id, verdict)
            _evict_oldest(self._verdicts)
        if verdict.code == DAMAGED:
            logger.bind(offset=entry.offset).warning(
                'configuration record skipped: {}',
                verdict.problems[0].text,
            )
        self._check_snapshot(entry)
        self._digests[self._state.offset] = self._state.digest()
        _evict_oldest(self._digests)

    def _check_snapshot(self, entry: Entry) -> None:
        record = decode_record(entry.body)
        if not isinstance(record, Snapshot):
            return
        self.last_snapshot_offset = entry.offset
        own_digest = self._digests.get(record.offset)
        if own_digest is not None and own_digest != record.digest:
            logger.bind(offset=entry.offset).error(
                'snapshot at offset {} has digest "{}", expected "{}"',
                record.offset,
                record.digest,
                own_digest,
            )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _evict_oldest(items: OrderedDict) -> None:  # type: ignore[type-arg]
    while len(items) > MAX_RECENT_VERDICTS:
        items.popitem(last=False)
