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
#: Pause between two different reports of an endpoint, in seconds: each one
#: takes processor time at all other entries.
REPORT_SECONDS: Final = 1.0
#: Digits of a reported ratio.
REPORTED_DIGITS: Final = 2
#: Slowness from which an endpoint is logged as slow, and below which as usual.
SLOW_RATIO: Final = 2.0
USUAL_RATIO: Final = 1.4
#: Time constant of the latency at one number of running requests, in seconds.
LEVEL_SECONDS: Final = 20.0
#: Samples from which it counts.
MIN_LEVEL_SAMPLES: Final = 4.0
#: Factor between the numbers of running requests that are told apart.
LEVEL_FACTOR: Final = 1.5
#: Log of the factor by which latency must have risen at the limit.
RISE: Final = 0.4


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
        self._reported = NO_SLOWNESS
        self._reported_at = 0.0

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
        """Return what other entries are told.

        It changes with samples only, and at most once a second from the first
        one on.
        """
        now = time.monotonic()
        if self._reported.samples and now - self._reported_at < REPORT_SECONDS:
            return self._reported
        total = self.total
        samples = round(total.weight)
        if samples:
            ratio = math.exp(total.log_sum / total.weight)
            self._reported = Slowness(round(ratio, REPORTED_DIGITS), samples)
            self._reported_at = now
        return self._reported


class _Report(NamedTuple):
    slowness: Slowness
    #: What it adds to the endpoint's sum.
    part: LogSum


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
        self._reports: dict[str, dict[int, _Report]] = {}
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
                known = reported.get(digest)
                if known is not None and known.slowness == slowness:
                    continue
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
        self, reported: dict[int, _Report], digest: int, now: float
    ) -> None:
        known = reported.pop(digest, None)
        if known is None:
            return
        part = known.part.fade(now)
        total = self.totals.get(digest, NO_SUM).fade(now)
        rest = total.add(-part.log_sum, -part.weight)
        if rest is NO_SUM:
            self.totals.pop(digest, None)
        else:
            self.totals[digest] = rest

    def _add(
        self,
        reported: dict[int, _Report],
        digest: int,
        slowness: Slowness,
        now: float,
    ) -> None:
        ratio = max(1 / MAX_RATIO, min(MAX_RATIO, slowness.ratio))
        log_sum = slowness.samples * math.log(ratio)
        part = LogSum(log_sum, slowness.samples, now)
        reported[digest] = _Report(slowness, part)
        total = self.totals.get(digest, NO_SUM).fade(now)
        self.totals[digest] = total.add(log_sum, slowness.samples)


class _Level:
    """Latency at one endpoint while about as many requests run."""

    def __init__(self) -> None:
        """Create it without samples."""
        self.log_mean = 0.0
        self.weight = 0.0
        self._updated_at = 0.0

    def observe(self, sample: float) -> None:
        """Add the log of seen over usual seconds."""
        now = time.monotonic()
        age = now - self._updated_at
        self.weight *= math.exp(-age / LEVEL_SECONDS)
        self.weight += 1
        self.log_mean += (sample - self.log_mean) / self.weight
        self._updated_at = now

    def is_known(self, now: float) -> bool:
        """Return True if there are enough samples at a time.monotonic()."""
        share = math.exp((self._updated_at - now) / LEVEL_SECONDS)
        return self.weight * share >= MIN_LEVEL_SAMPLES


class ConcurrencyLimit:
    """Requests that an endpoint takes at a time before latency rises.

    It is at most the endpoint's slots. Latency is averaged by how many
    requests run; the limit is where it is much longer than with few. Without
    new samples beyond it, the limit is forgotten and found again.
    """

    def __init__(self, slots: int) -> None:
        """Begin at a number of slots; 0 if unknown, which is no limit."""
        self._lock = threading.Lock()
        self._most = float(slots) if slots > 0 else math.inf
        self.value = self._most
        #: From few running requests to many.
        self._levels: dict[int, _Level] = {}

    def find_crowding(self, running: float) -> float:
        """Return the factor by which a further request takes longer."""
        return max(1.0, (running + 1) / self.value)

    def observe(self, running: float, ratio: float) -> None:
        """Add a sample: requests that ran, and seen over usual seconds."""
        sample = max(-_MAX_LOG, min(_MAX_LOG, math.log(ratio)))
        number = int(math.log(running + 1, LEVEL_FACTOR))
        with self._lock:
            self._levels.setdefault(number, _Level()).observe(sample)
            self.value = self._find_limit()

    def _find_limit(self) -> float:
        now = time.monotonic()
        calm = None
        for number in sorted(self._levels):
            level = self._levels[number]
            if not level.is_known(now):
                continue
            if calm is None:
                calm = level.log_mean
            elif level.log_mean - calm > RISE:
                return max(1.0, min(self._most, LEVEL_FACTOR**number))
        return self._most
