"""Inquiries to a sidecar about the attempts of other entries."""

import threading

from ..protocol import peer_pb2

InquiryKey = tuple[str, int]


class PendingInquiries:
    """Inquiries without an answer, by incarnation and attempt number."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._changed = threading.Condition()
        self._answers: dict[InquiryKey, list[peer_pb2.Fate]] = {}

    def register(self, incarnation: str, attempt: int) -> None:
        """Register an inquiry; call this before it is sent."""
        with self._changed:
            self._answers[incarnation, attempt] = []

    def wait_for(
        self,
        incarnation: str,
        attempt: int,
        timeout: float,
    ) -> peer_pb2.Fate | None:
        """Return the answer to an inquiry, or None after timeout seconds."""
        key = (incarnation, attempt)
        with self._changed:
            self._changed.wait_for(lambda: self._answers[key], timeout)
            answers = self._answers.pop(key)
        return answers[0] if answers else None

    def receive(self, fate: peer_pb2.Fate) -> None:
        """Store an answer; drop it if no inquiry waits for it."""
        with self._changed:
            answers = self._answers.get((fate.incarnation, fate.attempt))
            if answers is not None:
                answers.append(fate)
                self._changed.notify_all()
