"""What the handlers of caller requests share."""

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
from ..membership.directory import Directory
from ..membership.freshness import Freshness
from ..protocol import peer_pb2
from ..routing.endpoints import (
    BalancingPolicy,
    EndpointView,
    PowerOfTwo,
    PrefixAffinity,
)
from .callers import MS, Caller, Demand
from .links import Link
from .pool import Pool

#: Decisions remembered for "explain".
REMEMBERED_DECISIONS: Final = 5000
#: Waits between passes over the endpoints of a request.
PASS_WAITS_SECONDS: Final = (0.1, 0.3, 0.9)


class Step(NamedTuple):
    """One try of a request and how it ended."""

    version: str
    instance: str
    code: str
    seconds: float
    #: False if the endpoint certainly never had the whole request.
    may_have_run: bool


class Decision(NamedTuple):
    """Why a request went where it went."""

    request: str
    customer: str
    kind: str
    offset: int
    #: Version, price, lower bound of quality and reason, cheapest first.
    candidates: tuple[tuple[str, float, float, str], ...]
    steps: tuple[Step, ...]
    outcome: str


class Decisions:
    """The last decisions of this entry."""

    def __init__(self) -> None:
        """Start with none."""
        self._rows: OrderedDict[str, Decision] = OrderedDict()

    def note(self, decision: Decision) -> None:
        """Remember a decision."""
        self._rows[decision.request] = decision
        while len(self._rows) > REMEMBERED_DECISIONS:
            self._rows.popitem(last=False)

    def find(self, request: str) -> Decision | None:
        """Return the decision on a request."""
        return self._rows.get(request)


class EntryParts(NamedTuple):
    """The parts that serve callers."""

    instance: str
    incarnation: str
    configuration: Configuration
    freshness: Freshness
    directory: Directory
    pool: Pool
    ledger: Ledger
    limits: ContractLimits
    budget: RetryBudget
    decisions: Decisions
    near: PowerOfTwo
    affinity: PrefixAffinity
    request_seconds: float

    def check_current(self) -> None:
        """Raise StaleError if the configuration may be out of date."""
        if not self.freshness.is_current():
            raise StaleError('configuration may be out of date')

    def entries(self) -> int:
        """Return the number of entries that share the limits."""
        return max(1, len(self.directory.entries()))

    def order_links(self, offer: str, prefix: str) -> list[Link]:
        """Return the links that serve an offer, the best in front."""
        links = self.pool.serving(self.configuration.state, offer)
        views = self.pool.views(links)
        chooser: BalancingPolicy = self.affinity if prefix else self.near
        ordered: list[EndpointView] = chooser.order(views, prefix)
        return [links[view.instance] for view in ordered]

    def note_attempt(self, link: Link, *, failed: bool) -> None:
        """Count an attempt for outlier detection."""
        self.pool.outliers.record_attempt(link.instance.name, failed=failed)


def make_open(
    parts: EntryParts,
    request_id: str,
    caller: Caller,
    demand: Demand,
) -> peer_pb2.Open:
    """Return the part of an Open that is alike for all requests."""
    return peer_pb2.Open(
        request=request_id,
        customer=caller.customer,
        priority=demand.priority,
        deadline_ms=int(remaining_seconds(demand) * MS),
        offset=parts.configuration.offset,
        kind=demand.kind,
    )


def log_try(
    request_id: str,
    caller: Caller,
    link: Link,
    error: CourseError,
) -> None:
    """Log that one try of a request failed."""
    logger.bind(
        request=request_id,
        customer=caller.customer,
        endpoint=link.instance.name,
    ).info('try ended: {} {}', error.code, error.text)


def remaining_seconds(demand: Demand) -> float:
    """Return how long the caller still waits."""
    return max(0.0, demand.deadline - time.monotonic())


def list_passes(demand: Demand) -> Iterator[None]:
    """Yield once at once, then after growing waits within the deadline.

    An endpoint that reconnects or frees a place is found by a later pass.
    """
    yield
    for seconds in PASS_WAITS_SECONDS:
        pause = seconds * random.uniform(0.5, 1)
        if remaining_seconds(demand) <= pause:
            return
        time.sleep(pause)
        yield
