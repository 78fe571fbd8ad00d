"""Choice of the endpoint with the least predicted time to an answer."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

from ..membership.directory import rank_by_hash
from ..routing.endpoints import MAX_FAILING, Outliers
from .endpoints import Endpoint
from .loads import LoadBook
from .objects import Call
from .pace import ReadingPace

#: Time that any request takes, in seconds.
BASE_SECONDS: Final = 0.02
#: Share of a prompt's shared tokens that counts as read at its home.
HOME_SHARE: Final = 0.8
#: Weight of the share of failures against time.
FAILURE_WEIGHT: Final = 6.0
#: A hop to another zone and each byte that it carries, in seconds: operators
#: pay for a byte as for 0.1 shared tokens that the largest model reads again.
HOP_SECONDS: Final = 0.002
HOP_SECONDS_PER_BYTE: Final = 4e-6
#: Bytes of an answer for each token generated.
BYTES_PER_TOKEN: Final = 20.0
#: Share by which equal endpoints are told apart at random.
JITTER: Final = 0.01
#: Share of a cold endpoint's rate and of the allowed excess that is used.
COLD_SHARE: Final = 0.8


class Wanted(NamedTuple):
    """What an endpoint must be and have."""

    service: str
    #: Version of the endpoint's software, or '' for any.
    version: str
    #: Model that will run, or ''.
    model: str
    #: Identifiers that were tried already.
    tried: Collection[str]
    #: Rank at the endpoint, 0 for the most urgent.
    rank: int = 0


class Scored(NamedTuple):
    """An endpoint and its predicted time, in seconds."""

    endpoint: Endpoint
    score: float
    #: Prompt tokens that it has to read, and the time that takes.
    fresh_tokens: int
    reading: float


class Chooser:
    """Orders endpoints by predicted time, without any call."""

    def __init__(
        self,
        zone: str,
        outliers: Outliers,
        pace: ReadingPace,
        find_cold_rate: Callable[[str, str], float],
        loads: LoadBook,
    ) -> None:
        """Keep the entry's zone.

        find_cold_rate returns this entry's requests a second for one cold
        endpoint of a service.
        """
        self._zone = zone
        self._outliers = outliers
        self._pace = pace
        self._find_cold_rate = find_cold_rate
        self._loads = loads

    def choose(
        self,
        call: Call,
        endpoints: Sequence[Endpoint],
        wanted: Wanted,
    ) -> Scored | None:
        """Return the best endpoint, or None if none may take the call.

        The call is counted there at once, so that callers who choose at the
        same moment don't pass a cold endpoint's rate together.
        """
        usable = [
            endpoint
            for endpoint in endpoints
            if self._may_take(endpoint, wanted)
        ]
        if not usable:
            return None
        home = _find_home(call, usable)
        scored = [self._score(call, row, wanted, home) for row in usable]
        for row in sorted(scored, key=lambda each: each.score):
            identifier = row.endpoint.record.identifier
            if row.endpoint.reserve(
                self._find_cold_rate(wanted.service, identifier)
            ):
                return row
        return None

    def _may_take(self, endpoint: Endpoint, wanted: Wanted) -> bool:
        if endpoint.record.identifier in wanted.tried:
            return False
        return endpoint.is_usable()

    def _score(
        self,
        call: Call,
        endpoint: Endpoint,
        wanted: Wanted,
        home: str,
    ) -> Scored:
        fresh = endpoint.count_fresh_tokens(call, wanted.model)
        identifier = endpoint.record.identifier
        if identifier == home:
            shared = sum(part.tokens for part in call.prompt[:-1])
            fresh = min(fresh, int(call.prompt_tokens - HOME_SHARE * shared))
        fresh = max(0, fresh)
        reading = self._pace.predict(wanted.model, fresh)
        wait = endpoint.backlog.find_wait(
            wanted.rank, self._pace.usual(), self._loads.find(identifier)
        )
        score = (BASE_SECONDS + reading + wait) * endpoint.pace
        if endpoint.record.zone != self._zone:
            score += _weigh_hop(call)
        failing = self._outliers.failing(identifier)
        score *= 1 + FAILURE_WEIGHT * failing
        if failing >= MAX_FAILING:
            score *= FAILURE_WEIGHT
        score *= 1 + random.random() * JITTER
        return Scored(endpoint, score, fresh, reading)


def _weigh_hop(call: Call) -> float:
    """Return what a call's way to another zone costs, in seconds."""
    size = len(call.body) + BYTES_PER_TOKEN * call.expected_tokens
    return HOP_SECONDS + HOP_SECONDS_PER_BYTE * size


def _find_home(call: Call, endpoints: Sequence[Endpoint]) -> str:
    """Return the endpoint at which all entries gather a shared prompt."""
    if len(call.prompt) < 2:
        return ''
    names = [endpoint.record.identifier for endpoint in endpoints]
    return rank_by_hash(call.prompt[-2].identifier, names)[0]
