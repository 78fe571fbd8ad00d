"""State of bills and spend allowances, from log records."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..streams.codec import Codec
from ..streams.follower import StreamState
from .ranges import SequenceSet, parse_ranges

STREAM: Final = 'spend'


class Line(NamedTuple):
    """A line of a bill: the totals of some requests, cost in micro-units."""

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

    #: Identifies the entry's process.
    incarnation: str
    #: 1, 2, 3, ...; a batch with a repeated number is a duplicate.
    number: int
    #: Sequence numbers of the settled requests, billed or not: "4-9,12".
    settled: str
    lines: list[list[Any]]


class AdoptedBill(NamedTuple):
    """The bill of one request of a stopped entry, from another entry."""

    incarnation: str
    sequence: int
    line: list[Any]


class Reserve(NamedTuple):
    """An entry's request for a spend allowance, in micro-units."""

    incarnation: str
    number: int
    customer: str
    day: str
    amount: int
    #: Spend limit and revision of the contract that the entry used.
    limit: int
    revision: int


class Release(NamedTuple):
    """An entry releases a part of its allowance, in micro-units."""

    incarnation: str
    number: int
    customer: str
    day: str
    amount: int


class Retire(NamedTuple):
    """An entry has stopped; its allowances are released."""

    incarnation: str


CODEC: Final = Codec(BillBatch, AdoptedBill, Reserve, Release, Retire)

LineKey = tuple[str, str, str, str]
DayKey = tuple[str, str]


