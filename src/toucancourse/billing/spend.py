"""Bills and spend allowances, in log order."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..streams.codec import Codec
from ..streams.follower import StreamState
from .ranges import SequenceSet, parse_ranges

STREAM: Final = 'spend'


class Line(NamedTuple):
    """Totals of some requests. Cost is in micro-units."""

    customer: str
    day: str
    version: str
    kind: str
    requests: int
    prompt_tokens: int
    completion_tokens: int
    cost: int


class BillBatch(NamedTuple):
    """Requests that an entry settled since its last batch."""

    incarnation: str
    #: 1, 2, 3, ...: a repeated number is the same batch again.
    number: int
    #: Sequence numbers settled, billed or not, such as "4-9,12".
    settled: str
    lines: list[list[Any]]


class AdoptedBill(NamedTuple):
    """The bill of one request of an entry that is gone."""

    incarnation: str
    sequence: int
    line: list[Any]


class Reserve(NamedTuple):
    """An entry's wish for an allowance."""

    incarnation: str
    number: int
    customer: str
    day: str
    amount: int
    #: Spend limit and revision of the contract that the entry saw.
    limit: int
    revision: int


class Release(NamedTuple):
    """An entry gives back a part of its allowance."""

    incarnation: str
    number: int
    customer: str
    day: str
    amount: int


class Retire(NamedTuple):
    """An entry is gone; what it held returns."""

    incarnation: str


CODEC: Final = Codec(BillBatch, AdoptedBill, Reserve, Release, Retire)

LineKey = tuple[str, str, str, str]
DayKey = tuple[str, str]


