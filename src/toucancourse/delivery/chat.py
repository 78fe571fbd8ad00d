"""Chat completions: choose, try, relay, bill."""

import hashlib
import itertools
import json
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from loguru import logger

from ..billing.ledger import Hold, find_cost, make_line
from ..contract.objects import VersionBody, split_version
from ..contract.state import State
from ..errors import (
    BadRequestError,
    CourseError,
    DeadlineError,
    EndpointError,
    Outcome,
    SpendError,
    UnavailableError,
)
from ..protocol import peer_pb2
from ..report.levels import Level, LevelRecorder
from ..report.metrics import ChatMetrics
from ..rollout.watch import OUTCOME_KIND
from ..routing.endpoints import AFFINITY_BYTES
from ..routing.versions import AUTO, Candidate, Wish, choose_versions
from ..web.messages import (
    Request,
    Response,
    StartResponse,
    make_error_body,
    send,
)
from ..web.server import is_disconnected
from ..web.writers import make_writer
from . import conversations
from .attempts import Attempt
from .callers import Caller, Demand, authenticate, read_demand
from .entry import (
    Decision,
    EntryParts,
    Step,
    list_passes,
    make_open,
    remaining_seconds,
)
from .links import Link
from .pins import Pins
from .ratings import RatingSampler

PATH: Final = '/v1/chat/completions'
#: Most tries of one request, over all versions and endpoints.
MAX_TRIES: Final = 6
#: How often a waiting request looks whether its caller is still there.
CALLER_CHECK_SECONDS: Final = 0.25
STREAM_CHECK_SECONDS: Final = 2.0
MAX_CHOICES: Final = 16
DONE: Final = 'done'
BROKEN: Final = 'broken'
#: Outcomes that the caller brought about; no objective counts them.
CALLER_FAULTS: Final = frozenset(
    (
        'caller_gone',
        'model_not_found',
        'spend_exhausted',
        'version_withdrawn',
    )
)
RETRYABLE_STATUS: Final = frozenset((429, 500, 502, 503, 504))


