"""State of claims, bills and allowances under repeated and late records."""

import json
from collections import Counter
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from toucancourse.billing.claims import (
    KEY_RETENTION_SECONDS,
    MAX_CLOCK_STEP_SECONDS,
    Claim,
    ClaimEnd,
    ClaimState,
)
from toucancourse.billing.ranges import (
    SequenceSet,
    format_ranges,
    parse_ranges,
)
from toucancourse.billing.spend import (
    AdoptedBill,
    BillBatch,
    Line,
    Release,
    Reserve,
    Retire,
    SpendState,
)
from toucancourse.streams.codec import Codec, encode_items

LIMIT = 100
DAY = '2026-12-04'


def make_claim(nonce: str, at: float = 0.0, key: str = 'k') -> Claim:
    """Return a claim of a key, by default "k"."""
    return Claim('c', key, 'digest', nonce, 'inc', 1, 'b1/x', at)


def make_end(nonce: str, outcome: str, at: float = 0.0) -> ClaimEnd:
    """Return the end of a claim."""
    return ClaimEnd('c', 'k', nonce, outcome, 201, 'text/plain', '', at)


def restore(state: Any) -> Any:
    """Return a copy of a state, restored from its dump as JSON."""
    restored = type(state)()
    restored.load(json.loads(json.dumps(state.dump())))
    return restored


class TestClaimState:
    """The first claim in the log owns the key."""

    def test_first_claim_owns_the_key(self) -> None:
        """Later claims and their ends change nothing."""
        state = ClaimState()
        state.apply(make_claim('a'))
        state.apply(make_claim('b'))
        state.apply(make_end('b', 'not_run'))
        status = state.find_claim_status('c', 'k')
        assert status.claim.nonce == 'a'
        assert status.end is None

    def test_not_run_releases_the_key(self) -> None:
        """After the end 'not_run' the next claim owns the key."""
        state = ClaimState()
        state.apply(make_claim('a'))
        state.apply(make_end('a', 'not_run'))
        state.apply(make_claim('b'))
        assert state.find_claim_status('c', 'k').claim.nonce == 'b'

    def test_done_is_final(self) -> None:
        """A known outcome never changes; 'unknown' may become 'done'."""
        state = ClaimState()
        state.apply(make_claim('a'))
        state.apply(make_end('a', 'unknown'))
        state.apply(make_end('a', 'not_run'))
        assert state.find_claim_status('c', 'k').end.outcome == 'unknown'
        state.apply(make_end('a', 'done'))
        state.apply(make_end('a', 'unknown'))
        state.apply(make_end('a', 'not_run'))
        assert state.find_claim_status('c', 'k').end.outcome == 'done'

    def test_expiry(self) -> None:
        """Keys expire by the log's clock, which one writer can't advance."""
        state = ClaimState()
        state.apply(make_claim('a', at=1000.0))
        state.apply(make_claim('x', at=10.0**12, key='far'))
        assert state.find_claim_status('c', 'k') is not None
        steps = int(KEY_RETENTION_SECONDS / MAX_CLOCK_STEP_SECONDS) + 2
        for step in range(steps):
            at = 1000.0 + step * MAX_CLOCK_STEP_SECONDS
            state.apply(make_claim('y', at=at, key=f'k{step}'))
        assert state.find_claim_status('c', 'k') is None

    def test_dump(self) -> None:
        """A state restored from a dump has the same claim and end."""
        state = ClaimState()
        state.apply(make_claim('a'))
        state.apply(make_end('a', 'done'))
        assert restore(state).find_claim_status(
            'c', 'k'
        ) == state.find_claim_status('c', 'k')


class TestRanges:
    """Sequence numbers are written as ranges."""

    def test_round_trip(self) -> None:
        """Consecutive numbers form one range."""
        assert format_ranges([7, 1, 2, 3]) == '1-3,7'
        assert list(parse_ranges('1-3,7')) == [1, 2, 3, 7]
        assert format_ranges([]) == ''

    def test_watermark(self) -> None:
        """The watermark moves over closed gaps, so that the set stays small."""
        numbers = SequenceSet()
        for number in (2, 3, 1, 5):
            numbers.add(number)
        assert (numbers.watermark, numbers.above) == (3, {5})


class TestSpendState:
    """Reservations of allowances against the spend limit."""

    def test_repeated_reserve(self) -> None:
        """A reservation that is applied twice counts once."""
        state = SpendState()
        reserve = Reserve('a', 1, 'c', DAY, 10, LIMIT, 1)
        state.apply(reserve)
        state.apply(reserve)
        assert state.find_allowances('c', DAY) == {'a': 10}

    def test_lowered_limit(self) -> None:
        """An entry with an older contract can't exceed a newer, lower limit."""
        state = SpendState()
        state.apply(Reserve('a', 1, 'c', DAY, 10, 20, 2))
        state.apply(Reserve('b', 1, 'c', DAY, 50, LIMIT, 1))
        assert not state.is_granted('b', 1)


