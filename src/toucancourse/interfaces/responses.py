"""HTTP responses that are checked to be whole.

http.client takes the end of a connection for the end of a head, reads a body
whose length it can't parse until the connection ends, and does not notice that
a response broke off and another one began.
"""

import math
import re
import select
import socket
import time
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
from http import HTTPStatus
from http.client import (
    CONTINUE,
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)
from io import BufferedReader, RawIOBase
from typing import Any, Final, cast

from ..errors import ResponseDefect
from .restarts import (
    LINE_END,
    STATUS_LINE_BYTES,
    BodyEnd,
    has_later_status_line,
)

#: Longest head, with the heads of interim responses before it.
MAX_HEAD_BYTES: Final = 65_536
#: Time in which the rest of a response that began in a body arrives.
RESTART_SECONDS: Final = 0.05
#: Pause before data that go on are looked for again.
RECHECK_SECONDS: Final = 0.002
MS_PER_SECOND: Final = 1000.0
#: Statuses of HTTP: three digits, from 100 to 599.
STATUS: Final = re.compile('[1-5][0-9]{2}')

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


class RestartedHeadError(HTTPException):
    """The head broke off and another response began."""

    defect = ResponseDefect.head_restarted


class RestartedBodyError(HTTPException):
    """The body broke off and another response began."""

    defect = ResponseDefect.body_restarted


class ResetBodyError(HTTPException):
    """Nothing proves that a body without a length is whole."""

    defect = ResponseDefect.body_truncated


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


