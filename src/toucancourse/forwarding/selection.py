"""Selection of the endpoint with the lowest predicted latency."""

import random
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from ..routing.endpoints import MAX_FAILURE_RATE, Outliers
from .backlog import Queue
from .digests import hash_text
from .endpoints import Endpoint, Reservation
from .forecast import Demand, EngineModel, Forecast, ServiceTimes
from .loads import NO_WORKLOAD, PeerLoads, Workload
from .objects import Call
from .prefill import PrefillEstimator
from .slowness import NO_SUM, LogSum, PeerSlowness, compute_ratio

#: Share of a prompt's shared tokens that is assumed to be cached at the
#: affinity endpoint.
AFFINITY_CACHED_SHARE: Final = 0.8
#: Weight of the failure rate relative to latency.
FAILURE_WEIGHT: Final = 6.0
#: Cost of a hop to another zone and of each byte sent over it, in seconds:
#: operators pay as much for a byte as for repeating the largest model's prefill
#: of 0.1 shared tokens.
CROSS_ZONE_SECONDS: Final = 0.002
CROSS_ZONE_SECONDS_PER_BYTE: Final = 4e-6
#: Response bytes for each token generated.
BYTES_PER_TOKEN: Final = 20.0
#: Largest random increase of a score, as a share; it breaks ties.
JITTER: Final = 0.01
#: Share of a cold endpoint's rate limit and of the permitted excess that is
#: used.
COLD_RATE_SHARE: Final = 0.8
#: Factor that mixes the digests of a prompt and an endpoint, and its modulus.
MIXER: Final = 0x9E3779B97F4A7C15
MODULUS: Final = 0x1FFFFFFFFFFFFFFF


class SelectionCriteria(NamedTuple):
    """Constraints on the endpoint of one request."""

    service: str
    #: Version of the endpoint's software, or '' for any.
    version: str
    #: Model that will run, or ''.
    model: str
    #: Identifiers of the endpoints that already had an attempt.
    tried: Collection[str]
    #: Priority rank of the request, 0 for the most urgent.
    rank: int = 0
    #: Expected number of events, 0 if unknown.
    events: float = 0


class ScoredEndpoint(NamedTuple):
    """An endpoint with the latency predicted for one request."""

    endpoint: Endpoint
    #: Predicted seconds, weighted by the failure rate; the lowest is best.
    score: float
    #: Predicted seconds to the response, or to the first event of a stream.
    latency: float
    #: Predicted seconds from the first event to the last.
    stream_seconds: float
    #: Prompt tokens without a cached prefix there, and their prefill time.
    uncached_tokens: int
    prefill_seconds: float
    #: What was predicted, to learn from what is seen.
    forecast: Forecast
    #: Counts the request at a cold endpoint; None before it was selected.
    reservation: Reservation | None = None


class _Situation(NamedTuple):
    """What is the same for all endpoints in one selection."""

    call: Call
    criteria: SelectionCriteria
    times: ServiceTimes
    #: Endpoint's digest -> the other entries' work there, or None.
    workloads: Mapping[int, Workload] | None
    #: Endpoint's digest -> slowness by the other entries.
    slowness: Mapping[int, LogSum]
    #: Average prefill of a request of the slowest model, in seconds.
    average_prefill: float
    affinity: Endpoint | None
    #: Cost of sending the request to another zone, in seconds.
    cross_zone_cost: float
    #: time.monotonic().
    now: float


#: Score of an endpoint, and what is predicted there.
_Candidate = tuple[float, Forecast]


