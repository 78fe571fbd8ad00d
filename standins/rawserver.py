"""Answers requests with given bytes, whether HTTP or not."""

import contextlib
import re
import socket
import threading
import time
from collections.abc import Sequence

from .calls import find_port

LENGTH = re.compile(rb'(?i)\r\ncontent-length: *(\d+)')
HEAD_END = b'\r\n\r\n'
#: Bytes, and pauses in seconds, that follow a request.
Pieces = Sequence[bytes | float]


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
            connection.settimeout(5)
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
            while connection.recv(65536):
                continue


def _receive_request(connection: socket.socket) -> bool:
    """Read a whole request; return False at the connection's end."""
    received = b''
    due = 0
    while HEAD_END not in received or len(received) < due:
        content = connection.recv(65536)
        if not content:
            return False
        received += content
        length = LENGTH.search(received)
        due = received.find(HEAD_END) + len(HEAD_END)
        due += int(length.group(1)) if length else 0
    return True


def _send_pieces(connection: socket.socket, pieces: Pieces) -> None:
    for piece in pieces:
        if isinstance(piece, bytes):
            connection.sendall(piece)
        else:
            time.sleep(piece)
