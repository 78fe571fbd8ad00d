"""How long a silent endpoint is waited for."""

import time
from typing import Final, NamedTuple

from .objects import Route, RouteKind

#: Minimum time to the response head, as a share of the route's objective,
#: before a request that may be retried is sent to another endpoint.
MIN_TIMEOUT_SHARE: Final = 0.5
#: Attempt timeout as a multiple of the expected response time. Expected times
#: grow with the load, so queued requests aren't duplicated when all endpoints
#: are busy.
TIMEOUT_RATIO: Final = 4.0
#: Minimum pause between events after which a stream is resumed elsewhere.
MIN_PAUSE_SECONDS: Final = 2.0
#: Pause after which a stream is resumed elsewhere, as a multiple of the
#: longest regular one: at an endpoint that sends nothing at all, and at one
#: that sends to other requests.
SILENT_PAUSE_RATIO: Final = 1.5
BUSY_PAUSE_RATIO: Final = 4.0
#: Pause between two looks for another endpoint while nobody can take over.
RECHECK_SECONDS: Final = 0.25
#: Time to a stream's head at an endpoint that sends to other requests, as a
#: multiple of that at a silent one. Another endpoint would have to repeat the
#: prefill.
BUSY_HEAD_RATIO: Final = 2.0


class Patience(NamedTuple):
    """Longest waits for progress of one response, in seconds."""

    #: While the endpoint sends nothing to any request.
    silent: float
    #: While it sends to other requests.
    busy: float

    def find_end(self, since: float, heard_at: float) -> float:
        """Return the time.monotonic() at which the wait ends.

        It began at `since`; the endpoint last sent something at `heard_at`.
        """
        return min(since + self.busy, max(since, heard_at) + self.silent)


def find_head_patience(
    route: Route, mean_seconds: float, predicted: float
) -> Patience:
    """Return how long to wait for the head of a response.

    mean_seconds is the moving average for the route and model, predicted
    the estimate for the selected endpoint.
    """
    expected = max(mean_seconds, predicted)
    silent = max(MIN_TIMEOUT_SHARE * route.objective, TIMEOUT_RATIO * expected)
    if route.kind is RouteKind.stream:
        return Patience(silent, BUSY_HEAD_RATIO * silent)
    return Patience(silent, silent)


def find_event_patience(route: Route) -> Patience:
    """Return how long to wait for the next event of a stream."""
    return Patience(
        max(MIN_PAUSE_SECONDS, SILENT_PAUSE_RATIO * route.event_pause),
        max(MIN_PAUSE_SECONDS, BUSY_PAUSE_RATIO * route.event_pause),
    )


def find_read_end(patience: Patience | None, cutoff: float) -> float:
    """Return until when a head or an event that begins now must end.

    The result and the cutoff are time.monotonic().
    """
    if patience is None:
        return cutoff
    return min(cutoff, time.monotonic() + patience.busy)
