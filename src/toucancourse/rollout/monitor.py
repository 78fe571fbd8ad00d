"""Canary analysis of roll-outs by ratings of the target and the source."""

import math
import uuid
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, cast

from loguru import logger

from ..contract.objects import RolloutBody, VersionBody
from ..contract.records import Change
from ..contract.replay import Verdict
from ..contract.state import State
from ..membership.configuration import Configuration
from ..routing.quality import (
    PRIOR_WEIGHT,
    QualityState,
    Ratings,
    get_published_quality,
)
from ..streams.follower import Follower

#: Operator name in the changes that the monitor publishes.
CHANGE_OPERATOR: Final = 'toucancourse'
#: Kind under which every attempt is rated: 1 if it succeeded, else 0.
OUTCOME_KIND: Final = '!outcome'
#: Fewest ratings of the target for a conclusion.
MIN_RATINGS: Final = 5
#: Smallest loss of mean rating that counts as a regression.
MIN_QUALITY_LOSS: Final = 0.03
#: Ratings of the target -> standard errors that its loss must reach. They are
#: quantiles of Student's t distribution at a false positive rate of 0.003% for
#: one check, which is below 0.5% over a stage of 150 checks.
MIN_STANDARD_ERRORS: Final = (
    (5, 17.5),
    (6, 12.3),
    (7, 9.9),
    (8, 8.5),
    (9, 7.6),
    (10, 7.0),
    (12, 6.3),
    (16, 5.5),
    (21, 5.1),
    (31, 4.7),
    (61, 4.3),
    (200, 4.1),
)
#: Standard deviation of one rating that the published quality stands for.
PRIOR_STANDARD_DEVIATION: Final = 0.1
#: Lower limit for the standard deviation of one rating, since a few equal
#: ratings would show none.
MIN_STANDARD_DEVIATION: Final = 0.05


class Sample(NamedTuple):
    """Mean of some ratings and the square of its standard error."""

    number: float
    mean: float
    squared_error: float


class Comparison(NamedTuple):
    """Ratings of target and source for one kind of request."""

    kind: str
    target: Sample
    source: Sample

    def is_regression(self) -> bool:
        """Return True if the target is worse with statistical significance."""
        loss = self.source.mean - self.target.mean
        error = math.sqrt(self.target.squared_error + self.source.squared_error)
        return (
            self.target.number >= MIN_RATINGS
            and loss >= MIN_QUALITY_LOSS
            and loss >= _find_min_errors(self.target.number) * error
        )


class RolloutMonitor:
    """Holds or rolls back a running roll-out whose target is a regression."""

    def __init__(
        self,
        configuration: Configuration,
        follower: Follower[QualityState],
        submit: Callable[[Change], Verdict],
    ) -> None:
        """Create a monitor; `submit` publishes a change."""
        self._configuration = configuration
        self._follower = follower
        self._submit = submit

    def check(self) -> None:
        """Check all running roll-outs once."""
        state = self._configuration.state
        for model, body in state.iter_objects('rollout'):
            rollout = cast(RolloutBody, body)
            if rollout['state'] != 'running' or not rollout['percent']:
                continue
            with self._follower.lock:
                comparisons = list(
                    compare_versions(state, self._follower.state, rollout)
                )
            regressions = [
                comparison
                for comparison in comparisons
                if comparison.is_regression()
            ]
            if regressions:
                self._stop_rollout(state, model, rollout, regressions[0])

    def _stop_rollout(
        self,
        state: State,
        model: str,
        rollout: RolloutBody,
        comparison: Comparison,
    ) -> None:
        logger.warning(
            'version "{}" is rated worse than "{}" for kind "{}": {:.3f} '
            'instead of {:.3f}',
            rollout['target'],
            rollout['source'],
            comparison.kind,
            comparison.target.mean,
            comparison.source.mean,
        )
        new_body: dict[str, Any] = {**rollout, 'state': 'held'}
        if rollout['on_bad'] == 'back':
            new_body.update(state='back', percent=0)
        name = f'rollout/{model}'
        self._submit(
            Change(
                str(uuid.uuid4()),
                name,
                state.revision(name),
                CHANGE_OPERATOR,
                new_body,
            )
        )


def compare_versions(
    state: State,
    quality: QualityState,
    rollout: RolloutBody,
) -> Iterator[Comparison]:
    """Yield one comparison for each request kind with target ratings."""
    source = state.version(rollout['source'])
    if source is None:
        return
    for kind in quality.list_kinds(rollout['target']):
        yield Comparison(
            kind,
            _make_sample(quality.find_sums(rollout['target'], kind)),
            _add_prior(quality.find_sums(rollout['source'], kind), source),
        )


def _find_min_errors(number: float) -> float:
    """Return the standard errors required at a number of ratings."""
    required = MIN_STANDARD_ERRORS[0][1]
    for min_number, errors in MIN_STANDARD_ERRORS:
        if number >= min_number:
            required = errors
    return required


def _make_sample(sums: Ratings) -> Sample:
    mean = sums.total / sums.number
    sample_variance = sums.squares / sums.number - mean**2
    variance = max(sample_variance, MIN_STANDARD_DEVIATION**2)
    return Sample(sums.number, mean, variance / sums.number)


def _add_prior(sums: Ratings, body: VersionBody) -> Sample:
    """Return the source's ratings with its published quality as a prior.

    The published quality of outcomes is 1.
    """
    published = 1.0
    if sums.kind != OUTCOME_KIND:
        published = get_published_quality(body, sums.kind)
    square = published**2 + PRIOR_STANDARD_DEVIATION**2
    return _make_sample(
        Ratings(
            sums.version,
            sums.kind,
            sums.number + PRIOR_WEIGHT,
            sums.total + PRIOR_WEIGHT * published,
            sums.squares + PRIOR_WEIGHT * square,
        )
    )
