"""Choice of an endpoint among those that serve a version."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final, NamedTuple

from ..membership.directory import rank

#: Prompts from this size on go where their prefix was served before.
AFFINITY_BYTES: Final = 2000
#: Load above the mean at which affinity gives way.
AFFINITY_SLACK: Final = 1.25
#: Recent share of failures from which on an endpoint is tried last.
MAX_FAILING: Final = 0.5


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
    """The less loaded of two drawn at random, own zone first."""

    def __init__(self, zone: str) -> None:
        """Keep the entry's zone."""
        self._zone = zone

    def order(self, views: Sequence[View], prefix: str) -> list[View]:
        """Return the endpoints in the order of trial."""
        drawn = random.sample(list(views), len(views))
        near = [view for view in drawn if view.zone == self._zone]
        far = [view for view in drawn if view.zone != self._zone]
        ordered = _swap_first(near) + _swap_first(far)
        free = [view for view in ordered if _has_room(view)]
        full = [view for view in ordered if not _has_room(view)]
        return free + sorted(full, key=View.pressure)


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
        for name in rank(prefix, by_name):
            view = by_name[name]
            if _has_room(view) and view.pressure() <= mean * AFFINITY_SLACK:
                rest.remove(view)
                return [view, *rest]
        return rest


def _swap_first(views: list[View]) -> list[View]:
    if len(views) > 1 and views[1].pressure() < views[0].pressure():
        views[0], views[1] = views[1], views[0]
    return views


def _has_room(view: View) -> bool:
    return view.running < view.window and view.failing < MAX_FAILING


class Outliers:
    """Failure rates of endpoints, forgetting old ones."""

    #: Weight of the newest attempt.
    _step: Final = 0.2

    def __init__(self) -> None:
        """Start with no failures."""
        self._failing: dict[str, float] = {}

    def note(self, instance: str, *, failed: bool) -> None:
        """Count an attempt."""
        old = self._failing.get(instance, 0.0)
        self._failing[instance] = old + self._step * (failed - old)

    def failing(self, instance: str) -> float:
        """Return the recent share of failures."""
        return self._failing.get(instance, 0.0)
