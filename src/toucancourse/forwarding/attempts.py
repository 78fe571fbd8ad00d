"""One attempt of a request at one endpoint, and what is learnt from it."""

import time
from typing import NamedTuple

from loguru import logger

from ..errors import CourseError, Outcome
from .admission import Choice
from .canary import LatencyClass
from .connections import Exchange, SilentError
from .objects import Call, Order, Route
from .parts import RelayParts


class Attempt(NamedTuple):
    """A request on its way to one endpoint."""

    route: Route
    choice: Choice
    exchange: Exchange
    #: Model that the router named, or ''.
    model: str
    #: time.monotonic() of its start.
    began: float
    order: Order


class Observer:
    """Tells all that learn from attempts how they ended."""

    def __init__(self, parts: RelayParts) -> None:
        """Keep the parts."""
        self._parts = parts

    def note_success(self, call: Call, attempt: Attempt) -> None:
        """Count an answer, or the first event of one."""
        choice = attempt.choice
        seconds = time.monotonic() - attempt.began
        endpoint = choice.endpoint
        self._parts.outliers.record_attempt(
            endpoint.record.identifier, failed=False
        )
        endpoint.record_cached_parts(call, attempt.model)
        usual = self._parts.metrics.note_usual(
            (attempt.route.name, attempt.model), seconds
        )
        endpoint.record_latency_ratio(seconds / usual)
        fresh = choice.scored.uncached_tokens
        self._parts.pace.observe(attempt.model, fresh, seconds)
        work = LatencyClass(
            attempt.route.name, attempt.model, fresh.bit_length()
        )
        rollouts = self._parts.rollouts
        rollouts.record_response(choice.service, choice.version, work, seconds)
        rollouts.pin_session(
            choice.service,
            call.session,
            choice.version,
            max(0.0, call.deadline - time.monotonic()),
        )

    def note_end(self, call: Call, attempt: Attempt) -> None:
        """Let the session's time run from the end of its answer."""
        choice = attempt.choice
        self._parts.rollouts.pin_session(
            choice.service, call.session, choice.version, 0
        )

    def note_failure(
        self,
        call: Call,
        attempt: Attempt,
        error: CourseError,
        *,
        has_begun: bool,
    ) -> None:
        """Count a failure; has_begun if the caller has a part already."""
        choice = attempt.choice
        record = choice.endpoint.record
        seconds = time.monotonic() - attempt.began
        logger.info(
            'attempt failed',
            call=call.identifier,
            endpoint=record.identifier,
            version=choice.version,
            model=attempt.model,
            code=error.code,
            why=error.text,
            seconds=round(seconds, 4),
        )
        self._parts.metrics.failures.labels(error.code).inc()
        if error.outcome is Outcome.not_run:
            return
        self._parts.outliers.record_attempt(record.identifier, failed=True)
        analysis = self._parts.rollouts.get_analysis(choice.service)
        analysis.record_failure(choice.version)
        if not isinstance(error, SilentError):
            return
        self._parts.connections.drop(record)
        if not has_begun:
            # A wait in vain counts as time that an answer takes.
            self._parts.metrics.note_usual(
                (attempt.route.name, attempt.model), seconds
            )
