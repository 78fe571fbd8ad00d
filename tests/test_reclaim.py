"""Allowances of stopped entries are reclaimed, those of idle ones are not."""

from collections.abc import Iterator
from datetime import timedelta

import pytest
from freezegun import freeze_time
from freezegun.api import FrozenDateTimeFactory

from toucancourse.billing import spend
from toucancourse.billing.ledger import Ledger
from toucancourse.billing.reclaim import AllowanceReclaimer
from toucancourse.billing.spend import Release, Reserve, SpendState
from toucancourse.streams.codec import encode_items
from toucancourse.streams.follower import Follower

from .test_collector import MemoryLog

LIMIT_SECONDS = 60
STEP_SECONDS = 5
DAY = '2026-12-04'


class TwoEntries:
    """An entry that checks on another one, "other", with an allowance of 50."""

    def __init__(self, clock: FrozenDateTimeFactory) -> None:
        """Reserve the other entry's allowance."""
        self._clock = clock
        self._numbers = 1
        self.log = MemoryLog()
        self.follower = Follower(
            self.log, spend.STREAM, spend.CODEC, SpendState(), 1
        )
        ledger = Ledger('own', self.log, self.follower, LIMIT_SECONDS / 2)
        self.reclaimer = AllowanceReclaimer(
            'own', ledger, self.follower, LIMIT_SECONDS
        )
        self.append(Reserve('other', 1, 'c', DAY, 50, 100, 1))

    def append(self, item: tuple[object, ...]) -> None:
        """Append an item of the other entry."""
        self.log.append(spend.STREAM, encode_items([item]))

    def release(self) -> None:
        """Release a part of the other entry's allowance, as a live one does."""
        self._numbers += 1
        self.append(Release('other', self._numbers, 'c', DAY, 1))

    def wait(self, seconds: int, live: set[str], *, read: bool = True) -> None:
        """Advance the clock, with a check every few seconds."""
        for _ in range(0, seconds, STEP_SECONDS):
            self._clock.tick(timedelta(seconds=STEP_SECONDS))
            if read:
                self.follower.catch_up()
            self.reclaimer.check(live)
        self.follower.catch_up()

    def held(self) -> int:
        """Return the other entry's allowance."""
        return self.follower.state.find_allowances('c', DAY).get('other', 0)


@pytest.fixture
def entries() -> Iterator[TwoEntries]:
    """Return the two entries, with a clock that only the test advances."""
    with freeze_time('2026-12-04') as clock:
        yield TwoEntries(clock)


class TestAllowanceReclaimer:
    """An entry is retired only if peers and the log show no sign of it."""

    def test_silent_entry_is_retired(self, entries: TwoEntries) -> None:
        """Its allowance is released, and it may reserve no more."""
        entries.wait(LIMIT_SECONDS * 2, set())
        assert entries.held() == 0
        assert entries.follower.state.is_retired('other')

    def test_peers_report_it(self, entries: TwoEntries) -> None:
        """An entry that a peer reports as live keeps its allowance."""
        entries.wait(LIMIT_SECONDS * 2, {'other'})
        assert entries.held() == 50

    def test_only_the_log_shows_it(self, entries: TwoEntries) -> None:
        """An entry that no peer reports keeps it if the log has new items."""
        for _ in range(4):
            entries.release()
            entries.wait(LIMIT_SECONDS // 2, set())
        assert entries.held() == 46

    def test_unreadable_log(self, entries: TwoEntries) -> None:
        """Time without a read of the log doesn't count as silence."""
        entries.wait(LIMIT_SECONDS * 2, set(), read=False)
        entries.wait(LIMIT_SECONDS // 2, set())
        assert entries.held() == 50
