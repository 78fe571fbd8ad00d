"""Prometheus metrics and mean response times of forwarded requests."""

from typing import Final

from prometheus_client import (
    REGISTRY,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

BUCKETS: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1, 1.5, 2, 5, 10, 25)
#: Bounds of seen over predicted times.
RATIO_BUCKETS: Final = (0.25, 0.5, 0.8, 1.25, 2.5, 5, 10)
#: Weight of the newest sample in the moving average of response times.
MEAN_WEIGHT: Final = 0.1
#: Lower bound of the moving average.
MIN_MEAN_SECONDS: Final = 0.001


class ForwardingMetrics:
    """Counters, latency histograms and moving averages of response times."""

    def __init__(self, registry: CollectorRegistry = REGISTRY) -> None:
        """Register the metrics; allowed once for each registry."""
        self.requests = Counter(
            'toucancourse_forwarded_requests',
            'Forwarded requests by how they ended',
            ('route', 'code'),
            registry=registry,
        )
        self.retries = Counter(
            'toucancourse_forwarding_retries',
            'Second tries wanted, by whether the budget allowed them',
            ('allowed',),
            registry=registry,
        )
        self.failures = Counter(
            'toucancourse_attempt_failures',
            'Failed attempts',
            ('code',),
            registry=registry,
        )
        self.defects = Counter(
            'toucancourse_response_defects',
            'Responses of endpoints that could not be used, by the reason',
            ('defect',),
            registry=registry,
        )
        self.discarded = Counter(
            'toucancourse_dropped_answers',
            'Answers of a smaller model that were not good enough',
            registry=registry,
        )
        self.kept = Counter(
            'toucancourse_kept_answers',
            'Answers of a smaller model forwarded after a larger one failed',
            registry=registry,
        )
        self.duration = Histogram(
            'toucancourse_forwarded_seconds',
            'Time to the end of an answer',
            ('route',),
            buckets=BUCKETS,
            registry=registry,
        )
        self.first_event = Histogram(
            'toucancourse_forwarded_first_event_seconds',
            'Time to the first event of a stream',
            ('route',),
            buckets=BUCKETS,
            registry=registry,
        )
        self.crashes = Counter(
            'toucancourse_endpoint_crashes',
            'Endpoints lost as they began to answer a prompt',
            registry=registry,
        )
        self.blocks = Gauge(
            'toucancourse_blocked_prompt_parts',
            'Sets of prompt parts that are refused since endpoints crash',
            registry=registry,
        )
        self.proof_age = Gauge(
            'toucancourse_store_proof_age_seconds',
            'Age of the proof that the configuration is current',
            registry=registry,
        )
        self.forecast = Histogram(
            'toucancourse_forecast_ratio',
            'Seen over predicted time to a response, first event or last one',
            ('until',),
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.slow_endpoints = Counter(
            'toucancourse_slow_endpoints',
            'Endpoints found much slower than usual, and found usual again',
            ('slow',),
            registry=registry,
        )
        self._mean_seconds: dict[tuple[str, str], float] = {}

    def record_request(
        self,
        route: str,
        code: str,
        seconds: float,
        first_event: float | None,
    ) -> None:
        """Count a finished request and observe its times in seconds."""
        self.requests.labels(route, code).inc()
        self.duration.labels(route).observe(seconds)
        if first_event is not None:
            self.first_event.labels(route).observe(first_event)

    def find_mean_seconds(self, key: tuple[str, str]) -> float:
        """Return the mean response time of a route and model, or 0."""
        return self._mean_seconds.get(key, 0.0)

    def record_seconds(self, key: tuple[str, str], seconds: float) -> float:
        """Add a response time of a route and model; return the new mean."""
        mean = self._mean_seconds.get(key, seconds)
        mean = max(MIN_MEAN_SECONDS, mean + MEAN_WEIGHT * (seconds - mean))
        self._mean_seconds[key] = mean
        return mean