class EndpointSelector:
    """Ranks endpoints by predicted latency, without any network call."""

    def __init__(
        self,
        zone: str,
        outliers: Outliers,
        prefill: PrefillEstimator,
        find_cold_rate: Callable[[str, str], float],
        loads: PeerLoads,
        slowness: PeerSlowness | None = None,
    ) -> None:
        """Create a selector for an entry in a zone.

        find_cold_rate maps a service and an endpoint's identifier to the
        requests per second that this entry may send there while it is cold.
        Without slowness, only what this entry sees itself counts.
        """
        self._zone = zone
        self._outliers = outliers
        self._prefill = prefill
        self._find_cold_rate = find_cold_rate
        self._loads = loads
        self._slowness = slowness or PeerSlowness()
        self._engines = EngineModel()

    def choose(
        self,
        call: Call,
        endpoints: Sequence[Endpoint],
        criteria: SelectionCriteria,
    ) -> ScoredEndpoint | None:
        """Return the best endpoint, or None if none may get the request.

        The request counts against the endpoint's rate limit at once, so that
        concurrent selections don't exceed a cold endpoint's limit together.
        """
        usable = [
            endpoint
            for endpoint in endpoints
            if endpoint.record.identifier not in criteria.tried
            and endpoint.is_usable()
        ]
        if not usable:
            return None
        situation = self._describe(call, usable, criteria)
        candidates = [self._predict(situation, each) for each in usable]
        for candidate in sorted(candidates, key=_get_score):
            endpoint = candidate[1].endpoint
            reservation = endpoint.reserve(
                self._find_cold_rate(
                    criteria.service, endpoint.record.identifier
                )
            )
            if reservation is not None:
                return self._finish(criteria, candidate, reservation)
        return None

    def _describe(
        self,
        call: Call,
        usable: Sequence[Endpoint],
        criteria: SelectionCriteria,
    ) -> _Situation:
        return _Situation(
            call,
            criteria,
            self._engines.find(criteria.service, criteria.model),
            self._loads.find_all(),
            self._slowness.totals,
            self._prefill.find_slowest_average(),
            _find_affinity_endpoint(call, usable),
            _estimate_cross_zone_cost(call),
            time.monotonic(),
        )

    def _predict(self, situation: _Situation, endpoint: Endpoint) -> _Candidate:
        uncached = _count_uncached(situation, endpoint)
        queue = _measure_queue(situation, endpoint)
        demand = Demand(uncached, queue.seconds, queue.running)
        usual = situation.times.latency.predict(demand)
        usual *= endpoint.limit.find_crowding(queue.running)
        ratio = compute_ratio(
            endpoint.slowness.total,
            situation.slowness.get(endpoint.digest, NO_SUM),
            situation.now,
        )
        score = usual * ratio
        if endpoint.record.zone != self._zone:
            score += situation.cross_zone_cost
        failing = self._outliers.get_failure_rate(endpoint.record.identifier)
        score *= 1 + FAILURE_WEIGHT * failing
        if failing >= MAX_FAILURE_RATE:
            score *= FAILURE_WEIGHT
        score *= 1 + random.random() * JITTER
        forecast = Forecast(endpoint, situation.times, demand, usual, ratio)
        return score, forecast

    def _finish(
        self,
        criteria: SelectionCriteria,
        candidate: _Candidate,
        reservation: Reservation,
    ) -> ScoredEndpoint:
        score, forecast = candidate
        uncached = forecast.demand.tokens
        pauses = max(0.0, criteria.events - 1)
        return ScoredEndpoint(
            endpoint=forecast.endpoint,
            score=score,
            latency=forecast.usual_seconds * forecast.ratio,
            stream_seconds=pauses * forecast.predict_pause(),
            uncached_tokens=uncached,
            prefill_seconds=self._prefill.predict(criteria.model, uncached),
            forecast=forecast,
            reservation=reservation,
        )


def _get_score(candidate: _Candidate) -> float:
    return candidate[0]


def _measure_queue(situation: _Situation, endpoint: Endpoint) -> Queue:
    """Return the work that the request meets at an endpoint."""
    workload = None
    if situation.workloads is not None:
        workload = situation.workloads.get(endpoint.digest, NO_WORKLOAD)
    return endpoint.backlog.measure_queue(
        situation.criteria.rank, situation.average_prefill, workload
    )


def _count_uncached(situation: _Situation, endpoint: Endpoint) -> int:
    """Return the prompt tokens that an endpoint has to prefill."""
    call = situation.call
    uncached = endpoint.count_uncached_tokens(call, situation.criteria.model)
    if endpoint is situation.affinity:
        shared = sum(part.tokens for part in call.prompt[:-1])
        uncached = min(
            uncached, int(call.prompt_tokens - AFFINITY_CACHED_SHARE * shared)
        )
    return max(0, uncached)


def _estimate_cross_zone_cost(call: Call) -> float:
    """Return the cost of sending a request to another zone, in seconds."""
    size = len(call.body) + BYTES_PER_TOKEN * call.expected_tokens
    return CROSS_ZONE_SECONDS + CROSS_ZONE_SECONDS_PER_BYTE * size


def _find_affinity_endpoint(
    call: Call, endpoints: Sequence[Endpoint]
) -> Endpoint | None:
    """Return a shared prompt's affinity endpoint, or None.

    Rendezvous hashing of the last shared part lets all entries choose the
    same endpoint.
    """
    if len(call.prompt) < 2:
        return None
    shared = hash_text(call.prompt[-2].identifier)
    return min(
        endpoints,
        key=lambda endpoint: (shared ^ endpoint.digest) * MIXER % MODULUS,
    )
