"""Registered endpoints and this entry's state for each of them."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Final

from loguru import logger

from ..errors import DECODE_ERRORS
from ..membership.feeds import Listener
from .backlog import Backlog
from .digests import hash_text
from .loads import Workload
from .objects import Call, EndpointRecord
from .pace import EventPace
from .peerstates import Slowness
from .records import Decoder
from .slowness import ConcurrencyLimit, EndpointSlowness

#: How long an endpoint whose record expired in an outage of the store stays
#: in use after the store's return; live ones register again within two
#: seconds.
EXPIRY_GRACE_SECONDS: Final = 1.8
#: Prompt parts tracked as cached by each endpoint.
MAX_CACHED_PARTS: Final = 2000
#: Backoff before an unreachable endpoint is used again.
INITIAL_BACKOFF_SECONDS: Final = 0.3
MAX_BACKOFF_SECONDS: Final = 2.4
RATE_WINDOW_SECONDS: Final = 1.0
#: Longest pause that an endpoint may ask for.
MAX_PAUSE_SECONDS: Final = 3600.0
#: Removed endpoints that are remembered.
MAX_REMOVED: Final = 200
#: Longest time from the choice of an endpoint until the request is sent, while
#: a connection is opened and other threads run.
MAX_SEND_SECONDS: Final = 1.0


class Endpoint:
    """One incarnation of an endpoint; all times are time.monotonic()."""

    def __init__(self, record: EndpointRecord) -> None:
        """Create an endpoint without requests in flight."""
        self.lock = threading.Lock()
        self.record = record
        self.backlog = Backlog()
        self.pace = EventPace()
        self.slowness = EndpointSlowness()
        self.limit = ConcurrencyLimit(record.slots)
        self.digest = hash_text(record.identifier)
        self.cold_until = 0.0
        self.expired_at: float | None = None
        self.backoff_until = 0.0
        #: Until when it asked this entry to send nothing.
        self.paused_until = 0.0
        #: True once it announced in a response that it is leaving.
        self.is_leaving = False
        #: When it last sent a response head or an event to this entry.
        self.heard_at = 0.0
        #: True from a failed connection, or from its zone's return, until
        #: the endpoint's next record or response.
        self.is_presumed_cold = False
        self._backoff = INITIAL_BACKOFF_SECONDS
        #: Requests within the rate window.
        self._sent: list[Reservation] = []
        #: Model and prompt part -> None, least recently used first.
        self._cached_parts: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.update(record)

    def update(self, record: EndpointRecord) -> None:
        """Apply a newer record of the same incarnation."""
        if record.slots != self.record.slots:
            self.limit = ConcurrencyLimit(record.slots)
        self.record = record
        self.expired_at = None
        self.is_presumed_cold = False
        self.record_cold_period(record.cold_seconds)

    def record_cold_period(self, seconds: float) -> None:
        """Record for how much longer the endpoint reports to be cold."""
        self.cold_until = time.monotonic() + seconds if seconds else 0.0

    def is_cold(self) -> bool:
        """Return True if the endpoint is cold or may be."""
        return self.is_presumed_cold or time.monotonic() < self.cold_until

    def is_usable(self) -> bool:
        """Return True unless the endpoint leaves, pauses or is in backoff."""
        if self.record.draining or self.is_leaving:
            return False
        return time.monotonic() >= max(self.backoff_until, self.paused_until)

    def record_unreachable(self) -> None:
        """Start the backoff of an endpoint that could not be reached.

        Its length doubles with each failure in a row.
        """
        with self.lock:
            self.backoff_until = time.monotonic() + self._backoff
            self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)
            self.is_presumed_cold = True

    def record_leaving(self) -> None:
        """Record that the endpoint announced that it is leaving."""
        if not self.is_leaving:
            self.is_leaving = True
            _log_endpoint('endpoint announced its leaving', self.record)

    def record_pause(self, seconds: float) -> None:
        """Record for how long the endpoint wants no request of this entry."""
        self.paused_until = time.monotonic() + min(seconds, MAX_PAUSE_SECONDS)
        logger.info(
            'endpoint asked to wait',
            endpoint=self.record.identifier,
            seconds=seconds,
        )

    def find_pause(self) -> float:
        """Return for how many seconds the endpoint still wants no request."""
        return max(0.0, self.paused_until - time.monotonic())

    def record_progress(self) -> None:
        """Record that the endpoint sent a response head or an event."""
        self.heard_at = time.monotonic()

    def record_response(self) -> None:
        """Reset the backoff after a response."""
        self._backoff = INITIAL_BACKOFF_SECONDS
        self.is_presumed_cold = False

    def count_uncached_tokens(self, call: Call, model: str) -> int:
        """Return the prompt tokens after the prefix that is cached here."""
        uncached = call.prompt_tokens
        for part in call.prompt:
            if (model, part.identifier) not in self._cached_parts:
                break
            uncached -= part.tokens
        return max(0, uncached)

    def record_cached_parts(self, call: Call, model: str) -> None:
        """Record that the endpoint has the parts of a prompt cached."""
        with self.lock:
            for part in call.prompt:
                self._cached_parts[(model, part.identifier)] = None
                self._cached_parts.move_to_end((model, part.identifier))
            while len(self._cached_parts) > MAX_CACHED_PARTS:
                self._cached_parts.popitem(last=False)

    def reserve(self, rate: float) -> 'Reservation | None':
        """Count a request to send, or return None if it exceeds the rate.

        The rate, in requests per second, applies while the endpoint is cold.
        """
        now = time.monotonic()
        is_limited = self.is_cold()
        with self.lock:
            self._sent = [
                reservation
                for reservation in self._sent
                if now - reservation.sent_at <= RATE_WINDOW_SECONDS
            ]
            if is_limited and len(self._sent) + 1 > rate:
                return None
            reservation = Reservation()
            self._sent.append(reservation)
            return reservation


class Reservation:
    """A request that was assigned to an endpoint and is being sent."""

    def __init__(self) -> None:
        """Create one that counts until it can no longer be sent."""
        self.sent_at = time.monotonic() + MAX_SEND_SECONDS

    def record_sent(self) -> None:
        """Let the request count from now on, since it is sent now."""
        self.sent_at = time.monotonic()


class EndpointRegistry(Listener):
    """All registered endpoints, by identifier."""

    def __init__(
        self,
        decoder: Decoder,
        on_removed: Callable[[Endpoint], None],
    ) -> None:
        """Create an empty registry.

        on_removed is called with each endpoint that is removed.
        """
        self._decoder = decoder
        self._on_removed = on_removed
        self._endpoints: dict[str, Endpoint] = {}
        #: Removed endpoints, oldest first. One that registers again keeps what
        #: it announced in responses.
        self._removed: OrderedDict[str, Endpoint] = OrderedDict()
        self._store_returned_at = float('-inf')

    def list_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not draining."""
        return [
            endpoint
            for endpoint in tuple(self._endpoints.values())
            if endpoint.record.service == service
            and not endpoint.record.draining
        ]

    def snapshot_workloads(self) -> dict[int, Workload]:
        """Return this entry's workloads by the digests of endpoints."""
        return {
            endpoint.digest: endpoint.backlog.snapshot()
            for endpoint in tuple(self._endpoints.values())
        }

    def snapshot_slowness(self) -> dict[int, Slowness]:
        """Return the slowness that this entry saw, by endpoints' digests."""
        return {
            endpoint.digest: endpoint.slowness.snapshot()
            for endpoint in tuple(self._endpoints.values())
        }

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply an endpoint's newest record, or its removal."""
        if content is None:
            self._expire(key)
            return
        try:
            record = self._decoder.decode_endpoint(key, content)
        except DECODE_ERRORS as error:
            logger.warning('invalid record ignored', key=key, why=repr(error))
            return
        known = self._endpoints.get(key)
        if known is None or _is_other_incarnation(known.record, record):
            self._remove(key, 'replaced')
            self._endpoints[key] = self._create(key, record)
            _log_endpoint('endpoint registered', record)
            return
        if record.draining and not known.record.draining:
            _log_endpoint('endpoint draining', record)
        known.update(record)

    def presume_zone_cold(self, zone: str) -> None:
        """Treat a zone's endpoints as cold until each reports its state."""
        for endpoint in tuple(self._endpoints.values()):
            if endpoint.record.zone == zone:
                endpoint.is_presumed_cold = True

    def record_recovery(self) -> None:
        """Start the grace period of records that expired in an outage."""
        super().record_recovery()
        self._store_returned_at = time.monotonic()

    def record_restore(self, missing: Collection[str]) -> None:
        """Expire the endpoints that the store lost; live ones register again.

        Their grace period starts now.
        """
        self.record_recovery()
        for key in missing:
            self._expire(key)

    def record_catch_up(self) -> None:
        """Remove expired endpoints whose grace period is over."""
        super().record_catch_up()
        now = time.monotonic()
        for key, endpoint in tuple(self._endpoints.items()):
            expired_at = endpoint.expired_at
            if (
                expired_at is not None
                and now - expired_at >= EXPIRY_GRACE_SECONDS
            ):
                self._remove(key, 'lapsed')

    def _expire(self, key: str) -> None:
        endpoint = self._endpoints.get(key)
        if endpoint is None:
            return
        if time.monotonic() - self._store_returned_at < EXPIRY_GRACE_SECONDS:
            endpoint.expired_at = self._store_returned_at
        else:
            self._remove(key, 'removed')

    def _create(self, key: str, record: EndpointRecord) -> Endpoint:
        """Return the removed endpoint of the same incarnation, or a new one."""
        removed = self._removed.pop(key, None)
        if removed is None or _is_other_incarnation(removed.record, record):
            return Endpoint(record)
        removed.update(record)
        return removed

    def _remove(self, key: str, why: str) -> None:
        endpoint = self._endpoints.pop(key, None)
        if endpoint is not None:
            self._removed[key] = endpoint
            while len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)
            logger.info('endpoint removed', endpoint=key, why=why)
            self._on_removed(endpoint)


def _is_other_incarnation(
    known: EndpointRecord, record: EndpointRecord
) -> bool:
    """Return True if start, address or service of two records differ."""
    return (
        known.incarnation != record.incarnation
        or known.host != record.host
        or known.port != record.port
        or known.service != record.service
    )


def _log_endpoint(message: str, record: EndpointRecord) -> None:
    logger.info(
        message,
        endpoint=record.identifier,
        service=record.service,
        zone=record.zone,
        version=record.version,
        address=f'{record.host}:{record.port}',
        cold_seconds=record.cold_seconds,
    )
