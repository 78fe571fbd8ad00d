"""Rate and concurrency limits of contracts, and the retry budget."""

import threading
import time
from collections import defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from ..contract.objects import ContractBody
from ..errors import LimitedError

#: Seconds of unused rate that a customer may use at once.
BURST_SECONDS: Final = 2.0
#: Retries that are allowed however little traffic there is.
MIN_RETRIES: Final = 10.0


class ContractLimits:
    """This entry's equal share of each contract's limits."""

    def __init__(self) -> None:
        """Start with unused limits."""
        self._lock = threading.Lock()
        self._running: dict[str, int] = defaultdict(int)
        self._tokens: dict[str, tuple[float, float]] = {}

    @contextmanager
    def admit(
        self,
        customer: str,
        contract: ContractBody,
        entries: int,
    ) -> Iterator[None]:
        """Count one request while the context is open.

        Raises LimitedError at this entry's share of a limit.
        """
        share = 1 / max(1, entries)
        with self._lock:
            self._check_rate(customer, contract, share)
            limit = max(1, int(contract['concurrent'] * share))
            if self._running[customer] >= limit:
                raise LimitedError(
                    f'customer "{customer}" runs its {limit} requests here'
                )
            self._running[customer] += 1
        try:
            yield
        finally:
            with self._lock:
                self._running[customer] -= 1

    def _check_rate(
        self,
        customer: str,
        contract: ContractBody,
        share: float,
    ) -> None:
        now = time.monotonic()
        rate = contract['requests_per_second'] * share
        burst = max(1.0, rate * BURST_SECONDS)
        tokens, moment = self._tokens.get(customer, (burst, now))
        tokens = min(burst, tokens + (now - moment) * rate)
        if tokens < 1:
            self._tokens[customer] = (tokens, now)
            raise LimitedError(
                f'customer "{customer}" is over its '
                f'{contract["requests_per_second"]} requests a second',
                retry_after=max(1, int((1 - tokens) / rate)),
            )
        self._tokens[customer] = (tokens - 1, now)


class RetryBudget:
    """Retries as a share of first tries, so retries can't feed a failure."""

    def __init__(self, share: float) -> None:
        """Keep the share; the budget starts at its minimum."""
        self._share = share
        self._lock = threading.Lock()
        self._tokens = MIN_RETRIES

    def note_request(self) -> None:
        """Count a first try."""
        with self._lock:
            self._tokens = min(MIN_RETRIES * 10, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry; return False if the budget is used up."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class WindowBudget:
    """Retries within a sliding window, as a share of its first tries.

    Shares of several entries add up: each counts its own first tries, and
    the fixed part is divided among them.
    """

    def __init__(self, share: float, extra: float, seconds: float) -> None:
        """Keep share, fixed part and the window's length in seconds."""
        self._share = share
        self._extra = extra
        self._seconds = seconds
        self._lock = threading.Lock()
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count a first try."""
        with self._lock:
            self._firsts.append(time.monotonic())
            self._forget()

    def spend(self, entries: int) -> bool:
        """Take one retry; return False if this entry's share is used up."""
        with self._lock:
            self._forget()
            allowed = self._share * len(self._firsts)
            allowed += self._extra / max(1, entries)
            if len(self._retries) + 1 > allowed:
                return False
            self._retries.append(time.monotonic())
            return True

    def _forget(self) -> None:
        horizon = time.monotonic() - self._seconds
        for moments in (self._firsts, self._retries):
            while moments and moments[0] < horizon:
                moments.popleft()
