"""A monotonic clock that also runs while the machine is suspended."""

import time


def read_clock() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
