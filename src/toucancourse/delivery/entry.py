"""Context and helpers that the handlers of caller requests share."""

import random
import time
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final, NamedTuple

from loguru import logger

from ..admission.limits import ContractLimits, RetryBudget
from ..billing.ledger import Ledger
from ..errors import CourseError, StaleError
from ..membership.configuration import Configuration
from ..membership.directory import InstanceDirectory
from ..membership.freshness import Freshness
from ..protocol import peer_pb2
from ..routing.endpoints import (
    BalancingPolicy,
    EndpointView,
    PowerOfTwo,
    PrefixAffinity,
)
from .callers import MS_PER_SECOND, Caller, RequestOptions
from .links import Link
from .pool import Pool

#: Most recent decisions kept for "explain".
MAX_DECISIONS: Final = 5000
#: Maximum delays between rounds of attempts over all endpoints.
RETRY_DELAYS_SECONDS: Final = (0.1, 0.3, 0.9)


class Step(NamedTuple):
    """One attempt of a request and how it ended."""

    version: str
    instance: str
    code: str
    seconds: float
    #: False if the endpoint certainly never received the whole request.
    may_have_run: bool


class Decision(NamedTuple):
    """The routing decision of a request and the reasons for it."""

    request: str
    customer: str
    kind: str
    #: Offset of the configuration that the decision is based on.
    offset: int
    #: Version, price, lower bound of quality and reason, cheapest first.
    candidates: tuple[tuple[str, float, float, str], ...]
    steps: tuple[Step, ...]
    outcome: str


class DecisionHistory:
    """The most recent routing decisions of this entry."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Add a decision and drop the oldest beyond the limit."""
        self._decisions[decision.request] = decision
        while len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def find(self, request: str) -> Decision | None:
        """Return the decision of a request, or None if it isn't kept."""
        return self._decisions.get(request)


class EntryContext(NamedTuple):
    """State and services that the handlers of caller requests share."""

    instance: str
    #: Random identifier of this process; differs after a restart.
    incarnation: str
    configuration: Configuration
    freshness: Freshness
    directory: InstanceDirectory
    pool: Pool
    ledger: Ledger
    limits: ContractLimits
    budget: RetryBudget
    decisions: DecisionHistory
    power_of_two: PowerOfTwo
    affinity: PrefixAffinity
    #: Maximum and default deadline of a request.
    request_seconds: float

    def check_current(self) -> None:
        """Raise StaleError if the configuration may be out of date."""
        if not self.freshness.is_current():
            raise StaleError('configuration may be out of date')

    def count_entries(self) -> int:
        """Return the number of entries that share the limits."""
        return max(1, len(self.directory.entries()))

    def order_links(self, offer: str, prefix: str) -> list[Link]:
        """Return the links that serve a version or service, best first.

        With a prefix key, links are ordered by prefix affinity.
        """
        links = self.pool.find_serving(self.configuration.state, offer)
        views = self.pool.make_views(links)
        policy: BalancingPolicy = self.affinity if prefix else self.power_of_two
        ordered: list[EndpointView] = policy.order(views, prefix)
        return [links[view.instance] for view in ordered]

    def record_attempt(self, link: Link, *, failed: bool) -> None:
        """Record an attempt for outlier detection."""
        self.pool.outliers.record_attempt(link.instance.name, failed=failed)


def make_open_message(
    context: EntryContext,
    request_id: str,
    caller: Caller,
    options: RequestOptions,
) -> peer_pb2.Open:
    """Return an Open message with the fields common to all requests."""
    return peer_pb2.Open(
        request=request_id,
        customer=caller.customer,
        priority=options.priority,
        deadline_ms=int(remaining_seconds(options) * MS_PER_SECOND),
        offset=context.configuration.offset,
        kind=options.kind,
    )


def log_failed_attempt(
    request_id: str,
    caller: Caller,
    link: Link,
    error: CourseError,
) -> None:
    """Log that one attempt of a request failed."""
    logger.bind(
        request=request_id,
        customer=caller.customer,
        endpoint=link.instance.name,
    ).info('attempt failed: {} {}', error.code, error.text)


def remaining_seconds(options: RequestOptions) -> float:
    """Return the seconds until the caller's deadline, at least 0."""
    return max(0.0, options.deadline - time.monotonic())


def iterate_with_backoff(options: RequestOptions) -> Iterator[None]:
    """Yield immediately, then after each backoff delay before the deadline.

    A later round finds endpoints that reconnected or freed a slot.
    """
    yield
    for seconds in RETRY_DELAYS_SECONDS:
        delay = seconds * random.uniform(0.5, 1)
        if remaining_seconds(options) <= delay:
            return
        time.sleep(delay)
        yield
