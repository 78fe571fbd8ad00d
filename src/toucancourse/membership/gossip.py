"""Exchange of status and configuration records with one peer."""

import time
from collections.abc import Sequence
from typing import Final

from ..contract.records import encode_record
from ..contract.snapshots import create_snapshot
from ..contract.state import State
from ..interfaces.log import Entry
from ..protocol import peer_pb2
from .configuration import Configuration
from .freshness import Freshness

MS_PER_SECOND: Final = 1000
#: Age that stands for "never" in a status.
NEVER_MS: Final = 1_000_000_000_000
#: Records pushed in one message.
MAX_PUSH_RECORDS: Final = 500


def _compute_age_ms(now: float, event_time: float) -> int:
    if event_time == float('-inf'):
        return NEVER_MS
    return max(0, int((now - event_time) * MS_PER_SECOND) + 1)


class Gossip:
    """State of the gossip with one peer: its status and what it was sent."""

    def __init__(
        self,
        configuration: Configuration,
        freshness: Freshness,
        heartbeat_seconds: float,
    ) -> None:
        """Create the state of a new stream, on which no status was received."""
        self._configuration = configuration
        self._freshness = freshness
        #: Timestamp of the peer's last status, which our next one echoes.
        self._peer_sent_ms = 0
        self.zone = ''
        self.instance = ''
        #: Offset in the peer's last status; None before the first one.
        self.offset: int | None = None
        #: True if the peer's last status said that it is draining.
        self.leaving = False
        #: Offset up to which records were pushed to the peer.
        self._pushed_offset = 0
        self._status_made_at = float('-inf')
        #: Seconds between statuses on this stream while the proof is recent.
        self.period = heartbeat_seconds
        self._heartbeat = heartbeat_seconds

    def find_period(self) -> float:
        """Return the current period of statuses in seconds.

        It is the shorter heartbeat period while the freshness proof ages.
        """
        return (
            self._heartbeat if self._freshness.is_proof_aging() else self.period
        )

    def is_due(self) -> bool:
        """Return True if the last status was made a period ago or earlier."""
        return time.monotonic() - self._status_made_at >= self.find_period()

    def make_status(self, *, leaving: bool) -> peer_pb2.Status:
        """Return a status of this process, to be sent at once."""
        now = time.monotonic()
        self._status_made_at = now
        status = peer_pb2.Status(
            offset=self._configuration.offset,
            proof_age_ms=_compute_age_ms(now, self._freshness.proof),
            sent_ms=int(now * MS_PER_SECOND),
            echo_ms=self._peer_sent_ms,
            leaving=leaving,
            period_ms=int(self.period * MS_PER_SECOND),
        )
        # Contacts of zones are only needed while the proof is aging.
        zones = (
            self._freshness.zone_contacts()
            if self._freshness.is_proof_aging()
            else ()
        )
        for zone, contact, log_contact in zones:
            status.zones.add(
                zone=zone,
                heard_age_ms=_compute_age_ms(now, contact),
                log_age_ms=_compute_age_ms(now, log_contact),
            )
        return status

    def receive(self, status: peer_pb2.Status) -> None:
        """Apply a status of the peer.

        The peer's ages are subtracted from the time at which we sent the
        timestamp that it echoes. That is before the peer computed them, so a
        delayed message never makes a proof look newer than it is.
        """
        self._peer_sent_ms = status.sent_ms
        self.offset = status.offset
        self.leaving = status.leaving
        self._freshness.record_peer_offset(status.offset)
        if status.period_ms:
            self.period = max(self._heartbeat, status.period_ms / MS_PER_SECOND)
        if not status.echo_ms:
            return
        echoed_at = status.echo_ms / MS_PER_SECOND
        proof = echoed_at - status.proof_age_ms / MS_PER_SECOND
        if self._configuration.offset >= status.offset:
            self._freshness.record_peer_proof(proof)
        self._freshness.record_zone_contact(self.zone, echoed_at, proof)
        for zone_status in status.zones:
            self._freshness.record_zone_contact(
                zone_status.zone,
                echoed_at - zone_status.heard_age_ms / MS_PER_SECOND,
                echoed_at - zone_status.log_age_ms / MS_PER_SECOND,
            )

    def collect_records(self) -> list[peer_pb2.Record]:
        """Return the records to push: those that the peer lacks, each once.

        If they are no longer kept here, it is one snapshot record instead.
        """
        if self.offset is None or not self._configuration.is_ready():
            return []
        start = max(self.offset, self._pushed_offset)
        entries = self._configuration.entries_from(start)
        if entries is None:
            return [self._make_snapshot()]
        pushed = entries[:MAX_PUSH_RECORDS]
        if pushed:
            self._pushed_offset = pushed[-1].offset + 1
        return [
            peer_pb2.Record(offset=entry.offset, body=entry.body)
            for entry in pushed
        ]

    def receive_records(self, records: Sequence[peer_pb2.Record]) -> None:
        """Apply records that the peer pushed."""
        for record in records:
            if record.is_state:
                self._configuration.install_snapshot(record.body)
            elif record.offset == 0 and not self._configuration.is_ready():
                self._configuration.install_state(State())
        self._configuration.apply(
            Entry(record.offset, record.body)
            for record in records
            if not record.is_state
        )

    def _make_snapshot(self) -> peer_pb2.Record:
        state = self._configuration.state
        self._pushed_offset = state.offset
        return peer_pb2.Record(
            offset=state.offset,
            body=encode_record(create_snapshot(state)),
            is_state=True,
        )
