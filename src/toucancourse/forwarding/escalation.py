"""Whether a larger model is asked for a request, and at which endpoint."""

import time
from collections.abc import Collection
from typing import NamedTuple

from loguru import logger

from .admission import AdmittedRequest, EndpointChoice, NoEndpointError
from .context import RelayContext
from .models import (
    MIN_CONFIDENCE,
    LargerModelNeeds,
    ModelCascade,
    find_required_confidence,
)
from .objects import Call


class EscalationLimits(NamedTuple):
    """What the larger model may use of a request."""

    #: time.monotonic() until which the endpoint must have responded.
    cutoff: float
    #: Identifiers of endpoints to skip.
    tried: Collection[str]
    #: Versions that failed the request.
    failed: Collection[str]


class LargerModel(NamedTuple):
    """The larger model that is asked, and the answer that it replaces."""

    choice: EndpointChoice
    needs: LargerModelNeeds
    #: Confidence of the smaller model in [0, 1].
    confidence: float

    def is_uncertain(self) -> bool:
        """Return True if the larger model may not answer in time."""
        return find_required_confidence(self.needs) < MIN_CONFIDENCE


class Escalation:
    """Selects endpoints for the larger model of one request."""

    def __init__(self, context: RelayContext, call: Call) -> None:
        """Create it on the shared state of an entry."""
        self._context = context
        self._call = call

    def choose(
        self,
        admitted: AdmittedRequest,
        models: ModelCascade,
        confidence: float | None,
        limits: EscalationLimits,
    ) -> LargerModel | None:
        """Return the larger model with an endpoint.

        Returns None if the smaller model's answer, of a confidence in [0, 1],
        is good enough in the time that remains, or no endpoint is usable.
        """
        if confidence is None or not models.may_escalate(confidence):
            return None
        larger_model = models.escalate().current
        try:
            choice = self._context.admission.choose(
                self._call, admitted, larger_model, limits.tried, limits.failed
            )
        except NoEndpointError:
            return None
        needs = self._find_needs(admitted, larger_model, choice, limits.cutoff)
        if confidence >= find_required_confidence(needs):
            return None
        return LargerModel(choice, needs, confidence)

    def record(self, model: str, larger: LargerModel) -> None:
        """Log and count that a model's answer is not forwarded yet."""
        scored = larger.choice.scored
        logger.info(
            'response discarded',
            call=self._call.identifier,
            model=model,
            confidence=larger.confidence,
            predicted=round(scored.score, 3),
            stream_seconds=round(scored.stream_seconds, 3),
            is_kept=larger.is_uncertain(),
        )
        self._context.metrics.discarded.inc()

    def _find_needs(
        self,
        admitted: AdmittedRequest,
        model: str,
        choice: EndpointChoice,
        cutoff: float,
    ) -> LargerModelNeeds:
        route = admitted.route
        mean_seconds = self._context.metrics.find_mean_seconds(
            (route.name, model)
        )
        now = time.monotonic()
        return LargerModelNeeds(
            max(mean_seconds, choice.scored.score),
            choice.scored.stream_seconds,
            self._call.received + route.objective - now,
            cutoff - now,
        )
