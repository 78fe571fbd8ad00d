"""How long streams of each route take now, whatever model generates them."""

import threading
import time
from typing import Final, NamedTuple

#: Weight of the newest stream in a route's moving average.
STREAM_WEIGHT: Final = 0.15
#: Half-life of the average without further streams, in seconds.
HALF_LIFE_SECONDS: Final = 3.0


class _Mean(NamedTuple):
    seconds: float
    updated_at: float


class StreamTimes:
    """Moving averages of the time from the first event to the last.

    Streams of all models at an endpoint share its steps, so a short model's
    streams tell how long a large one's would take.
    """

    def __init__(self) -> None:
        """Create it without any stream."""
        self._lock = threading.Lock()
        #: Route -> its average.
        self._means: dict[str, _Mean] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Add a stream that ended, or was given up for its deadline."""
        with self._lock:
            known = self.find(route)
            mean = known + STREAM_WEIGHT * (seconds - known)
            self._means[route] = _Mean(mean, time.monotonic())

    def find(self, route: str) -> float:
        """Return the expected seconds of a stream.

        They fall to 0 without further streams.
        """
        mean = self._means.get(route)
        if mean is None:
            return 0.0
        age = time.monotonic() - mean.updated_at
        return float(mean.seconds * 0.5 ** (age / HALF_LIFE_SECONDS))
