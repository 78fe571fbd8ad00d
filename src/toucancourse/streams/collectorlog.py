"""Log client of the entries: through a collector, or directly."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final

from ..errors import LogDownError
from ..interfaces.log import Entry, Log, Page
from ..protocol import peer_pb2

MS: Final = 1000
#: Larger records, which are snapshots, are appended to the log directly.
MAX_BODY_CHARS: Final = 16384
#: How long a collector gets no calls after it failed.
COLLECTOR_BACKOFF_SECONDS: Final = 5.0
#: Time that a collector adds to a call: batching and a network round trip.
COLLECTOR_OVERHEAD_SECONDS: Final = 0.5


class CollectorGoneError(LogDownError):
    """The collector did not respond; the record may have been appended."""

    code = 'collector_gone'


class CollectorPeer(ABC):
    """A connected sidecar that calls the log on behalf of an entry."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the sidecar's instance name."""

    @abstractmethod
    def is_available(self) -> bool:
        """Return True if the sidecar is connected and supports log calls."""

    @abstractmethod
    def call_log(
        self,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        """Return the collector's response to a call of the log.

        Raises CollectorGoneError after the timeout in seconds.
        """


class CollectorLog(Log):
    """Calls the log through the first available collector, if there is one.

    An append to which a collector did not respond raises LogDownError, as one
    to which the log did not respond does. The repeated append then goes
    through another collector or to the log, and the record may be in the log
    twice: applying its items must be idempotent.
    """

    def __init__(
        self,
        direct: Log,
        find_collectors: Callable[[], Sequence[CollectorPeer]],
        timeout: float,
    ) -> None:
        """Create a log client; the timeout is that of one call in seconds."""
        self._direct = direct
        self._find_collectors = find_collectors
        self._timeout = timeout + COLLECTOR_OVERHEAD_SECONDS
        self._lock = threading.Lock()
        #: Collector -> time.monotonic() until which it gets no calls.
        self._backoff_until: dict[str, float] = {}

    def append(self, stream: str, body: str) -> int:
        """Append a record; return the offset of the record with its items."""
        collector = self._select_collector()
        if collector is None or len(body) > MAX_BODY_CHARS:
            return self._direct.append(stream, body)
        call = peer_pb2.LogCall(stream=stream, body=body)
        return int(self._call_collector(collector, call, self._timeout).offset)

    def read(
        self,
        stream: str,
        start: int,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> Page:
        """Return records from an offset on, or wait for the next one."""
        collector = self._select_collector()
        if collector is not None:
            call = peer_pb2.LogCall(
                stream=stream,
                start=start,
                limit=limit,
                wait_ms=int(wait_seconds * MS),
            )
            answer = self._call_collector(
                collector, call, self._timeout + wait_seconds
            )
            if not answer.behind:
                return _make_page(answer)
        return self._direct.read(stream, start, limit, wait_seconds)

    def _select_collector(self) -> CollectorPeer | None:
        now = time.monotonic()
        for collector in self._find_collectors():
            is_usable = now >= self._backoff_until.get(collector.name, 0.0)
            if is_usable and collector.is_available():
                return collector
        return None

    def _call_collector(
        self,
        collector: CollectorPeer,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        try:
            answer = collector.call_log(call, timeout)
        except CollectorGoneError:
            self._back_off(collector)
            raise
        if answer.error:
            self._back_off(collector)
            raise LogDownError(f'collector "{collector.name}": {answer.error}')
        return answer

    def _back_off(self, collector: CollectorPeer) -> None:
        until = time.monotonic() + COLLECTOR_BACKOFF_SECONDS
        with self._lock:
            self._backoff_until[collector.name] = until


def _make_page(answer: peer_pb2.LogAnswer) -> Page:
    entries = tuple(
        Entry(record.offset, record.body) for record in answer.records
    )
    return Page(answer.earliest, answer.end, entries, answer.age_ms / MS)
