"""The end of service at an instance that is shutting down."""

import math
import time

from ..errors import CourseError, LeavingError, StoppedError


class Shutdown:
    """Until when requests may run; may be used by several threads."""

    def __init__(self) -> None:
        """Create it without an end."""
        self._ends_at = math.inf

    def begin(self, ends_at: float) -> None:
        """End all requests at a time.monotonic()."""
        self._ends_at = ends_at

    def find_remaining(self) -> float:
        """Return the seconds until all requests are ended."""
        return self._ends_at - time.monotonic()

    def check(self, needed: float) -> None:
        """Raise LeavingError if fewer seconds remain than are needed.

        Another instance can still serve a request that was not sent.
        """
        remaining = self.find_remaining()
        if remaining <= 0 or remaining < needed:
            raise LeavingError(
                f'the instance stops in {max(0.0, remaining):.1f} s, '
                f'the response needs {needed:.1f} s'
            )

    def explain(self, error: CourseError, executions: int) -> CourseError:
        """Return the error for a caller, which is another after the end."""
        if self.find_remaining() > 0:
            return error
        if executions:
            return StoppedError(f'the instance stopped: {error.text}')
        return LeavingError('the instance is shutting down')
