"""What is kept of each chat request: bill, counts, ratings, levels."""

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
from .entry import Decision, EntryParts, Step
from .exchange import DONE, Exchange, Served
from .ratings import RatingSampler

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


class Outcomes:
    """Bills and counts chat requests."""

    def __init__(
        self,
        parts: EntryParts,
        sampler: RatingSampler,
        metrics: ChatMetrics,
        levels: LevelRecorder,
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._sampler = sampler
        self._metrics = metrics
        self._levels = levels

    def bill(
        self,
        exchange: Exchange,
        served: Served,
        hold: SpendHold,
        end: peer_pb2.End,
        text: bytes,
    ) -> None:
        """Bill a whole answer; have its text rated unless it is empty."""
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
        self.count(exchange, served, DONE)
        self.note_version(served.version, good=True)
        self._metrics.cost.labels(exchange.caller.customer, served.version).inc(
            line.cost
        )
        if text:
            self._sampler.rate(
                exchange.caller.customer,
                exchange.demand.kind,
                served.version,
                text,
                prompt=self._is_on_probation(exchange, served),
            )

    def count(self, exchange: Exchange, served: Served, code: str) -> None:
        """Count a request by how its answer ended."""
        self._metrics.requests.labels(
            exchange.caller.customer, served.version, code
        ).inc()

    def is_rated(self, exchange: Exchange, served: Served) -> bool:
        """Return True if an answer is to be rated.

        That is a sample of all, and every answer of a roll-out's target
        until it has some ratings.
        """
        always = self._is_on_probation(exchange, served)
        return self._sampler.is_sampled(always=always)

    def note_version(self, version: str, *, good: bool) -> None:
        """Count a try of a roll-out's target, for the roll-out's watch."""
        if self._find_rollout(version) is not None:
            self._sampler.note(version, OUTCOME_KIND, float(good))

    def _is_on_probation(self, exchange: Exchange, served: Served) -> bool:
        rollout = self._find_rollout(served.version)
        if rollout is None or rollout['state'] != 'running':
            return False
        return self._sampler.is_on_probation(
            served.version, exchange.demand.kind
        )

    def _find_rollout(self, version: str) -> RolloutBody | None:
        """Return the roll-out whose target a version is."""
        model, _ = split_version(version)
        rollout = self._parts.configuration.state.rollout(model)
        if rollout and rollout['target'] == version:
            return rollout
        return None

    def note_first_token(self, exchange: Exchange) -> None:
        """Count the time to the first byte of an answer."""
        waited = time.monotonic() - exchange.began
        self._metrics.first_token.labels(exchange.demand.kind).observe(waited)
        limit = exchange.caller.contract.get('first_token_seconds')
        if limit is not None:
            self._note_level(exchange, Level.first_token, bad=waited > limit)

    def note_end(
        self,
        exchange: Exchange,
        state: State,
        candidates: list[Candidate],
        steps: list[Step],
        outcome: str,
    ) -> None:
        """Count how a request ended and remember why it went there."""
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
