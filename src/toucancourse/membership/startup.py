"""Holds requests of a new process until it has read the store."""

import threading
import time
from collections.abc import Sequence
from typing import Final

#: Time from the start of a process during which requests wait for the store.
#: Reading a large configuration over a slow link takes half a second; a store
#: that needs longer is down, and requests then fail without waiting for it.
STARTUP_TIMEOUT_SECONDS: Final = 2.0


class StartupBarrier:
    """Waits for the first reads of the store after a process started."""

    def __init__(self, reads: Sequence[threading.Event]) -> None:
        """Create a barrier for events that are set once a read is complete."""
        self._reads = reads
        self._timeout_at = time.monotonic() + STARTUP_TIMEOUT_SECONDS

    def is_complete(self) -> bool:
        """Return True if all reads are complete."""
        return all(read.is_set() for read in self._reads)

    def wait(self, until: float) -> None:
        """Wait for the reads until a time.monotonic() time at the latest.

        Returns at the startup timeout even if they are not complete.
        """
        if self.is_complete():
            return
        until = min(until, self._timeout_at)
        for read in self._reads:
            read.wait(max(0.0, until - time.monotonic()))