class SpendStateMachine(RuleBasedStateMachine):
    """Entries reserve, bill, are retired and continue in any order.

    Each item is applied twice, as after a lost answer of an append. The naive
    total adds up all bills, duplicates too.
    """

    @initialize()
    def start(self) -> None:
        """Start with three entries without allowances."""
        self.state = SpendState()
        self.held: Counter[str] = Counter()
        self.numbers: Counter[str] = Counter()
        self.batches: Counter[str] = Counter()
        self.sequences: Counter[str] = Counter()
        self.open: dict[str, dict[int, int]] = {'a': {}, 'b': {}, 'c': {}}
        self.finished: dict[tuple[str, int], int] = {}
        self.naive_total = 0
        self.retired: set[str] = set()

    @rule(entry=st.sampled_from('abc'), amount=st.integers(1, 60))
    def reserve(self, entry: str, amount: int) -> None:
        """Reserve an allowance, with a duplicate in the log."""
        self.numbers[entry] += 1
        number = self.numbers[entry]
        reserve = Reserve(entry, number, 'c', DAY, amount, LIMIT, 1)
        self._apply_twice(reserve)
        if self.state.is_granted(entry, number):
            self.held[entry] += amount

    @rule(entry=st.sampled_from('abc'), cost=st.integers(0, 20))
    def run_request(self, entry: str, cost: int) -> None:
        """Run a request within the entry's allowance."""
        if entry in self.retired or cost > self.held[entry]:
            return
        self.held[entry] -= cost
        self.sequences[entry] += 1
        sequence = self.sequences[entry]
        self.open[entry][sequence] = cost
        self.finished[entry, sequence] = cost

    @rule(entry=st.sampled_from('abc'))
    def bill(self, entry: str) -> None:
        """Bill the settled requests, with a duplicate in the log."""
        requests = self.open[entry]
        if not requests:
            return
        self.open[entry] = {}
        self.batches[entry] += 1
        line = Line(
            'c', DAY, 'v', 'k', len(requests), 0, 0, sum(requests.values())
        )
        batch = BillBatch(
            entry, self.batches[entry], format_ranges(requests), [list(line)]
        )
        self._apply_twice(batch)
        self.naive_total += 2 * sum(requests.values())

    @rule(entry=st.sampled_from('abc'), newest=st.booleans())
    def adopt(self, entry: str, newest: bool) -> None:
        """Bill a request of an entry that seems stopped, by another entry."""
        own = [request for request in self.finished if request[0] == entry]
        if not own:
            return
        request = own[-1] if newest else own[0]
        cost = self.finished[request]
        line = Line('c', DAY, 'v', 'k', 1, 0, 0, cost)
        self._apply_twice(AdoptedBill(*request, list(line)))
        self.naive_total += 2 * cost

    @rule(entry=st.sampled_from('abc'))
    def release(self, entry: str) -> None:
        """Release the unused allowance."""
        self.numbers[entry] += 1
        amount = self.held[entry]
        self._apply_twice(Release(entry, self.numbers[entry], 'c', DAY, amount))
        self.held[entry] = 0

    @rule(entry=st.sampled_from('abc'))
    def retire(self, entry: str) -> None:
        """Retire an entry that has stopped running requests."""
        self.retired.add(entry)
        self.held[entry] = 0
        self._apply_twice(Retire(entry))

    @rule()
    def restore(self) -> None:
        """Continue with a state that is restored from a dump."""
        self.state = restore(self.state)

    @invariant()
    def spend_is_bounded(self) -> None:
        """The cost of all requests, billed or not, stays within the limit."""
        assert sum(self.finished.values()) <= LIMIT
        assert self.state.find_billed_cost('c', DAY) <= LIMIT

    @invariant()
    def billed_once(self) -> None:
        """The bill contains each settled request once."""
        settled = [
            cost
            for (entry, sequence), cost in self.finished.items()
            if self.state.is_settled(entry, sequence)
        ]
        lines = self.state.list_lines('c', (DAY, DAY))
        assert sum(line.cost for line in lines) == sum(settled)
        assert sum(line.requests for line in lines) == len(settled)

    def _apply_twice(self, item: Any) -> None:
        self.state.apply(item)
        self.state.apply(item)


TestSpendStateMachine = SpendStateMachine.TestCase


class TestNaiveTotal:
    """The naive total shows that the rules of the machine create duplicates."""

    def test_duplicate_bills(self) -> None:
        """Duplicate bills increase the naive total, but not the state's."""
        machine = SpendStateMachine()
        machine.start()
        machine.reserve('a', 50)
        machine.run_request('a', 10)
        machine.adopt('a', True)
        machine.bill('a')
        assert machine.state.find_billed_cost('c', DAY) == 10
        assert machine.naive_total == 40


class TestCodec:
    """Items are encoded in records."""

    def test_round_trip(self) -> None:
        """Known items are decoded, unknown ones are skipped."""
        codec = Codec(Retire)
        claim = make_claim('a')
        assert codec.decode(encode_items([Retire('x'), claim])) == (
            Retire('x'),
        )

    def test_damaged(self) -> None:
        """A damaged record has no items and raises no error."""
        codec = Codec(Retire)
        for body in ('', '{}', '[1]', '[9,[]]', '[1,[["Retire"]]]', '[1,3]'):
            assert codec.decode(body) == ()
