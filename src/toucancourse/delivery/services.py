"""Calls to services that are not models, some with at-most-once execution."""

import itertools
from collections.abc import Iterable
from typing import Final, NamedTuple

from loguru import logger

from ..billing.claims import Claim
from ..billing.ledger import SpendHold, today
from ..billing.spend import Line
from ..contract.objects import ServiceBody
from ..contract.state import State
from ..errors import (
    CourseError,
    DeadlineError,
    NotFoundError,
    Outcome,
    UnavailableError,
    UnknownOutcomeError,
)
from ..protocol import peer_pb2
from ..report.metrics import ChatMetrics
from ..web.messages import Request, Response, StartResponse, send
from .attempts import Attempt
from .callers import (
    Caller,
    RequestOptions,
    authenticate,
    check_service,
    read_options,
)
from .entry import (
    EntryContext,
    iterate_with_backoff,
    log_failed_attempt,
    make_open_message,
    remaining_seconds,
)
from .idempotency import (
    END_SYNC_SECONDS,
    IdempotencyClaims,
    RequestKey,
    StoredResponse,
    make_digest,
    parse_sidecar,
)
from .links import Link

PREFIX: Final = '/v1/services/'


class ServiceCall(NamedTuple):
    """One service call that is being served, with its identity and options."""

    caller: Caller
    options: RequestOptions
    service: str
    method: str
    #: Path and query that are sent to the service.
    target: str
    body: bytes
    content_type: str
    #: True if a rule of the service allowed repeating the call at its arrival.
    idempotent: bool
    request_id: str
    sequence: int


