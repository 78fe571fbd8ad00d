"""Model cascade: which model is asked, and when to escalate."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from .objects import Call, Route

#: Confidence in [0, 1] at which a smaller model's response is accepted.
MIN_CONFIDENCE: Final = 0.5
#: The same if the larger model would miss the objective: a late response is
#: worth about a third of a timely one and delays other requests.
MIN_LATE_CONFIDENCE: Final = 0.2
#: Confidence that stands for the smallest model's where an answer can't be
#: replaced once it is known: as much as a late response is worth.
UNCHECKED_CONFIDENCE: Final = MIN_LATE_CONFIDENCE
#: Share of the time to the objective, needed by the larger model's first event,
#: above which the required confidence is lowered.
PRESSURE_START_SHARE: Final = 0.25
#: Shares of the time to the deadline, needed by the larger model's stream, from
#: which any response is accepted more and more, and always.
STREAM_START_SHARE: Final = 0.3
STREAM_END_SHARE: Final = 0.8


class ModelCascade(NamedTuple):
    """The models that may still be asked, smallest first."""

    names: Sequence[str]

    @property
    def current(self) -> str:
        """Return the model to ask next, or '' to keep the caller's."""
        return self.names[0] if self.names else ''

    def escalate(self) -> 'ModelCascade':
        """Return a cascade that has only the largest model."""
        return ModelCascade(self.names[-1:])

    def may_escalate(self, confidence: float | None) -> bool:
        """Return True if the confidence is low and a larger model exists."""
        if len(self.names) < 2 or confidence is None:
            return False
        return confidence < MIN_CONFIDENCE


def list_models(route: Route, call: Call) -> ModelCascade:
    """Return the cascade of a call: the smallest model, then the largest.

    It is empty if the caller named a model or the route has none.
    """
    if not call.any_model or not route.models:
        return ModelCascade(())
    if len(route.models) == 1:
        return ModelCascade(route.models)
    return ModelCascade((route.models[0], route.models[-1]))


class LargerModelNeeds(NamedTuple):
    """Time that the larger model needs and has, in seconds."""

    #: To its first event, and from there to the last.
    latency: float
    stream_seconds: float
    #: To the route's objective and to the request's deadline.
    objective_left: float
    deadline_left: float


def find_required_confidence(needs: LargerModelNeeds) -> float:
    """Return the confidence at which a small model's response is accepted.

    It falls linearly from MIN_CONFIDENCE to MIN_LATE_CONFIDENCE as the larger
    model's first event nears the objective, and to 0 as the end of its stream
    nears the deadline: then its prefill would only delay the other streams.
    """
    late = _interpolate(
        needs.latency, needs.objective_left, PRESSURE_START_SHARE, 1.0
    )
    unfinished = _interpolate(
        needs.latency + needs.stream_seconds,
        needs.deadline_left,
        STREAM_START_SHARE,
        STREAM_END_SHARE,
    )
    required = MIN_CONFIDENCE - late * (MIN_CONFIDENCE - MIN_LATE_CONFIDENCE)
    return min(required, MIN_CONFIDENCE * (1 - unfinished))


def _interpolate(needed: float, left: float, start: float, end: float) -> float:
    """Return 0 up to a share of the time left, 1 from another on."""
    if left <= 0:
        return 1.0
    return min(1.0, max(0.0, (needed / left - start) / (end - start)))
