"""Proof that the configuration here is the newest there is."""

import threading
import time
from collections.abc import Iterable


class Freshness:
    """When the configuration was last known to be the newest there is.

    All times are seconds of time.monotonic().
    """

    def __init__(self, zone: str, stale_seconds: float) -> None:
        """Start with no proof."""
        self._lock = threading.Lock()
        self._zone = zone
        self._stale = stale_seconds
        self._proof = float('-inf')
        self._heard: dict[str, float] = {}
        self._log_contact: dict[str, float] = {}
        self._zones: frozenset[str] = frozenset()
        #: Highest offsets that a peer, and this process, reached.
        self._peer_offset = 0
        self._offset = 0

    @property
    def proof(self) -> float:
        """Return the time of the newest proof."""
        return self._proof

    def expect_zones(self, zones: Iterable[str]) -> None:
        """Set the zones in which other instances are listed."""
        self._zones = frozenset(zones)

    def note_log(self, moment: float) -> None:
        """Take a read of the log's end, started at a moment, as proof."""
        with self._lock:
            self._proof = max(self._proof, moment)
            self._raise(self._log_contact, self._zone, moment)

    def note_peer(self, moment: float) -> None:
        """Take a peer's proof, valid at a moment, for an offset we reached."""
        with self._lock:
            self._proof = max(self._proof, moment)

    def note_offset(self, offset: int) -> None:
        """Take the offset that this process reached."""
        with self._lock:
            self._offset = max(self._offset, offset)

    def note_peer_offset(self, offset: int) -> None:
        """Take the offset that a peer reached."""
        with self._lock:
            self._peer_offset = max(self._peer_offset, offset)

    def note_zone(self, zone: str, heard: float, log_contact: float) -> None:
        """Take a report that a zone was heard from and its log contact."""
        with self._lock:
            self._raise(self._heard, zone, heard)
            self._raise(self._log_contact, zone, log_contact)

    def zones(self) -> tuple[tuple[str, float, float], ...]:
        """Return zone, time heard and time of log contact of each zone."""
        now = time.monotonic()
        with self._lock:
            heard = {**self._heard, self._zone: now}
            return tuple(
                (zone, moment, self._log_contact.get(zone, float('-inf')))
                for zone, moment in heard.items()
            )

    def is_aging(self) -> bool:
        """Return True if the proof is older than half of what is allowed."""
        return time.monotonic() - self._proof > self._stale / 2

    def is_current(self) -> bool:
        """Return True if no accepted change can be missing here for long.

        That is so with a recent proof. Without one it is so if every zone
        was heard from lately, no peer is ahead, and none has reached the log
        since our proof, which is how an outage of the log differs from being
        cut off. A process that was paused has heard of no zone lately, its
        own included.
        """
        now = time.monotonic()
        if now - self._proof <= self._stale:
            return True
        if self._proof == float('-inf'):
            return False
        with self._lock:
            if self._peer_offset > self._offset:
                return False
            latest = max(self._log_contact.values(), default=float('-inf'))
            if latest > self._proof:
                return False
            return all(
                now - self._heard.get(zone, float('-inf')) <= self._stale
                for zone in self._zones
            )

    def _raise(self, times: dict[str, float], zone: str, moment: float) -> None:
        times[zone] = max(moment, times.get(zone, float('-inf')))
