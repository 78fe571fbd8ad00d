"""Snapshots: start of a reader after the log dropped its oldest records."""

from collections import deque
from typing import Final

from ..errors import DECODE_ERRORS
from ..interfaces.log import Entry
from .fold import fold_entry
from .records import Snapshot, decode_record
from .state import State, dump_state, load_state

#: Entries kept while no usable snapshot has been read.
MAX_PENDING: Final = 100_000


class GapError(Exception):
    """The log's records do not continue the state."""


def take_snapshot(state: State) -> Snapshot:
    """Return a snapshot record of a state."""
    return Snapshot(state.offset, dump_state(state), state.digest())


def open_snapshot(snapshot: Snapshot) -> State | None:
    """Return the state of a snapshot, or None if it is damaged."""
    try:
        state = load_state(snapshot.state)
    except DECODE_ERRORS:
        return None
    intact = state.digest() == snapshot.digest
    return state if intact and state.offset == snapshot.offset else None


class Starter:
    """Finds a first state in a log whose oldest records are gone."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self._pending: deque[Entry] = deque(maxlen=MAX_PENDING)

    def feed(self, entry: Entry) -> State | None:
        """Return the state after the entry, once one can be known.

        The log's very first record needs no snapshot. Otherwise the first
        snapshot whose later records were all read gives the state.
        """
        self._pending.append(entry)
        first = self._pending[0].offset
        if first == 0:
            return self._replay(State())
        record = decode_record(entry.body)
        if isinstance(record, Snapshot) and record.offset >= first:
            state = open_snapshot(record)
            return self._replay(state) if state else None
        return None

    def _replay(self, state: State) -> State:
        for entry in self._pending:
            if entry.offset >= state.offset:
                state = fold_entry(state, entry).state
        return state
