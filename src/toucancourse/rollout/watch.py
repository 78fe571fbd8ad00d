"""Finds a roll-out's target that is worse than its source."""

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
    QualityBook,
    Ratings,
    find_published,
)
from ..streams.follower import Follower

OPERATOR: Final = 'toucancourse'
#: Kind under which every try counts: 1 if it ended well, else 0.
OUTCOME_KIND: Final = '!outcome'
#: Ratings of the target below which nothing is concluded.
MIN_RATINGS: Final = 5
#: A smaller loss of quality is never held against the target.
MIN_LOSS: Final = 0.03
#: Ratings of the target -> standard errors that its loss must reach: Student's
#: t at 0.003% for one look, below 0.5% over a stage of 150 looks.
MIN_ERRORS: Final = (
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
#: Deviation of one rating assumed of the published quality.
PRIOR_DEVIATION: Final = 0.1
#: Smallest deviation of one rating that is believed.
MIN_DEVIATION: Final = 0.05


class Sample(NamedTuple):
    """Mean of some ratings and the square of its standard error."""

    number: float
    mean: float
    error_square: float


class Finding(NamedTuple):
    """How much worse a target is for one kind of work."""

    kind: str
    target: Sample
    source: Sample

    def is_bad(self) -> bool:
        """Return True if the target is worse beyond doubt."""
        loss = self.source.mean - self.target.mean
        error = math.sqrt(self.target.error_square + self.source.error_square)
        return (
            self.target.number >= MIN_RATINGS
            and loss >= MIN_LOSS
            and loss >= _find_errors(self.target.number) * error
        )


class RolloutWatch:
    """Holds or turns back a running roll-out whose target is bad."""

    def __init__(
        self,
        configuration: Configuration,
        follower: Follower[QualityBook],
        submit: Callable[[Change], Verdict],
    ) -> None:
        """Keep the parts; submit publishes a change."""
        self._configuration = configuration
        self._follower = follower
        self._submit = submit

    def check(self) -> None:
        """Look at all running roll-outs once."""
        state = self._configuration.state
        for model, body in state.iter_objects('rollout'):
            rollout = cast(RolloutBody, body)
            if rollout['state'] != 'running' or not rollout['percent']:
                continue
            with self._follower.lock:
                findings = list(
                    compare_versions(state, self._follower.state, rollout)
                )
            bad = [row for row in findings if row.is_bad()]
            if bad:
                self._stop(state, model, rollout, bad[0])

    def _stop(
        self,
        state: State,
        model: str,
        rollout: RolloutBody,
        finding: Finding,
    ) -> None:
        logger.warning(
            'version "{}" is worse than "{}" for kind "{}": {:.3f} against '
            '{:.3f}',
            rollout['target'],
            rollout['source'],
            finding.kind,
            finding.target.mean,
            finding.source.mean,
        )
        changed: dict[str, Any] = {**rollout, 'state': 'held'}
        if rollout['on_bad'] == 'back':
            changed.update(state='back', percent=0)
        name = f'rollout/{model}'
        self._submit(
            Change(
                str(uuid.uuid4()), name, state.revision(name), OPERATOR, changed
            )
        )


def compare_versions(
    state: State,
    book: QualityBook,
    rollout: RolloutBody,
) -> Iterator[Finding]:
    """Yield a finding for each kind of work that the target was rated on."""
    source = state.version(rollout['source'])
    if source is None:
        return
    for kind in book.kinds(rollout['target']):
        yield Finding(
            kind,
            _make_sample(book.sums(rollout['target'], kind)),
            _add_published(book.sums(rollout['source'], kind), source),
        )


def _find_errors(number: float) -> float:
    """Return the standard errors wanted at a number of ratings."""
    wanted = MIN_ERRORS[0][1]
    for least, errors in MIN_ERRORS:
        if number >= least:
            wanted = errors
    return wanted


def _make_sample(sums: Ratings) -> Sample:
    mean = sums.total / sums.number
    square = sums.squares / sums.number - mean**2
    variance = max(square, MIN_DEVIATION**2)
    return Sample(sums.number, mean, variance / sums.number)


def _add_published(sums: Ratings, body: VersionBody) -> Sample:
    """Return the source's ratings, helped out by its published quality."""
    published = 1.0
    if sums.kind != OUTCOME_KIND:
        published = find_published(body, sums.kind)
    squares = published**2 + PRIOR_DEVIATION**2
    return _make_sample(
        Ratings(
            sums.version,
            sums.kind,
            sums.number + PRIOR_WEIGHT,
            sums.total + PRIOR_WEIGHT * published,
            sums.squares + PRIOR_WEIGHT * squares,
        )
    )
