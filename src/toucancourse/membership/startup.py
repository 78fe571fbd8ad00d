"""Requests that reach a new process before it has read the store."""

import threading
import time
from collections.abc import Sequence
from typing import Final

#: Time from the start of a process within which requests wait for the store,
#: in seconds. Reading a large configuration over a narrow link takes half a
#: second; a store that needs longer is down, and callers are told at once.
START_SECONDS: Final = 2.0


class Startup:
    """Knows whether the first reads of the store have ended."""

    def __init__(self, reads: Sequence[threading.Event]) -> None:
        """Keep events that are set once a read has ended."""
        self._reads = reads
        self._until = time.monotonic() + START_SECONDS

    def is_over(self) -> bool:
        """Return True if all reads have ended."""
        return all(read.is_set() for read in self._reads)

    def wait(self, until: float) -> None:
        """Wait for the reads, until a time.monotonic() at the latest."""
        if self.is_over():
            return
        until = min(until, self._until)
        for read in self._reads:
            read.wait(max(0.0, until - time.monotonic()))
