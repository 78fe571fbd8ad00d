"""HTTP responses that are checked to be whole.

http.client takes the end of a connection for the end of a head, and reads a
body whose length it can't parse until the connection ends.
"""

import socket
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
from http import HTTPStatus
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)
from io import BufferedReader, RawIOBase
from typing import Any, Final, cast

from ..errors import ResponseDefect

#: Longest head, with the heads of interim responses before it.
MAX_HEAD_BYTES: Final = 65_536
CHUNKED: Final = 'chunked'

_HEAD_DEFECTS: Final = (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)


class TruncatedHeadError(HTTPException):
    """The connection ended within the head of the response."""

    defect = ResponseDefect.head_truncated


class InvalidHeadError(HTTPException):
    """The head is too long, malformed, or does not tell the body's length."""

    defect = ResponseDefect.head_malformed


class InvalidChunkError(HTTPException):
    """The size or the end of a chunk is not valid."""

    defect = ResponseDefect.framing_malformed


def find_head_defect(error: Exception, received: int) -> ResponseDefect:
    """Return why reading a head failed after a number of bytes."""
    if not received:
        return ResponseDefect.absent
    if isinstance(error, OSError):
        return ResponseDefect.head_truncated
    return getattr(error, 'defect', ResponseDefect.head_malformed)


def find_body_defect(error: Exception) -> ResponseDefect:
    """Return why reading a body failed."""
    return getattr(error, 'defect', ResponseDefect.body_truncated)


class SocketReader(RawIOBase):
    """Reads a socket, notes its end and bounds the size of heads."""

    def __init__(self, raw: socket.SocketIO) -> None:
        """Wrap the reader that http.client made of a socket."""
        super().__init__()
        self._raw = raw
        self._head_bytes: int | None = 0
        #: True once the connection has ended.
        self.has_ended = False
        #: Bytes received so far.
        self.received = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Read into a buffer and return the number of bytes.

        Raises InvalidHeadError, and TimeoutError.
        """
        count = self._raw.readinto(buffer)
        if count == 0:
            self.has_ended = True
        self.received += count or 0
        if self._head_bytes is not None:
            self._head_bytes += count or 0
            if self._head_bytes > MAX_HEAD_BYTES + len(buffer):
                raise InvalidHeadError('the head is too long')
        return count

    def finish_head(self) -> None:
        """Read the body from now on, which is not bounded here."""
        self._head_bytes = None

    def close(self) -> None:
        """Release the socket."""
        self._raw.close()
        super().close()


class CheckedResponse(HTTPResponse):
    """A response that is rejected if its head or framing is not whole.

    begin() and reads of the body raise HTTPException in that case.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        """Create a response that is read from a socket."""
        super().__init__(sock, *args, **kwargs)
        raw = cast(socket.SocketIO, self.fp.detach())
        self._raw = self._wrap_socket(sock, raw)
        self._reader: BufferedReader = BufferedReader(self._raw)
        self.fp = self._reader

    def begin(self) -> None:
        """Read the head and check it.

        Raises TruncatedHeadError and InvalidHeadError.
        """
        super().begin()
        if self._raw.has_ended:
            raise TruncatedHeadError('the connection ended within the head')
        self._raw.finish_head()
        if self.status < HTTPStatus.OK:
            raise InvalidHeadError(f'unexpected status {self.status}')
        if any(isinstance(each, _HEAD_DEFECTS) for each in self.msg.defects):
            raise InvalidHeadError('a line of the head is no header')
        self._check_length()

    def read1(self, n: int = -1) -> bytes:  # noqa: WPS111
        """Return the next bytes of the body, or b'' at its end.

        Raises IncompleteRead if the body is shorter than its length.
        """
        content = super().read1(n)
        if not content and n and self.length:
            raise IncompleteRead(b'', self.length)
        return content

    def count_received(self) -> int:
        """Return the number of bytes received, also of heads before it."""
        return self._raw.received

    def _wrap_socket(
        self, sock: socket.socket, raw: socket.SocketIO
    ) -> SocketReader:
        """Return the reader of the response's socket."""
        return SocketReader(raw)

    def _check_length(self) -> None:
        """Raise InvalidHeadError if the length was stated but not used."""
        lengths = set(self.msg.get_all('content-length', ()))
        encodings = self.msg.get_all('transfer-encoding', ())
        if encodings and (lengths or not self.chunked or len(encodings) > 1):
            raise InvalidHeadError(f'unknown transfer encoding {encodings}')
        if len(lengths) > 1:
            raise InvalidHeadError(f'different lengths {sorted(lengths)}')
        for length in lengths:
            digits = length.strip()
            if not digits.isascii() or not digits.isdecimal():
                raise InvalidHeadError(f'invalid length "{length}"')

    def _read_next_chunk_size(self) -> int:
        """Return the next chunk's size.

        Raises InvalidChunkError, and IncompleteRead if it is cut off.
        """
        try:
            size = int(
                super()._read_next_chunk_size()  # type: ignore[misc]
            )
        except ValueError:
            size = -1
        if self._raw.has_ended:
            raise IncompleteRead(b'')
        if size < 0:
            raise InvalidChunkError('the size of a chunk is invalid')
        return size

    def _read_and_discard_trailer(self) -> None:
        """Read the end of a chunked body; raise IncompleteRead if cut off."""
        super()._read_and_discard_trailer()  # type: ignore[misc]
        if self._raw.has_ended:
            raise IncompleteRead(b'')


class CheckedConnection(HTTPConnection):
    """A connection whose responses are checked to be whole."""

    response_class = CheckedResponse
