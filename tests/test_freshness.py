"""Proof that the configuration is the newest, without a platform."""

import time

from freezegun import freeze_time

from toucancourse.contract.state import State
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.membership.gossip import Gossip
from toucancourse.protocol import peer_pb2

STALE_SECONDS = 4.0


class TestFreshness:
    """When a daemon may act on the configuration that it has."""

    def test_outage_and_isolation(self) -> None:
        """All zones heard and none at the log: an outage, so go on."""
        with freeze_time() as clock:
            fresh = Freshness('east', STALE_SECONDS)
            fresh.expect_zones({'west'})
            assert not fresh.is_current()
            fresh.note_log(time.monotonic())
            fresh.note_zone('west', time.monotonic(), time.monotonic())
            clock.tick(STALE_SECONDS + 1)
            assert not fresh.is_current()
            fresh.note_zone('west', time.monotonic(), float('-inf'))
            assert fresh.is_current()
            clock.tick(STALE_SECONDS + 1)
            assert not fresh.is_current()

    def test_other_zone_reaches_the_log(self) -> None:
        """Another zone at the log means that we are cut off from it."""
        with freeze_time() as clock:
            fresh = Freshness('east', STALE_SECONDS)
            fresh.expect_zones({'east', 'west'})
            fresh.note_log(time.monotonic())
            clock.tick(STALE_SECONDS + 1)
            fresh.note_zone('west', time.monotonic(), time.monotonic())
            assert not fresh.is_current()

    def test_wakes_from_a_pause(self) -> None:
        """One that was paused hears from its own zone before it goes on."""
        with freeze_time() as clock:
            fresh = Freshness('east', STALE_SECONDS)
            fresh.expect_zones({'east'})
            fresh.note_log(time.monotonic())
            clock.tick(STALE_SECONDS + 1)
            assert not fresh.is_current()
            fresh.note_zone('east', time.monotonic(), float('-inf'))
            assert fresh.is_current()

    def test_peer_is_ahead(self) -> None:
        """A peer with more records shows that some are missing here."""
        with freeze_time() as clock:
            fresh = Freshness('east', STALE_SECONDS)
            fresh.expect_zones({'west'})
            fresh.note_offset(7)
            fresh.note_log(time.monotonic())
            clock.tick(STALE_SECONDS + 1)
            fresh.note_zone('west', time.monotonic(), float('-inf'))
            fresh.note_peer_offset(8)
            assert not fresh.is_current()
            fresh.note_offset(8)
            assert fresh.is_current()

    def test_peer_has_newer_proof(self) -> None:
        """A status from an entry that reached the log later stops the rest."""
        with freeze_time() as clock:
            configuration = Configuration()
            configuration.adopt(State(offset=3))
            fresh = Freshness('east', STALE_SECONDS)
            fresh.expect_zones({'west'})
            fresh.note_log(time.monotonic())
            clock.tick(STALE_SECONDS + 1)
            gossip = Gossip(configuration, fresh, 0.2)
            gossip.zone = 'west'
            now_ms = int(time.monotonic() * 1000)
            gossip.receive(
                peer_pb2.Status(
                    offset=4, proof_age_ms=100, sent_ms=1, echo_ms=now_ms
                )
            )
            assert not fresh.is_current()