class ServiceHandler:
    """Serves all paths below /v1/services/."""

    def __init__(
        self,
        context: EntryContext,
        claims: IdempotencyClaims,
        metrics: ChatMetrics,
    ) -> None:
        """Create the handler; claims decide on calls with idempotency keys."""
        self._context = context
        self._claims = claims
        self._metrics = metrics

    def serve(
        self,
        request: Request,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Route one call and return its response body; raises CourseError."""
        context = self._context
        context.check_current()
        state = context.configuration.state
        caller = authenticate(state, request.get_bearer_token())
        service, _, path = request.path[len(PREFIX) :].partition('/')
        check_service(caller, service)
        options = read_options(request, {}, caller, context.request_seconds)
        with context.limits.admit(
            caller.customer, caller.contract, context.count_entries()
        ):
            request_id, sequence = context.ledger.create_request_id()
            query = request.environ.get('QUERY_STRING', '')
            call = ServiceCall(
                caller,
                options._replace(kind=service),
                service,
                request.method,
                f'/{path}?{query}' if query else f'/{path}',
                request.body,
                request.get_header('content-type', 'application/json'),
                _is_repeatable(state, service, request.method, f'/{path}'),
                request_id,
                sequence,
            )
            return self._serve_admitted(call, start_response)

    def _serve_admitted(
        self,
        call: ServiceCall,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        hold = SpendHold(
            call.caller.customer, today(), 0, call.request_id, call.sequence
        )
        line: Line | None = None
        code = 'failed'
        try:
            if call.options.idempotency_key and not call.idempotent:
                stored, executed = self._run_claimed(call)
            else:
                stored, executed = self._run_unclaimed(call), True
            code = 'done'
            if executed:
                line = _make_line(call, hold)
        except CourseError as error:
            code = error.code
            raise
        finally:
            self._context.ledger.settle(hold, line)
            self._metrics.requests.labels(
                call.caller.customer, call.service, code
            ).inc()
        headers = [('X-Request-Id', call.request_id)]
        if not executed:
            headers.append(('Idempotent-Replayed', 'true'))
        response = Response(
            stored.status, stored.body, stored.content_type, tuple(headers)
        )
        return send(response, start_response)

    def _run_unclaimed(self, call: ServiceCall) -> StoredResponse:
        """Run a call without claiming a key and return the response.

        A call that may have run is retried only while a rule allows it.
        """
        last_error: CourseError = _make_unavailable_error(call)
        may_have_run = False
        attempts = itertools.count()
        for _ in iterate_with_backoff(call.options):
            for link in self._order_links(call):
                if next(attempts) and not self._context.budget.spend():
                    raise last_error
                try:
                    return self._attempt(call, link, None)
                except CourseError as error:
                    last_error = error
                    log_failed_attempt(
                        call.request_id, call.caller, link, error
                    )
                    may_have_run |= error.outcome is not Outcome.not_run
                    if may_have_run:
                        error.outcome = Outcome.unknown
                    if not self._may_retry(call, error):
                        raise
        raise last_error

    def _may_retry(self, call: ServiceCall, error: CourseError) -> bool:
        """Return True if a failed call may be sent once more.

        One that may have run needs a rule now and at its arrival.
        """
        if error.outcome is Outcome.not_run:
            return True
        body = self._context.configuration.state.service(call.service)
        return (
            call.idempotent
            and body is not None
            and _has_rule(body, call.method, call.target)
        )

    def _run_claimed(self, call: ServiceCall) -> tuple[StoredResponse, bool]:
        """Claim the key and run the call unless another request did.

        Returns the response and whether this request executed the call;
        otherwise the response is a stored one.
        """
        request_key = RequestKey(
            call.caller.customer,
            call.options.idempotency_key,
            make_digest(call.method, call.target, call.body),
        )
        last_error: CourseError = _make_unavailable_error(call)
        for _ in iterate_with_backoff(call.options):
            if self._claims.find_claim_status(request_key) is not None:
                stored = self._claims.wait_end(
                    request_key, call.options.deadline
                )
                if stored is not None:
                    return stored, False
            links = self._order_links(call)
            if not links:
                continue
            link = links[0]
            claim = self._claims.claim(request_key, link)
            if claim is None:
                continue
            try:
                stored = self._attempt(call, link, claim)
            except CourseError as error:
                last_error = error
                log_failed_attempt(call.request_id, call.caller, link, error)
                self._claims.end(claim, error.outcome, None)
                if error.outcome is not Outcome.not_run:
                    raise
                continue
            self._await_durable_end(
                self._claims.end(claim, Outcome.done, stored)
            )
            return stored, True
        raise last_error

    def _await_durable_end(self, future: object) -> None:
        """Wait for a claim's end to be durable, at most END_SYNC_SECONDS."""
        try:
            future.result(END_SYNC_SECONDS)  # type: ignore[attr-defined]
        except (CourseError, TimeoutError):
            logger.warning(
                'claim end is not durable yet: the log is slow or unavailable'
            )

    def _order_links(self, call: ServiceCall) -> list[Link]:
        return self._context.order_links(call.service, '')

    def _attempt(
        self,
        call: ServiceCall,
        link: Link,
        claim: Claim | None,
    ) -> StoredResponse:
        """Return the service's response to one attempt.

        A claimed call may run only at the sidecar process that its claim
        names: a restarted sidecar wouldn't know that the attempt was blocked
        in the meantime.

        Raises a CourseError whose outcome says whether the call ran.
        """
        message = make_open_message(
            self._context, call.request_id, call.caller, call.options
        )
        if claim is not None:
            message.attempt = claim.attempt
            message.sidecar = parse_sidecar(claim).incarnation
        message.method = call.method
        message.path = call.target
        message.body = call.body
        message.content_type = call.content_type
        message.idempotent = call.idempotent
        attempt = link.open(message)
        if not attempt.wait_end(remaining_seconds(call.options)):
            link.cancel(attempt)
            raise _make_timeout_error(attempt)
        end = attempt.check()
        return _read_response(attempt, end)


def _make_timeout_error(attempt: Attempt) -> CourseError:
    """Return an error that says whether the call may have run."""
    if attempt.sent:
        return UnknownOutcomeError('no response arrived before the deadline')
    return DeadlineError('the call was not sent before the deadline')


def _read_response(attempt: Attempt, end: peer_pb2.End) -> StoredResponse:
    head = attempt.head
    if head is None:
        raise UnknownOutcomeError(
            f'no response head arrived in {end.frames} frames'
        )
    return StoredResponse(head.status, head.content_type, attempt.body())


def _make_unavailable_error(call: ServiceCall) -> CourseError:
    return UnavailableError(f'no endpoint serves "{call.service}"')


def _make_line(call: ServiceCall, hold: SpendHold) -> Line:
    """Return the bill line of one executed call, without tokens or cost."""
    return Line(hold.customer, hold.day, '', call.service, 1, 0, 0, 0)


def _is_repeatable(
    state: State,
    service: str,
    method: str,
    path: str,
) -> bool:
    """Return True if a rule of a service allows repeating a call.

    Raises NotFoundError if there is no such service.
    """
    body = state.service(service)
    if body is None:
        raise NotFoundError(f'service "{service}" does not exist')
    return _has_rule(body, method, path)


def _has_rule(body: ServiceBody, method: str, target: str) -> bool:
    """Return True if a rule "METHOD PATH_PREFIX" matches a call."""
    path = target.partition('?')[0]
    for rule in body['repeatable']:
        rule_method, _, prefix = rule.partition(' ')
        if method == rule_method and path.startswith(prefix):
            return True
    return False
