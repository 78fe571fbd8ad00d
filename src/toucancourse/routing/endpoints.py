"""Choice of an endpoint among those that serve a version."""

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final, NamedTuple

from ..membership.directory import rank_by_hash

#: Prompts from this size on go where their prefix was served before.
AFFINITY_BYTES: Final = 2000
#: Load above the mean at which affinity gives way.
AFFINITY_SLACK: Final = 1.25
#: Recent share of failures from which on an endpoint is tried last.
MAX_FAILING: Final = 0.5
#: Pressure up to which the own zone is preferred.
IDLE_PRESSURE: Final = 0.5


class View(NamedTuple):
    """What an entry knows of one endpoint."""

    instance: str
    zone: str
    #: Requests at the endpoint: its lagging report or our own count.
    running: int
    window: int
    #: Failures among the last attempts, in [0, 1].
    failing: float

    def pressure(self) -> float:
        """Return requests for each place that the endpoint offers."""
        return (self.running + 1) / max(1, self.window)


class Chooser(ABC):
    """Orders endpoints for one request."""

    @abstractmethod
    def order(self, views: Sequence[View], prefix: str) -> list[View]:
        """Return the endpoints, the one to try first in front."""


class PowerOfTwo(Chooser):
    """The less loaded of two drawn at random, own zone first while idle.

    A hop to another zone costs a millisecond or two and a queue hundreds, so
    the own zone counts only for endpoints that have much room. A full
    endpoint goes before one that fails: it will answer.
    """

    def __init__(self, zone: str) -> None:
        """Keep the entry's zone."""
        self._zone = zone

    def order(self, views: Sequence[View], prefix: str) -> list[View]:
        """Return the endpoints in the order of trial."""
        drawn = random.sample(list(views), len(views))
        sound = [view for view in drawn if view.failing < MAX_FAILING]
        failing = [view for view in drawn if view.failing >= MAX_FAILING]
        free = [view for view in sound if _has_room(view)]
        full = [view for view in sound if not _has_room(view)]
        return [
            *self._order_free(free),
            *sorted(full, key=View.pressure),
            *sorted(failing, key=lambda view: view.failing),
        ]

    def _order_free(self, free: list[View]) -> list[View]:
        near = [view for view in free if self._is_idle_near(view)]
        two = (near or free)[:2]
        rest = [view for view in free if view not in two]
        return [
            *sorted(two, key=View.pressure),
            *sorted(rest, key=View.pressure),
        ]

    def _is_idle_near(self, view: View) -> bool:
        return view.zone == self._zone and view.pressure() <= IDLE_PRESSURE


class PrefixAffinity(Chooser):
    """The endpoint that served a prefix before, unless it is loaded."""

    def __init__(self, fallback: Chooser) -> None:
        """Keep the chooser for the rest of the order."""
        self._fallback = fallback

    def order(self, views: Sequence[View], prefix: str) -> list[View]:
        """Return the endpoints in the order of trial."""
        rest = self._fallback.order(views, prefix)
        if not prefix or not views:
            return rest
        by_name = {view.instance: view for view in views}
        mean = sum(view.pressure() for view in views) / len(views)
        for name in rank_by_hash(prefix, by_name):
            view = by_name[name]
            if _has_room(view) and view.pressure() <= mean * AFFINITY_SLACK:
                rest.remove(view)
                return [view, *rest]
        return rest


def _has_room(view: View) -> bool:
    return view.running < view.window


class _Failing(NamedTuple):
    """Share of failures at a time of time.monotonic()."""

    share: float
    moment: float


class Outliers:
    """Recent failure rates of endpoints; they fade, so each is tried again."""

    #: Weight of the newest attempt: two failures in a row pass MAX_FAILING.
    _step: Final = 0.3
    _half_life_seconds: Final = 5.0

    def __init__(self) -> None:
        """Start with no failures."""
        self._failing: dict[str, _Failing] = {}

    def note(self, instance: str, *, failed: bool) -> None:
        """Count an attempt."""
        old = self.failing(instance)
        share = old + self._step * (failed - old)
        self._failing[instance] = _Failing(share, time.monotonic())

    def failing(self, instance: str) -> float:
        """Return the recent share of failures."""
        found = self._failing.get(instance)
        if found is None:
            return 0.0
        age = time.monotonic() - found.moment
        return float(found.share * 0.5 ** (age / self._half_life_seconds))
