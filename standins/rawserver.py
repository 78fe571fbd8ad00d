"""Answers requests with given bytes, whether they are HTTP or not."""

import contextlib
import fcntl
import re
import socket
import struct
import termios
import threading
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from .calls import find_port

HEAD_END: Final = b'\r\n\r\n'
CONTENT_LENGTH: Final = re.compile(rb'(?i)\r\ncontent-length: *(\d+)')
RECEIVE_BYTES: Final = 65_536
#: Longest wait for a request, or for the end of a connection.
IDLE_SECONDS: Final = 5
#: Receive buffer of an early server: little of an upload fits.
EARLY_BUFFER_BYTES: Final = 4096
#: Pause between looks whether sent bytes were acknowledged, in seconds.
ACKNOWLEDGE_SECONDS: Final = 0.001
#: SO_LINGER of a connection whose closing resets it.
RESET: Final = struct.pack('ii', 1, 0)
#: Bytes and pauses, in seconds, after a request. None ends its connection.
Pieces = Sequence[bytes | float | None]


class RawServer:
    """Sends the same bytes on each connection, or scripted ones on kept ones.

    Without a script, a connection is closed after its first answer.
    """

    def __init__(self, content: bytes = b'') -> None:
        """Serve on a free port."""
        self.content = content
        #: What follows each request, over all connections, then nothing.
        self.script: list[Pieces] = []
        #: Number of connections so far, and of requests.
        self.connections = 0
        self.requests = 0
        self.port = find_port()
        self._listener = socket.create_server(('127.0.0.1', self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'127.0.0.1:{self.port}'

    def close(self) -> None:
        """Stop serving."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(IDLE_SECONDS)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.script:
                while _receive_request(connection):
                    self.requests += 1
                    pieces = self.script.pop(0) if self.script else ()
                    _send_pieces(connection, pieces)
                return
            _receive_request(connection)
            connection.sendall(self.content)
            connection.shutdown(socket.SHUT_WR)
            # Closing with unread bytes would reset the connection.
            while connection.recv(RECEIVE_BYTES):
                continue


class Piece(NamedTuple):
    """Bytes that are sent at once."""

    content: bytes
    #: Seconds from the piece before, or from the request, to this one.
    pause: float = 0


class Script(NamedTuple):
    """What follows a request on its connection."""

    pieces: Sequence[Piece]
    #: True to close the connection then, instead of waiting for a request.
    is_last: bool = False


class ScriptedServer(RawServer):
    """Answers the requests on kept connections by scripts."""

    def __init__(self) -> None:
        """Serve on a free port."""
        #: Scripts of the next requests, on whichever connection.
        self.scripts: list[Script] = []
        #: Requests that arrived so far.
        self.arrivals = 0
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection, contextlib.suppress(OSError):
            connection.settimeout(IDLE_SECONDS)
            while _receive_request(connection):
                self.arrivals += 1
                script = self.scripts.pop(0)
                for piece in script.pieces:
                    time.sleep(piece.pause)
                    connection.sendall(piece.content)
                if script.is_last:
                    return


class EarlyServer(RawServer):
    """Answers once it has read a request's head, and not its body.

    The answer has arrived before anything else happens on its connection.
    """

    def __init__(self, content: bytes = b'') -> None:
        """Serve on a free port."""
        super().__init__(content)
        #: What follows the answer:
        #: 'reset' - the connection is reset, the body not read,
        #: 'end' - it is ended, then reset, all of the body read,
        #: 'read' - the rest is read once released, to the connection's end.
        self.ending = 'reset'
        self.released = threading.Event()
        #: Set once a connection was reset.
        self.has_reset = threading.Event()
        #: What was read after requests' heads.
        self.late = bytearray()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, EARLY_BUFFER_BYTES
        )

    def _answer(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            connection.settimeout(IDLE_SECONDS)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.ending == 'end':
                _receive_request(connection)
            else:
                self.late += _receive_head(connection)
            self.requests += 1
            connection.sendall(self.content)
            _wait_until_acknowledged(connection)
            if self.ending == 'read':
                self._read_on(connection)
            elif self.ending == 'end':
                connection.shutdown(socket.SHUT_WR)
                _wait_until_acknowledged(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()
        self.has_reset.set()

    def _read_on(self, connection: socket.socket) -> None:
        self.released.wait(IDLE_SECONDS)
        content = connection.recv(RECEIVE_BYTES)
        while content:
            self.late += content
            content = connection.recv(RECEIVE_BYTES)


def _wait_until_acknowledged(connection: socket.socket) -> None:
    """Wait until the other end's system has all that was sent."""
    unacknowledged = bytes(struct.calcsize('i'))
    while any(fcntl.ioctl(connection, termios.TIOCOUTQ, unacknowledged)):
        time.sleep(ACKNOWLEDGE_SECONDS)


def _receive_head(connection: socket.socket) -> bytes:
    """Read a request's head, and return what came with it."""
    received = b''
    while HEAD_END not in received:
        received += connection.recv(RECEIVE_BYTES)
    return received.partition(HEAD_END)[2]


def _receive_request(connection: socket.socket) -> bool:
    """Read a request; return False if the connection ended before it."""
    received = b''
    while HEAD_END not in received:
        content = connection.recv(RECEIVE_BYTES)
        if not content:
            return False
        received += content
    head, _, body = received.partition(HEAD_END)
    length = CONTENT_LENGTH.search(head)
    left = (int(length[1]) if length else 0) - len(body)
    while left > 0:
        left -= len(connection.recv(RECEIVE_BYTES)) or left
    return True


def _send_pieces(connection: socket.socket, pieces: Pieces) -> None:
    for piece in pieces:
        if piece is None:
            raise ConnectionAbortedError
        if isinstance(piece, bytes):
            connection.sendall(piece)
        else:
            time.sleep(piece)
