"""Splits a stream of server-sent events into whole events."""

from typing import Final, NamedTuple

END: Final = b'\n\n'
ID_FIELD: Final = b'id:'


class Events(NamedTuple):
    """Some whole events."""

    content: bytes
    #: Identifier of the last event that has one, or ''.
    last: str


class EventSplitter:
    """Keeps the bytes of an event that is not whole yet."""

    def __init__(self) -> None:
        """Start empty."""
        self._rest = b''

    def add(self, content: bytes) -> Events:
        """Return the events that are whole now."""
        whole, end, rest = (self._rest + content).rpartition(END)
        self._rest = rest
        return Events(whole + end, _find_last(whole))

    def has_rest(self) -> bool:
        """Return True if an event was begun and is not whole."""
        return bool(self._rest)


def _find_last(whole: bytes) -> str:
    for line in reversed(whole.split(b'\n')):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return ''
