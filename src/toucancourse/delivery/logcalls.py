"""Log calls of an entry that a sidecar forwards to the log."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from ..protocol import peer_pb2
from ..protocol.versions import MIN_COLLECTOR_VERSION
from ..streams.collectorlog import CollectorGoneError, CollectorPeer

SendCall = Callable[[peer_pb2.LogCall], None]


class LogCalls(CollectorPeer):
    """Client of one sidecar's collector; matches answers by number."""

    def __init__(self, name: str, is_usable: Callable[[], bool]) -> None:
        """Create a client for a sidecar; open() gives it a stream.

        is_usable returns True while the sidecar may get new calls.
        """
        self._name = name
        self._is_usable = is_usable
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._futures: dict[int, Future[peer_pb2.LogAnswer]] = {}
        #: Queues a call on the stream; None while disconnected, or if the
        #: sidecar's version is too old.
        self._send: SendCall | None = None

    @property
    def name(self) -> str:
        """Return the sidecar's instance name."""
        return self._name

    def is_available(self) -> bool:
        """Return True if the sidecar can forward calls to the log now."""
        return self._send is not None and self._is_usable()

    def open(self, version: int, send: SendCall) -> None:
        """Use a new stream if the sidecar's protocol version allows it."""
        with self._lock:
            self._send = send if version >= MIN_COLLECTOR_VERSION else None

    def close(self) -> None:
        """Fail all pending calls, since the stream broke.

        They get CollectorGoneError.
        """
        with self._lock:
            self._send = None
            futures = list(self._futures.values())
            self._futures.clear()
        for future in futures:
            future.set_exception(
                CollectorGoneError(
                    f'the stream to sidecar "{self._name}" broke'
                )
            )

    def call_log(
        self,
        call: peer_pb2.LogCall,
        timeout: float,
    ) -> peer_pb2.LogAnswer:
        """Return the answer to a call.

        Raises CollectorGoneError if the sidecar is disconnected or sends no
        answer within timeout seconds.
        """
        future: Future[peer_pb2.LogAnswer] = Future()
        with self._lock:
            send = self._send
            if send is None:
                raise CollectorGoneError(
                    f'sidecar "{self._name}" is not connected'
                )
            call.number = next(self._numbers)
            self._futures[call.number] = future
        send(call)
        try:
            return future.result(timeout)
        except FutureTimeoutError:
            raise CollectorGoneError(
                f'sidecar "{self._name}" did not answer in time'
            ) from None
        finally:
            with self._lock:
                self._futures.pop(call.number, None)

    def receive(self, answer: peer_pb2.LogAnswer) -> None:
        """Complete the call with this number; drop an unexpected answer."""
        with self._lock:
            future = self._futures.pop(answer.number, None)
        if future is not None:
            future.set_result(answer)
