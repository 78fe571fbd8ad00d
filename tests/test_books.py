"""Claims, bills and allowances folded against naive versions."""

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
    KEY_WINDOW_SECONDS,
    MAX_CLOCK_STEP_SECONDS,
    Claim,
    ClaimBook,
    ClaimEnd,
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
    SpendBook,
)
from toucancourse.streams.codec import Codec, encode_items

LIMIT = 100
DAY = '2026-12-04'


def make_claim(nonce: str, at: float = 0.0, key: str = 'k') -> Claim:
    """Return a claim."""
    return Claim('c', key, 'digest', nonce, 'inc', 1, 'b1/x', at)


def make_end(nonce: str, outcome: str, at: float = 0.0) -> ClaimEnd:
    """Return the end of a claim."""
    return ClaimEnd('c', 'k', nonce, outcome, 201, 'text/plain', '', at)


def copy_book(book: Any) -> Any:
    """Return a book after a trip through its dump as JSON."""
    fresh = type(book)()
    fresh.load(json.loads(json.dumps(book.dump())))
    return fresh


class TestClaimBook:
    """The first claim in the log holds the key."""

    def test_first_wins(self) -> None:
        """Later claims and ends of losers change nothing."""
        book = ClaimBook()
        book.apply(make_claim('a'))
        book.apply(make_claim('b'))
        book.apply(make_end('b', 'not_run'))
        holding = book.holding('c', 'k')
        assert holding.claim.nonce == 'a'
        assert holding.end is None

    def test_not_run_frees(self) -> None:
        """A claim that did not run lets the next one in."""
        book = ClaimBook()
        book.apply(make_claim('a'))
        book.apply(make_end('a', 'not_run'))
        book.apply(make_claim('b'))
        assert book.holding('c', 'k').claim.nonce == 'b'

    def test_done_is_final(self) -> None:
        """A known end never goes back; an unknown one may be found out."""
        book = ClaimBook()
        book.apply(make_claim('a'))
        book.apply(make_end('a', 'unknown'))
        book.apply(make_end('a', 'not_run'))
        assert book.holding('c', 'k').end.outcome == 'unknown'
        book.apply(make_end('a', 'done'))
        book.apply(make_end('a', 'unknown'))
        book.apply(make_end('a', 'not_run'))
        assert book.holding('c', 'k').end.outcome == 'done'

    def test_window(self) -> None:
        """Keys expire by the log's own clock, which one writer can't push."""
        book = ClaimBook()
        book.apply(make_claim('a', at=1000.0))
        book.apply(make_claim('x', at=10.0**12, key='far'))
        assert book.holding('c', 'k') is not None
        steps = int(KEY_WINDOW_SECONDS / MAX_CLOCK_STEP_SECONDS) + 2
        for step in range(steps):
            at = 1000.0 + step * MAX_CLOCK_STEP_SECONDS
            book.apply(make_claim('y', at=at, key=f'k{step}'))
        assert book.holding('c', 'k') is None

    def test_dump(self) -> None:
        """A dump keeps everything."""
        book = ClaimBook()
        book.apply(make_claim('a'))
        book.apply(make_end('a', 'done'))
        assert copy_book(book).holding('c', 'k') == book.holding('c', 'k')


class TestRanges:
    """Sequence numbers go through their text form."""

    def test_round_trip(self) -> None:
        """Runs are joined."""
        assert format_ranges([7, 1, 2, 3]) == '1-3,7'
        assert list(parse_ranges('1-3,7')) == [1, 2, 3, 7]
        assert format_ranges([]) == ''

    def test_mark(self) -> None:
        """The mark moves over closed gaps, so memory stays small."""
        numbers = SequenceSet()
        for number in (2, 3, 1, 5):
            numbers.add(number)
        assert (numbers.mark, numbers.above) == (3, {5})


class TestSpendBook:
    """Reservations against the limit."""

    def test_repeated_reserve(self) -> None:
        """A reservation folded twice is held once."""
        book = SpendBook()
        wish = Reserve('a', 1, 'c', DAY, 10, LIMIT, 1)
        book.apply(wish)
        book.apply(wish)
        assert book.held('c', DAY) == {'a': 10}

    def test_lowered_limit(self) -> None:
        """An entry with an older contract can't reserve past a new limit."""
        book = SpendBook()
        book.apply(Reserve('a', 1, 'c', DAY, 10, 20, 2))
        book.apply(Reserve('b', 1, 'c', DAY, 50, LIMIT, 1))
        assert not book.is_granted('b', 1)


