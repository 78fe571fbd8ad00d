"""Writes a streamed answer from any thread, past waitress's loop.

A byte in a channel's buffer makes waitress's main loop poll for that channel,
and each turn of the loop visits every channel. With hundreds of streams some
channel always has a byte in its buffer, so the loop never sleeps. Writing to
the socket at once leaves the buffers empty and the loop asleep.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

#: Unsent bytes of one caller from which on it counts as too slow.
MAX_BACKLOG_BYTES: Final = 262_144
CHUNK: Final = b'%x\r\n%b\r\n'

Write = Callable[[bytes], object]


class SlowCallerError(Exception):
    """The caller reads much slower than its answer arrives."""


def make_writer(environ: Mapping[str, Any], write: Write) -> Write:
    """Return a writer that never blocks, given WSGI's own write function.

    The first call goes through WSGI, which sends the header. The writer
    raises SlowCallerError for a caller with too much unsent data and
    waitress's ClientDisconnected or an OSError for one that is gone.
    """
    check = environ.get('waitress.client_disconnected')
    channel = getattr(check, '__self__', None)
    if channel is None or environ.get('SERVER_PROTOCOL') != 'HTTP/1.1':
        return write
    return _DirectWriter(channel, write)


class _DirectWriter:
    """Sends chunks on a waitress channel's socket."""

    def __init__(self, channel: Any, write: Write) -> None:
        self._channel = channel
        self._write = write
        self._begun = False

    def __call__(self, data: bytes) -> None:
        """Send one chunk."""
        if not self._begun:
            self._begun = True
            self._write(data)
            return
        channel = self._channel
        chunk = CHUNK % (len(data), data)
        with channel.outbuf_lock:
            if not channel.connected:
                raise ConnectionResetError
            backlog = channel.total_outbufs_len
            if backlog > MAX_BACKLOG_BYTES:
                raise SlowCallerError
            sent = 0 if backlog else self._send(chunk)
            if sent < len(chunk):
                channel.write_soon(chunk[sent:])

    def _send(self, chunk: bytes) -> int:
        try:
            return int(self._channel.socket.send(chunk))
        except BlockingIOError:
            return 0
