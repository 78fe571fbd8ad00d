"""Calls to plain services, some of which must run at most once."""

import itertools
from collections.abc import Iterable
from typing import Final, NamedTuple

from loguru import logger

from ..billing.claims import Claim
from ..billing.ledger import SpendHold, today
from ..billing.spend import Line
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
    Demand,
    authenticate,
    check_service,
    read_demand,
)
from .entry import (
    EntryParts,
    list_passes,
    log_try,
    make_open,
    remaining_seconds,
)
from .keyed import (
    END_WAIT_SECONDS,
    Claims,
    Kept,
    KeyedRequest,
    make_digest,
    split_instance,
)
from .links import Link

PREFIX: Final = '/v1/services/'


class ServiceCall(NamedTuple):
    """One call as it is served."""

    caller: Caller
    demand: Demand
    service: str
    method: str
    #: Path and query at the service.
    target: str
    body: bytes
    content_type: str
    idempotent: bool
    request_id: str
    sequence: int


class ServiceHandler:
    """Serves everything below /v1/services/."""

    def __init__(
        self,
        parts: EntryParts,
        claims: Claims,
        metrics: ChatMetrics,
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._claims = claims
        self._metrics = metrics

    def serve(
        self,
        request: Request,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one call; raises CourseError."""
        parts = self._parts
        parts.check_current()
        state = parts.configuration.state
        caller = authenticate(state, request.bearer())
        service, _, path = request.path[len(PREFIX) :].partition('/')
        check_service(caller, service)
        demand = read_demand(request, {}, caller, parts.request_seconds)
        with parts.limits.admit(
            caller.customer, caller.contract, parts.entries()
        ):
            request_id, sequence = parts.ledger.create_request_id()
            query = request.environ.get('QUERY_STRING', '')
            call = ServiceCall(
                caller,
                demand._replace(kind=service),
                service,
                request.method,
                f'/{path}?{query}' if query else f'/{path}',
                request.body,
                request.header('content-type', 'application/json'),
                _is_repeatable(state, service, request.method, f'/{path}'),
                request_id,
                sequence,
            )
            return self._serve(call, start_response)

    def _serve(
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
            if call.demand.idempotency_key and not call.idempotent:
                kept, ran = self._run_keyed(call)
            else:
                kept, ran = self._run(call), True
            code = 'done'
            if ran:
                line = _make_line(call, hold)
        except CourseError as error:
            code = error.code
            raise
        finally:
            self._parts.ledger.settle(hold, line)
            self._metrics.requests.labels(
                call.caller.customer, call.service, code
            ).inc()
        headers = [('X-Request-Id', call.request_id)]
        if not ran:
            headers.append(('Idempotent-Replayed', 'true'))
        response = Response(
            kept.status, kept.body, kept.content_type, tuple(headers)
        )
        return send(response, start_response)

    def _run(self, call: ServiceCall) -> Kept:
        """Run an unkeyed call, on another endpoint only if it did not run."""
        last: CourseError = _no_endpoint(call)
        may_have_run = False
        tries = itertools.count()
        for _ in list_passes(call.demand):
            for link in self._links(call):
                if next(tries) and not self._parts.budget.spend():
                    raise last
                try:
                    return self._try_one(call, link, None)
                except CourseError as error:
                    last = error
                    log_try(call.request_id, call.caller, link, error)
                    may_have_run |= error.outcome is not Outcome.not_run
                    if may_have_run:
                        error.outcome = Outcome.unknown
                    if not _may_repeat(call, error):
                        raise
        raise last

    def _run_keyed(self, call: ServiceCall) -> tuple[Kept, bool]:
        """Return the answer and whether this very request ran it."""
        wanted = KeyedRequest(
            call.caller.customer,
            call.demand.idempotency_key,
            make_digest(call.method, call.target, call.body),
        )
        last: CourseError = _no_endpoint(call)
        for _ in list_passes(call.demand):
            if self._claims.find(wanted) is not None:
                kept = self._claims.wait_end(wanted, call.demand.deadline)
                if kept is not None:
                    return kept, False
            links = self._links(call)
            if not links:
                continue
            link = links[0]
            claim = self._claims.claim(wanted, link)
            if claim is None:
                continue
            try:
                kept = self._try_one(call, link, claim)
            except CourseError as error:
                last = error
                log_try(call.request_id, call.caller, link, error)
                self._claims.end(claim, error.outcome, None)
                if error.outcome is not Outcome.not_run:
                    raise
                continue
            self._finish(self._claims.end(claim, Outcome.done, kept))
            return kept, True
        raise last

    def _finish(self, future: object) -> None:
        """Wait a little for a claim's end to be durable."""
        try:
            future.result(END_WAIT_SECONDS)  # type: ignore[attr-defined]
        except (CourseError, TimeoutError):
            logger.warning('the end of a claim waits for the log')

    def _links(self, call: ServiceCall) -> list[Link]:
        return self._parts.order_links(call.service, '')

    def _try_one(
        self,
        call: ServiceCall,
        link: Link,
        claim: Claim | None,
    ) -> Kept:
        """Return the service's answer.

        A claimed call runs only at the very process that its claim names: a
        later one may not know that the attempt was barred meanwhile.

        Raises a CourseError whose outcome tells whether the call ran.
        """
        opened = make_open(
            self._parts, call.request_id, call.caller, call.demand
        )
        if claim is not None:
            opened.attempt = claim.attempt
            opened.sidecar = split_instance(claim).incarnation
        opened.method = call.method
        opened.path = call.target
        opened.body = call.body
        opened.content_type = call.content_type
        opened.idempotent = call.idempotent
        attempt = link.open(opened)
        if not attempt.wait_end(remaining_seconds(call.demand)):
            link.cancel(attempt)
            raise _make_timeout(attempt)
        end = attempt.check()
        return _read_answer(attempt, end)


def _may_repeat(call: ServiceCall, error: CourseError) -> bool:
    return call.idempotent or error.outcome is Outcome.not_run


def _make_timeout(attempt: Attempt) -> CourseError:
    if attempt.sent:
        return UnknownOutcomeError('no answer came before the deadline')
    return DeadlineError('the call was not sent before the deadline')


def _read_answer(attempt: Attempt, end: peer_pb2.End) -> Kept:
    head = attempt.head
    if head is None:
        raise UnknownOutcomeError(f'no answer came in {end.frames} frames')
    return Kept(head.status, head.content_type, attempt.body())


def _no_endpoint(call: ServiceCall) -> CourseError:
    return UnavailableError(f'no endpoint serves "{call.service}"')


def _make_line(call: ServiceCall, hold: SpendHold) -> Line:
    return Line(hold.customer, hold.day, '', call.service, 1, 0, 0, 0)


def _is_repeatable(
    state: State,
    service: str,
    method: str,
    path: str,
) -> bool:
    body = state.service(service)
    if body is None:
        raise NotFoundError(f'service "{service}" does not exist')
    for rule in body['repeatable']:
        rule_method, _, prefix = rule.partition(' ')
        if method == rule_method and path.startswith(prefix):
            return True
    return False
