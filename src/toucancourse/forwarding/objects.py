"""What routes, endpoints and requests are to the router."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]


class Kind(StrEnum):
    """Whether a request may run more than once."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


class Share(NamedTuple):
    """A service's part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests for a host and a path prefix go."""

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    #: Longest time until the end of the answer, in seconds.
    timeout: float
    #: Time to the answer or its first event that earns full credit, seconds.
    objective: float
    #: 0 is the most urgent.
    priority: int
    #: Endpoints that one request may run on.
    max_runs: int
    anonymous: bool
    resumable: bool
    #: Models that the router chooses from, smallest first.
    models: tuple[str, ...]

    def is_repeatable(self) -> bool:
        """Return True if a request may run on a second endpoint."""
        return self.kind is Kind.safe or (
            self.kind is Kind.stream and self.resumable
        )


class Service(NamedTuple):
    """A pool of equal endpoints."""

    name: str
    #: Requests a second that a cold endpoint bears, or 0 for any number.
    cold_rate: float


class Account(NamedTuple):
    """A client account."""

    name: str
    #: Replaces the route's priority if set.
    priority: int | None


class CallerLimits(NamedTuple):
    """How slow a caller may be."""

    #: How long a connection may stay idle between requests.
    idle_seconds: float


class RoutingTable(NamedTuple):
    """One revision of the operators' configuration."""

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    #: API key -> its account.
    accounts: Mapping[str, Account]
    has_accounts: bool
    limits: CallerLimits


class EndpointRecord(NamedTuple):
    """What an endpoint last told of itself."""

    identifier: str
    service: str
    host: str
    port: int
    zone: str
    #: Version of its software, which roll-outs name.
    version: str
    slots: int
    draining: bool
    #: How much longer it is cold, in seconds, when the record was written.
    cold_seconds: float
    #: Differs for each start of the endpoint.
    incarnation: int


class RolloutOrder(NamedTuple):
    """An order to move a service to a version."""

    service: str
    target: str
    #: Time from the order until it must be decided, in seconds.
    duration: float


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    identifier: str
    tokens: int


class Call(NamedTuple):
    """One request of a caller."""

    #: Set by the caller; differs for each of its tries.
    identifier: str
    method: str
    #: Path and query as they were received.
    target: str
    host: str
    #: Headers to hand on to the endpoint.
    headers: Headers
    body: bytes
    api_key: str
    #: time.monotonic() at which the caller gives up.
    deadline: float
    #: time.monotonic() at which the request was received.
    received: float
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    #: Tokens that the answer is expected to have.
    expected_tokens: int
    session: str
    #: Last event that the caller has of an earlier try, or ''.
    last_event: str
    #: True if the router must name the model.
    any_model: bool
    model: str

    def find_path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


class Order(NamedTuple):
    """What the router adds to a request for one endpoint."""

    identifier: str
    account: str
    seconds_left: float
    #: Model named by the router, or ''.
    model: str
    #: Rank at the endpoint: 0 is the most urgent of 10.
    rank: int
    #: Event after which the stream goes on, or ''.
    last_event: str


class Load(NamedTuple):
    """What an endpoint told of its load with an answer."""

    running: int
    waiting: int
    slots: int


class Head(NamedTuple):
    """Start of an endpoint's answer."""

    status: int
    #: Headers to hand on to the caller.
    headers: Headers
    #: Request that the answer belongs to, or '' if it names none.
    call: str
    #: True if the endpoint vouches for the answer.
    is_signed: bool
    #: True if the endpoint states that it did not run the request.
    not_run: bool
    #: True if another endpoint has this address now.
    misdirected: bool
    load: Load | None
    #: The model's own opinion of its answer in [0, 1], or None.
    confidence: float | None
    #: How much longer the endpoint is cold, or None if it doesn't say.
    cold_seconds: float | None
    #: Seconds that the endpoint keeps an idle connection, or None.
    keep_alive: float | None
    is_event_stream: bool
