"""One try of a request at one endpoint, seen from the entry."""

import threading
from collections.abc import Callable

from ..errors import (
    CourseError,
    EndpointError,
    Outcome,
    UnavailableError,
    UnknownOutcomeError,
)
from ..protocol import peer_pb2

Writer = Callable[[bytes], object]


class RefusedError(CourseError):
    """The sidecar refused or failed the attempt."""

    def __init__(self, end: peer_pb2.End) -> None:
        """Take code, text and outcome from the last frame."""
        super().__init__(end.text)
        self.code = end.code
        self.outcome = Outcome(end.outcome)
        if self.outcome is Outcome.not_run:
            self.status = UnavailableError.status
            self.retry_after = UnavailableError.retry_after
        else:
            self.status = EndpointError.status


class Attempt:
    """Collects the frames of one attempt in order.

    Frames arrive on the peer's reader thread. Once a writer is set they go
    straight to it, without waking the thread that waits for the end.
    """

    def __init__(self, request: peer_pb2.Open) -> None:
        """Start with nothing received."""
        self.request = request
        #: Set just before the request is given to the transport.
        self.sent = False
        #: Endpoint's answer head, once received.
        self.head: peer_pb2.Head | None = None
        self.end: peer_pb2.End | None = None
        self.next_seq = 0
        #: True once the writer failed because the caller is gone.
        self.caller_gone = False
        self._changed = threading.Condition()
        self._error: CourseError | None = None
        self._parts: list[bytes] = []
        self._writer: Writer | None = None

    def deliver(self, frames: list[peer_pb2.Frame]) -> None:
        """Take the frames of one message; repeated ones are dropped.

        Frames that arrive together are written at once, so a slow moment
        costs fewer writes and not more.
        """
        parts: list[bytes] = []
        for frame in frames:
            if frame.seq < self.next_seq or self._error is not None:
                continue
            if frame.seq > self.next_seq:
                self.fail(EndpointError('a frame of the answer is missing'))
                return
            self.next_seq += 1
            if frame.data:
                parts.append(frame.data)
        if parts:
            self._take_data(parts[0] if len(parts) == 1 else b''.join(parts))
        for frame in (frames[0], frames[-1]):
            if frame.HasField('head') or frame.HasField('end'):
                self._take_mark(frame)

    def fail(self, error: CourseError) -> None:
        """End the attempt with an error unless it has ended."""
        with self._changed:
            if self._error is None and self.end is None:
                self._error = error
                self._changed.notify_all()

    def has_ended(self) -> bool:
        """Return True once the last frame or an error came."""
        return self.end is not None or self._error is not None

    def may_have_run(self) -> bool:
        """Return False if the endpoint never had the whole request."""
        if self._error is not None:
            return self._error.outcome is not Outcome.not_run
        return self.end is None or self.end.outcome != Outcome.not_run

    def wait_head(self, timeout: float) -> bool:
        """Return True once the head, the end or an error came."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.head is not None or self.has_ended(), timeout
            )

    def wait_end(self, timeout: float) -> bool:
        """Return True once the end or an error came."""
        with self._changed:
            return self._changed.wait_for(self.has_ended, timeout)

    def wait_end_or_leave(self, timeout: float) -> bool:
        """Return as wait_end(), but at once if the caller is gone."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.has_ended() or self.caller_gone, timeout
            )
            return self.has_ended()

    def write_to(self, writer: Writer) -> None:
        """Write what came so far, and all that comes later, to a writer.

        The writer is set only after the first parts are written: a frame that
        arrives meanwhile waits for the lock and can't overtake them.
        """
        with self._changed:
            parts = b''.join(self._parts)
            self._parts = []
            if parts:
                self._write(writer, parts)
            self._writer = writer

    def body(self) -> bytes:
        """Return the body received so far."""
        return b''.join(self._parts)

    def check(self) -> peer_pb2.End:
        """Return the last frame of a whole answer.

        Raises a CourseError for anything else.
        """
        if self._error is not None:
            raise self._error
        if self.end is None:
            raise UnknownOutcomeError('the answer did not come in time')
        if self.end.code:
            raise RefusedError(self.end)
        if self.end.frames != self.next_seq:
            raise EndpointError('frames of the answer are missing')
        return self.end

    def _take_data(self, data: bytes) -> None:
        writer = self._writer
        if writer is None:
            with self._changed:
                writer = self._writer
                if writer is None:
                    self._parts.append(data)
                    return
        self._write(writer, data)

    def _write(self, writer: Writer, data: bytes) -> None:
        if self.caller_gone:
            return
        try:
            writer(data)
        except Exception:  # noqa: BLE001 - any failure means no more writing
            self.caller_gone = True
            with self._changed:
                self._changed.notify_all()

    def _take_mark(self, frame: peer_pb2.Frame) -> None:
        with self._changed:
            if frame.HasField('head'):
                self.head = frame.head
            if frame.HasField('end'):
                self.end = frame.end
            self._changed.notify_all()
