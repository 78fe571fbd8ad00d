"""Proof that this process has the newest configuration."""

import threading
import time
from collections.abc import Iterable


class Freshness:
    """When the configuration here was last proven to be the newest.

    A freshness proof is a read of the log to its end, by this process or by a
    peer whose configuration offset is applied here too. Its time is the start
    of that read.

    All times are time.monotonic() seconds. Thread-safe.
    """

    def __init__(self, zone: str, stale_seconds: float) -> None:
        """Create a tracker without a proof, for a process of a zone."""
        self._lock = threading.Lock()
        self._zone = zone
        self._stale_seconds = stale_seconds
        self._proof = float('-inf')
        #: Zone -> time at which it was last heard from.
        self._zone_contact: dict[str, float] = {}
        #: Zone -> time at which it last read the log's end.
        self._log_contact: dict[str, float] = {}
        self._zones: frozenset[str] = frozenset()
        #: Highest offsets that any peer, and this process, applied.
        self._peer_offset = 0
        self._offset = 0

    @property
    def proof(self) -> float:
        """Return the time of the newest freshness proof."""
        return self._proof

    def update_zones(self, zones: Iterable[str]) -> None:
        """Set the zones in which other instances are listed."""
        self._zones = frozenset(zones)

    def record_log_read(self, started_at: float) -> None:
        """Record a read to the log's end, a proof as of its start."""
        with self._lock:
            self._proof = max(self._proof, started_at)
            self._advance(self._log_contact, self._zone, started_at)

    def record_peer_proof(self, proven_at: float) -> None:
        """Record a peer's proof for an offset that is applied here too."""
        with self._lock:
            self._proof = max(self._proof, proven_at)

    def record_offset(self, offset: int) -> None:
        """Record the offset that this process applied."""
        with self._lock:
            self._offset = max(self._offset, offset)

    def record_peer_offset(self, offset: int) -> None:
        """Record the offset that a peer applied."""
        with self._lock:
            self._peer_offset = max(self._peer_offset, offset)

    def record_zone_contact(
        self, zone: str, contact: float, log_contact: float
    ) -> None:
        """Record when a zone was last heard from, and its last log contact."""
        with self._lock:
            self._advance(self._zone_contact, zone, contact)
            self._advance(self._log_contact, zone, log_contact)

    def zone_contacts(self) -> tuple[tuple[str, float, float], ...]:
        """Return name, last contact and last log contact of each zone."""
        now = time.monotonic()
        with self._lock:
            contacts = {**self._zone_contact, self._zone: now}
            return tuple(
                (zone, contact, self._log_contact.get(zone, float('-inf')))
                for zone, contact in contacts.items()
            )

    def is_proof_aging(self) -> bool:
        """Return True if the proof is older than half the stale limit."""
        return time.monotonic() - self._proof > self._stale_seconds / 2

    def is_current(self) -> bool:
        """Return True unless a change older than the limit may be missing here.

        That holds with a recent proof. Without one it holds only in an outage
        of the log: every zone was heard from within the stale limit, no peer is
        ahead and no zone has reached the log since our proof. Otherwise this
        process may be partitioned from changes that others accepted. A
        process that was paused has no recent contact with any zone, not even
        its own, so it is not current until it hears from them.
        """
        now = time.monotonic()
        if now - self._proof <= self._stale_seconds:
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
                now - self._zone_contact.get(zone, float('-inf'))
                <= self._stale_seconds
                for zone in self._zones
            )

    def _advance(
        self, times: dict[str, float], zone: str, contact: float
    ) -> None:
        times[zone] = max(contact, times.get(zone, float('-inf')))
