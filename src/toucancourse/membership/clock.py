"""A steady clock that also runs while the machine is suspended."""

import time


def read_clock() -> float:
    """Return seconds since the machine's start, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
