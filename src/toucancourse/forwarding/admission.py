"""Whether a request may be sent to an endpoint now, and to which."""

from collections.abc import Callable, Collection
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
from .rollouts import Rollouts
from .selection import EndpointSelector, ScoredEndpoint, SelectionCriteria
from .tables import OperatorConfig

#: Part of the time within which a withdrawn key must be refused everywhere;
#: the rest is for a request on its way to the endpoint.
PROOF_SHARE: Final = 0.88
#: Seconds after which a caller turned away for a stale configuration should
#: ask again: the balancer has passed it to another entry by then.
STALE_RETRY_SECONDS: Final = 0.3
#: Seconds after which endpoints that could not be reached are tried again.
BUSY_RETRY_SECONDS: Final = 0.4
#: Parts that a route's split is drawn from.
SPLIT_STEPS: Final = 10_000
#: Ranks an endpoint knows; 5 is its own default.
RANKS: Final = 10
#: Ranks by which the largest model's work stands behind.
LARGEST_RANKS: Final = 3


class NoEndpointError(UnavailableError):
    """No endpoint that was not tried yet can take the request now."""

    code = 'no_endpoint'


class Admitted(NamedTuple):
    """A request with what the configuration says of it now."""

    route: Route
    account: Account

    def find_rank(self, model: str) -> int:
        """Return the rank at an endpoint, 0 for the most urgent.

        The largest model takes many times as long as the smallest, so short
        work goes first and waits for no long one.
        """
        rank = self.route.priority
        if self.account.priority is not None:
            rank = self.account.priority
        models = self.route.models
        if len(models) > 1 and model == models[-1]:
            rank += LARGEST_RANKS
        return max(0, min(RANKS - 1, rank))


class Choice(NamedTuple):
    """Where a request goes."""

    scored: ScoredEndpoint
    service: str
    version: str
    #: Rank at the endpoint, 0 for the most urgent.
    rank: int

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint."""
        return self.scored.endpoint


class Admission:
    """Checks a request against the newest configuration."""

    def __init__(
        self,
        operators: OperatorConfig,
        endpoints: EndpointRegistry,
        rollouts: Rollouts,
        chooser: EndpointSelector,
    ) -> None:
        """Keep the parts."""
        self._operators = operators
        self._endpoints = endpoints
        self._rollouts = rollouts
        self._chooser = chooser

    def admit(
        self,
        call: Call,
        revocation_seconds: float,
        find_age: Callable[[], float],
    ) -> Admitted:
        """Return route and account of a call.

        Raises StaleError, NotFoundError, UnauthorizedError, DeadlineError.
        """
        table = self._operators.table
        if table is None:
            raise StaleError(
                'no configuration is known yet', STALE_RETRY_SECONDS
            )
        route = self._operators.find_route(call)
        account = self._operators.find_account(call, route)
        if account.name and find_age() > PROOF_SHARE * revocation_seconds:
            raise StaleError(
                'the configuration may be out of date', STALE_RETRY_SECONDS
            )
        return Admitted(route, account)

    def follow_route(self, call: Call, admitted: Admitted) -> Admitted:
        """Return an admitted call with the newest state of its route."""
        try:
            return admitted._replace(route=self._operators.find_route(call))
        except NotFoundError:
            return admitted

    def choose(
        self,
        call: Call,
        admitted: Admitted,
        model: str,
        tried: Collection[str],
        failed: Collection[str],
    ) -> Choice:
        """Return where the call goes.

        It was tried at some endpoints, and some versions failed it.

        Raises NoEndpointError.
        """
        service = _choose_service(admitted.route, call)
        zones_out = self._operators.zones_out
        known = [
            endpoint
            for endpoint in self._endpoints.list_service(service)
            if endpoint.record.zone not in zones_out
        ]
        version = self._rollouts.choose(
            service,
            {endpoint.record.version for endpoint in known},
            call.session,
            call.identifier,
            failed,
        )
        if version:
            known = [row for row in known if row.record.version == version]
        rank = admitted.find_rank(model)
        wanted = SelectionCriteria(service, version, model, tried, rank)
        scored = self._chooser.choose(call, known, wanted)
        if scored is None:
            raise NoEndpointError(
                f'service "{service}" has no endpoint that can take it',
                BUSY_RETRY_SECONDS,
            )
        return Choice(scored, service, scored.endpoint.record.version, rank)


def check_time(call: Call, limit: float, now: float) -> None:
    """Raise DeadlineError if a time.monotonic() limit has passed."""
    if now >= limit:
        raise DeadlineError(
            f'{now - call.received:.3f} s passed since the request'
        )


def _choose_service(route: Route, call: Call) -> str:
    """Return the service that a route's split gives a call."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares) or 1.0
    seed = call.session or call.identifier
    place = (hash_text(seed) % SPLIT_STEPS) / SPLIT_STEPS * total
    for share in route.shares:
        place -= share.weight
        if place < 0 and share.weight > 0:
            return share.service
    return route.shares[0].service
