"""Estimates of how good each version's answers are."""

import math
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..contract.objects import WILDCARD, VersionBody
from ..streams.codec import Codec
from ..streams.follower import StreamState

STREAM: Final = 'quality'
#: Ratings that the published quality of a version counts as.
PRIOR_WEIGHT: Final = 20.0
#: Standard errors between mean and bound: 95% one-sided.
BOUND_ERRORS: Final = 1.645
#: Ratings older than this many newer ones fade out.
MEMORY: Final = 400.0


class Ratings(NamedTuple):
    """Sums of ratings of one version for one kind of work."""

    version: str
    kind: str
    number: float
    total: float
    squares: float


CODEC: Final = Codec(Ratings)


class Estimate(NamedTuple):
    """Mean quality with its one-sided bounds."""

    mean: float
    lower: float
    upper: float


class QualityBook(StreamState):
    """Ratings of all entries, summed with decay."""

    def __init__(self) -> None:
        """Start with no ratings."""
        self._sums: dict[tuple[str, str], Ratings] = {}

    def apply(self, item: Ratings) -> None:
        """Fold one sum of ratings."""
        key = (item.version, item.kind)
        old = self._sums.get(key, Ratings(*key, 0, 0, 0))
        keep = MEMORY / (MEMORY + item.number)
        self._sums[key] = Ratings(
            *key,
            old.number * keep + item.number,
            old.total * keep + item.total,
            old.squares * keep + item.squares,
        )

    def sums(self, version: str, kind: str) -> Ratings:
        """Return the sums for one version and kind."""
        key = (version, kind)
        return self._sums.get(key, Ratings(*key, 0, 0, 0))

    def kinds(self, version: str) -> list[str]:
        """Return the kinds of work that a version was rated on."""
        return sorted(kind for name, kind in self._sums if name == version)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {'sums': [list(row) for row in self._sums.values()]}

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""
        rows = [Ratings(*row) for row in dump['sums']]
        self._sums = {(row.version, row.kind): row for row in rows}

    def estimate(
        self,
        version: str,
        kind: str,
        body: VersionBody,
    ) -> Estimate:
        """Return the estimate from the published quality and the ratings."""
        published = find_published(body, kind)
        sums = self.sums(version, kind)
        count = PRIOR_WEIGHT + sums.number
        mean = (PRIOR_WEIGHT * published + sums.total) / count
        if not sums.number:
            return Estimate(mean, mean, mean)
        square = (PRIOR_WEIGHT * published**2 + sums.squares) / count
        spread = math.sqrt(max(0.0, square - mean**2) / count)
        margin = BOUND_ERRORS * spread
        return Estimate(mean, mean - margin, mean + margin)


def find_published(body: VersionBody, kind: str) -> float:
    """Return a version's published quality for a kind of work."""
    quality = body['quality']
    return quality.get(kind, quality.get(WILDCARD, 0.0))
