"""Serves one request: choice, attempts, and the answer to the caller."""

import time
from http import HTTPStatus
from typing import Final

from loguru import logger

from ..errors import (
    DECODE_ERRORS,
    BadRequestError,
    CourseError,
    DeadlineError,
    EndpointError,
    Outcome,
    UnavailableError,
)
from .admission import Admitted, Choice, NoEndpointError, check_time
from .attempts import Attempt, Observer
from .connections import NotSentError, SilentError
from .events import EventSplitter
from .messages import RawRequest
from .models import Models, find_wanted, list_models
from .objects import Call, Head, Kind, Order, Route
from .parts import RelayParts
from .replies import CallerGoneError, Reply

#: Least part of the objective that an endpoint has to begin its answer, if
#: another one may be asked.
FIRST_PART: Final = 0.5
#: Expected times after which an endpoint counts as silent. They grow with
#: the load, so that waiting work isn't sent twice when all are busy.
SILENT_RATIO: Final = 4.0
#: Silence within a stream after which another endpoint goes on, in seconds;
#: callers leave after eight of the longest pauses.
STREAM_SILENCE_SECONDS: Final = 2.0
#: Endpoints asked that did not run the request, on top of its runs.
MAX_SENDS: Final = 4
#: Time kept back from a deadline for the answer's way, in seconds.
WAY_SECONDS: Final = 0.02
#: Shortest time worth sending a request for, in seconds.
MIN_LEFT_SECONDS: Final = 0.03


class RejectedError(UnavailableError):
    """The endpoint states that it did not run the request."""

    code = 'endpoint_rejected'


_RETRYABLE: Final = (EndpointError, NotSentError, RejectedError)


class Relay:
    """Forwards requests."""

    def __init__(self, parts: RelayParts) -> None:
        """Keep the parts."""
        self._parts = parts

    def serve(self, raw: RawRequest, reply: Reply) -> None:
        """Answer one request.

        Raises a CourseError if no byte of an answer was sent.
        """
        try:
            call = self._parts.codec.decode_call(raw)
        except DECODE_ERRORS as error:
            raise BadRequestError(f'a header is malformed: {error}') from error
        delivery = Delivery(self._parts, call, reply)
        try:
            delivery.run()
        except CourseError as error:
            delivery.log_end(error.code, error)
            raise
        finally:
            reply.watch(None)
        delivery.log_end('ok', None)


