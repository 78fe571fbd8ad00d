"""Statistical comparison of a canary version with its baseline."""

import math
import operator
import threading
from collections import defaultdict
from typing import Final, NamedTuple

#: Standard errors by which the canary's share of bad responses must exceed
#: the baseline's: one-sided 0.1%, tested after each response.
MIN_STANDARD_ERRORS: Final = 3.1
#: Fewer bad responses than this never make a version bad.
MIN_BAD_RESPONSES: Final = 4
#: Least difference of the shares at which a version counts as worse.
MIN_DIFFERENCE: Final = 0.12
#: Fewer responses than this never make a version good.
MIN_RESPONSES: Final = 8
#: Prior of the baseline: share of bad responses, and weight in responses.
PRIOR_SHARE: Final = 0.01
PRIOR_RESPONSES: Final = 10.0
#: Lower bounds of the baseline latency and of the baseline's pause between
#: events, in seconds: below them, ratios are noise.
MIN_BASELINE_SECONDS: Final = 0.1
MIN_BASELINE_PAUSE_SECONDS: Final = 0.01
#: Weight of the newest response in the baseline latency.
BASELINE_WEIGHT: Final = 0.1


#: In place of the token bits: pauses between events, which do not depend on
#: cached prompts.
PACE: Final = -1


class LatencyClass(NamedTuple):
    """Requests whose latencies are comparable."""

    route: str
    model: str
    #: Bit length of the number of uncached prompt tokens, or PACE.
    token_bits: int


class Count(NamedTuple):
    """Numbers of responses of one or more versions.

    Failures and slow responses are compared apart: under load many responses
    of both versions are slow, which would hide failures of one of them.
    """

    answers: float = 0
    #: Failed ones among the answers.
    bad: float = 0
    #: Response times and pauses that were measured.
    timed: float = 0
    #: Slow ones among the timed.
    slow: float = 0

    def add(self, other: 'Count') -> 'Count':
        """Return the sums of both."""
        return Count(*map(operator.add, self, other))

    def find_failures(self) -> 'Sample':
        """Return the failures among the answers."""
        return Sample(self.answers, self.bad)

    def find_slow(self) -> 'Sample':
        """Return the slow ones among the measured times."""
        return Sample(self.timed, self.slow)


class Sample(NamedTuple):
    """Observations of one kind, and the bad ones among them."""

    size: float
    bad: float

    def find_excess(self, baseline: 'Sample') -> float:
        """Return by how much the share of bad ones exceeds the baseline's."""
        if not self.size:
            return 0.0
        return self.bad / self.size - baseline.bad / baseline.size

    def is_worse(self, baseline: 'Sample') -> bool:
        """Return True if the share is significantly above the baseline's."""
        if self.bad < MIN_BAD_RESPONSES:
            return False
        pooled = (self.bad + baseline.bad) / (self.size + baseline.size)
        error = math.sqrt(
            pooled * (1 - pooled) * (1 / self.size + 1 / baseline.size)
        )
        return self.find_excess(baseline) >= max(
            MIN_DIFFERENCE, MIN_STANDARD_ERRORS * error
        )


class CanaryReport(NamedTuple):
    """What one entry observed in a roll-out."""

    target: str
    canary: Count
    #: Responses of all other versions.
    baseline: Count


class CanaryAnalysis:
    """Responses of a service's versions, as all entries observed them.

    One entry sees too few responses of a canary to tell a bad version early.
    """

    def __init__(self) -> None:
        """Create an analysis without responses."""
        self._lock = threading.Lock()
        self._counts: dict[str, Count] = defaultdict(Count)
        #: Instance of another entry -> its newest report.
        self._reports: dict[str, CanaryReport] = {}
        #: Moving average of the baseline latency, in seconds.
        self._baseline_seconds: dict[LatencyClass, float] = {}

    def record_failure(self, version: str) -> None:
        """Count a failed response."""
        self._add(version, Count(answers=1, bad=1))

    def record_response(
        self,
        version: str,
        latency_class: LatencyClass,
        seconds: float,
        slow_ratio: float,
        *,
        is_canary: bool,
    ) -> None:
        """Count a response and its latency.

        A response, also one of the baseline, is bad if it takes more than
        slow_ratio times the baseline latency. Those of the baseline update
        that latency.
        """
        known = self._baseline_seconds.get(latency_class)
        baseline = seconds if known is None else known
        least = MIN_BASELINE_SECONDS
        if latency_class.token_bits == PACE:
            least = MIN_BASELINE_PAUSE_SECONDS
        is_slow = known is not None and (
            seconds > slow_ratio * max(least, baseline)
        )
        if not is_canary:
            self._baseline_seconds[latency_class] = (
                baseline + BASELINE_WEIGHT * (seconds - baseline)
            )
        is_answer = latency_class.token_bits != PACE
        self._add(version, Count(is_answer, 0, 1, is_slow))

    def apply_report(self, instance: str, report: CanaryReport) -> None:
        """Replace what another entry observed."""
        with self._lock:
            self._reports[instance] = report

    def make_report(self, target: str) -> CanaryReport:
        """Return what this entry observed of a version and all others."""
        with self._lock:
            counts = dict(self._counts)
        canary = counts.pop(target, Count())
        baseline = Count()
        for count in counts.values():
            baseline = baseline.add(count)
        return CanaryReport(target, canary, baseline)

    def count(self, version: str) -> Count:
        """Return the numbers of responses of a version."""
        return self._pool(version).canary

    def is_bad(self, version: str) -> bool:
        """Return True if a version is significantly worse than the others."""
        _, canary, baseline = self._pool(version)
        return canary.find_failures().is_worse(
            baseline.find_failures()
        ) or canary.find_slow().is_worse(baseline.find_slow())

    def is_good(self, version: str) -> bool:
        """Return True if a version has enough responses and isn't worse.

        A version that is worse, but not significantly, is neither bad nor
        good and stays a canary, since all entries shift traffic to a version
        that one of them finds good.
        """
        _, canary, baseline = self._pool(version)
        if canary.answers < MIN_RESPONSES or self.is_bad(version):
            return False
        excess = max(
            canary.find_failures().find_excess(baseline.find_failures()),
            canary.find_slow().find_excess(baseline.find_slow()),
        )
        return excess < MIN_DIFFERENCE

    def _pool(self, version: str) -> CanaryReport:
        """Return the sums over all entries, with the baseline's prior."""
        own = self.make_report(version)
        canary = own.canary
        baseline = own.baseline.add(
            Count(
                PRIOR_RESPONSES,
                PRIOR_RESPONSES * PRIOR_SHARE,
                PRIOR_RESPONSES,
                PRIOR_RESPONSES * PRIOR_SHARE,
            )
        )
        with self._lock:
            reports = tuple(self._reports.values())
        for report in reports:
            if report.target == version:
                canary = canary.add(report.canary)
                baseline = baseline.add(report.baseline)
        return CanaryReport(version, canary, baseline)

    def _add(self, version: str, observed: Count) -> None:
        with self._lock:
            self._counts[version] = self._counts[version].add(observed)
