"""Forwards a request to endpoints, with retries."""

import time
from functools import partial
from http import HTTPStatus
from typing import Final

from loguru import logger

from ..errors import (
    DECODE_ERRORS,
    BadRequestError,
    CourseError,
    DeadlineError,
    EndpointError,
    LateEndpointError,
    Outcome,
    ResponseDefect,
    UnavailableError,
)
from .admission import (
    AdmittedRequest,
    EndpointChoice,
    check_deadline,
)
from .attempts import Attempt, AttemptProgress, AttemptRecorder
from .backlog import InFlightRequest
from .connections import ConnectionLostError, NotSentError, SilentError
from .context import RelayContext
from .escalation import Escalation, EscalationLimits
from .events import EventSplitter
from .executions import ExecutionLimit
from .keeping import (
    KeptResponse,
    ResponseKeeper,
    end_attempt,
    find_wait_seconds,
)
from .messages import RawRequest
from .models import UNCHECKED_CONFIDENCE, ModelCascade, list_models
from .objects import AttemptOptions, Call, ResponseHead, RouteKind
from .patience import (
    find_event_patience,
    find_head_patience,
    find_read_end,
)
from .requestlogs import RequestResult, log_attempt, log_result
from .responses import CallerGoneError, ResponseWriter
from .retries import RetryAllowance

#: Time before the deadline that is reserved to return the response.
RESPONSE_MARGIN_SECONDS: Final = 0.02
#: Remaining time below which no attempt is started.
MIN_REMAINING_SECONDS: Final = 0.03
#: How many times the mean response time is needed for a request that arrives
#: during a shutdown.
NEEDED_RESPONSE_TIMES: Final = 2.0


class RejectedError(UnavailableError):
    """The endpoint reported that it did not execute the request."""

    code = 'endpoint_rejected'


_RETRYABLE: Final = (EndpointError, NotSentError, RejectedError)


class Relay:
    """Forwards callers' requests; may be used by several threads."""

    def __init__(self, context: RelayContext) -> None:
        """Create a relay on the shared state of an entry."""
        self._context = context

    def serve(self, raw: RawRequest, response: ResponseWriter) -> None:
        """Forward a request and write the response.

        Raises CourseError if the response could not be written completely.
        """
        try:
            call = self._context.codec.decode_call(raw)
        except DECODE_ERRORS as error:
            raise BadRequestError(f'malformed header: {error}') from error
        request = ForwardedRequest(self._context, call, response)
        try:
            request.run()
        except CourseError as error:
            request.log_result(error)
            raise
        finally:
            response.watch_disconnect(None)
        request.log_result(None)


