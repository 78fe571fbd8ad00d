"""Threads that streams may hold, so that other requests find one."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from ..errors import UnavailableError

#: Share of the threads that streams may hold together.
STREAM_SHARE: Final = 0.9


class TooManyStreamsError(UnavailableError):
    """Other streams hold the threads that streams may hold."""

    code = 'too_many_streams'


class StreamSlots:
    """Counts the running streams of a server; each one holds a thread."""

    def __init__(self, threads: int) -> None:
        """Create slots for a server with some threads."""
        self._most = max(1, int(threads * STREAM_SHARE))
        self._lock = threading.Lock()
        self._running = 0

    @contextmanager
    def admit(self, *, is_stream: bool) -> Iterator[None]:
        """Hold a slot while a request runs if it is a stream.

        Raises TooManyStreamsError.
        """
        if not is_stream:
            yield
            return
        self._acquire()
        try:
            yield
        finally:
            with self._lock:
                self._running -= 1

    def _acquire(self) -> None:
        with self._lock:
            if self._running >= self._most:
                raise TooManyStreamsError(
                    f'{self._running} streams are running already'
                )
            self._running += 1
