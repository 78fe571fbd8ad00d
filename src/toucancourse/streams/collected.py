"""The log as entries reach it: through a collector, or directly."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final

from ..errors import LogDownError
from ..interfaces.log import Entry, Log, Page
from ..protocol import peer_pb2

MS: Final = 1000
#: Larger records, which are snapshots, go to the log directly.
MAX_BODY_CHARS: Final = 16384
#: How long a collector that failed is not asked again.
REST_SECONDS: Final = 5.0
#: Time for the collector's gathering and for both ways to it.
EXTRA_SECONDS: Final = 0.5


class CollectorGoneError(LogDownError):
    """The collector did not answer; a record may have been appended."""

    code = 'collector_gone'


class CollectorPeer(ABC):
    """A sidecar that calls the log for others."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the sidecar's instance name."""

    @abstractmethod
    def is_collecting(self) -> bool:
        """Return True if the sidecar is connected and new enough."""

    @abstractmethod
    def call_log(
        self,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        """Return the answer to a call.

        Raises CollectorGoneError after the timeout in seconds.
        """


class CollectedLog(Log):
    """Calls the log through the first collector that works, if there is one.

    An append that a collector left unanswered fails as one that the log left
    unanswered does. The caller repeats it, which then goes another way, so
    its items must be harmless to fold twice.
    """

    def __init__(
        self,
        direct: Log,
        find_collectors: Callable[[], Sequence[CollectorPeer]],
        timeout: float,
    ) -> None:
        """Keep the parts; the timeout is that of one call in seconds."""
        self._direct = direct
        self._find_collectors = find_collectors
        self._timeout = timeout + EXTRA_SECONDS
        self._lock = threading.Lock()
        #: Collector -> time.monotonic() until which it is not asked.
        self._resting: dict[str, float] = {}

    def append(self, stream: str, body: str) -> int:
        """Return the offset of the record that holds the appended items."""
        collector = self._choose()
        if collector is None or len(body) > MAX_BODY_CHARS:
            return self._direct.append(stream, body)
        call = peer_pb2.LogCall(stream=stream, body=body)
        return int(self._call(collector, call, self._timeout).offset)

    def read(
        self,
        stream: str,
        start: int,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> Page:
        """Return records from an offset on, waiting if there are none yet."""
        collector = self._choose()
        if collector is not None:
            call = peer_pb2.LogCall(
                stream=stream,
                start=start,
                limit=limit,
                wait_ms=int(wait_seconds * MS),
            )
            answer = self._call(collector, call, self._timeout + wait_seconds)
            if not answer.behind:
                return _make_page(answer)
        return self._direct.read(stream, start, limit, wait_seconds)

    def _choose(self) -> CollectorPeer | None:
        now = time.monotonic()
        for collector in self._find_collectors():
            rested = now >= self._resting.get(collector.name, 0.0)
            if rested and collector.is_collecting():
                return collector
        return None

    def _call(
        self,
        collector: CollectorPeer,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        try:
            answer = collector.call_log(call, timeout)
        except CollectorGoneError:
            self._rest(collector)
            raise
        if answer.error:
            self._rest(collector)
            raise LogDownError(f'collector "{collector.name}": {answer.error}')
        return answer

    def _rest(self, collector: CollectorPeer) -> None:
        until = time.monotonic() + REST_SECONDS
        with self._lock:
            self._resting[collector.name] = until


def _make_page(answer: peer_pb2.LogAnswer) -> Page:
    entries = tuple(Entry(row.offset, row.body) for row in answer.records)
    return Page(answer.earliest, answer.end, entries, answer.age_ms / MS)