class ForwardedRequest:
    """State and retry loop of one request that is being forwarded."""

    def __init__(
        self,
        context: RelayContext,
        call: Call,
        response: ResponseWriter,
    ) -> None:
        """Create the state of a call that was not sent to an endpoint yet."""
        self._context = context
        self._call = call
        self._response = response
        self._recorder = AttemptRecorder(context)
        self._admitted: AdmittedRequest | None = None
        self._models = ModelCascade(())
        self._escalation = Escalation(context, call)
        #: Identifiers of endpoints that were selected before.
        self._tried: set[str] = set()
        #: Versions that failed before any of their response was forwarded.
        self._failed: set[str] = set()
        #: Identifier of the endpoint of the newest attempt.
        self._last_endpoint = ''
        self._limit = ExecutionLimit()
        self._last_event = call.last_event
        #: True once the response head was forwarded to the caller.
        self._has_started = False
        #: time.monotonic() until which the endpoint must have responded.
        self._cutoff = call.deadline
        #: Seconds from the request to the first event of a stream.
        self._first_event: float | None = None
        #: Status of the forwarded response, or 0.
        self._status = 0
        #: Model that produced the first event of the stream.
        self._stream_model = ''
        #: Endpoint of the next attempt, if it is selected already.
        self._next_choice: EndpointChoice | None = None
        #: Has a smaller model's response while a larger model is asked.
        self._keeper = ResponseKeeper(context, call)
        #: Endpoint that takes over from a silent one; its retry is paid for.
        self._successor: EndpointChoice | None = None
        self._retries = RetryAllowance(context)

    def run(self) -> None:
        """Forward the request, with retries, until it is answered.

        Raises CourseError.
        """
        admitted = self._admit()
        self._models = list_models(admitted.route, self._call)
        self._choose_first_model(admitted)
        is_stream = admitted.route.kind is RouteKind.stream
        try:
            with self._context.streams.admit(is_stream=is_stream):
                self._run_attempts()
        finally:
            self._keeper.drop()

    def _choose_first_model(self, admitted: AdmittedRequest) -> None:
        """Ask the largest model first if it can't be asked after another one.

        The smallest one is asked only if the largest would be late.
        """
        if admitted.route.is_repeatable():
            return
        limits = EscalationLimits(self._cutoff, self._tried, self._failed)
        larger = self._escalation.choose(
            admitted, self._models, UNCHECKED_CONFIDENCE, limits
        )
        if larger is not None:
            self._models = self._models.escalate()
            self._next_choice = larger.choice

    def _run_attempts(self) -> None:
        while True:
            try:
                if self._run_attempt():
                    return
            except CallerGoneError:
                raise
            except CourseError as error:
                if self._may_retry(error):
                    continue
                self._successor = None
                self._next_choice = None
                if not self._keeper.take_over(error):
                    self._fail(error)

    def log_result(self, error: CourseError | None) -> None:
        """Log the request's result and update the metrics."""
        result = RequestResult(
            self._status,
            self._limit.attempts,
            self._limit.executions,
            self._first_event,
        )
        log_result(self._context, self._call, self._admitted, result, error)

    def _admit(self) -> AdmittedRequest:
        self._context.startup.wait(self._call.deadline - MIN_REMAINING_SECONDS)
        admitted = self._context.admission.admit(
            self._call,
            self._context.revocation_seconds,
            self._context.find_proof_age,
        )
        self._admitted = admitted
        self._limit.apply_route(admitted.route)
        self._cutoff = self._call.deadline - RESPONSE_MARGIN_SECONDS
        if admitted.route.timeout:
            timeout = self._call.received + admitted.route.timeout
            self._cutoff = min(self._cutoff, timeout)
        check_deadline(self._call, self._cutoff, time.monotonic())
        return admitted

    def _refresh_route(self) -> AdmittedRequest:
        """Update the route from the newest configuration and return it.

        The API key and the freshness proof are not checked again: they only
        have to be valid at the time of the request's arrival.
        """
        assert self._admitted is not None
        admission = self._context.admission
        self._admitted = admission.refresh_route(self._call, self._admitted)
        self._limit.apply_route(self._admitted.route)
        return self._admitted

    def _run_attempt(self) -> bool:
        """Send the request once; return True if the caller was answered."""
        admitted = self._refresh_route()
        if self._response.is_disconnected():
            raise CallerGoneError('the caller closed its connection')
        due = self._keeper.due
        if due is not None:
            return self._complete(due.attempt, due.in_flight)
        model = self._stream_model or self._models.current
        choice = self._successor or self._select_endpoint(
            admitted, model, self._failed
        )
        self._successor = None
        self._retries.record_request(choice.service)
        attempt = self._start_attempt(admitted, choice, model)
        in_flight_request = choice.endpoint.backlog.add_request(
            choice.rank, choice.scored.prefill_seconds
        )
        return self._complete(attempt, in_flight_request)

    def _complete(self, attempt: Attempt, in_flight: InFlightRequest) -> bool:
        """Send the request, unless it was, and forward the response.

        Returns True if the caller was answered.
        """
        self._response.watch_disconnect(attempt.exchange.cancel)
        try:
            if self._response.is_disconnected():
                raise CallerGoneError('the caller closed its connection')
            head = attempt.exchange.head or self._send_attempt(attempt)
            in_flight.finish_prefill()
            return self._forward_response(attempt, head, in_flight)
        except CourseError as error:
            if self._response.is_disconnected():
                raise CallerGoneError('the caller disconnected') from error
            self._record_failure(attempt, error)
            raise
        finally:
            self._finish_attempt(attempt, in_flight)

    def _select_endpoint(
        self, admitted: AdmittedRequest, model: str, failed: set[str]
    ) -> EndpointChoice:
        """Return the endpoint for an attempt that may begin now.

        failed holds the versions that failed this request.

        Raises CourseError.
        """
        self._context.quarantine.check(self._call)
        choice = self._next_choice or self._context.admission.choose(
            self._call, admitted, model, self._tried, failed
        )
        self._next_choice = None
        if not self._limit.attempts:
            self._context.admission.check_load(
                self._call, admitted, choice, self._cutoff
            )
        if not self._has_started:
            self._context.shutdown.check(
                _predict_seconds(self._context, admitted, choice, model)
            )
        return choice

    def _find_successor(self, attempt: Attempt) -> bool:
        """Select and pay for an endpoint that takes over from a silent one.

        Returns False if there is none: the silent endpoint may go on.
        """
        failed = self._failed
        if not self._has_started:
            failed = failed | {attempt.choice.version}
        try:
            successor = self._select_successor(attempt.model, failed)
        except CourseError as error:
            if attempt.progress.notice_wait():
                logger.info(
                    'silent endpoint waited for',
                    call=self._call.identifier,
                    endpoint=attempt.choice.endpoint.record.identifier,
                    why=error.text,
                    events=attempt.progress.events,
                )
            return False
        self._successor = successor
        return True

    def _select_successor(self, model: str, failed: set[str]) -> EndpointChoice:
        """Return an endpoint and charge the retry budget; raise CourseError."""
        if self._is_late() or not self._retries.are_left():
            raise UnavailableError('no time or no retry is left')
        admitted = self._refresh_route()
        if not self._limit.may_retry():
            raise UnavailableError('the route allows no further execution')
        choice = self._select_endpoint(admitted, model, failed)
        if not self._retries.spend():
            raise UnavailableError('no retry is left')
        return choice

    def _finish_attempt(
        self, attempt: Attempt, in_flight: InFlightRequest
    ) -> None:
        """Record the end of an attempt unless its response is kept."""
        self._response.watch_disconnect(None)
        if self._keeper.holds(attempt):
            return
        self._keeper.due = None
        if self._status:
            self._recorder.record_end(self._call, attempt)
        end_attempt(self._context, attempt, in_flight)

    def _start_attempt(
        self,
        admitted: AdmittedRequest,
        choice: EndpointChoice,
        model: str,
    ) -> Attempt:
        endpoint = choice.endpoint
        record = endpoint.record
        self._tried.add(record.identifier)
        self._last_endpoint = record.identifier
        self._limit.attempts += 1
        now = time.monotonic()
        remaining = self._cutoff - now
        if remaining < MIN_REMAINING_SECONDS:
            raise DeadlineError(
                f'{remaining:.3f} s remain, too little for an attempt'
            )
        options = AttemptOptions(
            identifier=record.identifier,
            account=admitted.account.name,
            seconds_left=min(
                self._call.deadline - now,
                self._context.shutdown.find_remaining(),
            ),
            model=model,
            rank=choice.rank,
            last_event=self._last_event,
        )
        log_attempt(self._call, choice, model, self._limit.attempts)
        try:
            exchange = self._context.connections.open(record, self._call)
        except NotSentError:
            endpoint.record_unreachable()
            self._context.outliers.record_attempt(
                record.identifier, failed=True
            )
            raise
        return Attempt(
            admitted.route,
            choice,
            exchange,
            model,
            now,
            options,
            AttemptProgress(),
        )

    def _send_attempt(self, attempt: Attempt) -> ResponseHead:
        """Send the request and return the head of the response.

        Raises NotSentError, SilentError, EndpointError, RejectedError.
        """
        exchange = attempt.exchange
        self._limit.executions += 1
        patience = None
        if self._limit.may_retry():
            patience = find_head_patience(
                attempt.route,
                self._context.metrics.find_mean_seconds(
                    (attempt.route.name, attempt.model)
                ),
                attempt.choice.scored.score,
            )
        started_at = time.monotonic()
        cutoff = self._keeper.find_wait_end(self._cutoff)
        until = cutoff
        if patience is not None:
            until = min(until, started_at + patience.busy)
        reservation = attempt.choice.scored.reservation
        if reservation is not None:
            reservation.record_sent()
        try:
            exchange.send(attempt.options, until)
        except NotSentError:
            self._limit.executions -= 1
            raise
        attempt.wait_for_data(
            patience,
            started_at,
            cutoff,
            partial(self._find_successor, attempt),
        )
        head = exchange.read_head(find_read_end(patience, cutoff))
        endpoint = attempt.choice.endpoint
        endpoint.record_progress()
        if head.is_leaving:
            endpoint.record_leaving()
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE and head.retry_after:
            endpoint.record_pause(head.retry_after)
        if head.load is not None:
            endpoint.backlog.record_load(head.load)
        if head.cold_seconds is not None:
            endpoint.record_cold_period(head.cold_seconds)
        if head.not_run or head.misdirected:
            if head.misdirected:
                endpoint.record_unreachable()
            attempt.read_refusal(self._cutoff)
            self._limit.executions -= 1
            raise RejectedError(
                f'endpoint "{endpoint.record.identifier}" returned status '
                f'{head.status} without executing the request'
            )
        endpoint.record_response()
        return head

    def _forward_response(
        self, attempt: Attempt, head: ResponseHead, in_flight: InFlightRequest
    ) -> bool:
        """Forward the response; return False if it was discarded."""
        assert self._admitted is not None
        route = self._admitted.route
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and not head.is_signed:
            raise EndpointError(
                'the response has no server signature', ResponseDefect.unsigned
            )
        if not is_success:
            return self._forward_failure(attempt, head)
        if route.kind is RouteKind.stream and head.is_event_stream:
            if not self._has_started and self._escalate(
                attempt, head, in_flight
            ):
                return False
            return self._forward_stream(attempt, head)
        if self._has_started:
            raise EndpointError('the stream was resumed without a stream')
        body = attempt.exchange.read_body(self._cutoff)
        self._recorder.record_survival(self._call, attempt, is_complete=True)
        self._recorder.record_success(self._call, attempt)
        self._status = head.status
        self._response.send(head.status, head.headers, body)
        return True

    def _forward_failure(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Forward an error response, or return False to retry."""
        assert self._admitted is not None
        body = attempt.exchange.read_body(self._cutoff)
        error = EndpointError(f'the endpoint returned status {head.status}')
        is_fault = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_fault and self._may_retry(error):
            self._record_failure(attempt, error)
            return False
        if is_fault:
            self._record_failure(attempt, error)
        if self._has_started:
            raise error
        if not head.is_signed:
            raise EndpointError(
                'the error response has no server signature',
                ResponseDefect.unsigned,
            )
        self._status = head.status
        self._response.send(head.status, head.headers, body)
        return True

    def _forward_stream(self, attempt: Attempt, head: ResponseHead) -> bool:
        assert self._admitted is not None
        event_splitter = EventSplitter()
        exchange = attempt.exchange
        endpoint = attempt.choice.endpoint
        patience = None
        if self._limit.may_retry():
            patience = find_event_patience(self._admitted.route)
        progressed_at = time.monotonic()
        # Until when the event that is being received must end.
        until = self._cutoff
        while True:
            attempt.wait_for_data(
                patience,
                progressed_at,
                self._keeper.find_wait_end(self._cutoff),
                partial(self._find_successor, attempt),
            )
            if not event_splitter.count_buffered():
                until = find_read_end(patience, self._cutoff)
            content = exchange.read_chunk(until)
            if not content:
                break
            events = event_splitter.add(content)
            exchange.hold(event_splitter.count_buffered())
            if events.content:
                exchange.check_events(events.content)
                now = time.monotonic()
                if self._has_started and not self._keeper.due:
                    endpoint.pace.observe(events.number, now - progressed_at)
                progressed_at = now
                is_measured = attempt.progress.add_events(events.number, now)
                if is_measured and not self._keeper.due:
                    self._recorder.record_pace(attempt)
                self._recorder.record_survival(
                    self._call, attempt, is_complete=False
                )
                endpoint.record_progress()
                self._write_events(attempt, head, events.content)
                self._last_event = events.last_id or self._last_event
        if event_splitter.count_buffered() or not self._has_started:
            raise ConnectionLostError(
                'the stream ended within an event',
                ResponseDefect.body_truncated,
            )
        if exchange.ends_with_connection() and not attempt.progress.events:
            raise ConnectionLostError(
                'the resumed stream has no event',
                ResponseDefect.body_truncated,
            )
        self._recorder.record_survival(self._call, attempt, is_complete=True)
        if not attempt.options.last_event:
            if not self._keeper.due:
                _observe_stream(self._context, attempt)
            self._context.admission.lengths.observe(
                attempt.route.name,
                self._call.expected_tokens,
                attempt.progress.events,
            )
        self._response.finish()
        return True

    def _escalate(
        self, attempt: Attempt, head: ResponseHead, in_flight: InFlightRequest
    ) -> bool:
        """Discard or keep the response if a larger model is worth asking.

        Returns True if so; the next attempt asks that model, maybe at the
        endpoint of the newest attempt.
        """
        admitted = self._refresh_route()
        if not self._limit.may_execute():
            return False
        larger = self._escalation.choose(
            admitted,
            self._models,
            head.confidence,
            EscalationLimits(
                self._cutoff, self._tried - {self._last_endpoint}, self._failed
            ),
        )
        if larger is None or not self._retries.spend():
            return False
        self._escalation.record(attempt.model, larger)
        self._recorder.record_success(self._call, attempt)
        if larger.is_uncertain():
            wait_seconds = find_wait_seconds(larger.needs, larger.confidence)
            self._keeper.keep(KeptResponse(attempt, in_flight), wait_seconds)
        else:
            attempt.exchange.close()
        self._models = self._models.escalate()
        self._next_choice = larger.choice
        return True

    def _write_events(
        self, attempt: Attempt, head: ResponseHead, content: bytes
    ) -> None:
        if not self._has_started:
            self._has_started = True
            self._status = head.status
            self._stream_model = attempt.model
            now = time.monotonic()
            self._first_event = round(now - self._call.received, 4)
            if not self._keeper.due:
                self._recorder.record_success(self._call, attempt)
                self._keeper.drop()
            self._response.begin(head.status, head.headers)
        self._response.write(content)

    def _may_retry(self, error: CourseError) -> bool:
        """Return True if the request may be retried after an error.

        Charges the retry budget, unless nothing was sent or the endpoint of
        the next attempt was selected before.
        """
        if self._keeper.is_overdue():
            return False
        if self._successor is not None:
            return True
        if not isinstance(error, _RETRYABLE):
            return False
        self._refresh_route()
        if self._is_late() or not self._limit.may_retry():
            return False
        if isinstance(error, NotSentError):
            return True
        return self._retries.spend()

    def _fail(self, error: CourseError) -> None:
        """Abort a started response and raise the request's final error.

        An error that claims the request was not executed becomes an
        EndpointError if an attempt may have executed it.
        """
        if self._has_started:
            self._response.abort()
            raise EndpointError(f'the stream was interrupted: {error.text}')
        error = self._context.shutdown.explain(error, self._limit.executions)
        if isinstance(error, SilentError) and self._is_late():
            raise LateEndpointError(
                f'no response before the deadline: {error.text}'
            )
        if self._limit.executions and error.outcome is Outcome.not_run:
            if isinstance(error, DeadlineError):
                raise LateEndpointError(error.text)
            raise EndpointError(error.text)
        raise error

    def _is_late(self) -> bool:
        remaining = min(
            self._cutoff - time.monotonic(),
            self._context.shutdown.find_remaining(),
        )
        return remaining <= MIN_REMAINING_SECONDS

    def _record_failure(self, attempt: Attempt, error: CourseError) -> None:
        if isinstance(error, SilentError) and self._keeper.is_overdue():
            # The endpoint did not fail: it was to begin before the deadline.
            self._recorder.record_wait(attempt)
            return
        if isinstance(error, SilentError) and attempt.progress.events:
            _observe_stream(self._context, attempt)
        if error.outcome is not Outcome.not_run and not self._has_started:
            self._failed.add(attempt.choice.version)
        self._recorder.record_failure(
            self._call, attempt, error, has_started=self._has_started
        )


def _observe_stream(context: RelayContext, attempt: Attempt) -> None:
    """Record how long a stream took until it ended or was given up."""
    context.admission.stream_times.observe(
        attempt.route.name, attempt.progress.find_age(time.monotonic())
    )


def _predict_seconds(
    context: RelayContext,
    admitted: AdmittedRequest,
    choice: EndpointChoice,
    model: str,
) -> float:
    """Return the seconds that most responses like this one need at most."""
    mean_seconds = context.metrics.find_mean_seconds(
        (admitted.route.name, model)
    )
    return NEEDED_RESPONSE_TIMES * mean_seconds + choice.scored.stream_seconds