class SpendState(StreamState):
    """Billed totals, and the allowances that entries hold for requests."""

    def __init__(self) -> None:
        """Create a state without bills and allowances."""
        self._totals: dict[LineKey, Line] = {}
        self._billed: dict[DayKey, int] = defaultdict(int)
        #: Customer and day -> incarnation -> allowance.
        self._held: dict[DayKey, dict[str, int]] = defaultdict(dict)
        #: Customer -> contract revision and spend limit.
        self._limits: dict[str, tuple[int, int]] = {}
        self._settled: dict[str, SequenceSet] = {}
        #: Incarnation -> sequence number -> line of an AdoptedBill.
        self._adopted: dict[str, dict[int, Line]] = {}
        #: Incarnation -> number of its last BillBatch.
        self._batches: dict[str, int] = {}
        #: Incarnation -> number of its last Reserve or Release, and whether
        #: that was granted.
        self._answers: dict[str, tuple[int, bool]] = {}
        self._retired: dict[str, bool] = {}

    def is_settled(self, incarnation: str, sequence: int) -> bool:
        """Return True if a request has a BillBatch or an AdoptedBill."""
        settled = self._settled.get(incarnation)
        adopted = self._adopted.get(incarnation, {})
        return sequence in adopted or bool(settled and sequence in settled)

    def is_retired(self, incarnation: str) -> bool:
        """Return True if the log has a Retire of the entry."""
        return incarnation in self._retired

    def is_granted(self, incarnation: str, number: int) -> bool | None:
        """Return whether a Reserve was granted, None if not applied yet."""
        last, granted = self._answers.get(incarnation, (0, False))
        return granted if last == number else None

    def get_last_batch(self, incarnation: str) -> int:
        """Return the number of an entry's last applied BillBatch."""
        return self._batches.get(incarnation, 0)

    def get_progress(self, incarnation: str) -> tuple[int, int]:
        """Return the numbers of an entry's last items, which only grow."""
        last, _ = self._answers.get(incarnation, (0, False))
        return self.get_last_batch(incarnation), last

    def find_billed_cost(self, customer: str, day: str) -> int:
        """Return the cost billed to a customer for a day, in micro-units."""
        return self._billed.get((customer, day), 0)

    def find_allowances(self, customer: str, day: str) -> Mapping[str, int]:
        """Return the open allowances of a customer's day by incarnation."""
        return dict(self._held.get((customer, day), {}))

    def compute_committed(self, customer: str, day: str) -> int:
        """Return the sum of the billed cost and the open allowances."""
        held = self._held.get((customer, day), {})
        return self.find_billed_cost(customer, day) + sum(held.values())

    def list_holders(self) -> set[str]:
        """Return the incarnations that hold any allowance."""
        return {
            incarnation
            for held in self._held.values()
            for incarnation, amount in held.items()
            if amount > 0
        }

    def list_lines(self, customer: str, days: tuple[str, str]) -> list[Line]:
        """Return a customer's bill lines from the first to the last day."""
        return sorted(
            line
            for line in self._totals.values()
            if line.customer == customer and days[0] <= line.day <= days[1]
        )

    def apply(self, item: Any) -> None:
        """Apply one item."""
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
            self._drop_allowances(item.incarnation)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            'totals': [list(line) for line in self._totals.values()],
            'held': [[*key, held] for key, held in self._held.items() if held],
            'limits': self._limits,
            'settled': {
                name: [numbers.watermark, sorted(numbers.above)]
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
        """Replace the state with one that dump() returned."""
        self.__init__()  # type: ignore[misc]
        for row in dump['totals']:
            self._add_line(Line(*row), 1)
        for customer, day, held in dump['held']:
            self._held[customer, day] = dict(held)
        self._limits = {
            name: (row[0], row[1]) for name, row in dump['limits'].items()
        }
        self._settled = {
            name: SequenceSet(watermark, above)
            for name, (watermark, above) in dump['settled'].items()
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
            # Another entry billed this request since this one seemed stopped.
            duplicate = adopted.pop(sequence, None)
            if duplicate is not None:
                self._add_line(duplicate, -1)
                self._restore_allowance(batch.incarnation, duplicate)
        # After the duplicate bills are removed, so that the allowance isn't
        # reduced twice for one request.
        for row in batch.lines:
            line = Line(*row)
            self._add_line(line, 1)
            self._use_allowance(batch.incarnation, line)
        if self.is_retired(batch.incarnation):
            self._drop_allowances(batch.incarnation)

    def _apply_adopted(self, bill: AdoptedBill) -> None:
        if self.is_settled(bill.incarnation, bill.sequence):
            return
        line = Line(*bill.line)
        adopted = self._adopted.setdefault(bill.incarnation, {})
        adopted[bill.sequence] = line
        self._add_line(line, 1)
        self._use_allowance(bill.incarnation, line)

    def _apply_reserve(self, reserve: Reserve) -> None:
        last, _ = self._answers.get(reserve.incarnation, (0, False))
        if reserve.number <= last:
            return
        revision, limit = self._limits.get(reserve.customer, (0, 0))
        if reserve.revision >= revision:
            limit = reserve.limit
            self._limits[reserve.customer] = (reserve.revision, limit)
        free = limit - self.compute_committed(reserve.customer, reserve.day)
        granted = reserve.amount <= free and not self.is_retired(
            reserve.incarnation
        )
        self._answers[reserve.incarnation] = (reserve.number, granted)
        if granted:
            held = self._held[reserve.customer, reserve.day]
            held[reserve.incarnation] = (
                held.get(reserve.incarnation, 0) + reserve.amount
            )

    def _apply_release(self, release: Release) -> None:
        last, _ = self._answers.get(release.incarnation, (0, False))
        if release.number <= last:
            return
        self._answers[release.incarnation] = (release.number, True)
        self._reduce_allowance(
            release.incarnation, release.customer, release.day, release.amount
        )

    def _use_allowance(self, incarnation: str, line: Line) -> None:
        self._reduce_allowance(incarnation, line.customer, line.day, line.cost)

    def _restore_allowance(self, incarnation: str, line: Line) -> None:
        held = self._held[line.customer, line.day]
        held[incarnation] = held.get(incarnation, 0) + line.cost

    def _drop_allowances(self, incarnation: str) -> None:
        for held in self._held.values():
            held.pop(incarnation, None)

    def _reduce_allowance(
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

    def _add_line(self, line: Line, sign: int) -> None:
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