class HeadReader(BufferedReader):
    """Keeps the lines that are read until the head ends."""

    def __init__(self, raw: RawIOBase) -> None:
        """Create a reader that has read nothing."""
        super().__init__(raw)
        self._lines: list[bytes] | None = []

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, with its end."""
        line = super().readline(size)
        if self._lines is not None:
            self._lines.append(line)
        return line

    def get_line(self) -> bytes:
        """Return the newest line of the head."""
        return self._lines[-1] if self._lines else b''

    def pop_lines(self) -> list[bytes]:
        """Return the lines so far, and keep none from now on."""
        lines, self._lines = self._lines or [], None
        return lines


class SocketReader(RawIOBase):
    """Reads a socket, notes its end and bounds the size of heads."""

    def __init__(self, raw: socket.SocketIO) -> None:
        """Wrap the reader that http.client made of a socket."""
        super().__init__()
        self._raw = raw
        self._head_bytes: int | None = 0
        self._is_paused = False
        #: True once the connection has ended.
        self.has_ended = False
        #: Bytes received so far.
        self.received = 0
        #: time.monotonic() after which no data are awaited.
        self.until = math.inf

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Read into a buffer and return the number of bytes.

        Raises InvalidHeadError, and TimeoutError.
        """
        if self._is_paused:
            raise TimeoutError
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

    def peek_buffered(self, reader: BufferedReader) -> bytes:
        """Return what a reader of this has buffered, without reading more."""
        self._is_paused = True
        try:
            return bytes(reader.peek(1))
        except (OSError, ValueError):
            return b''
        finally:
            self._is_paused = False

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
        self._sock = sock
        self._reader = HeadReader(self._raw)
        self.fp = self._reader
        self._body_end = BodyEnd()
        #: False if the connection took only a part of the request.
        self.is_request_sent = True

    def begin(self) -> None:
        """Read the head and check it.

        Raises TruncatedHeadError, RestartedHeadError and InvalidHeadError.
        """
        super().begin()
        _check_lines(self._reader.pop_lines())
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

        Raises IncompleteRead if the body is shorter than its length,
        ResetBodyError if it has none and the connection did not end well, and
        RestartedBodyError if another response began in it.
        """
        content = super().read1(n)
        if not content and n:
            if self.length:
                raise IncompleteRead(b'', self.length)
            self._check_end()
        self._check_restart(content)
        return content

    def read(self, amt: int | None = None) -> bytes:
        """Return bytes of the body; raises as read1() does."""
        content = super().read(amt)
        if amt is None or (amt and not content):
            self._check_end()
        self._check_restart(content)
        return content

    def close(self) -> None:
        """Close the response and its reader."""
        super().close()
        self._reader.close()

    def ends_with_connection(self) -> bool:
        """Return True if only the connection's end marks the body's end."""
        return not self.chunked and self.length is None

    def peek_trailing(self) -> bytes | None:
        """Return received data that were not read, or b'' without any.

        Returns None if the connection has ended. Nothing is consumed.
        """
        buffered = self._raw.peek_buffered(self._reader)
        waiting = _peek_waiting(self._sock)
        return buffered or None if waiting is None else buffered + waiting

    def has_next_data(self) -> bool:
        """Return True if a part of the body that was not read is buffered.

        The end of a chunk that was read whole is none.
        """
        buffered = self._raw.peek_buffered(self._reader)
        if self.chunk_left == 0:
            return buffered not in {b'', LINE_END}
        return bool(buffered)

    def buffer_chunk_end(self) -> bool:
        """Read from the socket, which must have data, if a chunk ended there.

        Returns False if nothing was read: the data are not the chunk's end.
        """
        if self.chunk_left != 0 or self._raw.peek_buffered(self._reader):
            return False
        return bool(self._reader.peek(1))

    def count_received(self) -> int:
        """Return the number of bytes received, also of heads before it."""
        return self._raw.received

    def _wrap_socket(
        self, sock: socket.socket, raw: socket.SocketIO
    ) -> SocketReader:
        """Return the reader of the response's socket."""
        return SocketReader(raw)

    def _check_end(self) -> None:
        """Raise ResetBodyError unless a body without a length ended well.

        A reset that a write reported, or that followed the connection's end,
        reads as an end.
        """
        if not self.ends_with_connection():
            return
        if not self.is_request_sent:
            raise ResetBodyError('the connection broke within the request')
        reason = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if reason:
            raise ResetBodyError(f'the connection was reset: {reason}')

    def _check_restart(self, content: bytes) -> None:
        """Raise RestartedBodyError if the body's end is another's beginning.

        A body that broke off is filled up to its length with the response that
        began after it; the rest of that one follows. Without such a rest, the
        body may as well quote a status line.
        """
        if self.chunked or self.ends_with_connection():
            return
        self._body_end.add(content)
        is_end = content and not self.length
        if is_end and self._body_end.may_hold_start():
            self._check_trailing()

    def _check_trailing(self) -> None:
        """Raise RestartedBodyError if data follow that go on with a head."""
        now = time.monotonic()
        until = now + min(RESTART_SECONDS, (self._raw.until - now) / 2)
        rest = b''
        while True:
            known = len(rest)
            rest = self._wait_trailing(until, known) or b''
            is_start = bool(rest) and self._body_end.is_start(rest)
            if is_start is False:
                return
            if is_start or len(rest) == known:
                raise RestartedBodyError('a response began in the body')

    def _wait_trailing(self, until: float, known: int) -> bytes | None:
        """Return the data after the response, once more of them are there.

        Returns None if the connection has ended without any, or what was
        known at a time.monotonic().
        """
        while True:
            trailing = self.peek_trailing()
            remaining = until - time.monotonic()
            if trailing is None or len(trailing) > known or remaining <= 0:
                return trailing
            if known:
                # A poll would return at once, for the known data.
                time.sleep(min(remaining, RECHECK_SECONDS))
                continue
            poll = select.poll()
            poll.register(self._sock, select.POLLIN)
            poll.poll(remaining * MS_PER_SECOND)

    def _close_conn(self) -> None:
        """Keep the reader open for the data after the response."""
        self.fp = None  # type: ignore[assignment]

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left in a chunk, or None after the last one.

        Raises InvalidChunkError and IncompleteRead.
        """
        if self.chunk_left == 0:
            # http.client skips these bytes, whatever they are.
            if self.fp.read(len(LINE_END)) != LINE_END:
                raise InvalidChunkError('a chunk does not end at its size')
            self.chunk_left = None
        return cast(
            int | None,
            super()._get_chunk_left(),  # type: ignore[misc]
        )

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

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, status and reason of a status line.

        Interim responses are skipped by http.client if their status is 100.
        Raises InvalidHeadError.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        digits = str(self._reader.get_line(), 'iso-8859-1').split(None, 2)[1]
        if not STATUS.fullmatch(digits):
            raise InvalidHeadError(f'invalid status "{digits}"')
        is_interim = HTTPStatus.SWITCHING_PROTOCOLS < status < HTTPStatus.OK
        return version, CONTINUE if is_interim else status, reason

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

    def getresponse(self) -> CheckedResponse:
        """Return the response to the last request, with its head read.

        Raises OSError and HTTPException.
        """
        return cast(CheckedResponse, super().getresponse())

    def peek_unread(self) -> bytes | None:
        """Return data that came since the last response, or b'' without any.

        Returns None if the connection is not open or has ended.
        """
        return None if self.sock is None else _peek_waiting(self.sock)


def _peek_waiting(sock: socket.socket) -> bytes | None:
    """Return data that wait in a socket; None if the connection has ended."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return sock.recv(STATUS_LINE_BYTES, socket.MSG_PEEK) or None
    except BlockingIOError:
        return b''
    except OSError:
        return None
    finally:
        sock.settimeout(timeout)


def _check_lines(lines: list[bytes]) -> None:
    """Raise HTTPException if the lines of a head are not those of one."""
    if has_later_status_line(lines):
        raise RestartedHeadError('a response began within the head')
    texts = (line.removesuffix(b'\n').removesuffix(b'\r') for line in lines)
    if any(b'\r' in text for text in texts):
        raise InvalidHeadError('a line of the head has a carriage return')
