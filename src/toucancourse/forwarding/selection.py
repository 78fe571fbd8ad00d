"""Selection of the endpoint with the lowest predicted latency."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

from ..membership.directory import rank_by_hash
from ..routing.endpoints import MAX_FAILURE_RATE, Outliers
from .endpoints import Endpoint, Reservation
from .loads import PeerLoads
from .objects import Call
from .prefill import PrefillEstimator

#: Latency of every request besides prefill and queueing, in seconds.
BASE_LATENCY_SECONDS: Final = 0.02
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
    #: Counts the request at a cold endpoint; None before it was selected.
    reservation: Reservation | None = None


class EndpointSelector:
    """Ranks endpoints by predicted latency, without any network call."""

    def __init__(
        self,
        zone: str,
        outliers: Outliers,
        prefill: PrefillEstimator,
        find_cold_rate: Callable[[str, str], float],
        loads: PeerLoads,
    ) -> None:
        """Create a selector for an entry in a zone.

        find_cold_rate maps a service and an endpoint's identifier to the
        requests per second that this entry may send there while it is cold.
        """
        self._zone = zone
        self._outliers = outliers
        self._prefill = prefill
        self._find_cold_rate = find_cold_rate
        self._loads = loads

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
            if self._is_eligible(endpoint, criteria)
        ]
        if not usable:
            return None
        affinity = _find_affinity_endpoint(call, usable)
        scored = [
            self._score(call, endpoint, criteria, affinity)
            for endpoint in usable
        ]
        for candidate in sorted(scored, key=lambda each: each.score):
            identifier = candidate.endpoint.record.identifier
            reservation = candidate.endpoint.reserve(
                self._find_cold_rate(criteria.service, identifier)
            )
            if reservation is not None:
                return candidate._replace(reservation=reservation)
        return None

    def _is_eligible(
        self, endpoint: Endpoint, criteria: SelectionCriteria
    ) -> bool:
        if endpoint.record.identifier in criteria.tried:
            return False
        return endpoint.is_usable()

    def _score(
        self,
        call: Call,
        endpoint: Endpoint,
        criteria: SelectionCriteria,
        affinity: str,
    ) -> ScoredEndpoint:
        uncached = endpoint.count_uncached_tokens(call, criteria.model)
        identifier = endpoint.record.identifier
        if identifier == affinity:
            shared = sum(part.tokens for part in call.prompt[:-1])
            uncached = min(
                uncached,
                int(call.prompt_tokens - AFFINITY_CACHED_SHARE * shared),
            )
        uncached = max(0, uncached)
        prefill = self._prefill.predict(criteria.model, uncached)
        wait = endpoint.backlog.predict_wait(
            criteria.rank,
            self._prefill.find_slowest_average(),
            self._loads.find(identifier),
        )
        latency = BASE_LATENCY_SECONDS + prefill + wait
        latency *= endpoint.latency_ratio
        score = latency
        if endpoint.record.zone != self._zone:
            score += _estimate_cross_zone_cost(call)
        failing = self._outliers.get_failure_rate(identifier)
        score *= 1 + FAILURE_WEIGHT * failing
        if failing >= MAX_FAILURE_RATE:
            score *= FAILURE_WEIGHT
        score *= 1 + random.random() * JITTER
        stream_seconds = criteria.events * endpoint.pace.find_pause()
        return ScoredEndpoint(
            endpoint, score, latency, stream_seconds, uncached, prefill
        )


def _estimate_cross_zone_cost(call: Call) -> float:
    """Return the cost of sending a request to another zone, in seconds."""
    size = len(call.body) + BYTES_PER_TOKEN * call.expected_tokens
    return CROSS_ZONE_SECONDS + CROSS_ZONE_SECONDS_PER_BYTE * size


def _find_affinity_endpoint(call: Call, endpoints: Sequence[Endpoint]) -> str:
    """Return the identifier of a shared prompt's affinity endpoint, or ''.

    Rendezvous hashing of the last shared part lets all entries choose the
    same endpoint.
    """
    if len(call.prompt) < 2:
        return ''
    names = [endpoint.record.identifier for endpoint in endpoints]
    return rank_by_hash(call.prompt[-2].identifier, names)[0]
