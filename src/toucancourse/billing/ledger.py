"""Bills and spend allowances of one entry."""

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
    SpendState,
)

#: Prices are per this many tokens.
PRICE_TOKENS: Final = 1000
#: Share of the day's limit that all entries together reserve at a time.
ALLOWANCE_SHARE: Final = 0.05
#: An allowance that is unused for this long is released.
ALLOWANCE_IDLE_SECONDS: Final = 30.0
#: Longest wait until an appended item is read back from the log.
SYNC_TIMEOUT_SECONDS: Final = 2.0
#: Delay before an append without an answer is repeated.
APPEND_RETRY_SECONDS: Final = 0.3

DayKey = tuple[str, str]


class SpendHold(NamedTuple):
    """The highest cost of one request, held until the request ends."""

    customer: str
    day: str
    amount: int
    request: str
    sequence: int


class PendingBatch(NamedTuple):
    """A bill batch that has not been read back from the log yet.

    `requests` holds the ids of its requests until the batch is appended.
    """

    item: BillBatch
    costs: dict[DayKey, int]
    requests: list[str]


def compute_cost(version: VersionBody, prompt: int, completion: int) -> int:
    """Return the cost of a number of tokens in micro-units, rounded up."""
    total = (
        prompt * version['prompt_price']
        + completion * version['completion_price']
    )
    return -(-total // PRICE_TOKENS)


def today() -> str:
    """Return the current UTC date, such as "2026-01-31"."""
    return datetime.now(tz=UTC).date().isoformat()


class Ledger:
    """Holds spend before requests run and bills requests when they end.

    The available amount derives from the state of the spend stream: this
    entry's allowance in the log, less its bills that are not applied there
    yet, less its open holds.
    """

    def __init__(
        self,
        incarnation: str,
        log: Log,
        follower: Follower[SpendState],
        hold_seconds: float,
    ) -> None:
        """Create a ledger for the entry process of this incarnation.

        Its allowance counts for nothing if the last read of the log is older
        than `hold_seconds`, since others may have reclaimed it.
        """
        self._incarnation = incarnation
        self._log = log
        self._follower = follower
        self._hold_seconds = hold_seconds
        self._lock = threading.Lock()
        self._reserving = threading.Lock()
        self._sequence = itertools.count(1)
        self._operation_numbers = itertools.count(1)
        self._batch_numbers = itertools.count(1)
        self._holds: dict[str, SpendHold] = {}
        self._held_amounts: dict[DayKey, int] = defaultdict(int)
        self._lines: dict[LineKey, Line] = {}
        self._settled_sequences: list[int] = []
        self._settled_requests: list[str] = []
        self._pending_batches: list[PendingBatch] = []
        self._used_at: dict[DayKey, float] = {}
        self._adopted: list[AdoptedBill] = []
        self._adopted_requests: list[str] = []
        self._stop = threading.Event()
        #: Number of append calls, with retries.
        self.appends = 0

    def create_request_id(self) -> tuple[str, int]:
        """Return a new request's id and sequence number."""
        sequence = next(self._sequence)
        return f'{self._incarnation}:{sequence}', sequence

    def place_hold(
        self,
        request: str,
        sequence: int,
        customer: str,
        contract: ContractBody,
        revision: int,
        amount: int,
        entries: int,
    ) -> SpendHold:
        """Hold an amount for a request, in micro-units.

        Reserves a further allowance if necessary. Raises SpendError if the
        contract has too little spend left, and LogDownError if an allowance
        must be reserved and the log doesn't answer.
        """
        hold = SpendHold(customer, today(), amount, request, sequence)
        if self._try_place_hold(hold):
            return hold
        with self._reserving:
            if self._try_place_hold(hold):
                return hold
            self._reserve(hold, contract, revision, max(1, entries))
        if not self._try_place_hold(hold):
            raise SpendError(
                f'customer "{customer}" has used up its spend limit of '
                f'{contract["spend"]} for {hold.day}',
            )
        return hold

    def is_open(self, hold: SpendHold) -> bool:
        """Return True if the request of a hold is not settled yet."""
        return hold.request in self._holds

    def settle(self, hold: SpendHold, line: Line | None) -> None:
        """Settle a request: drop its hold and bill its line, if any."""
        with self._lock:
            self._drop_hold(hold)
            self._settled_sequences.append(hold.sequence)
            self._settled_requests.append(hold.request)
            if line is not None:
                self._add_line(line)

    def settle_without_hold(self, request: str, sequence: int) -> None:
        """Settle a request that has no hold."""
        self.settle(SpendHold('', '', 0, request, sequence), None)

    def adopt_bill(
        self, copy: peer_pb2.BillCopy, version: VersionBody | None
    ) -> None:
        """Bill a request of a stopped entry from a sidecar's copy."""
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
        """Append the bills of settled requests; return the durable requests.

        Raises LogDownError; what was not appended is left for the next call.
        """
        self._close_batch()
        durable: list[str] = []
        for batch in list(self._pending_batches):
            if batch.requests:
                self._append(batch.item)
                durable.extend(batch.requests)
                batch.requests.clear()
        return durable + self._flush_adopted()

    def release_idle(self, *, everything: bool = False) -> None:
        """Release allowances that were not used lately, or everything.

        Raises LogDownError.
        """
        now = time.monotonic()
        with self._reserving:
            for key in list(self._used_at):
                idle = now - self._used_at[key] > ALLOWANCE_IDLE_SECONDS
                with self._lock:
                    amount = self._compute_available(key)
                    if amount <= 0 or not (idle or everything):
                        continue
                    # Blocks new holds on the amount while it is released.
                    self._held_amounts[key] += amount
                try:
                    self._release(key, amount)
                finally:
                    with self._lock:
                        self._held_amounts[key] -= amount

    def retire_entry(self, incarnation: str) -> None:
        """Release the allowances of a stopped entry.

        Raises LogDownError.
        """
        logger.info('releasing the allowances of entry "{}"', incarnation)
        self._append(Retire(incarnation))

    def run(
        self,
        find_period: Callable[[], float],
        on_durable: Callable[[list[str]], None],
    ) -> None:
        """Flush periodically until stop() is called.

        `find_period` returns the seconds until the next flush; `on_durable`
        is called with the ids of the durable requests.
        """
        while not self._stop.wait(find_period()):
            self.flush_once(on_durable)

    def flush_once(self, on_durable: Callable[[list[str]], None]) -> bool:
        """Flush and report durable requests; return False on failure."""
        try:
            durable = self.flush()
        except LogDownError as error:
            logger.warning('bills not appended to the log: {}', error)
            return False
        if durable:
            on_durable(durable)
        return True

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def count_unbilled(self) -> int:
        """Return the number of settled requests that are not durable yet."""
        with self._lock:
            batched = sum(
                len(batch.requests) for batch in self._pending_batches
            )
            return len(self._settled_requests) + batched

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

    def _try_place_hold(self, hold: SpendHold) -> bool:
        key = (hold.customer, hold.day)
        with self._lock:
            if hold.amount and self._compute_available(key) < hold.amount:
                return False
            self._holds[hold.request] = hold
            self._held_amounts[key] += hold.amount
            if hold.amount:
                self._used_at[key] = time.monotonic()
            return True

    def _compute_available(self, key: DayKey) -> int:
        read_age = time.monotonic() - self._follower.last_read
        if read_age > self._hold_seconds:
            return 0
        with self._follower.lock:
            state = self._follower.state
            granted = state.find_allowances(*key).get(self._incarnation, 0)
            applied = state.get_last_batch(self._incarnation)
        self._pending_batches = [
            batch
            for batch in self._pending_batches
            if batch.requests or batch.item.number > applied
        ]
        batched = sum(
            batch.costs.get(key, 0)
            for batch in self._pending_batches
            if batch.item.number > applied
        )
        unbatched = sum(
            line.cost
            for line in self._lines.values()
            if (line.customer, line.day) == key
        )
        return granted - batched - unbatched - self._held_amounts[key]

    def _reserve(
        self,
        hold: SpendHold,
        contract: ContractBody,
        revision: int,
        entries: int,
    ) -> None:
        share = int(contract['spend'] * ALLOWANCE_SHARE / entries)
        with self._lock:
            shortfall = hold.amount - self._compute_available(
                (hold.customer, hold.day)
            )
        for amount in dict.fromkeys((max(shortfall, share), shortfall)):
            number = next(self._operation_numbers)
            reserve = Reserve(
                self._incarnation,
                number,
                hold.customer,
                hold.day,
                amount,
                contract['spend'],
                revision,
            )
            offset = self._append(reserve)
            self._follower.sync(offset + 1, SYNC_TIMEOUT_SECONDS)
            with self._follower.lock:
                if self._follower.state.is_granted(self._incarnation, number):
                    return

    def _release(self, key: DayKey, amount: int) -> None:
        number = next(self._operation_numbers)
        offset = self._append(Release(self._incarnation, number, *key, amount))
        self._follower.sync(offset + 1, SYNC_TIMEOUT_SECONDS)

    def _append(self, *items: tuple[object, ...]) -> int:
        """Append items in one record, with one retry if no answer arrives."""
        body = encode_items(items)
        self.appends += 1
        try:
            return self._log.append(STREAM, body)
        except LogDownError:
            time.sleep(APPEND_RETRY_SECONDS)
            self.appends += 1
            return self._log.append(STREAM, body)

    def _close_batch(self) -> None:
        with self._lock:
            if not self._settled_sequences:
                return
            costs: dict[DayKey, int] = defaultdict(int)
            for line in self._lines.values():
                costs[line.customer, line.day] += line.cost
            item = BillBatch(
                self._incarnation,
                next(self._batch_numbers),
                format_ranges(self._settled_sequences),
                [list(line) for line in self._lines.values()],
            )
            self._pending_batches.append(
                PendingBatch(item, costs, self._settled_requests)
            )
            self._lines = {}
            self._settled_sequences = []
            self._settled_requests = []

    def _drop_hold(self, hold: SpendHold) -> None:
        if self._holds.pop(hold.request, None) is not None:
            self._held_amounts[hold.customer, hold.day] -= hold.amount

    def _add_line(self, line: Line) -> None:
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
    """Return the bill line of one request from a sidecar's copy."""
    usage = copy.usage
    cost = 0
    if version is not None:
        cost = compute_cost(
            version, usage.prompt_tokens, usage.completion_tokens
        )
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
