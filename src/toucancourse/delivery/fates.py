"""Questions to a sidecar about attempts of other entries."""

import threading

from ..protocol import peer_pb2

FateKey = tuple[str, int]


class Fates:
    """Answers that are waited for, by incarnation and attempt number."""

    def __init__(self) -> None:
        """Start with none."""
        self._changed = threading.Condition()
        self._waiting: dict[FateKey, list[peer_pb2.Fate]] = {}

    def expect(self, incarnation: str, attempt: int) -> None:
        """Keep the answer about an attempt when it comes."""
        with self._changed:
            self._waiting[incarnation, attempt] = []

    def take(
        self,
        incarnation: str,
        attempt: int,
        timeout: float,
    ) -> peer_pb2.Fate | None:
        """Return an expected answer, or None after the timeout in seconds."""
        key = (incarnation, attempt)
        with self._changed:
            self._changed.wait_for(lambda: self._waiting[key], timeout)
            found = self._waiting.pop(key)
        return found[0] if found else None

    def receive(self, fate: peer_pb2.Fate) -> None:
        """Take an answer; one that nobody expects is dropped."""
        with self._changed:
            waiting = self._waiting.get((fate.incarnation, fate.attempt))
            if waiting is not None:
                waiting.append(fate)
                self._changed.notify_all()
