"""Whether a version answers worse than the one that it replaces."""

import math
import threading
from collections import defaultdict
from typing import Final, NamedTuple

#: Standard errors by which the new version's share of bad answers must lie
#: above the old one's: one-sided 0.1%, looked at after each answer.
WANTED_ERRORS: Final = 3.1
#: Bad answers below which nothing is concluded.
MIN_BAD: Final = 4
#: Least difference of the shares that is held against a version.
MIN_DIFFERENCE: Final = 0.12
#: Answers below which a version is not called good.
MIN_ANSWERS: Final = 8
#: Share of bad answers that is assumed of any version.
PRIOR_SHARE: Final = 0.01
PRIOR_ANSWERS: Final = 10.0
#: Least usual time in seconds, below which ratios are noise.
MIN_USUAL: Final = 0.1
USUAL_STEP: Final = 0.1


class Work(NamedTuple):
    """What makes two answers comparable in time."""

    route: str
    model: str
    #: Binary digits of the prompt tokens that the endpoint had to read.
    size: int


class Count(NamedTuple):
    """Answers of one version."""

    answers: float = 0
    bad: float = 0

    def find_share(self) -> float:
        """Return the share of bad answers, of at least one answer."""
        return self.bad / self.answers


class Evidence:
    """Answers by version of one service, as this entry saw them."""

    def __init__(self) -> None:
        """Start with none."""
        self._lock = threading.Lock()
        self._counts: dict[str, Count] = defaultdict(Count)
        #: Usual time to an answer, in seconds.
        self._usual: dict[Work, float] = {}

    def note_failure(self, version: str) -> None:
        """Count an answer that failed."""
        self._add(version, is_bad=True)

    def note_answer(
        self,
        version: str,
        work: Work,
        seconds: float,
        slow_ratio: float | None,
    ) -> None:
        """Count an answer and its time.

        A version that is tried is bad if it takes slow_ratio times as long
        as usual; the others, with None, make up what is usual.
        """
        usual = self._usual.get(work)
        is_slow = False
        if slow_ratio is not None and usual is not None:
            is_slow = seconds > slow_ratio * max(MIN_USUAL, usual)
        if slow_ratio is None:
            if usual is None:
                usual = seconds
            self._usual[work] = usual + USUAL_STEP * (seconds - usual)
        self._add(version, is_bad=is_slow)

    def count(self, version: str) -> Count:
        """Return the answers of a version."""
        return self._counts.get(version, Count())

    def is_bad(self, version: str) -> bool:
        """Return True if a version is worse than the others beyond doubt."""
        new = self.count(version)
        if new.bad < MIN_BAD:
            return False
        old = self._count_others(version)
        difference = new.find_share() - old.find_share()
        answers = new.answers + old.answers
        pooled = (new.bad + old.bad) / answers
        error = math.sqrt(
            pooled * (1 - pooled) * (1 / new.answers + 1 / old.answers)
        )
        return (
            difference >= MIN_DIFFERENCE and difference >= WANTED_ERRORS * error
        )

    def is_good(self, version: str) -> bool:
        """Return True if a version was seen enough and seems as good.

        One that seems worse may still not be worse beyond doubt; it stays on
        trial, since all entries move to a version that one finds good.
        """
        new = self.count(version)
        if new.answers < MIN_ANSWERS or self.is_bad(version):
            return False
        old = self._count_others(version)
        return new.find_share() - old.find_share() < MIN_DIFFERENCE

    def _count_others(self, version: str) -> Count:
        """Return the answers of all other versions, and those assumed."""
        with self._lock:
            others = [
                count for name, count in self._counts.items() if name != version
            ]
        return Count(
            PRIOR_ANSWERS + sum(row.answers for row in others),
            PRIOR_ANSWERS * PRIOR_SHARE + sum(row.bad for row in others),
        )

    def _add(self, version: str, *, is_bad: bool) -> None:
        with self._lock:
            old = self._counts[version]
            self._counts[version] = Count(old.answers + 1, old.bad + is_bad)
