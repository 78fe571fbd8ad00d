"""One attempt of a request at one endpoint, and how its result is recorded."""

import time
from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from ..errors import CourseError, EndpointError, Outcome, ResponseDefect
from .admission import EndpointChoice
from .canary import PACE, LatencyClass
from .connections import (
    ConnectionLostError,
    Exchange,
    SilentError,
    is_refusing,
)
from .context import RelayContext
from .objects import AttemptOptions, Call, Route
from .patience import RECHECK_SECONDS, Patience
from .quarantine import SURVIVAL_SECONDS

#: Time for the body of a refusal after its head.
REFUSAL_SECONDS: Final = 0.25
#: Events after which the pace of a stream is measured.
PACE_EVENTS: Final = 3
#: Defects of responses that a crash may cause.
LOSSES: Final = frozenset(
    (
        ResponseDefect.absent,
        ResponseDefect.head_truncated,
        ResponseDefect.body_truncated,
    )
)
#: Longest logged part of an identifier that callers chose.
LOGGED_CHARACTERS: Final = 40


class AttemptProgress:
    """How much of an attempt's response was received."""

    def __init__(self) -> None:
        """Create it for an attempt without a response."""
        #: Complete events of a stream.
        self.events = 0
        #: time.monotonic() of the first of them.
        self._first_at = 0.0
        #: Seconds between two events; 0 before it was measured.
        self.pause = 0.0
        #: True once the endpoint is known to have survived the prompt.
        self.has_survived = False
        self._is_wait_noticed = False

    def notice_wait(self) -> bool:
        """Return True the first time that nobody can take over."""
        is_first = not self._is_wait_noticed
        self._is_wait_noticed = True
        return is_first

    def find_age(self, now: float) -> float:
        """Return the seconds since the first event, at a time.monotonic()."""
        return now - self._first_at if self.events else 0.0

    def add_events(self, number: int, now: float) -> bool:
        """Count events; return True once their pause has been measured."""
        if not self.events:
            self._first_at = now
        self.events += number
        if self.pause or self.events < PACE_EVENTS or now <= self._first_at:
            return False
        self.pause = (now - self._first_at) / (self.events - 1)
        return True


class Attempt(NamedTuple):
    """A request that was assigned to one endpoint."""

    route: Route
    choice: EndpointChoice
    exchange: Exchange
    #: Model that the router selected, or '' to keep the caller's.
    model: str
    #: time.monotonic() of the attempt's start.
    started_at: float
    options: AttemptOptions
    progress: AttemptProgress

    def has_only_begun(self) -> bool:
        """Return True if a stream's head but no event was received."""
        head = self.exchange.head
        return (
            head is not None
            and head.is_event_stream
            and not self.progress.events
        )

    def read_refusal(self, cutoff: float) -> None:
        """Read the body of a refusal, until a time.monotonic() at most.

        Raises EndpointError if another response may follow on the connection,
        or begins in the body: the endpoint may run the request.
        """
        until = min(cutoff, time.monotonic() + REFUSAL_SECONDS)
        try:
            self.exchange.read_body(until)
        except ConnectionLostError as error:
            if error.defect is not ResponseDefect.body_truncated:
                raise
            logger.debug('refusal cut off', why=error.text)

    def wait_for_data(
        self,
        patience: Patience | None,
        since: float,
        cutoff: float,
        is_replaced: Callable[[], bool],
    ) -> None:
        """Wait until the endpoint sends something.

        Raises SilentError at the cutoff, or if is_replaced() returns True. It
        is called, with a patience, once there was no progress since `since`
        for longer than that allows, and from time to time after that. Both
        times are time.monotonic().
        """
        exchange = self.exchange
        rechecked_at = since
        while True:
            until = cutoff
            if patience is not None:
                end = patience.find_end(since, self.choice.endpoint.heard_at)
                until = min(cutoff, max(end, rechecked_at))
            if exchange.wait_for_data(until):
                return
            if until >= cutoff or exchange.is_cancelled():
                break
            if patience is None or not self._is_exhausted(patience, since):
                continue
            if is_replaced():
                break
            rechecked_at = time.monotonic() + RECHECK_SECONDS
        raise SilentError('timeout waiting for the endpoint')

    def _is_exhausted(self, patience: Patience, since: float) -> bool:
        """Return True if the patience has ended, whatever was heard since."""
        end = patience.find_end(since, self.choice.endpoint.heard_at)
        return end <= time.monotonic()