class SpendBook(StreamState):
    """What was billed, and what entries hold for what is to come."""

    def __init__(self) -> None:
        """Start with nothing billed."""
        self._totals: dict[LineKey, Line] = {}
        self._billed: dict[DayKey, int] = defaultdict(int)
        self._held: dict[DayKey, dict[str, int]] = defaultdict(dict)
        self._limits: dict[str, tuple[int, int]] = {}
        self._settled: dict[str, SequenceSet] = {}
        self._adopted: dict[str, dict[int, Line]] = {}
        self._batches: dict[str, int] = {}
        #: Incarnation -> number and verdict of its last Reserve or Release.
        self._answers: dict[str, tuple[int, bool]] = {}
        self._retired: dict[str, bool] = {}

    def is_settled(self, incarnation: str, sequence: int) -> bool:
        """Return True if a request was settled by its entry or adopted."""
        settled = self._settled.get(incarnation)
        adopted = self._adopted.get(incarnation, {})
        return sequence in adopted or bool(settled and sequence in settled)

    def is_retired(self, incarnation: str) -> bool:
        """Return True if the entry was declared gone."""
        return incarnation in self._retired

    def is_granted(self, incarnation: str, number: int) -> bool | None:
        """Return the verdict on a Reserve, or None if it was not read yet."""
        last, granted = self._answers.get(incarnation, (0, False))
        return granted if last == number else None

    def last_batch(self, incarnation: str) -> int:
        """Return the number of an entry's last folded BillBatch."""
        return self._batches.get(incarnation, 0)

    def find_mark(self, incarnation: str) -> tuple[int, int]:
        """Return numbers that grow with each item of an entry."""
        last, _ = self._answers.get(incarnation, (0, False))
        return self.last_batch(incarnation), last

    def billed(self, customer: str, day: str) -> int:
        """Return the cost billed to a customer on a day."""
        return self._billed.get((customer, day), 0)

    def held(self, customer: str, day: str) -> Mapping[str, int]:
        """Return the open allowances by incarnation."""
        return dict(self._held.get((customer, day), {}))

    def committed(self, customer: str, day: str) -> int:
        """Return what was billed and what is held together."""
        held = self._held.get((customer, day), {})
        return self.billed(customer, day) + sum(held.values())

    def holders(self) -> set[str]:
        """Return the incarnations that hold an allowance."""
        return {
            incarnation
            for held in self._held.values()
            for incarnation, amount in held.items()
            if amount > 0
        }

    def lines(self, customer: str, days: tuple[str, str]) -> list[Line]:
        """Return a customer's totals from the first to the last day."""
        return sorted(
            line
            for line in self._totals.values()
            if line.customer == customer and days[0] <= line.day <= days[1]
        )

    def apply(self, item: Any) -> None:
        """Fold one item."""
        if isinstance(item, BillBatch):
            self._apply_batch(item)
        elif isinstance(item, AdoptedBill):
            self._apply_adopted(item)
        elif isinstance(item, Reserve):
            self._apply_reserve(item)
        elif isinstance(item, Release):
            self._apply_release(item)
        elif isinstance(item, Retire):
            self._retired[item.incarnation] = True
            self._drop_holdings(item.incarnation)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            'totals': [list(line) for line in self._totals.values()],
            'held': [[*key, held] for key, held in self._held.items() if held],
            'limits': self._limits,
            'settled': {
                name: [numbers.mark, sorted(numbers.above)]
                for name, numbers in self._settled.items()
            },
            'adopted': {
                name: [[number, list(line)] for number, line in rows.items()]
                for name, rows in self._adopted.items()
            },
            'batches': self._batches,
            'answers': self._answers,
            'retired': self._retired,
        }

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""
        self.__init__()  # type: ignore[misc]
        for row in dump['totals']:
            self._add(Line(*row), 1)
        for customer, day, held in dump['held']:
            self._held[customer, day] = dict(held)
        self._limits = {
            name: (row[0], row[1]) for name, row in dump['limits'].items()
        }
        self._settled = {
            name: SequenceSet(mark, above)
            for name, (mark, above) in dump['settled'].items()
        }
        self._adopted = {
            name: {number: Line(*line) for number, line in rows}
            for name, rows in dump['adopted'].items()
        }
        self._batches = dict(dump['batches'])
        self._answers = {
            name: (row[0], row[1]) for name, row in dump['answers'].items()
        }
        self._retired = dict(dump['retired'])

    def _apply_batch(self, batch: BillBatch) -> None:
        if batch.number <= self._batches.get(batch.incarnation, 0):
            return
        self._batches[batch.incarnation] = batch.number
        settled = self._settled.setdefault(batch.incarnation, SequenceSet())
        adopted = self._adopted.get(batch.incarnation, {})
        for sequence in parse_ranges(batch.settled):
            settled.add(sequence)
            # The entry was thought gone and another billed this request.
            repeated = adopted.pop(sequence, None)
            if repeated is not None:
                self._add(repeated, -1)
                self._restore(batch.incarnation, repeated)
        # After the repeated bills are out, so that no allowance is used twice.
        for row in batch.lines:
            line = Line(*row)
            self._add(line, 1)
            self._use(batch.incarnation, line)
        if self.is_retired(batch.incarnation):
            self._drop_holdings(batch.incarnation)

    def _apply_adopted(self, bill: AdoptedBill) -> None:
        if self.is_settled(bill.incarnation, bill.sequence):
            return
        line = Line(*bill.line)
        adopted = self._adopted.setdefault(bill.incarnation, {})
        adopted[bill.sequence] = line
        self._add(line, 1)
        self._use(bill.incarnation, line)

    def _apply_reserve(self, wish: Reserve) -> None:
        last, _ = self._answers.get(wish.incarnation, (0, False))
        if wish.number <= last:
            return
        revision, limit = self._limits.get(wish.customer, (0, 0))
        if wish.revision >= revision:
            limit = wish.limit
            self._limits[wish.customer] = (wish.revision, limit)
        free = limit - self.committed(wish.customer, wish.day)
        granted = wish.amount <= free and not self.is_retired(wish.incarnation)
        self._answers[wish.incarnation] = (wish.number, granted)
        if granted:
            held = self._held[wish.customer, wish.day]
            held[wish.incarnation] = held.get(wish.incarnation, 0) + wish.amount

    def _apply_release(self, release: Release) -> None:
        last, _ = self._answers.get(release.incarnation, (0, False))
        if release.number <= last:
            return
        self._answers[release.incarnation] = (release.number, True)
        self._take(
            release.incarnation, release.customer, release.day, release.amount
        )

    def _use(self, incarnation: str, line: Line) -> None:
        self._take(incarnation, line.customer, line.day, line.cost)

    def _restore(self, incarnation: str, line: Line) -> None:
        held = self._held[line.customer, line.day]
        held[incarnation] = held.get(incarnation, 0) + line.cost

    def _drop_holdings(self, incarnation: str) -> None:
        for held in self._held.values():
            held.pop(incarnation, None)

    def _take(
        self,
        incarnation: str,
        customer: str,
        day: str,
        amount: int,
    ) -> None:
        held = self._held.get((customer, day), {})
        if incarnation not in held:
            return
        held[incarnation] -= amount
        if held[incarnation] <= 0:
            del held[incarnation]

    def _add(self, line: Line, sign: int) -> None:
        key = (line.customer, line.day, line.version, line.kind)
        old = self._totals.get(key, Line(*key, 0, 0, 0, 0))
        self._totals[key] = Line(
            *key,
            old.requests + sign * line.requests,
            old.prompt_tokens + sign * line.prompt_tokens,
            old.completion_tokens + sign * line.completion_tokens,
            old.cost + sign * line.cost,
        )
        self._billed[line.customer, line.day] += sign * line.cost
