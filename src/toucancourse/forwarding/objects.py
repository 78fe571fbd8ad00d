"""Routes, accounts, endpoints, requests and responses."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]


class RouteKind(StrEnum):
    """Whether a request may be executed more than once."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


class Share(NamedTuple):
    """A service's share of a route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """Forwarding rules for a host and a path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    #: Timeout of the complete response in seconds, or 0 for none.
    timeout: float
    #: Latency objective in seconds: to the complete response or, for streams,
    #: the first event.
    objective: float
    #: Longest regular pause between two events of a stream in seconds, or 0
    #: if the route states none.
    event_pause: float
    #: Default priority rank: 0 is the most urgent.
    priority: int
    #: Maximum attempts that execute a request, or may have executed it.
    max_executions: int
    #: True if no API key is required.
    anonymous: bool
    #: True if an interrupted stream may be resumed at another endpoint.
    resumable: bool
    #: Models that the router selects from, smallest first.
    models: tuple[str, ...]

    def is_repeatable(self) -> bool:
        """Return True if a request may be executed at a second endpoint."""
        return self.kind is RouteKind.safe or (
            self.kind is RouteKind.stream and self.resumable
        )


class Service(NamedTuple):
    """A pool of interchangeable endpoints."""

    name: str
    #: Rate limit of a cold endpoint in requests per second, or 0 for none.
    cold_rate: float


class Account(NamedTuple):
    """A client account."""

    name: str
    #: Overrides the route's priority, or None.
    priority: int | None


class CallerLimits(NamedTuple):
    """Limits for the connections of callers."""

    #: Keep-alive timeout between requests.
    idle_seconds: float
    #: Time in which the head of a request must arrive.
    head_seconds: float = 60.0


class RoutingTable(NamedTuple):
    """One revision of the operators' routing configuration."""

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    #: API key -> its account.
    accounts: Mapping[str, Account]
    #: False if the configuration defines no accounts and needs no API keys.
    has_accounts: bool
    limits: CallerLimits


class EndpointRecord(NamedTuple):
    """Newest registration of an endpoint."""

    identifier: str
    service: str
    host: str
    port: int
    zone: str
    #: Software version, the unit of roll-outs.
    version: str
    #: Requests that it processes concurrently.
    slots: int
    draining: bool
    #: Remaining warm-up time when the record was written.
    cold_seconds: float
    #: Differs for each start of the endpoint process.
    incarnation: int


class RolloutOrder(NamedTuple):
    """An operator's order to roll a version out to a service."""

    service: str
    target: str
    #: Time in seconds within which the roll-out must complete or roll back.
    duration: float


class PromptPart(NamedTuple):
    """A segment of a prompt that may be cached for other requests."""

    identifier: str
    tokens: int


class Call(NamedTuple):
    """One decoded request of a caller."""

    #: Set by the caller, and different for each of its retries.
    identifier: str
    method: str
    #: Request target: path and query, still percent-encoded.
    target: str
    host: str
    #: Headers to forward to the endpoint.
    headers: Headers
    body: bytes
    api_key: str
    #: time.monotonic() of the caller's timeout.
    deadline: float
    #: time.monotonic() at which the request was received.
    received: float
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    #: Expected number of output tokens.
    expected_tokens: int
    #: Conversation that the request belongs to, or ''.
    session: str
    #: Last event that the caller received before it reconnected, or ''.
    last_event: str
    #: True if the router selects the model.
    any_model: bool
    #: Model header as received, or ''.
    model: str

    def find_path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


class AttemptOptions(NamedTuple):
    """Values that the router adds to a request for one endpoint."""

    #: Endpoint that must answer; another one rejects the request.
    identifier: str
    account: str
    #: Time until the caller's deadline.
    seconds_left: float
    #: Model selected by the router, or ''.
    model: str
    #: Priority rank at the endpoint: 0 is the most urgent of 10.
    rank: int
    #: Event after which the stream is resumed, or ''.
    last_event: str


class Load(NamedTuple):
    """Load of an endpoint, as reported in a response header."""

    running: int
    waiting: int
    slots: int
    #: How long work takes on the endpoint's machine now, relative to usual.
    slowdown: float = 1.0


class ResponseHead(NamedTuple):
    """Status and decoded headers of an endpoint's response."""

    status: int
    #: Headers to forward to the caller.
    headers: Headers
    #: Identifier of the answered request, or '' if the response has none.
    call: str
    #: True if the response has the header for the server signature.
    is_signed: bool
    #: True if the endpoint reports that it did not execute the request.
    not_run: bool
    #: True if the address belongs to another endpoint now (status 421).
    misdirected: bool
    #: Seconds for which the endpoint wants no request, or None.
    retry_after: float | None
    #: True if the endpoint announces that it is leaving.
    is_leaving: bool
    load: Load | None
    #: The model's confidence in its output in [0, 1], or None.
    confidence: float | None
    #: Remaining warm-up time of the endpoint, or None if not reported.
    cold_seconds: float | None
    #: Keep-alive timeout of the endpoint in seconds, or None.
    keep_alive: float | None
    is_event_stream: bool