class AttemptRecorder:
    """Updates metrics, outlier detection and roll-outs after attempts."""

    def __init__(self, context: RelayContext) -> None:
        """Create a recorder on the shared state of an entry."""
        self._context = context

    def record_success(self, call: Call, attempt: Attempt) -> None:
        """Record a complete response, or the first event of a stream."""
        choice = attempt.choice
        seconds = time.monotonic() - attempt.started_at
        endpoint = choice.endpoint
        self._context.outliers.record_attempt(
            endpoint.record.identifier, failed=False
        )
        endpoint.record_cached_parts(call, attempt.model)
        self._context.metrics.record_seconds(
            (attempt.route.name, attempt.model), seconds
        )
        self._record_speed(attempt, seconds)
        uncached = choice.scored.uncached_tokens
        self._context.prefill.observe(attempt.model, uncached, seconds)
        latency_class = LatencyClass(
            attempt.route.name, attempt.model, uncached.bit_length()
        )
        rollouts = self._context.rollouts
        rollouts.record_response(
            choice.service, choice.version, latency_class, seconds
        )
        rollouts.pin_session(
            choice.service,
            call.session,
            choice.version,
            max(0.0, call.deadline - time.monotonic()),
        )

    def _record_speed(self, attempt: Attempt, seconds: float) -> None:
        """Compare the time to a response or first event with the forecast."""
        scored = attempt.choice.scored
        endpoint = scored.endpoint
        metrics = self._context.metrics
        metrics.forecast.labels('first').observe(seconds / scored.latency)
        ratio = scored.forecast.record_response(seconds)
        is_slow = endpoint.slowness.notice_change(ratio)
        if is_slow is None:
            return
        metrics.slow_endpoints.labels(str(is_slow)).inc()
        logger.info(
            'endpoint became slow' if is_slow else 'endpoint is as fast again',
            endpoint=endpoint.record.identifier,
            service=endpoint.record.service,
            ratio=round(ratio, 2),
            limit=round(endpoint.limit.value, 1),
        )

    def record_survival(
        self, call: Call, attempt: Attempt, *, is_complete: bool
    ) -> None:
        """Record once that the prompt did not crash the endpoint.

        One that crashes on it may still send the first events of a stream.
        """
        progress = attempt.progress
        age = progress.find_age(time.monotonic())
        if progress.has_survived or not (
            is_complete or age >= SURVIVAL_SECONDS
        ):
            return
        progress.has_survived = True
        self._context.quarantine.record_success(call)

    def record_pace(self, attempt: Attempt) -> None:
        """Record the measured pause between events of a stream."""
        choice = attempt.choice
        self._context.rollouts.record_response(
            choice.service,
            choice.version,
            LatencyClass(attempt.route.name, attempt.model, PACE),
            attempt.progress.pause,
        )

    def record_end(self, call: Call, attempt: Attempt) -> None:
        """Restart the session's idle time at the end of its response."""
        choice = attempt.choice
        self._record_stream(attempt)
        self._context.rollouts.pin_session(
            choice.service, call.session, choice.version, 0
        )

    def _record_stream(self, attempt: Attempt) -> None:
        """Compare the pauses between a stream's events with the forecast."""
        events = attempt.progress.events
        if events < PACE_EVENTS:
            return
        seconds = attempt.progress.find_age(time.monotonic())
        scored = attempt.choice.scored
        if scored.stream_seconds:
            ratio = seconds / scored.stream_seconds
            self._context.metrics.forecast.labels('last').observe(ratio)
        scored.forecast.record_pause(seconds / (events - 1))

    def _record_loss(
        self, call: Call, attempt: Attempt, error: ConnectionLostError
    ) -> None:
        """Record a lost connection that a prompt may have caused.

        An endpoint that goes on with another response has not crashed.
        """
        quarantine = self._context.quarantine
        record = attempt.choice.endpoint.record
        if error.defect not in LOSSES or attempt.exchange.is_cancelled():
            return
        if attempt.has_only_begun():
            quarantine.record_crash(call, record)
        elif quarantine.list_suspects(call) and is_refusing(record):
            quarantine.record_indirect_crash(call, record)

    def record_failure(
        self,
        call: Call,
        attempt: Attempt,
        error: CourseError,
        *,
        has_started: bool,
    ) -> None:
        """Record a failed attempt.

        has_started is True if part of the response was forwarded before.
        """
        choice = attempt.choice
        record = choice.endpoint.record
        seconds = time.monotonic() - attempt.started_at
        defect = error.defect if isinstance(error, EndpointError) else None
        logger.info(
            'attempt failed',
            call=call.identifier,
            endpoint=record.identifier,
            version=choice.version,
            model=attempt.model,
            code=error.code,
            defect=defect,
            why=error.text,
            seconds=round(seconds, 4),
            is_reused=attempt.exchange.is_reused,
            received=attempt.exchange.count_received(),
            parts=[part.identifier[:LOGGED_CHARACTERS] for part in call.prompt],
            has_head=attempt.exchange.head is not None,
            events=attempt.progress.events,
        )
        self._context.metrics.failures.labels(error.code).inc()
        if defect is not None:
            self._context.metrics.defects.labels(defect).inc()
        if error.outcome is Outcome.not_run:
            return
        self._context.outliers.record_attempt(record.identifier, failed=True)
        if isinstance(error, ConnectionLostError):
            self._record_loss(call, attempt, error)
        analysis = self._context.rollouts.get_analysis(choice.service)
        analysis.record_failure(choice.version)
        if not isinstance(error, SilentError):
            return
        self._context.connections.close_idle(record)
        if not has_started:
            self.record_wait(attempt)

    def record_wait(self, attempt: Attempt) -> None:
        """Record the wait for an endpoint that has not begun to respond.

        It counts as a response time, so that the mean and later timeouts grow
        when endpoints slow down.
        """
        seconds = time.monotonic() - attempt.started_at
        attempt.choice.scored.forecast.record_silence(seconds)
        self._context.metrics.record_seconds(
            (attempt.route.name, attempt.model), seconds
        )
