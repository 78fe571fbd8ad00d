"""Which model answers a request, and when a larger one is asked."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from .objects import Call, Route

#: Confidence in [0, 1] from which on a smaller model's answer is taken.
MIN_CONFIDENCE: Final = 0.5
#: The same where the larger model would answer too late: a late answer is
#: worth about a third of one in time, and makes others late.
MIN_LATE_CONFIDENCE: Final = 0.2
#: Part of the time left from which on the larger model's time counts.
RELAXED_PART: Final = 0.25


class Models(NamedTuple):
    """The models that a request may still be sent to, smallest first."""

    names: Sequence[str]

    @property
    def current(self) -> str:
        """Return the model to ask now, or '' to keep the caller's."""
        return self.names[0] if self.names else ''

    def enlarge(self) -> 'Models':
        """Return the models without the one that was not good enough."""
        return Models(self.names[-1:])

    def may_doubt(self, confidence: float | None) -> bool:
        """Return True if a larger model may have to be asked."""
        if len(self.names) < 2 or confidence is None:
            return False
        return confidence < MIN_CONFIDENCE


def list_models(route: Route, call: Call) -> Models:
    """Return the models for a call: the smallest, then the largest."""
    if not call.any_model or not route.models:
        return Models(())
    if len(route.models) == 1:
        return Models(route.models)
    return Models((route.models[0], route.models[-1]))


def find_wanted(larger_seconds: float, left: float) -> float:
    """Return the confidence from which on a small model's answer is taken.

    It falls from MIN_CONFIDENCE, where the larger model needs less than
    RELAXED_PART of the time left, to MIN_LATE_CONFIDENCE, where it needs all.
    """
    if left <= 0:
        return MIN_LATE_CONFIDENCE
    part = larger_seconds / left
    pressure = (part - RELAXED_PART) / (1 - RELAXED_PART)
    pressure = min(1.0, max(0.0, pressure))
    span = MIN_CONFIDENCE - MIN_LATE_CONFIDENCE
    return MIN_CONFIDENCE - pressure * span
