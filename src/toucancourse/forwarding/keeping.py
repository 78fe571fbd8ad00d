"""A smaller model's response that is kept while a larger model is asked."""

import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import CourseError
from .attempts import Attempt
from .backlog import InFlightRequest
from .context import RelayContext
from .models import MIN_LATE_CONFIDENCE, LargerModelNeeds
from .objects import Call

#: Part of the time that remains, which is left for the larger model's stream:
#: at least, and at most whatever is predicted.
MIN_STREAM_SHARE: Final = 0.25
MAX_STREAM_SHARE: Final = 0.5
#: Time before the objective at which the kept response is forwarded.
FORWARD_SECONDS: Final = 0.05


class KeptResponse(NamedTuple):
    """A response of which the caller has received nothing yet."""

    attempt: Attempt
    in_flight: InFlightRequest


class ResponseKeeper:
    """Keeps at most one response for one request."""

    def __init__(self, context: RelayContext, call: Call) -> None:
        """Create it without a response."""
        self._context = context
        self._call = call
        self._kept: KeptResponse | None = None
        #: time.monotonic() until which the larger model may begin.
        self._wait_end = 0.0
        #: The response once the larger model is no longer waited for.
        self.due: KeptResponse | None = None

    def keep(self, kept: KeptResponse, seconds: float) -> None:
        """Keep a response; the larger model may begin for some seconds."""
        self._kept = kept
        self._wait_end = time.monotonic() + seconds

    def holds(self, attempt: Attempt) -> bool:
        """Return True if an attempt's response is kept for later."""
        return self._kept is not None and self._kept.attempt is attempt

    def find_wait_end(self, cutoff: float) -> float:
        """Return until when an endpoint may begin to respond.

        That and the cutoff, which bounds it, are time.monotonic().
        """
        return cutoff if self._kept is None else min(cutoff, self._wait_end)

    def is_overdue(self) -> bool:
        """Return True if a response is kept that should be forwarded now."""
        return self._kept is not None and time.monotonic() >= self._wait_end

    def take_over(self, error: CourseError) -> bool:
        """Let the kept response be forwarded after an error.

        Returns False if none is kept.
        """
        if self._kept is None:
            return False
        self.due = self._kept
        self._kept = None
        self._context.metrics.kept.inc()
        logger.info(
            'kept response forwarded',
            call=self._call.identifier,
            why=error.text,
            seconds=round(time.monotonic() - self._call.received, 4),
        )
        return True

    def drop(self) -> None:
        """End the attempt whose response is kept, if there is one."""
        kept = self._kept
        self._kept = None
        if kept is not None:
            end_attempt(self._context, kept.attempt, kept.in_flight)


def end_attempt(
    context: RelayContext, attempt: Attempt, in_flight: InFlightRequest
) -> None:
    """Release the connection of an attempt that is no longer in flight."""
    in_flight.finish()
    context.connections.return_connection(
        attempt.choice.endpoint.record, attempt.exchange
    )


def find_wait_seconds(needs: LargerModelNeeds, confidence: float) -> float:
    """Return for how many seconds the larger model's first event is awaited.

    That is until the objective if the smaller model's confidence, in [0, 1],
    is worth more than a late response; else for as long as the larger model's
    stream can still end.
    """
    left = needs.deadline_left
    stream = min(
        max(needs.stream_seconds, MIN_STREAM_SHARE * left),
        MAX_STREAM_SHARE * left,
    )
    longest = max(0.0, left - stream)
    timely = needs.objective_left - FORWARD_SECONDS
    if confidence >= MIN_LATE_CONFIDENCE and timely > 0:
        return min(longest, timely)
    return longest
