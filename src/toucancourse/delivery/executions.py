"""Execution of attempts at a sidecar, and the bills that they leave."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from ..errors import CourseError, Outcome
from ..protocol import peer_pb2
from .endpoint import EndpointCall, ResponseHead

MS_PER_SECOND: Final = 1000
#: Attempts kept, to answer inquiries and to refuse duplicates.
MAX_TRACKED_ATTEMPTS: Final = 20_000

EmitFrame = Callable[[peer_pb2.Frame], None]
FinishCallback = Callable[['Execution'], None]
AttemptKey = tuple[str, int]


class Execution:
    """The run of one attempt at this sidecar, with the frames it sent."""

    def __init__(
        self,
        request: peer_pb2.Open,
        emit: EmitFrame,
        on_finish: FinishCallback,
    ) -> None:
        """Create the execution of a request.

        Each frame goes to emit(); on_finish() is called before the last one.
        """
        self.request = request
        self.deadline = time.monotonic() + request.deadline_ms / MS_PER_SECOND
        self.call: EndpointCall | None = None
        self.dispatched = False
        self.cancelled = False
        self.usage: peer_pb2.Usage | None = None
        self.head: peer_pb2.Head | None = None
        self.end: peer_pb2.End | None = None
        self._lock = threading.Lock()
        self._frames: list[peer_pb2.Frame] = []
        self._emit = emit
        self._on_finish = on_finish

    def is_done(self) -> bool:
        """Return True if the endpoint's whole response was received."""
        return self.end is not None and not self.end.code

    def send_head(self, response: ResponseHead) -> None:
        """Emit the first frame, with status and content type."""
        self.head = peer_pb2.Head(
            status=response.status, content_type=response.content_type
        )
        self._send(peer_pb2.Frame(head=self.head))

    def send_data(self, data: bytes) -> None:
        """Emit a frame with a part of the body."""
        self._send(peer_pb2.Frame(data=data))

    def send_end(self, error: CourseError | None = None) -> None:
        """Emit the last frame, with the error if the attempt failed."""
        self.end = peer_pb2.End(
            frames=len(self._frames) + 1,
            usage=self.usage,
            code=error.code if error else '',
            text=error.text if error else '',
            outcome=str(error.outcome if error else Outcome.done),
        )
        self._on_finish(self)
        self._send(peer_pb2.Frame(end=self.end))

    def resend(self, next_seq: int, emit: EmitFrame) -> None:
        """Emit the frames from next_seq on again; later ones go there too."""
        with self._lock:
            self._emit = emit
            for frame in self._frames[next_seq:]:
                emit(frame)

    def body(self) -> bytes:
        """Return the body emitted so far."""
        return b''.join(frame.data for frame in self._frames)

    def release_frames(self) -> None:
        """Free the frames once the entry has received the last one.

        The frames of a request that is not idempotent stay for later
        inquiries.
        """
        if self.request.idempotent:
            self._frames = []

    def cancel(self) -> None:
        """Mark as cancelled and break the connection to the endpoint."""
        self.cancelled = True
        if self.call is not None:
            self.call.abort()

    def _send(self, frame: peer_pb2.Frame) -> None:
        with self._lock:
            frame.attempt = self.request.attempt
            frame.seq = len(self._frames)
            self._frames.append(frame)
            self._emit(frame)


class AttemptRegistry:
    """The attempts that this sidecar knows; none starts twice.

    An attempt that an inquiry finds unknown is fenced: it is stored as None
    and no longer starts if it arrives later.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._lock = threading.Lock()
        self._executions: OrderedDict[AttemptKey, Execution | None] = (
            OrderedDict()
        )
        #: Incarnation -> highest attempt number that was evicted.
        self._evicted: dict[str, int] = {}

    def start(self, key: AttemptKey, execution: Execution) -> bool:
        """Register an attempt; return False if it must not run.

        It must not if it was fenced or is old enough to have been evicted.
        Raises KeyError if it was started before.
        """
        with self._lock:
            if self._executions.get(key) is not None:
                raise KeyError(key)
            if key in self._executions or self._is_evicted(key):
                return False
            self._executions[key] = execution
            self._evict()
            return True

    def find(self, key: AttemptKey) -> Execution | None:
        """Return the execution of an attempt, or None if it never started."""
        return self._executions.get(key)

    def find_or_fence(self, key: AttemptKey) -> Execution | None:
        """Return the execution, or fence the attempt if it never arrived.

        Raises KeyError if the attempt may have been evicted.
        """
        with self._lock:
            if key not in self._executions and self._is_evicted(key):
                raise KeyError(key)
            execution = self._executions.setdefault(key, None)
            self._evict()
            return execution

    def cancel_all(self, incarnation: str) -> None:
        """Cancel the idempotent requests of a disconnected entry."""
        with self._lock:
            unfinished = [
                execution
                for (owner, _), execution in self._executions.items()
                if owner == incarnation and execution and not execution.end
            ]
        for execution in unfinished:
            if execution.request.idempotent:
                execution.cancel()

    def _is_evicted(self, key: AttemptKey) -> bool:
        incarnation, number = key
        return number <= self._evicted.get(incarnation, 0)

    def _evict(self) -> None:
        while len(self._executions) > MAX_TRACKED_ATTEMPTS:
            (incarnation, number), _ = self._executions.popitem(last=False)
            self._evicted[incarnation] = max(
                number, self._evicted.get(incarnation, 0)
            )


class UnconfirmedBills:
    """Copies of bills, kept until the entry confirms they are durable."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._lock = threading.Lock()
        self._bills: dict[str, peer_pb2.BillCopy] = {}

    def add(self, execution: Execution) -> None:
        """Store the bill of an execution that was done; ignore others."""
        if not execution.is_done():
            return
        request = execution.request
        bill = peer_pb2.BillCopy(
            request=request.request,
            customer=request.customer,
            version=request.version,
            kind=request.kind,
            usage=execution.usage,
        )
        with self._lock:
            self._bills[request.request] = bill

    def confirm(self, requests: list[str]) -> None:
        """Drop the copies of bills that are durable."""
        with self._lock:
            for request in requests:
                self._bills.pop(request, None)

    def find_orphans(self, live: set[str]) -> list[peer_pb2.BillCopy]:
        """Return the bills of entries whose incarnation is not in live."""
        with self._lock:
            return [
                bill
                for request, bill in self._bills.items()
                if request.partition(':')[0] not in live
            ]

    def __len__(self) -> int:
        """Return the number of unconfirmed bills."""
        return len(self._bills)
