"""Status exchange with one peer over its stream."""

import time
from collections.abc import Sequence
from typing import Final

from ..contract.records import encode_record
from ..contract.snapshots import take_snapshot
from ..contract.state import State
from ..interfaces.log import Entry
from ..protocol import peer_pb2
from .configuration import Configuration
from .freshness import Freshness

MS: Final = 1000
#: Age sent for "never".
NEVER_MS: Final = 1_000_000_000_000
#: Records pushed in one message.
MAX_PUSH: Final = 500


def _age_ms(now: float, moment: float) -> int:
    if moment == float('-inf'):
        return NEVER_MS
    return max(0, int((now - moment) * MS) + 1)


class Gossip:
    """What one peer was told and has told."""

    def __init__(
        self,
        configuration: Configuration,
        freshness: Freshness,
        heartbeat_seconds: float,
    ) -> None:
        """Start with nothing heard."""
        self._configuration = configuration
        self._freshness = freshness
        self._echo_ms = 0
        self.zone = ''
        self.instance = ''
        #: Offset that the peer last said it reached; None before that.
        self.offset: int | None = None
        self.leaving = False
        #: Offset up to which records were pushed to the peer.
        self._pushed = 0
        self._sent = float('-inf')
        #: Seconds between statuses on this stream while the proof is young.
        self.period = heartbeat_seconds
        self._heartbeat = heartbeat_seconds

    def find_period(self) -> float:
        """Return the seconds until the next status is due."""
        return self._heartbeat if self._freshness.is_aging() else self.period

    def is_due(self) -> bool:
        """Return True if no status was made for a period."""
        return time.monotonic() - self._sent >= self.find_period()

    def make_status(self, *, leaving: bool) -> peer_pb2.Status:
        """Return what this process knows now."""
        now = time.monotonic()
        self._sent = now
        status = peer_pb2.Status(
            offset=self._configuration.offset,
            proof_age_ms=_age_ms(now, self._freshness.proof),
            sent_ms=int(now * MS),
            echo_ms=self._echo_ms,
            leaving=leaving,
            period_ms=int(self.period * MS),
        )
        # Zones only matter to those whose proof is running out.
        zones = self._freshness.zones() if self._freshness.is_aging() else ()
        for zone, heard, log_contact in zones:
            status.zones.add(
                zone=zone,
                heard_age_ms=_age_ms(now, heard),
                log_age_ms=_age_ms(now, log_contact),
            )
        return status

    def receive(self, status: peer_pb2.Status) -> None:
        """Take the peer's status.

        The peer's ages count from the moment we sent the stamp that it
        echoes, which is before the peer wrote them, so a delayed message
        never makes proof look newer than it is.
        """
        self._echo_ms = status.sent_ms
        self.offset = status.offset
        self.leaving = status.leaving
        self._freshness.note_peer_offset(status.offset)
        if status.period_ms:
            self.period = max(self._heartbeat, status.period_ms / MS)
        if not status.echo_ms:
            return
        base = status.echo_ms / MS
        proof = base - status.proof_age_ms / MS
        if self._configuration.offset >= status.offset:
            self._freshness.note_peer(proof)
        self._freshness.note_zone(self.zone, base, proof)
        for row in status.zones:
            self._freshness.note_zone(
                row.zone,
                base - row.heard_age_ms / MS,
                base - row.log_age_ms / MS,
            )

    def take_records(self) -> list[peer_pb2.Record]:
        """Return the records that the peer lacks, once."""
        if self.offset is None or not self._configuration.is_ready():
            return []
        start = max(self.offset, self._pushed)
        entries = self._configuration.after(start)
        if entries is None:
            return [self._make_snapshot()]
        pushed = entries[:MAX_PUSH]
        if pushed:
            self._pushed = pushed[-1].offset + 1
        return [
            peer_pb2.Record(offset=entry.offset, body=entry.body)
            for entry in pushed
        ]

    def receive_records(self, records: Sequence[peer_pb2.Record]) -> None:
        """Fold records that the peer pushed."""
        for record in records:
            if record.is_state:
                self._configuration.adopt_pushed(record.body)
            elif record.offset == 0 and not self._configuration.is_ready():
                self._configuration.adopt(State())
        self._configuration.apply(
            Entry(record.offset, record.body)
            for record in records
            if not record.is_state
        )

    def _make_snapshot(self) -> peer_pb2.Record:
        state = self._configuration.state
        self._pushed = state.offset
        return peer_pb2.Record(
            offset=state.offset,
            body=encode_record(take_snapshot(state)),
            is_state=True,
        )
