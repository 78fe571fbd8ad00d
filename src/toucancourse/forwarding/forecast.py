"""Usual service times, learnt from predicted and seen ones."""

import math
import threading
from typing import Final, NamedTuple

from .endpoints import Endpoint

#: Weight of the newest sample; the first ones weigh more.
LEARNING_WEIGHT: Final = 0.15
#: Bound of one sample's log of seen over predicted seconds.
MAX_LOG_RATIO: Final = 1.0
#: Number of first samples, and their bound: coefficients are far off yet.
FIRST_SAMPLES: Final = 20
MAX_FIRST_LOG_RATIO: Final = 2.0
#: Factor within which a coefficient may differ from its first value.
MAX_CHANGE: Final = 50.0
#: Seconds that are assumed until something was seen: to a response, for each
#: prompt token, for each running request, and between two events.
FIRST_LATENCY_SECONDS: Final = 0.02
FIRST_TOKEN_SECONDS: Final = 1.3e-5
FIRST_RUNNING_SECONDS: Final = 0.005
FIRST_PAUSE_SECONDS: Final = 0.03
#: Share of queued prefill that is assumed to fall between two events.
FIRST_PAUSE_SHARE: Final = 0.1
#: Seconds below which no time is measured.
MIN_SECONDS: Final = 0.0005


class Demand(NamedTuple):
    """What the time to a response or first event depends on."""

    #: Prompt tokens to prefill.
    tokens: int
    #: Prefill queued before it, in seconds.
    queued_seconds: float
    #: Requests in flight at the endpoint.
    running: float


class Coefficients(NamedTuple):
    """Seconds that each part of a demand adds."""

    constant: float
    token: float
    queued_second: float
    running: float


#: Before anything was seen: of the time to a response or first event, and of
#: the pause between two events.
FIRST_LATENCY: Final = Coefficients(
    FIRST_LATENCY_SECONDS, FIRST_TOKEN_SECONDS, 1.0, FIRST_RUNNING_SECONDS
)
FIRST_PAUSE: Final = Coefficients(
    FIRST_PAUSE_SECONDS, 0, FIRST_PAUSE_SHARE, FIRST_RUNNING_SECONDS
)


class LearntSum:
    """Weighted sum of terms whose weights follow what is seen.

    A sample changes each weight by the share that its term had in the
    prediction. Logs of ratios are averaged, so the median is met and single
    long waits count little.
    """

    def __init__(self, first: Coefficients) -> None:
        """Begin with some coefficients; those of 0 stay."""
        self._lock = threading.Lock()
        self._first = first
        self.coefficients = first
        self._samples = 0

    def predict(self, demand: Demand) -> float:
        """Return the predicted seconds at an endpoint of usual speed."""
        constant, token, queued_second, running = self.coefficients
        return (
            constant
            + token * demand.tokens
            + queued_second * demand.queued_seconds
            + running * demand.running
        )

    def observe(self, demand: Demand, ratio: float) -> None:
        """Add a sample: a demand, and seen over predicted seconds."""
        with self._lock:
            self._samples += 1
            bound = MAX_LOG_RATIO
            if self._samples <= FIRST_SAMPLES:
                bound = MAX_FIRST_LOG_RATIO
            step = max(-bound, min(bound, math.log(ratio)))
            step *= max(LEARNING_WEIGHT, 2 / (self._samples + 3))
            step /= self.predict(demand)
            terms = (1.0, *demand)
            self.coefficients = Coefficients._make(
                max(
                    first / MAX_CHANGE,
                    min(
                        first * MAX_CHANGE,
                        known * math.exp(step * known * term),
                    ),
                )
                for first, known, term in zip(
                    self._first, self.coefficients, terms, strict=True
                )
            )


class ServiceTimes:
    """Usual times of one service's endpoints with one model."""

    def __init__(self) -> None:
        """Begin with the first coefficients."""
        self.latency = LearntSum(FIRST_LATENCY)
        self.pause = LearntSum(FIRST_PAUSE)


class EngineModel:
    """Usual times of all services and models."""

    def __init__(self) -> None:
        """Create it without any sample."""
        self._times: dict[tuple[str, str], ServiceTimes] = {}

    def find(self, service: str, model: str) -> ServiceTimes:
        """Return the times of a service with a model, '' for none."""
        return self._times.setdefault((service, model), ServiceTimes())


class Forecast(NamedTuple):
    """What was predicted for one request at an endpoint."""

    endpoint: Endpoint
    times: ServiceTimes
    demand: Demand
    #: Seconds to the response or first event at an endpoint of usual speed.
    usual_seconds: float
    #: Slowness of the endpoint.
    ratio: float

    def predict_pause(self) -> float:
        """Return the predicted seconds between two events."""
        usual = self.times.pause.predict(self.demand)
        return self.endpoint.pace.find_pause(usual * self.ratio)

    def record_response(self, seconds: float) -> float:
        """Learn from the seconds to a response or first event.

        Returns the endpoint's slowness as it was predicted with.
        """
        # What was learnt since the choice counts: else all requests in flight
        # would correct the same error once more.
        running = self.demand.running
        limit = self.endpoint.limit
        ratio = max(MIN_SECONDS, seconds)
        ratio /= self.times.latency.predict(self.demand)
        limit.observe(running, ratio)
        ratio /= limit.find_crowding(running)
        self.endpoint.slowness.observe(ratio)
        self.times.latency.observe(self.demand, ratio / self.ratio)
        return self.ratio

    def record_silence(self, seconds: float) -> None:
        """Learn from seconds that passed without a response.

        Only the endpoint is held to be slow; what is usual stays.
        """
        if seconds > self.usual_seconds:
            self.endpoint.slowness.observe(seconds / self.usual_seconds)

    def record_pause(self, seconds: float) -> None:
        """Learn from the mean seconds between a stream's events."""
        usual = self.times.pause.predict(self.demand) * self.ratio
        ratio = max(MIN_SECONDS, seconds) / usual
        self.times.pause.observe(self.demand, ratio)
