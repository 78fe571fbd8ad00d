"""Estimates of each version's answer quality from ratings."""

import math
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..contract.objects import WILDCARD, VersionBody
from ..streams.codec import Codec
from ..streams.follower import StreamState

STREAM: Final = 'quality'
#: Number of ratings that a version's published quality weighs as a prior.
PRIOR_WEIGHT: Final = 20.0
#: Standard errors between the mean and a bound: 95% one-sided.
BOUND_STANDARD_ERRORS: Final = 1.645
#: Decay constant: the weight of older ratings falls with each newer one by
#: about 1 / 400.
DECAY_RATINGS: Final = 400.0


class Ratings(NamedTuple):
    """Sums of ratings of one version for one kind of request."""

    version: str
    kind: str
    #: Number of ratings, their sum and the sum of their squares.
    number: float
    total: float
    squares: float


CODEC: Final = Codec(Ratings)


class Estimate(NamedTuple):
    """Mean quality with its one-sided confidence bounds."""

    mean: float
    lower: float
    upper: float


class QualityState(StreamState):
    """Ratings from all entries, summed with exponential decay."""

    def __init__(self) -> None:
        """Create a state without ratings."""
        self._sums: dict[tuple[str, str], Ratings] = {}

    def apply(self, item: Ratings) -> None:
        """Add the sums of some ratings, after decaying the older ones."""
        key = (item.version, item.kind)
        old = self._sums.get(key, Ratings(*key, 0, 0, 0))
        decay = DECAY_RATINGS / (DECAY_RATINGS + item.number)
        self._sums[key] = Ratings(
            *key,
            old.number * decay + item.number,
            old.total * decay + item.total,
            old.squares * decay + item.squares,
        )

    def find_sums(self, version: str, kind: str) -> Ratings:
        """Return the sums for one version and kind, zeros if there are none."""
        key = (version, kind)
        return self._sums.get(key, Ratings(*key, 0, 0, 0))

    def list_kinds(self, version: str) -> list[str]:
        """Return the kinds of request for which a version has ratings."""
        return sorted(kind for name, kind in self._sums if name == version)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {'sums': [list(sums) for sums in self._sums.values()]}

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with one that dump() returned."""
        loaded = [Ratings(*row) for row in dump['sums']]
        self._sums = {(sums.version, sums.kind): sums for sums in loaded}

    def estimate(
        self,
        version: str,
        kind: str,
        body: VersionBody,
    ) -> Estimate:
        """Return the estimate from the ratings and the published quality.

        Without ratings both bounds equal the published quality.
        """
        published = get_published_quality(body, kind)
        sums = self.find_sums(version, kind)
        count = PRIOR_WEIGHT + sums.number
        mean = (PRIOR_WEIGHT * published + sums.total) / count
        if not sums.number:
            return Estimate(mean, mean, mean)
        mean_square = (PRIOR_WEIGHT * published**2 + sums.squares) / count
        error = math.sqrt(max(0.0, mean_square - mean**2) / count)
        margin = BOUND_STANDARD_ERRORS * error
        return Estimate(mean, mean - margin, mean + margin)


def get_published_quality(body: VersionBody, kind: str) -> float:
    """Return a version's published quality for a kind of request."""
    quality = body['quality']
    return quality.get(kind, quality.get(WILDCARD, 0.0))
