"""Marks of a response that broke off and started again.

HTTP/1.1 does not mark the place: the second response fills what is due of the
first one's head or body.
"""

import re
from collections.abc import Iterable, Iterator
from itertools import pairwise
from typing import Final

LINE_END: Final = b'\r\n'
#: Start of a response: version and status.
STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d \d{3}(?!\d)')
#: The same with its reason and its end.
WHOLE_STATUS_LINE: Final = re.compile(
    rb'HTTP/\d\.\d \d{3}(?!\d)[^\r\n]{0,256}\r\n'
)
#: Longest match of STATUS_LINE, with the byte after it.
STATUS_LINE_BYTES: Final = 13
#: A body's end that may be the beginning of a status line.
STATUS_LINE_START: Final = re.compile(
    rb'H(?:T(?:T(?:P(?:/(?:\d(?:\.(?:\d(?: \d{0,3})?)?)?)?)?)?)?)?\Z'
)


def holds_response(body: bytes, identifier: str) -> bool:
    """Return True if the head of a response to a request is in a body.

    The identifier is the request's own, and stands in each such head.
    """
    # The pattern is compiled for each request, so hardly ever.
    if not identifier or not STATUS_LINE.search(body):
        return False
    own = re.escape(identifier.encode('latin-1', 'replace'))
    header = re.compile(rb'\n[^\s:]+:[ \t]*%b[ \t]*(?:[\r\n]|\Z)' % own)
    return any(header.search(head) for head in _find_heads(body))


def holds_status_line(body: bytes) -> bool:
    """Return True if a whole status line, with its end, is in a body."""
    return bool(WHOLE_STATUS_LINE.search(body))


def may_hold_response(body: bytes) -> bool:
    """Return True if a status line, or its start at the end, is in a body."""
    end = body[-STATUS_LINE_BYTES:]
    return bool(STATUS_LINE.search(body) or STATUS_LINE_START.search(end))


def _find_heads(body: bytes) -> Iterator[bytes]:
    """Yield each status line and what follows, to the end of the head."""
    starts = [match.start() for match in STATUS_LINE.finditer(body)]
    for start, end in pairwise((*starts, len(body))):
        head, blank_line, _ = body[start:end].partition(LINE_END * 2)
        yield head + blank_line


def has_later_status_line(lines: Iterable[bytes]) -> bool:
    """Return True if a status line is in a head but at its beginning.

    A head that broke off runs into the status line of the response after it.
    """
    is_start = True
    for line in lines:
        # The first line begins with a status line of its own.
        if STATUS_LINE.search(line, int(is_start)):
            return True
        # A final response follows the empty line of an interim one.
        is_start = not line.strip(LINE_END)
    return False


class BodyEnd:
    """The last bytes of a body, in which another response may have begun."""

    def __init__(self) -> None:
        """Create the end of an empty body."""
        self._tail = b''
        self._has_status_line = False

    def add(self, content: bytes) -> None:
        """Add the next bytes of the body."""
        recent = self._tail + content
        if STATUS_LINE.search(recent):
            self._has_status_line = True
        self._tail = recent[-STATUS_LINE_BYTES:]

    def may_hold_start(self) -> bool:
        """Return True if a status line, or its start at the end, was added."""
        return self._has_status_line or self._find_start(b'') is not None

    def is_start(self, rest: bytes) -> bool | None:
        """Return whether a response began in the body that a rest follows.

        Returns None if more of the rest is needed to tell.
        """
        if self._has_status_line:
            return True
        start = self._find_start(rest)
        if start is None:
            return False
        is_whole = STATUS_LINE.match(self._tail + rest, start) is not None
        return True if is_whole else None

    def _find_start(self, rest: bytes) -> int | None:
        """Return where a status line begins in the tail, or None.

        The rest is what follows the body so far.
        """
        recent = self._tail + rest
        for pattern in (STATUS_LINE, STATUS_LINE_START):
            match = pattern.search(recent)
            if match is not None and match.start() < len(self._tail):
                return match.start()
        return None
