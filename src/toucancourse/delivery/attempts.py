"""The entry's state of one attempt of a request at one endpoint."""

import threading
from collections.abc import Callable
from typing import Final

from ..errors import (
    CourseError,
    EndpointError,
    Outcome,
    UnavailableError,
    UnknownOutcomeError,
)
from ..protocol import peer_pb2

#: First digits of the statuses that end an HTTP exchange.
FINAL_CLASSES: Final = range(2, 6)
Writer = Callable[[bytes], object]


class RefusedError(CourseError):
    """The sidecar refused the attempt, or the attempt failed there."""

    def __init__(self, end: peer_pb2.End) -> None:
        """Create the error from code, text and outcome of the last frame."""
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

    Frames arrive on the thread that reads the peer stream. Once a writer is
    set, that thread passes their data to it without waking the thread that
    waits for the end.
    """

    def __init__(self, request: peer_pb2.Open) -> None:
        """Create the attempt for a request that is not sent yet."""
        self.request = request
        #: True from just before the request is given to the transport.
        self.sent = False
        #: Status and content type of the response, once received.
        self.head: peer_pb2.Head | None = None
        self.end: peer_pb2.End | None = None
        self.next_seq = 0
        #: True once the writer failed, which means the caller disconnected.
        self.caller_disconnected = False
        self._changed = threading.Condition()
        self._error: CourseError | None = None
        self._chunks: list[bytes] = []
        self._writer: Writer | None = None

    def deliver(self, frames: list[peer_pb2.Frame]) -> None:
        """Process the frames of one message; duplicates are dropped.

        The data of frames that arrive together is written in one call, so
        fewer writes are needed when the process falls behind.
        """
        chunks: list[bytes] = []
        for frame in frames:
            if frame.seq < self.next_seq or self._error is not None:
                continue
            if frame.seq > self.next_seq:
                self.fail(EndpointError('a frame of the response is missing'))
                return
            self.next_seq += 1
            if frame.data:
                chunks.append(frame.data)
        if chunks:
            self._receive_data(
                chunks[0] if len(chunks) == 1 else b''.join(chunks)
            )
        for frame in (frames[0], frames[-1]):
            if frame.HasField('head') or frame.HasField('end'):
                self._receive_head_or_end(frame)

    def fail(self, error: CourseError) -> None:
        """End the attempt with an error unless it has ended already."""
        with self._changed:
            if self._error is None and self.end is None:
                self._error = error
                self._changed.notify_all()

    def has_ended(self) -> bool:
        """Return True once the last frame or an error was received."""
        return self.end is not None or self._error is not None

    def may_have_run(self) -> bool:
        """Return False if the endpoint never received the whole request."""
        if self._error is not None:
            return self._error.outcome is not Outcome.not_run
        return self.end is None or self.end.outcome != Outcome.not_run

    def wait_head(self, timeout: float) -> bool:
        """Return True once the response head, the end or an error came.

        Returns False after timeout seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self.head is not None or self.has_ended(), timeout
            )

    def wait_end(self, timeout: float) -> bool:
        """Return True once the end or an error came, False after timeout."""
        with self._changed:
            return self._changed.wait_for(self.has_ended, timeout)

    def wait_end_or_disconnect(self, timeout: float) -> bool:
        """Return as wait_end(), but at once if the caller disconnects."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.has_ended() or self.caller_disconnected, timeout
            )
            return self.has_ended()

    def write_to(self, writer: Writer) -> None:
        """Pass the data received so far, and all later data, to a writer.

        The writer is set only after the buffered data is written: a frame
        that arrives meanwhile waits for the lock and can't overtake it.
        """
        with self._changed:
            chunks = b''.join(self._chunks)
            self._chunks = []
            if chunks:
                self._write(writer, chunks)
            self._writer = writer

    def body(self) -> bytes:
        """Return the body data received so far, unless a writer is set."""
        return b''.join(self._chunks)

    def check(self) -> peer_pb2.End:
        """Return the last frame if the response is complete.

        Raises CourseError if the attempt failed or a frame is missing.
        """
        if self._error is not None:
            raise self._error
        if self.end is None:
            raise UnknownOutcomeError('the response did not arrive in time')
        if self.end.code:
            raise RefusedError(self.end)
        if self.end.frames != self.next_seq:
            raise EndpointError('frames of the response are missing')
        return self.end

    def _receive_data(self, data: bytes) -> None:
        writer = self._writer
        if writer is None:
            with self._changed:
                writer = self._writer
                if writer is None:
                    self._chunks.append(data)
                    return
        self._write(writer, data)

    def _write(self, writer: Writer, data: bytes) -> None:
        if self.caller_disconnected:
            return
        try:
            writer(data)
        except Exception:  # noqa: BLE001 - any failure means no more writing
            self.caller_disconnected = True
            with self._changed:
                self._changed.notify_all()

    def _receive_head_or_end(self, frame: peer_pb2.Frame) -> None:
        with self._changed:
            if frame.HasField('head'):
                self._receive_head(frame.head)
            if frame.HasField('end'):
                self.end = frame.end
            self._changed.notify_all()

    def _receive_head(self, head: peer_pb2.Head) -> None:
        if head.status // 100 in FINAL_CLASSES:
            self.head = head
            return
        self.fail(EndpointError(f'the endpoint sent status {head.status}'))
