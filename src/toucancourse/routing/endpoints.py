"""Load balancing among the endpoints that serve a version."""

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final, NamedTuple

from ..membership.directory import rank_by_hash

#: Requests of at least this size get prefix affinity, in bytes; also the part
#: of the first message that identifies the prefix.
AFFINITY_PREFIX_BYTES: Final = 2000
#: Utilization, as a multiple of the mean, above which an endpoint gets no more
#: requests by affinity (consistent hashing with bounded loads).
AFFINITY_LOAD_FACTOR: Final = 1.25
#: Endpoints with at least this recent failure rate are tried last.
MAX_FAILURE_RATE: Final = 0.5
#: Utilization up to which endpoints in the entry's own zone are preferred.
IDLE_UTILIZATION: Final = 0.5


class EndpointView(NamedTuple):
    """Load and health of one endpoint as an entry sees them."""

    instance: str
    zone: str
    #: Requests at the endpoint, from its delayed report or the entry's count.
    running: int
    #: Requests that the endpoint may run at a time.
    window: int
    #: Share of failures among recent attempts, in [0, 1].
    failure_rate: float

    def utilization(self) -> float:
        """Return running requests plus one, divided by the window."""
        return (self.running + 1) / max(1, self.window)


class BalancingPolicy(ABC):
    """Orders endpoints for one request."""

    @abstractmethod
    def order(
        self, views: Sequence[EndpointView], prefix: str
    ) -> list[EndpointView]:
        """Return the endpoints in the order in which to try them.

        `prefix` identifies the prompt's prefix; it is empty without affinity.
        """


class PowerOfTwo(BalancingPolicy):
    """Power of two choices, with a preference for the own zone while idle.

    A hop to another zone costs a millisecond or two, waiting in a queue costs
    hundreds, so the own zone is preferred only for endpoints with low
    utilization. A full endpoint is tried before a failing one, because it will
    answer.
    """

    def __init__(self, zone: str) -> None:
        """Create a policy for an entry in this zone."""
        self._zone = zone

    def order(
        self, views: Sequence[EndpointView], prefix: str
    ) -> list[EndpointView]:
        """Return the endpoints in the order in which to try them."""
        shuffled = random.sample(list(views), len(views))
        healthy = [
            view for view in shuffled if view.failure_rate < MAX_FAILURE_RATE
        ]
        failing = [
            view for view in shuffled if view.failure_rate >= MAX_FAILURE_RATE
        ]
        available = [view for view in healthy if _has_capacity(view)]
        full = [view for view in healthy if not _has_capacity(view)]
        return [
            *self._order_available(available),
            *sorted(full, key=EndpointView.utilization),
            *sorted(failing, key=lambda view: view.failure_rate),
        ]

    def _order_available(
        self, available: list[EndpointView]
    ) -> list[EndpointView]:
        local = [view for view in available if self._is_idle_and_local(view)]
        sampled = (local or available)[:2]
        rest = [view for view in available if view not in sampled]
        return [
            *sorted(sampled, key=EndpointView.utilization),
            *sorted(rest, key=EndpointView.utilization),
        ]

    def _is_idle_and_local(self, view: EndpointView) -> bool:
        return (
            view.zone == self._zone and view.utilization() <= IDLE_UTILIZATION
        )


class PrefixAffinity(BalancingPolicy):
    """Rendezvous hashing by prompt prefix, with bounded loads.

    Requests with one prefix go to the same endpoint, which has the prefix in
    its cache, unless that endpoint is overloaded.
    """

    def __init__(self, fallback: BalancingPolicy) -> None:
        """Create a policy; `fallback` orders the other endpoints."""
        self._fallback = fallback

    def order(
        self, views: Sequence[EndpointView], prefix: str
    ) -> list[EndpointView]:
        """Return the endpoints in the order in which to try them."""
        rest = self._fallback.order(views, prefix)
        if not prefix or not views:
            return rest
        by_name = {view.instance: view for view in views}
        mean = sum(view.utilization() for view in views) / len(views)
        for name in rank_by_hash(prefix, by_name):
            view = by_name[name]
            if (
                _has_capacity(view)
                and view.utilization() <= mean * AFFINITY_LOAD_FACTOR
            ):
                rest.remove(view)
                return [view, *rest]
        return rest


def _has_capacity(view: EndpointView) -> bool:
    return view.running < view.window


class _FailureRate(NamedTuple):
    """Failure rate at the time of the last attempt."""

    rate: float
    #: time.monotonic() of the last attempt.
    updated_at: float


class Outliers:
    """Outlier detection by each endpoint's moving average of failures.

    The rates decay over time, so that a failing endpoint is tried again.
    """

    #: Weight of the newest attempt in the average. Two failures in a row reach
    #: MAX_FAILURE_RATE.
    _weight: Final = 0.3
    _half_life_seconds: Final = 5.0

    def __init__(self) -> None:
        """Create a detector without recorded failures."""
        self._rates: dict[str, _FailureRate] = {}

    def record_attempt(self, instance: str, *, failed: bool) -> None:
        """Update an endpoint's failure rate with one attempt."""
        old = self.get_failure_rate(instance)
        rate = old + self._weight * (failed - old)
        self._rates[instance] = _FailureRate(rate, time.monotonic())

    def get_failure_rate(self, instance: str) -> float:
        """Return the decayed failure rate of an endpoint, in [0, 1]."""
        recorded = self._rates.get(instance)
        if recorded is None:
            return 0.0
        age = time.monotonic() - recorded.updated_at
        return float(recorded.rate * 0.5 ** (age / self._half_life_seconds))
