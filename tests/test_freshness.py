"""Unit tests of the proof that the configuration is the newest."""

import time

from freezegun import freeze_time

from toucancourse.contract.state import State
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.membership.gossip import Gossip
from toucancourse.protocol import peer_pb2

STALE_SECONDS = 4.0


class TestFreshness:
    """A daemon uses its configuration only while it is proven current."""

    def test_log_outage_and_isolation(self) -> None:
        """If all zones are reachable and none can read the log, it is down.

        The configuration can't have changed, so it stays current.
        """
        with freeze_time() as frozen_time:
            freshness = Freshness('east', STALE_SECONDS)
            freshness.update_zones({'west'})
            assert not freshness.is_current()
            freshness.record_log_read(time.monotonic())
            freshness.record_zone_contact(
                'west', time.monotonic(), time.monotonic()
            )
            frozen_time.tick(STALE_SECONDS + 1)
            assert not freshness.is_current()
            freshness.record_zone_contact(
                'west', time.monotonic(), float('-inf')
            )
            assert freshness.is_current()
            frozen_time.tick(STALE_SECONDS + 1)
            assert not freshness.is_current()

    def test_other_zone_reaches_the_log(self) -> None:
        """A daemon is partitioned if another zone still reads the log."""
        with freeze_time() as frozen_time:
            freshness = Freshness('east', STALE_SECONDS)
            freshness.update_zones({'east', 'west'})
            freshness.record_log_read(time.monotonic())
            frozen_time.tick(STALE_SECONDS + 1)
            freshness.record_zone_contact(
                'west', time.monotonic(), time.monotonic()
            )
            assert not freshness.is_current()

    def test_resumes_after_a_process_pause(self) -> None:
        """A paused process is not current until its zone is heard from.

        Otherwise it would use a configuration that changed in the pause.
        """
        with freeze_time() as frozen_time:
            freshness = Freshness('east', STALE_SECONDS)
            freshness.update_zones({'east'})
            freshness.record_log_read(time.monotonic())
            frozen_time.tick(STALE_SECONDS + 1)
            assert not freshness.is_current()
            freshness.record_zone_contact(
                'east', time.monotonic(), float('-inf')
            )
            assert freshness.is_current()

    def test_peer_is_ahead(self) -> None:
        """A peer at a higher offset shows that records are missing here."""
        with freeze_time() as frozen_time:
            freshness = Freshness('east', STALE_SECONDS)
            freshness.update_zones({'west'})
            freshness.record_offset(7)
            freshness.record_log_read(time.monotonic())
            frozen_time.tick(STALE_SECONDS + 1)
            freshness.record_zone_contact(
                'west', time.monotonic(), float('-inf')
            )
            freshness.record_peer_offset(8)
            assert not freshness.is_current()
            freshness.record_offset(8)
            assert freshness.is_current()

    def test_peer_has_newer_proof(self) -> None:
        """A peer's proof that is newer than ours shows that the log is up."""
        with freeze_time() as frozen_time:
            configuration = Configuration()
            configuration.install_state(State(offset=3))
            freshness = Freshness('east', STALE_SECONDS)
            freshness.update_zones({'west'})
            freshness.record_log_read(time.monotonic())
            frozen_time.tick(STALE_SECONDS + 1)
            gossip = Gossip(configuration, freshness, 0.2)
            gossip.zone = 'west'
            now_ms = int(time.monotonic() * 1000)
            gossip.receive(
                peer_pb2.Status(
                    offset=4, proof_age_ms=100, sent_ms=1, echo_ms=now_ms
                )
            )
            assert not freshness.is_current()