class SpendMachine(RuleBasedStateMachine):
    """Entries reserve, bill, die and wake up; the book stays right.

    Each item may be folded twice, as after a lost answer. The naive book
    adds up what it is told.
    """

    @initialize()
    def start(self) -> None:
        """Start with three entries that hold nothing."""
        self.book = SpendBook()
        self.held: Counter[str] = Counter()
        self.numbers: Counter[str] = Counter()
        self.batches: Counter[str] = Counter()
        self.sequences: Counter[str] = Counter()
        self.open: dict[str, dict[int, int]] = {'a': {}, 'b': {}, 'c': {}}
        self.finished: dict[tuple[str, int], int] = {}
        self.naive = 0
        self.retired: set[str] = set()

    @rule(entry=st.sampled_from('abc'), amount=st.integers(1, 60))
    def reserve(self, entry: str, amount: int) -> None:
        """Reserve, twice in the log."""
        self.numbers[entry] += 1
        number = self.numbers[entry]
        wish = Reserve(entry, number, 'c', DAY, amount, LIMIT, 1)
        self._fold(wish)
        if self.book.is_granted(entry, number):
            self.held[entry] += amount

    @rule(entry=st.sampled_from('abc'), cost=st.integers(0, 20))
    def run_request(self, entry: str, cost: int) -> None:
        """Run a request within what the entry may spend."""
        if entry in self.retired or cost > self.held[entry]:
            return
        self.held[entry] -= cost
        self.sequences[entry] += 1
        sequence = self.sequences[entry]
        self.open[entry][sequence] = cost
        self.finished[entry, sequence] = cost

    @rule(entry=st.sampled_from('abc'))
    def bill(self, entry: str) -> None:
        """Append a batch of what is settled, twice in the log."""
        rows = self.open[entry]
        if not rows:
            return
        self.open[entry] = {}
        self.batches[entry] += 1
        line = Line('c', DAY, 'v', 'k', len(rows), 0, 0, sum(rows.values()))
        batch = BillBatch(
            entry, self.batches[entry], format_ranges(rows), [list(line)]
        )
        self._fold(batch)
        self.naive += 2 * sum(rows.values())

    @rule(entry=st.sampled_from('abc'), newest=st.booleans())
    def adopt(self, entry: str, newest: bool) -> None:
        """Another entry bills a request of one that seems gone."""
        mine = [place for place in self.finished if place[0] == entry]
        if not mine:
            return
        place = mine[-1] if newest else mine[0]
        cost = self.finished[place]
        line = Line('c', DAY, 'v', 'k', 1, 0, 0, cost)
        self._fold(AdoptedBill(*place, list(line)))
        self.naive += 2 * cost

    @rule(entry=st.sampled_from('abc'))
    def release(self, entry: str) -> None:
        """Give back all that is free."""
        self.numbers[entry] += 1
        amount = self.held[entry]
        self._fold(Release(entry, self.numbers[entry], 'c', DAY, amount))
        self.held[entry] = 0

    @rule(entry=st.sampled_from('abc'))
    def retire(self, entry: str) -> None:
        """Declare an entry gone that has stopped spending."""
        self.retired.add(entry)
        self.held[entry] = 0
        self._fold(Retire(entry))

    @rule()
    def restore(self) -> None:
        """Go on from a dump."""
        self.book = copy_book(self.book)

    @invariant()
    def spend_is_bounded(self) -> None:
        """All costs, billed or still to come, stay within the limit."""
        assert sum(self.finished.values()) <= LIMIT
        assert self.book.billed('c', DAY) <= LIMIT

    @invariant()
    def billed_once(self) -> None:
        """The statement is the sum of the settled requests, once each."""
        settled = [
            cost
            for (entry, sequence), cost in self.finished.items()
            if self.book.is_settled(entry, sequence)
        ]
        lines = self.book.lines('c', (DAY, DAY))
        assert sum(line.cost for line in lines) == sum(settled)
        assert sum(line.requests for line in lines) == len(settled)

    def _fold(self, item: Any) -> None:
        self.book.apply(item)
        self.book.apply(item)


TestSpendMachine = SpendMachine.TestCase


class TestNaive:
    """What the naive book gets wrong."""

    def test_bills_twice(self) -> None:
        """A repeated batch doubles the naive sum, not the book's."""
        machine = SpendMachine()
        machine.start()
        machine.reserve('a', 50)
        machine.run_request('a', 10)
        machine.adopt('a', True)
        machine.bill('a')
        assert machine.book.billed('c', DAY) == 10
        assert machine.naive == 40


class TestCodec:
    """Items go through a record."""

    def test_round_trip(self) -> None:
        """Known items return, unknown ones are left out."""
        codec = Codec(Retire)
        claim = make_claim('a')
        assert codec.decode(encode_items([Retire('x'), claim])) == (
            Retire('x'),
        )

    def test_damaged(self) -> None:
        """A damaged record gives nothing and raises nothing."""
        codec = Codec(Retire)
        for body in ('', '{}', '[1]', '[9,[]]', '[1,[["Retire"]]]', '[1,3]'):
            assert codec.decode(body) == ()
