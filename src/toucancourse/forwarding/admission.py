"""Admission of requests and selection of their endpoints."""

import time
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

from ..errors import (
    DeadlineError,
    NotFoundError,
    StaleError,
    UnavailableError,
)
from .digests import hash_text
from .endpoints import Endpoint, EndpointRegistry
from .objects import Account, Call, Route
from .overload import OverloadGuard, Prospect
from .pace import StreamLengths
from .rollouts import Rollouts
from .selection import (
    EndpointSelector,
    ScoredEndpoint,
    SelectionCriteria,
)
from .streamtimes import StreamTimes
from .tables import OperatorConfig

#: Maximum age of the freshness proof, as a share of the time within which a
#: withdrawn key must be refused; the rest covers requests that are admitted
#: but have not reached their endpoint yet.
MAX_PROOF_AGE_SHARE: Final = 0.88
#: Retry-After for a stale configuration; by then, the load balancer routes
#: the caller to another entry.
STALE_RETRY_SECONDS: Final = 0.3
#: Retry-After if no endpoint is usable; unreachable ones are retried by then.
NO_ENDPOINT_RETRY_SECONDS: Final = 0.4
#: Hash buckets of a route's traffic split.
SPLIT_BUCKETS: Final = 10_000
#: Priority ranks that endpoints support; their default is 5.
RANK_COUNT: Final = 10
#: Added to the rank of requests for the largest model.
LARGEST_MODEL_RANK_OFFSET: Final = 3


class NoEndpointError(UnavailableError):
    """No untried endpoint can accept the request now."""

    code = 'no_endpoint'


class AdmittedRequest(NamedTuple):
    """Route and account of a request, from the current configuration."""

    route: Route
    account: Account

    def find_rank(self, model: str) -> int:
        """Return the priority rank at an endpoint, 0 for the most urgent.

        The largest model takes many times as long as the smallest, so its
        requests rank lower to avoid head-of-line blocking of short ones.
        """
        rank = self.route.priority
        if self.account.priority is not None:
            rank = self.account.priority
        models = self.route.models
        if len(models) > 1 and model == models[-1]:
            rank += LARGEST_MODEL_RANK_OFFSET
        return max(0, min(RANK_COUNT - 1, rank))


class EndpointChoice(NamedTuple):
    """The endpoint selected for a request."""

    scored: ScoredEndpoint
    service: str
    version: str
    #: Priority rank at the endpoint, 0 for the most urgent.
    rank: int

    @property
    def endpoint(self) -> Endpoint:
        """Return the selected endpoint."""
        return self.scored.endpoint


class Admission:
    """Authorizes requests and selects endpoints by the configuration."""

    def __init__(
        self,
        operators: OperatorConfig,
        endpoints: EndpointRegistry,
        rollouts: Rollouts,
        selector: EndpointSelector,
    ) -> None:
        """Use the entry's current configuration, endpoints and roll-outs."""
        self._operators = operators
        self._endpoints = endpoints
        self._rollouts = rollouts
        self._selector = selector
        self.lengths = StreamLengths()
        self.stream_times = StreamTimes()
        self._overload = OverloadGuard()

    def admit(
        self,
        call: Call,
        revocation_seconds: float,
        find_proof_age: Callable[[], float],
    ) -> AdmittedRequest:
        """Return route and account of a call.

        find_proof_age returns the age of the configuration's freshness proof
        in seconds.

        Raises StaleError, NotFoundError, UnauthorizedError, DeadlineError.
        """
        table = self._operators.table
        if table is None:
            raise StaleError(
                'no configuration was received yet', STALE_RETRY_SECONDS
            )
        route = self._operators.find_route(call)
        account = self._operators.find_account(call, route)
        if (
            account.name
            and find_proof_age() > MAX_PROOF_AGE_SHARE * revocation_seconds
        ):
            raise StaleError(
                'the configuration may be out of date', STALE_RETRY_SECONDS
            )
        return AdmittedRequest(route, account)

    def refresh_route(
        self, call: Call, admitted: AdmittedRequest
    ) -> AdmittedRequest:
        """Return the admitted call with the current state of its route."""
        try:
            return admitted._replace(route=self._operators.find_route(call))
        except NotFoundError:
            return admitted

    def choose(
        self,
        call: Call,
        admitted: AdmittedRequest,
        model: str,
        tried: Collection[str],
        failed: Collection[str],
    ) -> EndpointChoice:
        """Return the endpoint for the next attempt.

        tried holds identifiers of endpoints to skip, failed the versions
        that failed this call.

        Raises NoEndpointError.
        """
        service = _choose_service(admitted.route, call)
        zones_out = self._operators.zones_out
        candidates = [
            endpoint
            for endpoint in self._endpoints.list_service(service)
            if endpoint.record.zone not in zones_out
        ]
        version = self._rollouts.choose(
            service,
            {endpoint.record.version for endpoint in candidates},
            call.session,
            call.identifier,
            failed,
        )
        if version:
            candidates = [
                candidate
                for candidate in candidates
                if candidate.record.version == version
            ]
        rank = admitted.find_rank(model)
        events = self.lengths.predict(admitted.route.name, call.expected_tokens)
        criteria = SelectionCriteria(
            service, version, model, tried, rank, events
        )
        scored = self._selector.choose(call, candidates, criteria)
        if scored is None:
            raise NoEndpointError(
                f'service "{service}" has no usable endpoint',
                _find_retry_seconds(candidates),
            )
        return EndpointChoice(
            scored, service, scored.endpoint.record.version, rank
        )

    def check_load(
        self,
        call: Call,
        admitted: AdmittedRequest,
        choice: EndpointChoice,
        cutoff: float,
    ) -> None:
        """Raise OverloadError if an unsent request can't end by the cutoff.

        The cutoff is a time.monotonic(). The choice has the lowest score, so
        that the request would need longer at the other endpoints.
        """
        scored, route = choice.scored, admitted.route
        stream_seconds = self.stream_times.find(route.name)
        prospect = Prospect(
            scored.forecast.demand.queued_seconds,
            # That the endpoint was slow lately doesn't make a request hopeless.
            scored.forecast.usual_seconds,
            min(stream_seconds, scored.stream_seconds),
            cutoff - time.monotonic(),
        )
        self._overload.check(call, route, prospect)


def check_deadline(call: Call, limit: float, now: float) -> None:
    """Raise DeadlineError if now has reached a time.monotonic() limit."""
    if now >= limit:
        raise DeadlineError(
            f'time limit exceeded {now - call.received:.3f} s after the request'
        )


def _find_retry_seconds(candidates: Sequence[Endpoint]) -> float:
    """Return when the first endpoint that asked to wait accepts again."""
    pauses = [round(endpoint.find_pause(), 1) for endpoint in candidates]
    return max(NO_ENDPOINT_RETRY_SECONDS, min(pauses, default=0))


def _choose_service(route: Route, call: Call) -> str:
    """Return the service for a call by the route's traffic split.

    A session always maps to the same service while the split is unchanged.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares) or 1.0
    seed = call.session or call.identifier
    point = (hash_text(seed) % SPLIT_BUCKETS) / SPLIT_BUCKETS * total
    for share in route.shares:
        point -= share.weight
        if point < 0 and share.weight > 0:
            return share.service
    return route.shares[0].service
