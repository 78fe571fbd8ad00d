"""Model cascade: which model is asked, and when to escalate."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from .objects import Call, Route

#: Confidence in [0, 1] at which a smaller model's response is accepted.
MIN_CONFIDENCE: Final = 0.5
#: The same if the larger model would miss the objective: a late response is
#: worth about a third of a timely one and delays other requests.
MIN_LATE_CONFIDENCE: Final = 0.2
#: Share of the remaining time, needed by the larger model, above which the
#: required confidence is lowered.
PRESSURE_START_SHARE: Final = 0.25


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


def find_required_confidence(larger_seconds: float, remaining: float) -> float:
    """Return the confidence at which a small model's response is accepted.

    It falls linearly from MIN_CONFIDENCE, if the larger model needs at most
    PRESSURE_START_SHARE of the remaining seconds, to MIN_LATE_CONFIDENCE, if
    it needs all of them.
    """
    if remaining <= 0:
        return MIN_LATE_CONFIDENCE
    share = larger_seconds / remaining
    pressure = (share - PRESSURE_START_SHARE) / (1 - PRESSURE_START_SHARE)
    pressure = min(1.0, max(0.0, pressure))
    span = MIN_CONFIDENCE - MIN_LATE_CONFIDENCE
    return MIN_CONFIDENCE - pressure * span
