"""An entry's own bills and allowances."""

import itertools
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Final, NamedTuple

from loguru import logger

from ..contract.objects import ContractBody, VersionBody
from ..errors import LogDownError, SpendError
from ..interfaces.log import Log
from ..protocol import peer_pb2
from ..streams.codec import encode_items
from ..streams.follower import Follower
from .ranges import format_ranges
from .spend import (
    STREAM,
    AdoptedBill,
    BillBatch,
    Line,
    LineKey,
    Release,
    Reserve,
    Retire,
    SpendBook,
)

#: Prices are per this many tokens.
PRICE_TOKENS: Final = 1000
#: Share of the day's limit that all entries together keep as allowance.
ALLOWANCE_SHARE: Final = 0.05
#: An allowance unused for this long is given back.
IDLE_SECONDS: Final = 30.0
RESERVE_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.3

DayKey = tuple[str, str]


class Hold(NamedTuple):
    """The most that one request may cost, set aside until it ends."""

    customer: str
    day: str
    amount: int
    request: str
    sequence: int


class Batch(NamedTuple):
    """A batch that was cut but not yet seen in the log."""

    item: BillBatch
    costs: dict[DayKey, int]
    requests: list[str]


def find_cost(version: VersionBody, prompt: int, completion: int) -> int:
    """Return the cost in micro-units, rounded up."""
    total = (
        prompt * version['prompt_price']
        + completion * version['completion_price']
    )
    return -(-total // PRICE_TOKENS)


def today() -> str:
    """Return the present UTC day as "2026-01-31"."""
    return datetime.now(tz=UTC).date().isoformat()


class Ledger:
    """Sets aside spend before requests run and bills them when they end.

    What may be spent is derived from the folded book: what the log says this
    entry holds, less its bills not yet folded, less its open holds.
    """

    def __init__(
        self,
        incarnation: str,
        log: Log,
        follower: Follower[SpendBook],
        hold_seconds: float,
    ) -> None:
        """Keep the parts."""
        self._incarnation = incarnation
        self._log = log
        self._follower = follower
        self._hold_seconds = hold_seconds
        self._lock = threading.Lock()
        self._reserving = threading.Lock()
        self._sequence = itertools.count(1)
        self._numbers = itertools.count(1)
        self._batch_numbers = itertools.count(1)
        self._holds: dict[str, Hold] = {}
        self._held: dict[DayKey, int] = defaultdict(int)
        self._lines: dict[LineKey, Line] = {}
        self._settled: list[int] = []
        self._settled_requests: list[str] = []
        self._unfolded: list[Batch] = []
        self._used: dict[DayKey, float] = {}
        self._adopted: list[AdoptedBill] = []
        self._adopted_requests: list[str] = []
        self._stop = threading.Event()
        self.appends = 0

    def open_request(self) -> tuple[str, int]:
        """Return the id and sequence number of a new request."""
        sequence = next(self._sequence)
        return f'{self._incarnation}:{sequence}', sequence

    def hold(
        self,
        request: str,
        sequence: int,
        customer: str,
        contract: ContractBody,
        revision: int,
        amount: int,
        entries: int,
    ) -> Hold:
        """Set spend aside for a request.

        Raises SpendError if the contract has too little left, LogDownError if
        more must be reserved and the log does not answer.
        """
        hold = Hold(customer, today(), amount, request, sequence)
        if self._try_hold(hold):
            return hold
        with self._reserving:
            if self._try_hold(hold):
                return hold
            self._reserve(hold, contract, revision, max(1, entries))
        if not self._try_hold(hold):
            raise SpendError(
                f'customer "{customer}" has spent its limit of '
                f'{contract["spend"]} for {hold.day}',
            )
        return hold

    def is_open(self, hold: Hold) -> bool:
        """Return True if the request of a hold was not settled yet."""
        return hold.request in self._holds

    def settle(self, hold: Hold, line: Line | None) -> None:
        """End a request: bill its line, or nothing."""
        with self._lock:
            self._drop(hold)
            self._settled.append(hold.sequence)
            self._settled_requests.append(hold.request)
            if line is not None:
                self._add(line)

    def settle_unheld(self, request: str, sequence: int) -> None:
        """End a request that never set anything aside."""
        self.settle(Hold('', '', 0, request, sequence), None)

    def adopt(
        self, copy: peer_pb2.BillCopy, version: VersionBody | None
    ) -> None:
        """Bill a request of an entry that is gone."""
        incarnation, _, sequence = copy.request.partition(':')
        if incarnation == self._incarnation:
            return
        with self._follower.lock:
            settled = self._follower.state.is_settled(
                incarnation, int(sequence)
            )
        with self._lock:
            if copy.request in self._adopted_requests:
                return
            self._adopted_requests.append(copy.request)
            if settled:
                return
            line = make_line(copy, version)
            self._adopted.append(
                AdoptedBill(incarnation, int(sequence), list(line))
            )

    def flush(self) -> list[str]:
        """Append what was settled; return the requests now durable.

        Raises LogDownError; what was not appended stays for the next call.
        """
        self._cut()
        durable: list[str] = []
        for batch in list(self._unfolded):
            if batch.requests:
                self._append(batch.item)
                durable.extend(batch.requests)
                batch.requests.clear()
        return durable + self._flush_adopted()

    def give_back(self, *, everything: bool = False) -> None:
        """Release allowances that were not used lately.

        Raises LogDownError.
        """
        now = time.monotonic()
        with self._reserving:
            for key in list(self._used):
                idle = now - self._used[key] > IDLE_SECONDS
                with self._lock:
                    amount = self._available(key)
                    if amount <= 0 or not (idle or everything):
                        continue
                    # Nobody may set aside what is being released.
                    self._held[key] += amount
                try:
                    self._release(key, amount)
                finally:
                    with self._lock:
                        self._held[key] -= amount

    def retire(self, incarnation: str) -> None:
        """Return what an entry that is gone held.

        Raises LogDownError.
        """
        logger.info('allowances of entry "{}" return', incarnation)
        self._append(Retire(incarnation))

    def run(
        self,
        find_period: Callable[[], float],
        on_durable: Callable[[list[str]], None],
    ) -> None:
        """Flush each period, in seconds, until stop() is called."""
        while not self._stop.wait(find_period()):
            self.flush_once(on_durable)

    def flush_once(self, on_durable: Callable[[list[str]], None]) -> bool:
        """Flush and report durable requests; return False on failure."""
        try:
            durable = self.flush()
        except LogDownError as error:
            logger.warning('bills wait for the log: {}', error)
            return False
        if durable:
            on_durable(durable)
        return True

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def unbilled(self) -> int:
        """Return the settled requests that the log does not hold yet."""
        with self._lock:
            cut = sum(len(batch.requests) for batch in self._unfolded)
            return len(self._settled_requests) + cut

    def _flush_adopted(self) -> list[str]:
        with self._lock:
            adopted = list(self._adopted)
            requests = list(self._adopted_requests)
        if adopted:
            self._append(*adopted)
        with self._lock:
            del self._adopted[: len(adopted)]
            del self._adopted_requests[: len(requests)]
        return requests

    def _try_hold(self, hold: Hold) -> bool:
        key = (hold.customer, hold.day)
        with self._lock:
            if hold.amount and self._available(key) < hold.amount:
                return False
            self._holds[hold.request] = hold
            self._held[key] += hold.amount
            if hold.amount:
                self._used[key] = time.monotonic()
            return True

    def _available(self, key: DayKey) -> int:
        quiet = time.monotonic() - self._follower.last_read
        if quiet > self._hold_seconds:
            return 0
        with self._follower.lock:
            book = self._follower.state
            granted = book.held(*key).get(self._incarnation, 0)
            folded = book.last_batch(self._incarnation)
        self._unfolded = [
            batch
            for batch in self._unfolded
            if batch.requests or batch.item.number > folded
        ]
        cut = sum(
            batch.costs.get(key, 0)
            for batch in self._unfolded
            if batch.item.number > folded
        )
        uncut = sum(
            line.cost
            for line in self._lines.values()
            if (line.customer, line.day) == key
        )
        return granted - cut - uncut - self._held[key]

    def _reserve(
        self,
        hold: Hold,
        contract: ContractBody,
        revision: int,
        entries: int,
    ) -> None:
        share = int(contract['spend'] * ALLOWANCE_SHARE / entries)
        with self._lock:
            short = hold.amount - self._available((hold.customer, hold.day))
        for amount in dict.fromkeys((max(short, share), short)):
            number = next(self._numbers)
            wish = Reserve(
                self._incarnation,
                number,
                hold.customer,
                hold.day,
                amount,
                contract['spend'],
                revision,
            )
            offset = self._append(wish)
            self._follower.sync(offset + 1, RESERVE_SECONDS)
            with self._follower.lock:
                if self._follower.state.is_granted(self._incarnation, number):
                    return

    def _release(self, key: DayKey, amount: int) -> None:
        number = next(self._numbers)
        offset = self._append(Release(self._incarnation, number, *key, amount))
        self._follower.sync(offset + 1, RESERVE_SECONDS)

    def _append(self, *items: tuple[object, ...]) -> int:
        """Append items in one record, repeating once a lost answer."""
        body = encode_items(items)
        self.appends += 1
        try:
            return self._log.append(STREAM, body)
        except LogDownError:
            time.sleep(RETRY_SECONDS)
            self.appends += 1
            return self._log.append(STREAM, body)

    def _cut(self) -> None:
        with self._lock:
            if not self._settled:
                return
            costs: dict[DayKey, int] = defaultdict(int)
            for line in self._lines.values():
                costs[line.customer, line.day] += line.cost
            item = BillBatch(
                self._incarnation,
                next(self._batch_numbers),
                format_ranges(self._settled),
                [list(line) for line in self._lines.values()],
            )
            self._unfolded.append(Batch(item, costs, self._settled_requests))
            self._lines = {}
            self._settled = []
            self._settled_requests = []

    def _drop(self, hold: Hold) -> None:
        if self._holds.pop(hold.request, None) is not None:
            self._held[hold.customer, hold.day] -= hold.amount

    def _add(self, line: Line) -> None:
        key = (line.customer, line.day, line.version, line.kind)
        old = self._lines.get(key, Line(*key, 0, 0, 0, 0))
        self._lines[key] = Line(
            *key,
            old.requests + line.requests,
            old.prompt_tokens + line.prompt_tokens,
            old.completion_tokens + line.completion_tokens,
            old.cost + line.cost,
        )


def make_line(copy: peer_pb2.BillCopy, version: VersionBody | None) -> Line:
    """Return the line of one request from a sidecar's copy."""
    usage = copy.usage
    cost = 0
    if version is not None:
        cost = find_cost(version, usage.prompt_tokens, usage.completion_tokens)
    return Line(
        copy.customer,
        today(),
        copy.version,
        copy.kind,
        1,
        usage.prompt_tokens,
        usage.completion_tokens,
        cost,
    )
