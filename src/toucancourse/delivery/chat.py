"""Chat completions: choose, try, relay, bill."""

import time
from collections.abc import Iterable

from ..billing.ledger import SpendHold
from ..contract.state import State
from ..errors import CourseError, SpendError
from ..report.levels import LevelRecorder
from ..report.metrics import ChatMetrics
from ..routing.versions import AUTO, Candidate, VersionQuery, choose_versions
from ..web.messages import Request, StartResponse
from . import conversations
from .answers import Answers
from .callers import Caller, Demand, authenticate, read_demand
from .entry import EntryParts, Step
from .exchange import Exchange, check_body
from .outcomes import BROKEN, Outcomes
from .pins import Pins
from .ratings import RatingSampler
from .tries import Tries


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
        self._outcomes = Outcomes(parts, sampler, metrics, levels)
        self._tries = Tries(parts, metrics, self._outcomes)
        self._answers = Answers(parts, self._outcomes)

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
        check_body(body)
        demand = read_demand(
            request, body.get('metadata') or {}, caller, parts.request_seconds
        )
        entries = parts.entries()
        with parts.limits.admit(caller.customer, caller.contract, entries):
            bound = self._find_bound(caller, demand)
            request_id, sequence = parts.ledger.create_request_id()
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
        hold: SpendHold | None = None
        outcome = 'refused'
        try:
            candidates = self._choose(state, exchange)
            if exchange.demand.conversation and not exchange.bound:
                candidates = self._pin(state, exchange, candidates)
            candidates, hold = self._hold(state, exchange, candidates)
            parts.budget.record_request()
            served = self._tries.run(exchange, candidates, steps)
            outcome = BROKEN
            outcome, answer = self._answers.relay(exchange, served, hold)
            return answer
        except CourseError as error:
            outcome = error.code
            if hold is None:
                parts.ledger.settle_without_hold(
                    exchange.request_id, exchange.sequence
                )
            raise
        finally:
            if hold is not None and parts.ledger.is_open(hold):
                parts.ledger.settle(hold, None)
            self._outcomes.note_end(exchange, state, candidates, steps, outcome)

    def _choose(self, state: State, exchange: Exchange) -> list[Candidate]:
        demand = exchange.demand
        wish = VersionQuery(
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
    ) -> tuple[list[Candidate], SpendHold]:
        """Set the dearest candidate's cost aside, or the cheapest's."""
        amounts = {
            row.version: exchange.bound_cost(state.version(row.version))
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

    def _hold_amount(self, exchange: Exchange, amount: int) -> SpendHold:
        caller = exchange.caller
        return self._parts.ledger.place_hold(
            exchange.request_id,
            exchange.sequence,
            caller.customer,
            caller.contract,
            caller.revision,
            amount,
            self._parts.entries(),
        )
