"""Writes streamed responses to the socket, bypassing waitress's main loop.

While a channel has buffered output, waitress's main loop polls its socket,
and each iteration of the loop visits every channel. With hundreds of streams
some channel always has buffered output, so the loop never sleeps. A direct
write to the socket leaves the buffers empty, and the loop sleeps.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

#: A caller with more unsent bytes than this is too slow.
MAX_UNSENT_BYTES: Final = 262_144
#: A chunk of chunked transfer encoding: size in hex and data.
CHUNK_FORMAT: Final = b'%x\r\n%b\r\n'

Write = Callable[[bytes], object]


class SlowCallerError(Exception):
    """The caller reads the response too slowly."""


def make_writer(environ: Mapping[str, Any], write: Write) -> Write:
    """Return a non-blocking writer in place of WSGI's own write function.

    The first call goes through WSGI, which sends the header. The writer
    raises SlowCallerError for a caller with too much unsent data, and
    waitress's ClientDisconnected or an OSError for a disconnected one.
    Other servers than waitress and HTTP/1.0 keep WSGI's function.
    """
    check = environ.get('waitress.client_disconnected')
    channel = getattr(check, '__self__', None)
    if channel is None or environ.get('SERVER_PROTOCOL') != 'HTTP/1.1':
        return write
    return _SocketWriter(channel, write)


class _SocketWriter:
    """Sends chunks to the socket of a waitress channel."""

    def __init__(self, channel: Any, write: Write) -> None:
        self._channel = channel
        self._write = write
        self._is_header_sent = False

    def __call__(self, data: bytes) -> None:
        """Send one chunk."""
        if not self._is_header_sent:
            self._is_header_sent = True
            self._write(data)
            return
        channel = self._channel
        chunk = CHUNK_FORMAT % (len(data), data)
        with channel.outbuf_lock:
            if not channel.connected:
                raise ConnectionResetError
            backlog = channel.total_outbufs_len
            if backlog > MAX_UNSENT_BYTES:
                raise SlowCallerError
            sent = 0 if backlog else self._send(chunk)
            if sent < len(chunk):
                channel.write_soon(chunk[sent:])

    def _send(self, chunk: bytes) -> int:
        try:
            return int(self._channel.socket.send(chunk))
        except BlockingIOError:
            return 0
