"""Bills, metrics, ratings and service levels of chat requests."""

import time
from typing import Final

from ..billing.ledger import SpendHold, make_line
from ..contract.objects import RolloutBody, split_version
from ..contract.state import State
from ..protocol import peer_pb2
from ..report.levels import Level, LevelRecorder
from ..report.metrics import ChatMetrics
from ..rollout.monitor import OUTCOME_KIND
from ..routing.versions import Candidate
from .entry import Decision, EntryContext, Step
from .exchange import DONE, Exchange, RoutedAttempt
from .ratings import RatingSampler

#: Outcome of a request whose relay ended with an unexpected exception.
BROKEN: Final = 'broken'
#: Outcomes caused by the caller; they don't count against availability.
CALLER_FAULTS: Final = frozenset(
    (
        'caller_gone',
        'model_not_found',
        'spend_exhausted',
        'version_withdrawn',
    )
)


class OutcomeRecorder:
    """Records the outcomes of chat requests."""

    def __init__(
        self,
        context: EntryContext,
        sampler: RatingSampler,
        metrics: ChatMetrics,
        levels: LevelRecorder,
    ) -> None:
        """Create a recorder that writes to the ledger and the metrics."""
        self._context = context
        self._sampler = sampler
        self._metrics = metrics
        self._levels = levels

    def bill(
        self,
        exchange: Exchange,
        routed: RoutedAttempt,
        hold: SpendHold,
        end: peer_pb2.End,
        text: bytes,
    ) -> None:
        """Bill a complete response and queue its text for rating.

        An empty text is not rated.
        """
        copy = peer_pb2.BillCopy(
            request=exchange.request_id,
            customer=exchange.caller.customer,
            version=routed.version,
            kind=exchange.options.kind,
            usage=end.usage,
        )
        state = self._context.configuration.state
        line = make_line(copy, state.version(routed.version))
        self._context.ledger.settle(hold, line._replace(day=hold.day))
        self.count_request(exchange, routed, DONE)
        self.record_canary_result(routed.version, good=True)
        self._metrics.cost.labels(exchange.caller.customer, routed.version).inc(
            line.cost
        )
        if text:
            self._sampler.rate(
                exchange.caller.customer,
                exchange.options.kind,
                routed.version,
                text,
                urgent=self._needs_canary_ratings(exchange, routed),
            )

    def count_request(
        self, exchange: Exchange, routed: RoutedAttempt, code: str
    ) -> None:
        """Count a request by the code that its response ended with."""
        self._metrics.requests.labels(
            exchange.caller.customer, routed.version, code
        ).inc()

    def should_rate(self, exchange: Exchange, routed: RoutedAttempt) -> bool:
        """Return True if a response is to be rated.

        Selects a random sample, and every response of a canary until it has
        enough ratings.
        """
        always = self._needs_canary_ratings(exchange, routed)
        return self._sampler.should_sample(always=always)

    def record_canary_result(self, version: str, *, good: bool) -> None:
        """Record an attempt's result if the version is a roll-out's canary."""
        if self._find_rollout(version) is not None:
            self._sampler.record(version, OUTCOME_KIND, float(good))

    def _needs_canary_ratings(
        self, exchange: Exchange, routed: RoutedAttempt
    ) -> bool:
        rollout = self._find_rollout(routed.version)
        if rollout is None or rollout['state'] != 'running':
            return False
        return self._sampler.lacks_ratings(
            routed.version, exchange.options.kind
        )

    def _find_rollout(self, version: str) -> RolloutBody | None:
        """Return the roll-out whose canary is this version."""
        model, _ = split_version(version)
        rollout = self._context.configuration.state.rollout(model)
        if rollout and rollout['target'] == version:
            return rollout
        return None

    def record_first_token(self, exchange: Exchange) -> None:
        """Record the time to the first byte of the response."""
        latency = time.monotonic() - exchange.started_at
        self._metrics.first_token.labels(exchange.options.kind).observe(latency)
        limit = exchange.caller.contract.get('first_token_seconds')
        if limit is not None:
            self._record_level(exchange, Level.first_token, bad=latency > limit)

    def record_end(
        self,
        exchange: Exchange,
        state: State,
        candidates: list[Candidate],
        steps: list[Step],
        outcome: str,
    ) -> None:
        """Record how a request ended and the routing decision behind it."""
        if outcome not in {DONE, BROKEN}:
            self._metrics.requests.labels(
                exchange.caller.customer, '', outcome
            ).inc()
        self._metrics.duration.labels(exchange.options.kind).observe(
            time.monotonic() - exchange.started_at
        )
        if outcome not in CALLER_FAULTS:
            self._record_level(
                exchange, Level.availability, bad=outcome != DONE
            )
        self._context.decisions.record(
            Decision(
                exchange.request_id,
                exchange.caller.customer,
                exchange.options.kind,
                state.offset,
                tuple(
                    (
                        candidate.version,
                        candidate.price,
                        candidate.estimate.lower,
                        candidate.reason,
                    )
                    for candidate in candidates
                ),
                tuple(steps),
                outcome,
            )
        )

    def _record_level(
        self,
        exchange: Exchange,
        level: Level,
        *,
        bad: bool,
    ) -> None:
        customer = exchange.caller.customer
        self._levels.record(customer, level, bad=bad)
        self._metrics.objective_requests.labels(customer, str(level)).inc()
        if bad:
            self._metrics.objective_misses.labels(customer, str(level)).inc()
