"""Estimated time to generate a stream's events, learnt from other streams."""

import threading
import time
from typing import Final

#: Half-life of the pace observed at an endpoint: a long prefill there delays
#: the events of all streams for a second or two.
HALF_LIFE_SECONDS: Final = 2.0
#: Weight of the newest pause between two events at an endpoint.
PAUSE_WEIGHT: Final = 0.2
#: Usual pauses that count beside the observed ones.
PRIOR_PAUSES: Final = 2.0
#: Weight of the newest stream in a route's events per expected token.
STREAM_WEIGHT: Final = 0.1


class EventPace:
    """Moving average of the pause between two events at one endpoint."""

    def __init__(self) -> None:
        """Create a pace without any observation."""
        self._lock = threading.Lock()
        self._seconds = 0.0
        #: Pauses that were observed, older ones counting less.
        self._observed = 0.0
        self._updated_at = 0.0

    def observe(self, events: int, seconds: float) -> None:
        """Add the time in which a stream's next events arrived."""
        pause = seconds / max(1, events)
        with self._lock:
            known = self._observed * self._find_freshness()
            weight = max(PAUSE_WEIGHT, 1 / (1 + known))
            self._seconds += weight * (pause - self._seconds)
            self._observed = known + 1
            self._updated_at = time.monotonic()

    def find_pause(self, usual: float = 0.0) -> float:
        """Return the expected pause in seconds.

        It returns to what is usual without further observations.
        """
        freshness = self._find_freshness()
        observed = self._observed * freshness
        share = freshness * observed / (observed + PRIOR_PAUSES)
        return usual + share * (self._seconds - usual)

    def _find_freshness(self) -> float:
        """Return the weight of the last observation, by its age."""
        age = time.monotonic() - self._updated_at
        return float(0.5 ** (age / HALF_LIFE_SECONDS))


class StreamLengths:
    """Number of events in a route's streams, by the tokens expected."""

    def __init__(self) -> None:
        """Create it without any stream observed."""
        #: Route -> events for each expected token.
        self._ratios: dict[str, float] = {}

    def observe(self, route: str, expected_tokens: int, events: int) -> None:
        """Add a complete stream."""
        if expected_tokens < 1:
            return
        ratio = events / expected_tokens
        known = self._ratios.get(route, ratio)
        self._ratios[route] = known + STREAM_WEIGHT * (ratio - known)

    def predict(self, route: str, expected_tokens: int) -> float:
        """Return the expected number of events, 0 without observations."""
        return self._ratios.get(route, 0.0) * expected_tokens
