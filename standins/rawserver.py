"""Answers each request with given bytes, then closes the connection."""

import contextlib
import socket
import threading

from .calls import find_port


class RawServer:
    """Sends the same bytes on each connection, whether HTTP or not."""

    def __init__(self, content: bytes = b'') -> None:
        """Serve on a free port."""
        self.content = content
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
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(5)
            received = b''
            while b'\r\n\r\n' not in received:
                received += connection.recv(65536)
            connection.sendall(self.content)
            connection.shutdown(socket.SHUT_WR)
            # Closing with unread bytes would reset the connection.
            while connection.recv(65536):
                continue