class Delivery:
    """One request on its way."""

    def __init__(self, parts: RelayParts, call: Call, reply: Reply) -> None:
        """Keep the parts."""
        self._parts = parts
        self._call = call
        self._reply = reply
        self._observer = Observer(parts)
        self._admitted: Admitted | None = None
        self._models = Models(())
        self._tried: set[str] = set()
        #: Versions that failed before a part of their answer was handed on.
        self._failed: set[str] = set()
        #: Endpoint that was tried last.
        self._current = ''
        #: Attempts that ran or may have run.
        self._runs = 0
        self._sends = 0
        self._last_event = call.last_event
        self._has_begun = False
        self._limit = call.deadline
        self._first_event: float | None = None
        self._status = 0
        #: Model that the stream began with.
        self._stream_model = ''
        #: Where the next attempt goes, if that was chosen already.
        self._next: Choice | None = None
        #: Service whose retry budget the request draws on.
        self._service = ''

    def run(self) -> None:
        """Send the request until it is answered."""
        admitted = self._admit()
        self._models = list_models(admitted.route, self._call)
        while True:
            try:
                if self._attempt():
                    return
            except CallerGoneError:
                raise
            except CourseError as error:
                if not self._may_go_on(error):
                    self._fail(error)

    def log_end(self, code: str, error: CourseError | None) -> None:
        """Log and count how the request ended."""
        route = self._admitted.route.name if self._admitted else ''
        seconds = time.monotonic() - self._call.received
        self._parts.metrics.note_end(route, code, seconds, self._first_event)
        logger.info(
            'request ended',
            call=self._call.identifier,
            route=route,
            account=self._admitted.account.name if self._admitted else '',
            code=code,
            status=self._status or getattr(error, 'status', 0),
            why=getattr(error, 'text', ''),
            sends=self._sends,
            runs=self._runs,
            seconds=round(seconds, 4),
            first=self._first_event,
            proof_age=round(self._parts.find_age(), 2),
        )

    def _admit(self) -> Admitted:
        self._parts.startup.wait(self._call.deadline - MIN_LEFT_SECONDS)
        admitted = self._parts.admission.admit(
            self._call, self._parts.revocation_seconds, self._parts.find_age
        )
        self._admitted = admitted
        self._limit = self._call.deadline - WAY_SECONDS
        if admitted.route.timeout:
            timeout = self._call.received + admitted.route.timeout
            self._limit = min(self._limit, timeout)
        check_time(self._call, self._limit, time.monotonic())
        return admitted

    def _follow_route(self) -> Admitted:
        """Return the request as admitted, with its route's newest services.

        Key and proof held when the request came, which is what counts.
        """
        assert self._admitted is not None
        admission = self._parts.admission
        self._admitted = admission.follow_route(self._call, self._admitted)
        return self._admitted

    def _attempt(self) -> bool:
        """Send the request once; return True if it was answered."""
        admitted = self._follow_route()
        if self._reply.is_gone():
            raise CallerGoneError('the caller closed its connection')
        model = self._stream_model or self._models.current
        choice = self._next or self._parts.admission.choose(
            self._call, admitted, model, self._tried, self._failed
        )
        self._next = None
        self._note_service(choice.service)
        attempt = self._open(admitted, choice, model)
        visit = choice.endpoint.backlog.add_request(
            choice.rank, choice.scored.prefill_seconds
        )
        self._reply.watch(attempt.exchange.cancel)
        try:
            if self._reply.is_gone():
                raise CallerGoneError('the caller closed its connection')
            head = self._ask(attempt)
            visit.finish_prefill()
            return self._take(attempt, head)
        except CourseError as error:
            if self._reply.is_gone():
                raise CallerGoneError('the caller has left') from error
            self._note_failure(attempt, error)
            raise
        finally:
            visit.finish()
            self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        """Keep an attempt's connection if it may be used again."""
        self._reply.watch(None)
        if self._status:
            self._observer.note_end(self._call, attempt)
        self._parts.connections.keep(
            attempt.choice.endpoint.record, attempt.exchange
        )

    def _note_service(self, service: str) -> None:
        """Count the request's first try for a service's retry budget."""
        if service != self._service:
            self._service = service
            self._parts.find_budget(service).record_request()

    def _open(
        self,
        admitted: Admitted,
        choice: Choice,
        model: str,
    ) -> Attempt:
        endpoint = choice.endpoint
        record = endpoint.record
        self._tried.add(record.identifier)
        self._current = record.identifier
        self._sends += 1
        now = time.monotonic()
        left = self._limit - now
        if left < MIN_LEFT_SECONDS:
            raise DeadlineError(f'{left:.3f} s are left')
        order = Order(
            identifier=record.identifier,
            account=admitted.account.name,
            seconds_left=self._call.deadline - now,
            model=model,
            rank=choice.rank,
            last_event=self._last_event,
        )
        logger.debug(
            'request sent',
            call=self._call.identifier,
            session=self._call.session,
            endpoint=record.identifier,
            version=record.version,
            model=model,
            rank=choice.rank,
            number=self._sends,
            running=endpoint.backlog.running,
            others=round(endpoint.backlog.estimate_peer_requests(), 1),
            fresh_tokens=choice.scored.uncached_tokens,
            predicted=round(choice.scored.score, 3),
        )
        try:
            exchange = self._parts.connections.open(record, self._call)
        except NotSentError:
            endpoint.record_unreachable()
            self._parts.outliers.record_attempt(record.identifier, failed=True)
            raise
        return Attempt(admitted.route, choice, exchange, model, now, order)

    def _ask(self, attempt: Attempt) -> Head:
        """Return the start of the endpoint's answer."""
        exchange = attempt.exchange
        self._runs += 1
        may_repeat = attempt.route.is_repeatable() and (
            self._runs < attempt.route.max_runs
        )
        until = self._limit
        if may_repeat:
            usual = self._parts.metrics.find_usual(
                (attempt.route.name, attempt.model)
            )
            predicted = attempt.choice.scored.score
            patience = find_patience(attempt.route, usual, predicted)
            until = min(until, time.monotonic() + patience)
        try:
            exchange.send(attempt.order, until)
        except NotSentError:
            self._runs -= 1
            raise
        head = exchange.read_head(until)
        endpoint = attempt.choice.endpoint
        if head.load is not None:
            endpoint.backlog.record_load(head.load)
        if head.cold_seconds is not None:
            endpoint.record_cold_period(head.cold_seconds)
        if head.not_run or head.misdirected:
            self._runs -= 1
            if head.misdirected:
                endpoint.record_unreachable()
            self._drain(attempt)
            raise RejectedError(
                f'endpoint "{endpoint.record.identifier}" answered '
                f'{head.status} and did not run it'
            )
        endpoint.record_response()
        return head

    def _drain(self, attempt: Attempt) -> None:
        """Read the rest of an answer that is not used."""
        try:
            attempt.exchange.read_body(time.monotonic() + MIN_LEFT_SECONDS)
        except CourseError:
            attempt.exchange.close()

    def _take(self, attempt: Attempt, head: Head) -> bool:
        """Hand the answer on; return False if it is dropped."""
        assert self._admitted is not None
        route = self._admitted.route
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and not head.is_signed:
            raise EndpointError('the answer is not signed')
        if not is_success:
            return self._take_failure(attempt, head)
        if route.kind is Kind.stream and head.is_event_stream:
            return self._take_stream(attempt, head)
        body = attempt.exchange.read_body(self._limit)
        self._observer.note_success(self._call, attempt)
        self._send(head, body)
        return True

    def _take_failure(self, attempt: Attempt, head: Head) -> bool:
        """Hand a failure on unless another endpoint may do better."""
        assert self._admitted is not None
        body = attempt.exchange.read_body(self._limit)
        error = EndpointError(f'the endpoint answered {head.status}')
        is_fault = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_fault and self._may_go_on(error):
            self._note_failure(attempt, error)
            return False
        if is_fault:
            self._note_failure(attempt, error)
        if self._has_begun:
            raise error
        if not head.is_signed:
            raise EndpointError('the failure is not signed')
        self._send(head, body)
        return True

    def _take_stream(self, attempt: Attempt, head: Head) -> bool:
        if not self._has_begun and self._asks_larger(attempt, head):
            return False
        splitter = EventSplitter()
        exchange = attempt.exchange
        while True:
            content = exchange.read_some(
                min(self._limit, time.monotonic() + STREAM_SILENCE_SECONDS)
            )
            if not content:
                break
            events = splitter.add(content)
            if events.content:
                self._write(attempt, head, events.content)
                self._last_event = events.last or self._last_event
        if splitter.has_rest() or not self._has_begun:
            raise EndpointError('the stream ended within an event')
        self._reply.finish()
        return True

    def _asks_larger(self, attempt: Attempt, head: Head) -> bool:
        """Drop the answer for a larger model's, if that is worth it."""
        if not self._models.may_doubt(head.confidence):
            return False
        larger = self._choose_larger()
        if larger is None or self._is_good_enough(head, larger):
            return False
        if not self._spend():
            return False
        logger.info(
            'answer dropped',
            call=self._call.identifier,
            model=attempt.model,
            confidence=head.confidence,
            predicted=round(larger.scored.score, 3),
        )
        self._parts.metrics.drops.inc()
        self._observer.note_success(self._call, attempt)
        attempt.exchange.close()
        self._models = self._models.enlarge()
        self._next = larger
        return True

    def _is_good_enough(self, head: Head, larger: Choice) -> bool:
        """Return True if waiting for the larger model is worth less."""
        assert self._admitted is not None
        route = self._admitted.route
        model = self._models.enlarge().current
        usual = self._parts.metrics.find_usual((route.name, model))
        left = self._call.received + route.objective - time.monotonic()
        wanted = find_wanted(max(usual, larger.scored.score), left)
        return head.confidence is None or head.confidence >= wanted

    def _choose_larger(self) -> Choice | None:
        """Return where the larger model goes, or None if nowhere now."""
        assert self._admitted is not None
        if self._runs >= self._admitted.route.max_runs:
            return None
        tried = self._tried - {self._current}
        larger = self._models.enlarge().current
        try:
            return self._parts.admission.choose(
                self._call, self._admitted, larger, tried, self._failed
            )
        except NoEndpointError:
            return None

    def _write(self, attempt: Attempt, head: Head, content: bytes) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._status = head.status
            self._stream_model = attempt.model
            now = time.monotonic()
            self._first_event = round(now - self._call.received, 4)
            self._observer.note_success(self._call, attempt)
            self._reply.begin(head.status, head.headers)
        self._reply.write(content)

    def _send(self, head: Head, body: bytes) -> None:
        self._status = head.status
        self._reply.send(head.status, head.headers, body)

    def _may_go_on(self, error: CourseError) -> bool:
        """Return True if another endpoint may be asked."""
        assert self._admitted is not None
        route = self._admitted.route
        if not isinstance(error, _RETRYABLE):
            return False
        if self._is_late():
            return False
        if self._runs and not route.is_repeatable():
            return False
        if self._runs >= route.max_runs or self._sends >= MAX_SENDS:
            return False
        if isinstance(error, NotSentError):
            return True
        return self._spend()

    def _spend(self) -> bool:
        budget = self._parts.find_budget(self._service)
        is_free = budget.spend(self._parts.count_entries())
        self._parts.metrics.retries.labels(str(is_free)).inc()
        return is_free

    def _fail(self, error: CourseError) -> None:
        """End the request without an answer of an endpoint.

        Raises the error, made true for a request that may have run.
        """
        if self._has_begun:
            self._reply.abort()
            raise EndpointError(f'the stream broke off: {error.text}')
        if isinstance(error, SilentError) and self._is_late():
            raise DeadlineError(f'no answer in time: {error.text}')
        if (
            self._runs
            and error.outcome is Outcome.not_run
            and not isinstance(error, DeadlineError)
        ):
            raise EndpointError(error.text)
        raise error

    def _is_late(self) -> bool:
        return time.monotonic() + MIN_LEFT_SECONDS >= self._limit

    def _note_failure(self, attempt: Attempt, error: CourseError) -> None:
        if error.outcome is not Outcome.not_run and not self._has_begun:
            self._failed.add(attempt.choice.version)
        self._observer.note_failure(
            self._call, attempt, error, has_begun=self._has_begun
        )


def find_patience(route: Route, usual: float, predicted: float) -> float:
    """Return the seconds that an endpoint may take to begin its answer.

    Answers usually take usual seconds, and this one was predicted to take
    predicted seconds where it goes.
    """
    expected = max(usual, predicted)
    return max(FIRST_PART * route.objective, SILENT_RATIO * expected)
