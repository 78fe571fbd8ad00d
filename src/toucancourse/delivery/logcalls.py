"""An entry's calls to the log that one sidecar makes for it."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from ..protocol import peer_pb2
from ..protocol.versions import COLLECTING_VERSION
from ..streams.collectorlog import CollectorGoneError, CollectorPeer

Send = Callable[[peer_pb2.LogCall], None]


class LogCalls(CollectorPeer):
    """Calls over one peer stream that wait for their answers, by number."""

    def __init__(self, name: str, is_usable: Callable[[], bool]) -> None:
        """Keep the sidecar's name and the check of its stream."""
        self._name = name
        self._is_usable = is_usable
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Future[peer_pb2.LogAnswer]] = {}
        #: Gives a call to the stream; None while there is no stream.
        self._send: Send | None = None

    @property
    def name(self) -> str:
        """Return the sidecar's instance name."""
        return self._name

    def is_available(self) -> bool:
        """Return True if the sidecar can call the log now."""
        return self._send is not None and self._is_usable()

    def open(self, version: int, send: Send) -> None:
        """Begin with a new stream to a sidecar of a protocol version."""
        with self._lock:
            self._send = send if version >= COLLECTING_VERSION else None

    def close(self) -> None:
        """Fail the calls of a stream that broke."""
        with self._lock:
            self._send = None
            futures = list(self._waiting.values())
            self._waiting.clear()
        for future in futures:
            future.set_exception(
                CollectorGoneError(f'the stream to "{self._name}" broke')
            )

    def call_log(
        self,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        """Return the answer to a call.

        Raises CollectorGoneError if none came within the timeout in seconds.
        """
        future: Future[peer_pb2.LogAnswer] = Future()
        with self._lock:
            send = self._send
            if send is None:
                raise CollectorGoneError(f'"{self._name}" is not connected')
            call.number = next(self._numbers)
            self._waiting[call.number] = future
        send(call)
        try:
            return future.result(timeout)
        except FutureTimeoutError:
            raise CollectorGoneError(f'"{self._name}" is silent') from None
        finally:
            with self._lock:
                self._waiting.pop(call.number, None)

    def receive(self, answer: peer_pb2.LogAnswer) -> None:
        """Take an answer; one that nobody waits for is dropped."""
        with self._lock:
            future = self._waiting.pop(answer.number, None)
        if future is not None:
            future.set_result(answer)
