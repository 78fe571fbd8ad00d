"""Responses of endpoints that are read until a time."""

import socket
import time
from typing import Any

from ..interfaces.responses import CheckedResponse, SocketReader


class DeadlineReader(SocketReader):
    """Reads a socket until a time, however its bytes are spread.

    A socket's own timeout starts anew with each byte.
    """

    def __init__(self, sock: socket.socket, raw: socket.SocketIO) -> None:
        """Wrap the reader that http.client made of a socket."""
        super().__init__(raw)
        self._sock = sock
        # The exchange sets the socket's timeout before it reads the head.
        timeout = sock.gettimeout() or 0.0
        #: time.monotonic() from which reads raise TimeoutError.
        self.until = time.monotonic() + timeout

    def readinto(self, buffer: Any, /) -> int | None:
        """Read into a buffer and return the number of bytes.

        Raises TimeoutError.
        """
        remaining = self.until - time.monotonic()
        if remaining <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining)
        return super().readinto(buffer)


class EndpointResponse(CheckedResponse):
    """Bounds the time of its reads and detects data after the response."""

    _raw: DeadlineReader

    def set_deadline(self, until: float) -> None:
        """Make reads fail from a time.monotonic() on."""
        self._raw.until = until

    def _wrap_socket(
        self, sock: socket.socket, raw: socket.SocketIO
    ) -> DeadlineReader:
        """Return a reader whose reads end at the deadline."""
        return DeadlineReader(sock, raw)
