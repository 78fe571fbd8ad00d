"""Relative speed of endpoints, and how much each takes at a time.

Nothing is configured: both follow from predicted and seen response times.
"""

import math
import threading
import time
from typing import Final, NamedTuple

from .peerstates import NO_SLOWNESS, LocalState, Slowness, StateListener

#: Half-life of a sample: changes show within a few seconds, and an endpoint
#: that gets no request for being slow is tried again.
HALF_LIFE_SECONDS: Final = 3.0
#: Samples of usual speed that an average begins with.
PRIOR_SAMPLES: Final = 6.0
#: Bound of one sample, and of its inverse.
MAX_RATIO: Final = 8.0
_MAX_LOG: Final = math.log(MAX_RATIO)
_DECAY_PER_SECOND: Final = math.log(2) / HALF_LIFE_SECONDS
#: Weight below which reports of other entries are forgotten, in samples.
MIN_WEIGHT: Final = 0.01
#: Digits of a reported ratio.
REPORTED_DIGITS: Final = 2
#: Slowness from which an endpoint is logged as slow, and below which as usual.
SLOW_RATIO: Final = 2.0
USUAL_RATIO: Final = 1.4
#: Weight of the newest sample in the averages of a concurrency limit.
LIMIT_WEIGHT: Final = 0.1
#: Samples of both kinds from which a limit may change.
MIN_LIMIT_SAMPLES: Final = 5
#: Share of the limit from which an endpoint counts as busy.
BUSY_SHARE: Final = 0.5
#: Log ratios of busy over calm latency at which the limit falls or rises.
FALL_EXCESS: Final = 0.4
RISE_EXCESS: Final = 0.1
#: Factors by which it falls and rises with each sample.
FALL_FACTOR: Final = 0.93
RISE_FACTOR: Final = 1.03


class LogSum(NamedTuple):
    """Sum of log ratios that fades; the time is time.monotonic()."""

    log_sum: float
    #: Samples in it.
    weight: float
    at: float

    def fade(self, now: float) -> 'LogSum':
        """Return the sum as it counts at a later time."""
        share = math.exp(_DECAY_PER_SECOND * min(0.0, self.at - now))
        return LogSum(self.log_sum * share, self.weight * share, now)

    def add(self, log_sum: float, weight: float) -> 'LogSum':
        """Return the sum with samples added, or with negative ones removed."""
        rest = self.weight + weight
        if rest < MIN_WEIGHT:
            return NO_SUM
        return LogSum(self.log_sum + log_sum, rest, self.at)


NO_SUM: Final = LogSum(0.0, 0.0, 0.0)


def compute_ratio(own: LogSum, others: LogSum, now: float) -> float:
    """Return an endpoint's slowness by what this and other entries saw.

    It is 1 without samples, and above 1 if the endpoint is slow.
    """
    weight = PRIOR_SAMPLES
    log_sum = 0.0
    for each in (own, others):
        if each.weight:
            share = math.exp(_DECAY_PER_SECOND * min(0.0, each.at - now))
            weight += share * each.weight
            log_sum += share * each.log_sum
    return math.exp(log_sum / weight) if log_sum else 1.0


class EndpointSlowness:
    """Slowness of one incarnation, as this entry saw it."""

    def __init__(self) -> None:
        """Create it without samples."""
        self._lock = threading.Lock()
        self.total = NO_SUM
        self._is_slow = False

    def observe(self, ratio: float) -> None:
        """Add a sample: seen over usual seconds, above 0."""
        sample = max(-_MAX_LOG, min(_MAX_LOG, math.log(ratio)))
        now = time.monotonic()
        with self._lock:
            self.total = self.total.fade(now).add(sample, 1.0)

    def notice_change(self, ratio: float) -> bool | None:
        """Return True if the endpoint became slow, False if it no longer is.

        The ratio is its slowness by all entries. Returns None if the state
        stays as it is.
        """
        with self._lock:
            if self._is_slow:
                if ratio > USUAL_RATIO:
                    return None
            elif ratio < SLOW_RATIO:
                return None
            self._is_slow = not self._is_slow
            return self._is_slow

    def snapshot(self) -> Slowness:
        """Return what other entries are told; it changes with samples only."""
        total = self.total
        samples = round(total.weight)
        if not samples:
            return NO_SLOWNESS
        ratio = math.exp(total.log_sum / total.weight)
        return Slowness(round(ratio, REPORTED_DIGITS), samples)


