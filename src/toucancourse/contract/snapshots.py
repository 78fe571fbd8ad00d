"""Snapshots, from which readers recover after the log dropped old records."""

from collections import deque
from typing import Final

from ..errors import DECODE_ERRORS
from ..interfaces.log import Entry
from .records import Snapshot, decode_record
from .replay import apply_entry
from .state import State, dump_state, load_state

#: Log entries buffered while no usable snapshot has been read.
MAX_PENDING_ENTRIES: Final = 100_000


class GapError(Exception):
    """The log's records do not start where the state ends."""


def create_snapshot(state: State) -> Snapshot:
    """Return a snapshot record of a state."""
    return Snapshot(state.offset, dump_state(state), state.digest())


def load_snapshot(snapshot: Snapshot) -> State | None:
    """Return the state of a snapshot, or None if it is damaged.

    It is damaged if it is malformed or its digest or offset does not match.
    """
    try:
        state = load_state(snapshot.state)
    except DECODE_ERRORS:
        return None
    intact = state.digest() == snapshot.digest
    return state if intact and state.offset == snapshot.offset else None


class StateRecovery:
    """Recovers an initial state from a log that dropped its oldest records."""

    def __init__(self) -> None:
        """Create a recovery that has read no entries."""
        self._pending: deque[Entry] = deque(maxlen=MAX_PENDING_ENTRIES)

    def add_entry(self, entry: Entry) -> State | None:
        """Add the next entry; return the state after it, or None.

        A log that still has its very first record needs no snapshot.
        Otherwise the state comes from the first snapshot after whose offset
        all records were read.
        """
        self._pending.append(entry)
        first = self._pending[0].offset
        if first == 0:
            return self._replay(State())
        record = decode_record(entry.body)
        if isinstance(record, Snapshot) and record.offset >= first:
            state = load_snapshot(record)
            return self._replay(state) if state else None
        return None

    def _replay(self, state: State) -> State:
        for entry in self._pending:
            if entry.offset >= state.offset:
                state = apply_entry(state, entry).state
        return state
