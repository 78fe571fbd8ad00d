"""Rate and concurrency limits of contracts, and retry budgets."""

import threading
import time
from collections import defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from ..contract.objects import ContractBody
from ..errors import LimitedError

#: Burst size of the rate limit, in seconds' worth of requests.
BURST_SECONDS: Final = 2.0
#: Retries that are allowed even without traffic.
MIN_RETRIES: Final = 10.0


class ContractLimits:
    """Enforces this entry's share of each contract's limits.

    All entries have equal shares. The rate limit is a token bucket.
    """

    def __init__(self) -> None:
        """Create limits with full token buckets and no running requests."""
        self._lock = threading.Lock()
        self._running: dict[str, int] = defaultdict(int)
        #: Customer -> tokens left and the time.monotonic() of the last refill.
        self._tokens: dict[str, tuple[float, float]] = {}

    @contextmanager
    def admit(
        self,
        customer: str,
        contract: ContractBody,
        entries: int,
    ) -> Iterator[None]:
        """Count a request as running while the context is open.

        Raises LimitedError if the request exceeds this entry's share of a
        limit.
        """
        share = 1 / max(1, entries)
        with self._lock:
            self._check_rate(customer, contract, share)
            limit = max(1, int(contract['concurrent'] * share))
            if self._running[customer] >= limit:
                raise LimitedError(
                    f'customer "{customer}" already runs {limit} requests at '
                    'this entry'
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
        tokens, refilled_at = self._tokens.get(customer, (burst, now))
        tokens = min(burst, tokens + (now - refilled_at) * rate)
        if tokens < 1:
            self._tokens[customer] = (tokens, now)
            raise LimitedError(
                f'customer "{customer}" exceeds its limit of '
                f'{contract["requests_per_second"]} requests per second',
                retry_after=max(1, int((1 - tokens) / rate)),
            )
        self._tokens[customer] = (tokens - 1, now)


class RetryBudget:
    """Limits retries to a share of the requests.

    So retries can't add so much load that they prolong an outage.
    """

    def __init__(self, share: float) -> None:
        """Create a budget of MIN_RETRIES; each request adds `share` to it."""
        self._share = share
        self._lock = threading.Lock()
        self._tokens = MIN_RETRIES

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            self._tokens = min(MIN_RETRIES * 10, self._tokens + self._share)

    def spend(self) -> bool:
        """Use one retry; return False if the budget is used up."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class WindowBudget:
    """Limits retries to a share of the requests in a sliding window.

    The budgets of several entries add up to that of the fleet: each entry
    counts its own requests, and the fixed part is divided among the entries.
    A process that replaces another can't know what that one spent, so it waits
    for a window before it spends the fixed part again.
    """

    def __init__(
        self,
        share: float,
        extra: float,
        seconds: float,
        started_at: float = float('-inf'),
    ) -> None:
        """Create a budget of `share` per request plus `extra` retries.

        `seconds` is the length of the window, started_at the time.monotonic()
        of the process's start.
        """
        self._extra_from = started_at + seconds
        self._share = share
        self._extra = extra
        self._seconds = seconds
        self._lock = threading.Lock()
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            self._requests.append(time.monotonic())
            self._drop_expired()

    def spend(self, fleet_share: float) -> bool:
        """Use one retry; return False if this entry's share is used up.

        fleet_share is this entry's part of the fleet's fixed retries.
        """
        with self._lock:
            if not self._has_room(fleet_share):
                return False
            self._retries.append(time.monotonic())
            return True

    def is_left(self, fleet_share: float) -> bool:
        """Return True if spend() would use a retry now."""
        with self._lock:
            return self._has_room(fleet_share)

    def _has_room(self, fleet_share: float) -> bool:
        self._drop_expired()
        allowed = self._share * len(self._requests)
        if time.monotonic() >= self._extra_from:
            allowed += self._extra * fleet_share
        return len(self._retries) + 1 <= allowed

    def _drop_expired(self) -> None:
        horizon = time.monotonic() - self._seconds
        for times in (self._requests, self._retries):
            while times and times[0] < horizon:
                times.popleft()