class PeerSlowness(StateListener):
    """Slowness of endpoints by what other entries report.

    A report fades with its age like this entry's samples.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._lock = threading.Lock()
        #: Instance -> the stream that it reports on.
        self._streams: dict[str, object] = {}
        #: Instance -> endpoint's digest -> what it reported.
        self._reports: dict[str, dict[int, LogSum]] = {}
        #: Endpoint's digest -> sum over all reports.
        self.totals: dict[int, LogSum] = {}

    def update(self, instance: str, stream: object, state: LocalState) -> None:
        """Apply what changed at an entry, as it reported on a stream."""
        now = time.monotonic()
        with self._lock:
            if self._streams.get(instance) is not stream:
                self._remove(instance, now)
                self._streams[instance] = stream
            reported = self._reports.setdefault(instance, {})
            for digest, slowness in state.slowness.items():
                self._withdraw(reported, digest, now)
                if slowness.samples:
                    self._add(reported, digest, slowness, now)

    def drop(self, instance: str, stream: object) -> None:
        """Forget an entry whose stream ended, unless it opened another."""
        with self._lock:
            if self._streams.get(instance) is stream:
                self._remove(instance, time.monotonic())

    def _remove(self, instance: str, now: float) -> None:
        self._streams.pop(instance, None)
        reported = self._reports.pop(instance, {})
        for digest in tuple(reported):
            self._withdraw(reported, digest, now)

    def _withdraw(
        self, reported: dict[int, LogSum], digest: int, now: float
    ) -> None:
        known = reported.pop(digest, None)
        if known is None:
            return
        known = known.fade(now)
        total = self.totals.get(digest, NO_SUM).fade(now)
        rest = total.add(-known.log_sum, -known.weight)
        if rest is NO_SUM:
            self.totals.pop(digest, None)
        else:
            self.totals[digest] = rest

    def _add(
        self,
        reported: dict[int, LogSum],
        digest: int,
        slowness: Slowness,
        now: float,
    ) -> None:
        ratio = max(1 / MAX_RATIO, min(MAX_RATIO, slowness.ratio))
        log_sum = slowness.samples * math.log(ratio)
        reported[digest] = LogSum(log_sum, slowness.samples, now)
        total = self.totals.get(digest, NO_SUM).fade(now)
        self.totals[digest] = total.add(log_sum, slowness.samples)


class ConcurrencyLimit:
    """Requests that an endpoint takes at a time before latency rises.

    It begins at the endpoint's slots and is found by comparing the latency
    with many requests running to that with few.
    """

    def __init__(self, slots: int) -> None:
        """Begin at a number of slots; 0 if unknown, which is no limit."""
        self._most = float(slots) if slots > 0 else math.inf
        self.value = self._most
        #: Average log of seen over predicted latency, and samples, while the
        #: endpoint is calm and while it is busy.
        self._calm = 0.0
        self._busy = 0.0
        self._calm_samples = 0
        self._busy_samples = 0

    def find_crowding(self, running: float) -> float:
        """Return the factor by which a further request takes longer."""
        return max(1.0, (running + 1) / self.value)

    def observe(self, running: float, ratio: float) -> None:
        """Add a sample: requests that ran, and seen over predicted seconds."""
        sample = max(-_MAX_LOG, min(_MAX_LOG, math.log(ratio)))
        if running + 1 <= BUSY_SHARE * self.value:
            self._calm += LIMIT_WEIGHT * (sample - self._calm)
            self._calm_samples += 1
            return
        self._busy += LIMIT_WEIGHT * (sample - self._busy)
        self._busy_samples += 1
        if min(self._calm_samples, self._busy_samples) < MIN_LIMIT_SAMPLES:
            return
        excess = self._busy - self._calm
        if excess > FALL_EXCESS:
            self.value = max(1.0, self.value * FALL_FACTOR)
        elif excess < RISE_EXCESS:
            self.value = min(self._most, self.value * RISE_FACTOR)
