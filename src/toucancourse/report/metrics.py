"""Prometheus metrics that the daemons export."""

from prometheus_client import Counter, Gauge, Histogram

_FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.45, 1, 2, 5, 10, 30)
_DURATION_BUCKETS_SECONDS = (0.1, 0.5, 1, 2, 5, 10, 30, 60, 120)


class ChatMetrics:
    """Metrics of the requests that an entry serves."""

    def __init__(self) -> None:
        """Register the metrics, which a process may do only once."""
        self.requests = Counter(
            'toucancourse_requests',
            'Requests by how they ended',
            ('customer', 'version', 'code'),
        )
        self.retries = Counter('toucancourse_retries', 'Tries after the first')
        self.hedges = Counter(
            'toucancourse_hedges',
            'Second endpoints asked because the first was slow',
        )
        self.cost = Counter(
            'toucancourse_cost_micro_units',
            'Billed cost',
            ('customer', 'version'),
        )
        self.objective_requests = Counter(
            'toucancourse_level',
            'Requests counted against an objective',
            ('customer', 'level'),
        )
        self.objective_misses = Counter(
            'toucancourse_level_bad',
            'Requests that missed an objective',
            ('customer', 'level'),
        )
        self.first_token = Histogram(
            'toucancourse_first_token_seconds',
            'Time to the first byte of an answer',
            ('kind',),
            buckets=_FIRST_TOKEN_BUCKETS_SECONDS,
        )
        self.duration = Histogram(
            'toucancourse_request_seconds',
            'Time to the end of a request',
            ('kind',),
            buckets=_DURATION_BUCKETS_SECONDS,
        )


class DaemonMetrics:
    """Metrics of a daemon's copy of the configuration."""

    def __init__(self) -> None:
        """Register the metrics, which a process may do only once."""
        self.offset = Gauge(
            'toucancourse_configuration_offset',
            'Offset after the last folded configuration record',
        )
        self.proof_age = Gauge(
            'toucancourse_configuration_proof_age_seconds',
            'Age of the proof that the configuration is current',
        )
