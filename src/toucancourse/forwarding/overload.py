"""Refusal of requests that can't be answered in time at any endpoint."""

import math
import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import UnavailableError
from .digests import hash_text
from .objects import Call, Route

#: Predicted time, as a multiple of the time left, from which a request is
#: refused: half of all predictions are longer than what is seen then.
MARGIN: Final = 3.0
#: Predicted wait below which an endpoint counts as free, in seconds.
MIN_WAIT_SECONDS: Final = 0.05
#: Time without a request of a route after which a hopeless one is sent.
PROBE_SECONDS: Final = 1.0
#: Least time after which a refused caller may return, in seconds; the most is
#: twice the time predicted.
MIN_RETRY_SECONDS: Final = 0.2
#: Number of different hashes of a text.
HASHES: Final = 4_294_967_296


class OverloadError(UnavailableError):
    """No endpoint can answer the request in the time that is left."""

    code = 'overloaded'


class Prospect(NamedTuple):
    """What the best endpoint needs for a request, in seconds."""

    #: Wait for other requests there.
    wait: float
    #: To the response or the first event, which includes the wait.
    latency: float
    #: From there to the last event, as streams of the route take now.
    stream_seconds: float
    #: Until the caller's deadline or the route's timeout.
    left: float

    def find_needed(self) -> float:
        """Return the seconds to the end of the response."""
        return self.latency + self.stream_seconds


class OverloadGuard:
    """Refuses hopeless requests; used by several threads."""

    def __init__(self) -> None:
        """Create a guard that has let nothing through."""
        #: Route -> time.monotonic() of its last request that wasn't refused.
        self._passed_at: dict[str, float] = {}

    def check(self, call: Call, route: Route, prospect: Prospect) -> None:
        """Raise OverloadError if a request that wasn't sent is hopeless.

        One is sent if no other request of the route was for a while.
        """
        needed = prospect.find_needed()
        if not route.timeout or not route.objective:
            return
        now = time.monotonic()
        passed_at = self._passed_at.get(route.name, -math.inf)
        is_hopeless = (
            prospect.wait >= MIN_WAIT_SECONDS
            and needed >= MARGIN * prospect.left
        )
        if not is_hopeless or now - passed_at >= PROBE_SECONDS:
            self._passed_at[route.name] = now
            return
        retry_after = find_retry_seconds(call, route, prospect)
        logger.info(
            'request refused',
            call=call.identifier,
            route=route.name,
            needed=round(needed, 3),
            left=round(prospect.left, 3),
            wait=round(prospect.wait, 3),
            retry_after=retry_after,
        )
        raise OverloadError(
            f'the response needs {needed:.2f} s, '
            f'{prospect.left:.2f} s are left',
            retry_after,
        )


def find_retry_seconds(call: Call, route: Route, prospect: Prospect) -> float:
    """Return when a request like this one would be in time again.

    Callers that are refused together are spread over as long again.
    """
    base = max(MIN_RETRY_SECONDS, prospect.latency - route.objective)
    spread = hash_text(call.identifier) / HASHES
    return round(base * (1 + spread), 2)
