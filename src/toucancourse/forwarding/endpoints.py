"""The endpoints that this entry knows, and what it has at each."""

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..errors import DECODE_ERRORS
from ..membership.feeds import Listener
from .backlog import Backlog
from .digests import hash_text
from .loads import Work
from .objects import Call, EndpointRecord
from .records import Decoder

#: How long an endpoint whose entry lapsed in an outage of the store stays in
#: use after the store's return; live ones are back within two seconds.
LAPSE_GRACE_SECONDS: Final = 1.8
#: Prompt parts remembered for each endpoint.
MAX_PARTS: Final = 2000
#: Weight of the newest answer in an endpoint's usual time.
PACE_STEP: Final = 0.2
#: A single answer counts at most this many times the usual one.
MAX_PACE: Final = 20.0
#: Pause before an endpoint that could not be reached is tried again.
FIRST_PAUSE_SECONDS: Final = 0.3
MAX_PAUSE_SECONDS: Final = 2.4
RATE_WINDOW_SECONDS: Final = 1.0


class Endpoint:
    """One incarnation of an endpoint; all times are time.monotonic()."""

    def __init__(self, record: EndpointRecord) -> None:
        """Start with no work there."""
        self.lock = threading.Lock()
        self.record = record
        self.backlog = Backlog()
        #: Observed time over expected time of its answers.
        self.pace = 1.0
        self.cold_until = 0.0
        self.lapsed_at: float | None = None
        self.paused_until = 0.0
        #: True until its next record if it could not be reached.
        self.is_suspect = False
        self._pause = FIRST_PAUSE_SECONDS
        self._sent: deque[float] = deque()
        self._parts: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.update(record)

    def update(self, record: EndpointRecord) -> None:
        """Take a newer record of the same incarnation."""
        self.record = record
        self.lapsed_at = None
        self.is_suspect = False
        self.note_cold(record.cold_seconds)

    def note_cold(self, seconds: float) -> None:
        """Take how much longer the endpoint says it is cold."""
        self.cold_until = time.monotonic() + seconds if seconds else 0.0

    def is_cold(self) -> bool:
        """Return True if the endpoint is cold or may be."""
        return self.is_suspect or time.monotonic() < self.cold_until

    def is_usable(self) -> bool:
        """Return True unless the endpoint leaves or could not be reached."""
        return (
            not self.record.draining and time.monotonic() >= self.paused_until
        )

    def note_pace(self, ratio: float) -> None:
        """Take observed over expected time of one answer."""
        self.pace += PACE_STEP * (min(ratio, MAX_PACE) - self.pace)

    def note_unreachable(self) -> None:
        """Leave the endpoint alone for a while, longer each time."""
        with self.lock:
            self.paused_until = time.monotonic() + self._pause
            self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)
            self.is_suspect = True

    def note_answer(self) -> None:
        """Take note that the endpoint answered."""
        self._pause = FIRST_PAUSE_SECONDS
        self.is_suspect = False

    def count_fresh_tokens(self, call: Call, model: str) -> int:
        """Return the prompt tokens that the endpoint has to read."""
        fresh = call.prompt_tokens
        for part in call.prompt:
            if (model, part.identifier) not in self._parts:
                break
            fresh -= part.tokens
        return max(0, fresh)

    def note_parts(self, call: Call, model: str) -> None:
        """Remember the parts of a prompt that was read there."""
        with self.lock:
            for part in call.prompt:
                self._parts[(model, part.identifier)] = None
                self._parts.move_to_end((model, part.identifier))
            while len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)

    def reserve(self, rate: float) -> bool:
        """Count a request that will be sent, unless that passes the rate.

        The rate holds for a second while the endpoint is cold.
        """
        now = time.monotonic()
        is_limited = self.is_cold()
        with self.lock:
            while self._sent and now - self._sent[0] > RATE_WINDOW_SECONDS:
                self._sent.popleft()
            if is_limited and len(self._sent) + 1 > rate:
                return False
            self._sent.append(now)
            return True


class EndpointBook(Listener):
    """All endpoints that are registered, by identifier."""

    def __init__(
        self,
        decoder: Decoder,
        on_gone: Callable[[Endpoint], None],
    ) -> None:
        """Start with none; on_gone is told of each that is dropped."""
        self._decoder = decoder
        self._on_gone = on_gone
        self._endpoints: dict[str, Endpoint] = {}
        self._returned = float('-inf')

    def list_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not leaving."""
        return [
            endpoint
            for endpoint in tuple(self._endpoints.values())
            if endpoint.record.service == service
            and not endpoint.record.draining
        ]

    def describe_work(self) -> dict[int, Work]:
        """Return this entry's work by the digests of endpoints."""
        return {
            hash_text(key): endpoint.backlog.describe()
            for key, endpoint in tuple(self._endpoints.items())
        }

    def apply(self, key: str, content: bytes | None) -> None:
        """Take an endpoint's newest record, or its end."""
        if content is None:
            self._lapse(key)
            return
        try:
            record = self._decoder.decode_endpoint(key, content)
        except DECODE_ERRORS as error:
            logger.warning('record not read', key=key, why=repr(error))
            return
        known = self._endpoints.get(key)
        if known is None or _is_other(known.record, record):
            self._drop(key, 'replaced')
            self._endpoints[key] = Endpoint(record)
            _log_endpoint('endpoint known', record)
            return
        if record.draining and not known.record.draining:
            _log_endpoint('endpoint draining', record)
        known.update(record)

    def suspect_zone(self, zone: str) -> None:
        """Take a zone's endpoints as cold until each tells of itself."""
        for endpoint in tuple(self._endpoints.values()):
            if endpoint.record.zone == zone:
                endpoint.is_suspect = True

    def record_recovery(self) -> None:
        """Keep entries that lapsed in an outage for a while."""
        super().record_recovery()
        self._returned = time.monotonic()

    def record_catch_up(self) -> None:
        """Drop the entries that did not come back in time."""
        super().record_catch_up()
        now = time.monotonic()
        for key, endpoint in tuple(self._endpoints.items()):
            lapsed = endpoint.lapsed_at
            if lapsed is not None and now - lapsed >= LAPSE_GRACE_SECONDS:
                self._drop(key, 'lapsed')

    def _lapse(self, key: str) -> None:
        endpoint = self._endpoints.get(key)
        if endpoint is None:
            return
        if time.monotonic() - self._returned < LAPSE_GRACE_SECONDS:
            endpoint.lapsed_at = self._returned
        else:
            self._drop(key, 'removed')

    def _drop(self, key: str, why: str) -> None:
        endpoint = self._endpoints.pop(key, None)
        if endpoint is not None:
            logger.info('endpoint gone', endpoint=key, why=why)
            self._on_gone(endpoint)


def _is_other(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return True if a record is of another start or place."""
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
