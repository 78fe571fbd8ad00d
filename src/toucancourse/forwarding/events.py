"""Splits a byte stream into complete server-sent events."""

from typing import Final, NamedTuple

from ..errors import EndpointError
from .buffers import PieceBuffer

EVENT_END: Final = b'\n\n'
ID_FIELD: Final = b'id:'
#: Largest event; a faulty endpoint may send bytes without an event's end.
MAX_EVENT_BYTES: Final = 4_194_304


class CompleteEvents(NamedTuple):
    """Complete events and the identifier to resume after them."""

    content: bytes
    number: int
    #: Identifier of the last event with an id field, or ''.
    last_id: str


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    def __init__(self) -> None:
        """Create a splitter for a new stream."""
        self._partial = PieceBuffer()

    def add(self, content: bytes) -> CompleteEvents:
        """Add received bytes and return the events that are now complete.

        Raises EndpointError if an incomplete event is too long.
        """
        if EVENT_END not in self._partial.find_last_byte() + content:
            self._keep(content)
            return CompleteEvents(b'', 0, '')
        received = self._partial.pop_all() + content
        complete, end, partial = received.rpartition(EVENT_END)
        self._keep(partial)
        content = complete + end
        return CompleteEvents(
            content, content.count(EVENT_END), _find_last_id(complete)
        )

    def count_buffered(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return self._partial.size

    def _keep(self, partial: bytes) -> None:
        if self._partial.size + len(partial) > MAX_EVENT_BYTES:
            raise EndpointError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes'
            )
        if partial:
            self._partial.add(partial)


def _find_last_id(complete: bytes) -> str:
    for line in reversed(complete.split(b'\n')):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return ''
