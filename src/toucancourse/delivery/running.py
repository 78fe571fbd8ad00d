"""Attempts in hand at a sidecar."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from ..errors import CourseError, Outcome
from ..protocol import peer_pb2
from .endpoint import EndpointCall, Reply

MS: Final = 1000
#: Ended attempts remembered to answer inquiries and refuse repeats.
REMEMBERED_ATTEMPTS: Final = 20_000

Emit = Callable[[peer_pb2.Frame], None]
Finish = Callable[['Running'], None]
AttemptKey = tuple[str, int]


class Running:
    """One attempt that this sidecar accepted, with the frames it made."""

    def __init__(
        self,
        request: peer_pb2.Open,
        emit: Emit,
        on_finish: Finish,
    ) -> None:
        """Keep the request, where its frames go and whom to tell its end."""
        self.request = request
        self.deadline = time.monotonic() + request.deadline_ms / MS
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
        """Return True if the endpoint gave its whole answer."""
        return self.end is not None and not self.end.code

    def send_head(self, reply: Reply) -> None:
        """Emit the first frame."""
        self.head = peer_pb2.Head(
            status=reply.status, content_type=reply.content_type
        )
        self._send(peer_pb2.Frame(head=self.head))

    def send_data(self, data: bytes) -> None:
        """Emit a part of the body."""
        self._send(peer_pb2.Frame(data=data))

    def send_end(self, error: CourseError | None = None) -> None:
        """Emit the last frame."""
        self.end = peer_pb2.End(
            frames=len(self._frames) + 1,
            usage=self.usage,
            code=error.code if error else '',
            text=error.text if error else '',
            outcome=str(error.outcome if error else Outcome.done),
        )
        self._on_finish(self)
        self._send(peer_pb2.Frame(end=self.end))

    def resend(self, next_seq: int, emit: Emit) -> None:
        """Send the frames from a number on, and all later ones, elsewhere."""
        with self._lock:
            self._emit = emit
            for frame in self._frames[next_seq:]:
                emit(frame)

    def body(self) -> bytes:
        """Return the body that was emitted so far."""
        return b''.join(frame.data for frame in self._frames)

    def forget(self) -> None:
        """Drop the frames of an attempt whose end arrived.

        Those of a call that can't be repeated stay for later inquiries.
        """
        if self.request.idempotent:
            self._frames = []

    def cancel(self) -> None:
        """Stop the endpoint's work on this attempt."""
        self.cancelled = True
        if self.call is not None:
            self.call.abort()

    def _send(self, frame: peer_pb2.Frame) -> None:
        with self._lock:
            frame.attempt = self.request.attempt
            frame.seq = len(self._frames)
            self._frames.append(frame)
            self._emit(frame)


class Attempts:
    """Attempts seen by this sidecar, so that none starts twice."""

    def __init__(self) -> None:
        """Start with none."""
        self._lock = threading.Lock()
        self._seen: OrderedDict[AttemptKey, Running | None] = OrderedDict()
        #: Incarnation -> highest attempt number no longer remembered.
        self._trimmed: dict[str, int] = {}

    def start(self, key: AttemptKey, running: Running) -> bool:
        """Return False if the attempt was barred; raises KeyError if seen."""
        with self._lock:
            if self._seen.get(key) is not None:
                raise KeyError(key)
            if key in self._seen or self._is_trimmed(key):
                return False
            self._seen[key] = running
            self._trim()
            return True

    def find(self, key: AttemptKey) -> Running | None:
        """Return an attempt that was started."""
        return self._seen.get(key)

    def inquire(self, key: AttemptKey) -> Running | None:
        """Return the attempt, or bar it for ever if it never arrived.

        Raises KeyError if the attempt is too old to be remembered.
        """
        with self._lock:
            if key not in self._seen and self._is_trimmed(key):
                raise KeyError(key)
            running = self._seen.setdefault(key, None)
            self._trim()
            return running

    def cancel_all(self, incarnation: str) -> None:
        """Cancel the model requests of an entry that is gone."""
        with self._lock:
            left = [
                running
                for (owner, _), running in self._seen.items()
                if owner == incarnation and running and not running.end
            ]
        for running in left:
            if running.request.idempotent:
                running.cancel()

    def _is_trimmed(self, key: AttemptKey) -> bool:
        incarnation, number = key
        return number <= self._trimmed.get(incarnation, 0)

    def _trim(self) -> None:
        while len(self._seen) > REMEMBERED_ATTEMPTS:
            (incarnation, number), _ = self._seen.popitem(last=False)
            self._trimmed[incarnation] = max(
                number, self._trimmed.get(incarnation, 0)
            )


class Bills:
    """Bills of finished requests until their entry confirms them."""

    def __init__(self) -> None:
        """Start with none."""
        self._lock = threading.Lock()
        self._copies: dict[str, peer_pb2.BillCopy] = {}

    def keep(self, running: Running) -> None:
        """Keep a copy of the bill of a whole answer."""
        if not running.is_done():
            return
        request = running.request
        copy = peer_pb2.BillCopy(
            request=request.request,
            customer=request.customer,
            version=request.version,
            kind=request.kind,
            usage=running.usage,
        )
        with self._lock:
            self._copies[request.request] = copy

    def settle(self, requests: list[str]) -> None:
        """Drop the copies of durable bills."""
        with self._lock:
            for request in requests:
                self._copies.pop(request, None)

    def orphans(self, live: set[str]) -> list[peer_pb2.BillCopy]:
        """Return copies whose entry's incarnation is not live."""
        with self._lock:
            return [
                copy
                for request, copy in self._copies.items()
                if request.partition(':')[0] not in live
            ]

    def __len__(self) -> int:
        """Return the number of copies kept."""
        return len(self._copies)
