"""Routing, relaying and billing of chat completions."""

import time
from collections.abc import Iterable

from ..admission.slots import StreamSlots
from ..billing.ledger import SpendHold
from ..contract.state import State
from ..errors import CourseError, SpendError
from ..report.levels import LevelRecorder
from ..report.metrics import ChatMetrics
from ..routing.versions import AUTO, Candidate, VersionQuery, choose_versions
from ..web.messages import Request, StartResponse
from . import conversations
from .callers import Caller, RequestOptions, authenticate, read_options
from .entry import EntryContext, Step
from .exchange import Exchange, check_body
from .outcomes import BROKEN, OutcomeRecorder
from .pins import ConversationPins
from .ratings import RatingSampler
from .responses import ResponseRelay
from .retries import RetryLoop


class ChatHandler:
    """Serves POST /v1/chat/completions."""

    def __init__(
        self,
        context: EntryContext,
        pins: ConversationPins,
        sampler: RatingSampler,
        metrics: ChatMetrics,
        levels: LevelRecorder,
        streams: StreamSlots,
    ) -> None:
        """Create the handler and its retry loop and response relay."""
        self._context = context
        self._streams = streams
        self._pins = pins
        self._sampler = sampler
        self._recorder = OutcomeRecorder(context, sampler, metrics, levels)
        self._retry_loop = RetryLoop(context, metrics, self._recorder)
        self._response_relay = ResponseRelay(context, self._recorder)

    def serve(
        self,
        request: Request,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Route one request and return its response body.

        Raises CourseError if nothing was sent to the caller.
        """
        context = self._context
        context.check_current()
        caller = authenticate(
            context.configuration.state, request.get_bearer_token()
        )
        body = request.parse_json_body()
        check_body(body)
        options = read_options(
            request, body.get('metadata') or {}, caller, context.request_seconds
        )
        entries = context.count_entries()
        with (
            context.limits.admit(caller.customer, caller.contract, entries),
            self._streams.admit(is_stream=bool(body.get('stream'))),
        ):
            pinned_version = self._find_pinned_version(caller, options)
            request_id, sequence = context.ledger.create_request_id()
            exchange = Exchange(
                request,
                start_response,
                caller,
                options,
                body,
                request_id,
                sequence,
                pinned_version,
                time.monotonic(),
            )
            return self._serve_admitted(exchange)

    def _find_pinned_version(
        self,
        caller: Caller,
        options: RequestOptions,
    ) -> str:
        """Return the version that the conversation is bound to, or ''."""
        conversation = options.conversation
        if not conversation:
            return ''
        keys = self._context.configuration.state.keys()
        if conversations.is_signed(conversation):
            return conversations.verify_id(
                keys, caller.customer, conversation
            ).version
        return self._pins.find_version(caller.customer, conversation)

    def _serve_admitted(self, exchange: Exchange) -> Iterable[bytes]:
        context = self._context
        state = context.configuration.state
        steps: list[Step] = []
        candidates: list[Candidate] = []
        hold: SpendHold | None = None
        outcome = 'refused'
        try:
            candidates = self._choose_versions(state, exchange)
            if exchange.options.conversation and not exchange.pinned_version:
                candidates = self._pin_conversation(state, exchange, candidates)
            candidates, hold = self._hold_cost(state, exchange, candidates)
            context.budget.record_request()
            routed = self._retry_loop.run(exchange, candidates, steps)
            outcome = BROKEN
            outcome, response = self._response_relay.relay(
                exchange, routed, hold
            )
            return response
        except CourseError as error:
            outcome = error.code
            if hold is None:
                context.ledger.settle_without_hold(
                    exchange.request_id, exchange.sequence
                )
            raise
        finally:
            if hold is not None and context.ledger.is_open(hold):
                context.ledger.settle(hold, None)
            self._recorder.record_end(
                exchange, state, candidates, steps, outcome
            )

    def _choose_versions(
        self, state: State, exchange: Exchange
    ) -> list[Candidate]:
        options = exchange.options
        query = VersionQuery(
            exchange.caller.customer,
            str(exchange.body.get('model') or AUTO),
            options.kind,
            options.conversation or exchange.request_id,
            exchange.pinned_version,
        )
        with self._sampler.follower.lock:
            return choose_versions(state, self._sampler.follower.state, query)

    def _pin_conversation(
        self,
        state: State,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> list[Candidate]:
        """Pin the conversation and return candidates of its version.

        Prefers a version that an endpoint offers now. Another version is
        returned if the log holds an earlier pin.
        """
        offers = self._context.pool.offers()
        ready = [
            candidate for candidate in candidates if candidate.version in offers
        ]
        chosen = (ready or candidates)[0]
        pinned = self._pins.pin(
            exchange.caller.customer,
            exchange.options.conversation,
            chosen.version,
        )
        if pinned == chosen.version:
            return [chosen]
        return self._choose_versions(
            state, exchange._replace(pinned_version=pinned)
        )

    def _hold_cost(
        self,
        state: State,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> tuple[list[Candidate], SpendHold]:
        """Reserve the most expensive candidate's cost against the spend.

        Falls back to the cheapest candidates if the spend limit doesn't
        allow that. Raises SpendError if it doesn't allow these either.
        """
        amounts = {
            candidate.version: exchange.find_max_cost(
                state.version(candidate.version)
            )
            for candidate in candidates
        }
        try:
            hold = self._place_hold(exchange, max(amounts.values()))
        except SpendError:
            cheapest = min(amounts.values())
            affordable = [
                candidate
                for candidate in candidates
                if amounts[candidate.version] == cheapest
            ]
            return affordable, self._place_hold(exchange, cheapest)
        return candidates, hold

    def _place_hold(self, exchange: Exchange, amount: int) -> SpendHold:
        caller = exchange.caller
        return self._context.ledger.place_hold(
            exchange.request_id,
            exchange.sequence,
            caller.customer,
            caller.contract,
            caller.revision,
            amount,
            self._context.count_entries(),
        )