class CallerGoneError(CourseError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    outcome = Outcome.unknown


class Exchange(NamedTuple):
    """One caller request as it is served."""

    request: Request
    start_response: StartResponse
    caller: Caller
    demand: Demand
    body: dict[str, Any]
    request_id: str
    sequence: int
    bound: str
    began: float

    def is_stream(self) -> bool:
        """Return True if the caller wants events."""
        return bool(self.body.get('stream'))


class Served(NamedTuple):
    """An attempt whose first byte came."""

    attempt: Attempt
    link: Link
    version: str


class Answer(NamedTuple):
    """How a request ended and the body that is left for WSGI."""

    outcome: str
    body: Iterable[bytes]


class ChatHandler:
    """Serves POST /v1/chat/completions."""

    def __init__(
        self,
        parts: EntryParts,
        pins: Pins,
        sampler: RatingSampler,
        metrics: ChatMetrics,
        levels: LevelRecorder,
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._pins = pins
        self._sampler = sampler
        self._metrics = metrics
        self._levels = levels

    def serve(
        self,
        request: Request,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request; raises CourseError before its first byte."""
        parts = self._parts
        parts.check_current()
        caller = authenticate(parts.configuration.state, request.bearer())
        body = request.json_body()
        _check_body(body)
        demand = read_demand(
            request, body.get('metadata') or {}, caller, parts.request_seconds
        )
        entries = parts.entries()
        with parts.limits.admit(caller.customer, caller.contract, entries):
            bound = self._find_bound(caller, demand)
            request_id, sequence = parts.ledger.open_request()
            exchange = Exchange(
                request,
                start_response,
                caller,
                demand,
                body,
                request_id,
                sequence,
                bound,
                time.monotonic(),
            )
            return self._serve(exchange)

    def _find_bound(self, caller: Caller, demand: Demand) -> str:
        identifier = demand.conversation
        if not identifier:
            return ''
        keys = self._parts.configuration.state.keys()
        if conversations.is_signed(identifier):
            return conversations.read_id(
                keys, caller.customer, identifier
            ).version
        return self._pins.find(caller.customer, identifier)

    def _serve(self, exchange: Exchange) -> Iterable[bytes]:
        parts = self._parts
        state = parts.configuration.state
        steps: list[Step] = []
        candidates: list[Candidate] = []
        hold: Hold | None = None
        outcome = 'refused'
        try:
            candidates = self._choose(state, exchange)
            if exchange.demand.conversation and not exchange.bound:
                candidates = self._pin(state, exchange, candidates)
            candidates, hold = self._hold(state, exchange, candidates)
            parts.budget.note_request()
            served = self._try_all(exchange, candidates, steps)
            outcome = BROKEN
            outcome, answer = self._answer(exchange, served, hold)
            return answer
        except CourseError as error:
            outcome = error.code
            if hold is None:
                parts.ledger.settle_unheld(
                    exchange.request_id, exchange.sequence
                )
            raise
        finally:
            if hold is not None and parts.ledger.is_open(hold):
                parts.ledger.settle(hold, None)
            self._note(exchange, state, candidates, steps, outcome)

    def _choose(self, state: State, exchange: Exchange) -> list[Candidate]:
        demand = exchange.demand
        wish = Wish(
            exchange.caller.customer,
            str(exchange.body.get('model') or AUTO),
            demand.kind,
            demand.conversation or exchange.request_id,
            exchange.bound,
        )
        with self._sampler.follower.lock:
            return choose_versions(state, self._sampler.follower.book, wish)

    def _pin(
        self,
        state: State,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> list[Candidate]:
        offers = self._parts.pool.offers()
        ready = [row for row in candidates if row.version in offers]
        chosen = (ready or candidates)[0]
        pinned = self._pins.pin(
            exchange.caller.customer,
            exchange.demand.conversation,
            chosen.version,
        )
        if pinned == chosen.version:
            return [chosen]
        return self._choose(state, exchange._replace(bound=pinned))

    def _hold(
        self,
        state: State,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> tuple[list[Candidate], Hold]:
        """Set the dearest candidate's cost aside, or the cheapest's."""
        prompt = len(exchange.request.body)
        output = _limit_output(exchange)
        amounts = {
            row.version: _bound_cost(state.version(row.version), prompt, output)
            for row in candidates
        }
        try:
            hold = self._hold_amount(exchange, max(amounts.values()))
        except SpendError:
            cheapest = min(amounts.values())
            affordable = [
                row for row in candidates if amounts[row.version] == cheapest
            ]
            return affordable, self._hold_amount(exchange, cheapest)
        return candidates, hold

    def _hold_amount(self, exchange: Exchange, amount: int) -> Hold:
        caller = exchange.caller
        return self._parts.ledger.hold(
            exchange.request_id,
            exchange.sequence,
            caller.customer,
            caller.contract,
            caller.revision,
            amount,
            self._parts.entries(),
        )

    def _try_all(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        steps: list[Step],
    ) -> Served:
        """Return the first attempt that gives an answer.

        Raises the last refusal if none does.
        """
        last: CourseError = UnavailableError('no endpoint serves the version')
        for candidate, link in self._list_tries(exchange, candidates):
            if steps and not self._may_retry(last):
                break
            if remaining_seconds(exchange.demand) <= 0:
                raise DeadlineError('the deadline passed')
            began = time.monotonic()
            code = 'ok'
            try:
                return self._try_one(exchange, candidate.version, link)
            except CourseError as error:
                last = error
                code = error.code
                logger.bind(
                    request=exchange.request_id,
                    customer=exchange.caller.customer,
                    endpoint=link.instance.name,
                ).info('try ended: {} {}', error.code, error.text)
                if isinstance(error, CallerGoneError):
                    raise
            finally:
                seconds = time.monotonic() - began
                steps.append(
                    Step(candidate.version, link.instance.name, code, seconds)
                )
        raise last

    def _list_tries(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> Iterator[tuple[Candidate, Link]]:
        tries = itertools.count(1)
        for _ in list_passes(exchange.demand):
            for candidate, link in self._list_once(exchange, candidates):
                if next(tries) > MAX_TRIES:
                    return
                yield candidate, link

    def _list_once(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> Iterator[tuple[Candidate, Link]]:
        prefix = _find_prefix(exchange)
        for candidate in candidates:
            for link in self._parts.order_links(candidate.version, prefix):
                yield candidate, link

    def _may_retry(self, last: CourseError) -> bool:
        self._metrics.retries.inc()
        return self._parts.budget.spend()

    def _try_one(self, exchange: Exchange, version: str, link: Link) -> Served:
        parts = self._parts
        opened = make_open(
            parts, exchange.request_id, exchange.caller, exchange.demand
        )
        opened.version = version
        opened.method = 'POST'
        opened.path = PATH
        opened.body = _encode_body(exchange)
        opened.content_type = 'application/json'
        opened.idempotent = True
        opened.stream = exchange.is_stream()
        attempt = link.open(opened)
        try:
            self._await_head(exchange, attempt)
            if attempt.head is None:
                attempt.check()
                raise EndpointError('the endpoint gave an empty answer')
            if attempt.head.status in RETRYABLE_STATUS:
                raise EndpointError(
                    f'the engine answered {attempt.head.status}'
                )
        except CourseError as error:
            link.cancel(attempt)
            failed = error.outcome is not Outcome.not_run
            parts.note_attempt(link, failed=failed)
            if failed and not isinstance(error, CallerGoneError):
                self._note_outcome(version, good=False)
            raise
        parts.note_attempt(link, failed=False)
        return Served(attempt, link, version)

    def _note_outcome(self, version: str, *, good: bool) -> None:
        """Count a try of a roll-out's target, for the roll-out's watch."""
        model, _ = split_version(version)
        rollout = self._parts.configuration.state.rollout(model)
        if rollout and rollout['target'] == version:
            self._sampler.note(version, OUTCOME_KIND, float(good))

    def _await_head(self, exchange: Exchange, attempt: Attempt) -> None:
        while not attempt.wait_head(CALLER_CHECK_SECONDS):
            if remaining_seconds(exchange.demand) <= 0:
                raise DeadlineError('no answer began before the deadline')
            if is_disconnected(exchange.request.environ):
                raise CallerGoneError('the caller closed its connection')

    def _answer(
        self,
        exchange: Exchange,
        served: Served,
        hold: Hold,
    ) -> Answer:
        waited = time.monotonic() - exchange.began
        self._metrics.first_token.labels(exchange.demand.kind).observe(waited)
        limit = exchange.caller.contract.get('first_token_seconds')
        if limit is not None:
            self._note_level(exchange, Level.first_token, bad=waited > limit)
        if exchange.is_stream():
            return self._answer_stream(exchange, served, hold)
        return self._answer_whole(exchange, served, hold)

    def _answer_whole(
        self,
        exchange: Exchange,
        served: Served,
        hold: Hold,
    ) -> Answer:
        self._await_end(exchange, served)
        end = served.attempt.check()
        head = served.attempt.head
        assert head is not None
        body = served.attempt.body()
        self._bill(exchange, served, hold, end, body)
        response = Response(
            head.status,
            body,
            head.content_type,
            tuple(self._headers(exchange, served)),
        )
        return Answer(DONE, send(response, exchange.start_response))

    def _answer_stream(
        self,
        exchange: Exchange,
        served: Served,
        hold: Hold,
    ) -> Answer:
        head = served.attempt.head
        assert head is not None
        write = exchange.start_response(
            f'{head.status} {HTTPStatus(head.status).phrase}',
            [
                ('Content-Type', head.content_type),
                ('Cache-Control', 'no-cache'),
                *self._headers(exchange, served),
            ],
        )
        writer = make_writer(exchange.request.environ, write)
        sample: list[bytes] | None = None
        if self._sampler.is_sampled():
            sample = []
            writer = _tee(writer, sample)
        served.attempt.write_to(writer)
        try:
            self._await_end(exchange, served)
            end = served.attempt.check()
        except CourseError as error:
            if not isinstance(error, CallerGoneError):
                self._note_outcome(served.version, good=False)
            _write_error(write, error)
            self._count(exchange, served, error.code)
            return Answer(error.code, [])
        self._bill(exchange, served, hold, end, b''.join(sample or ()))
        return Answer(DONE, [])

    def _await_end(self, exchange: Exchange, served: Served) -> None:
        attempt = served.attempt
        # A failed write tells of a caller that left a stream, so its thread
        # need not wake up often.
        period = CALLER_CHECK_SECONDS
        if exchange.is_stream():
            period = STREAM_CHECK_SECONDS
        while not attempt.wait_end_or_leave(period):
            gone = attempt.caller_gone or is_disconnected(
                exchange.request.environ
            )
            if gone:
                served.link.cancel(attempt)
                # The engine may have finished all the same; then it is billed.
                attempt.wait_end(CALLER_CHECK_SECONDS * 4)
                if attempt.end is None or attempt.end.code:
                    raise CallerGoneError('the caller closed its connection')
                return
            if remaining_seconds(exchange.demand) <= 0:
                served.link.cancel(attempt)
                raise EndpointError('the answer did not end in time')

    def _bill(
        self,
        exchange: Exchange,
        served: Served,
        hold: Hold,
        end: peer_pb2.End,
        text: bytes,
    ) -> None:
        copy = peer_pb2.BillCopy(
            request=exchange.request_id,
            customer=exchange.caller.customer,
            version=served.version,
            kind=exchange.demand.kind,
            usage=end.usage,
        )
        state = self._parts.configuration.state
        line = make_line(copy, state.version(served.version))
        self._parts.ledger.settle(hold, line._replace(day=hold.day))
        self._count(exchange, served, DONE)
        self._note_outcome(served.version, good=True)
        self._metrics.cost.labels(exchange.caller.customer, served.version).inc(
            line.cost
        )
        if text and self._sampler.is_sampled():
            self._sampler.rate(
                exchange.caller.customer,
                exchange.demand.kind,
                served.version,
                text,
            )

    def _headers(
        self,
        exchange: Exchange,
        served: Served,
    ) -> Iterator[tuple[str, str]]:
        yield 'X-Request-Id', exchange.request_id
        yield 'X-Served-Version', served.version
        yield 'X-Served-By', served.link.instance.name
        identifier: str | None = exchange.demand.conversation
        if not identifier:
            keys = self._parts.configuration.state.keys()
            identifier = conversations.make_id(
                keys, exchange.caller.customer, served.version
            )
        if identifier:
            yield 'X-Conversation-Id', identifier

    def _count(self, exchange: Exchange, served: Served, code: str) -> None:
        self._metrics.requests.labels(
            exchange.caller.customer, served.version, code
        ).inc()

    def _note_level(
        self,
        exchange: Exchange,
        level: Level,
        *,
        bad: bool,
    ) -> None:
        customer = exchange.caller.customer
        self._levels.note(customer, level, bad=bad)
        self._metrics.levels.labels(customer, str(level)).inc()
        if bad:
            self._metrics.bad_levels.labels(customer, str(level)).inc()

    def _note(
        self,
        exchange: Exchange,
        state: State,
        candidates: list[Candidate],
        steps: list[Step],
        outcome: str,
    ) -> None:
        if outcome not in {DONE, BROKEN}:
            self._metrics.requests.labels(
                exchange.caller.customer, '', outcome
            ).inc()
        self._metrics.duration.labels(exchange.demand.kind).observe(
            time.monotonic() - exchange.began
        )
        if outcome not in CALLER_FAULTS:
            self._note_level(exchange, Level.availability, bad=outcome != DONE)
        self._parts.decisions.note(
            Decision(
                exchange.request_id,
                exchange.caller.customer,
                exchange.demand.kind,
                state.offset,
                tuple(
                    (row.version, row.price, row.estimate.lower, row.reason)
                    for row in candidates
                ),
                tuple(steps),
                outcome,
            )
        )


def _check_body(body: dict[str, Any]) -> None:
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise BadRequestError('key "messages" is not a list of messages')
    if not isinstance(body.get('model', AUTO), str):
        raise BadRequestError('key "model" is not a text')
    if not isinstance(body.get('metadata') or {}, dict):
        raise BadRequestError('key "metadata" is not an object')
    if not isinstance(body.get('stream') or False, bool):
        raise BadRequestError('key "stream" is not true or false')
    for key in ('max_tokens', 'max_completion_tokens', 'n'):
        count = body.get(key)
        if count is None:
            continue
        if not isinstance(count, int) or isinstance(count, bool) or count < 1:
            raise BadRequestError(f'key "{key}" has {count!r}')
    if (body.get('n') or 1) > MAX_CHOICES:
        raise BadRequestError(f'key "n" is over {MAX_CHOICES}')


def _limit_output(exchange: Exchange) -> int:
    """Return the most tokens that all choices together may have."""
    return _output_tokens(exchange) * (exchange.body.get('n') or 1)


def _output_tokens(exchange: Exchange) -> int:
    limit = exchange.caller.contract['max_output_tokens']
    wanted = exchange.body.get('max_completion_tokens') or exchange.body.get(
        'max_tokens'
    )
    return min(limit, wanted) if wanted else limit


def _encode_body(exchange: Exchange) -> bytes:
    body = dict(exchange.body)
    key = (
        'max_completion_tokens'
        if 'max_completion_tokens' in body
        else 'max_tokens'
    )
    body[key] = _output_tokens(exchange)
    return json.dumps(body).encode()


def _bound_cost(
    version: VersionBody | None,
    prompt_bytes: int,
    output_tokens: int,
) -> int:
    """Return the most a request may cost: a token has at least one byte."""
    if version is None:
        return 0
    return find_cost(version, prompt_bytes, output_tokens)


def _find_prefix(exchange: Exchange) -> str:
    """Return a key of a long prompt's beginning, else ''."""
    if len(exchange.request.body) < AFFINITY_BYTES:
        return ''
    first = json.dumps(exchange.body['messages'][0])
    return hashlib.sha256(first[:AFFINITY_BYTES].encode()).hexdigest()


def _tee(
    writer: Callable[[bytes], object],
    copies: list[bytes],
) -> Callable[[bytes], object]:
    def write(data: bytes) -> object:
        copies.append(data)
        return writer(data)

    return write


def _write_error(write: Callable[[bytes], object], error: CourseError) -> None:
    event = json.dumps(make_error_body(error))
    try:
        write(f'data: {event}\n\n'.encode())
    except Exception:  # noqa: BLE001 - the caller is gone as well
        logger.debug('error event not written')
