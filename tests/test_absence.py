"""Allowances of entries that are gone, told apart from quiet ones."""

from collections.abc import Iterator
from datetime import timedelta

import pytest
from freezegun import freeze_time
from freezegun.api import FrozenDateTimeFactory

from toucancourse.billing import spend
from toucancourse.billing.absence import AbsenceWatch
from toucancourse.billing.ledger import Ledger
from toucancourse.billing.spend import Release, Reserve, SpendBook
from toucancourse.streams.codec import encode_items
from toucancourse.streams.follower import Follower

from .test_collector import MemoryLog

LIMIT_SECONDS = 60
STEP_SECONDS = 5
DAY = '2026-12-04'


class Bench:
    """One entry that watches another one, "other"."""

    def __init__(self, clock: FrozenDateTimeFactory) -> None:
        """Let the other one hold an allowance."""
        self._clock = clock
        self._numbers = 1
        self.log = MemoryLog()
        self.follower = Follower(
            self.log, spend.STREAM, spend.CODEC, SpendBook(), 1
        )
        ledger = Ledger('own', self.log, self.follower, LIMIT_SECONDS / 2)
        self.watch = AbsenceWatch('own', ledger, self.follower, LIMIT_SECONDS)
        self.append(Reserve('other', 1, 'c', DAY, 50, 100, 1))

    def append(self, item: tuple[object, ...]) -> None:
        """Append an item of the other entry."""
        self.log.append(spend.STREAM, encode_items([item]))

    def give_back(self) -> None:
        """Let the other entry give a part back, as a live one does."""
        self._numbers += 1
        self.append(Release('other', self._numbers, 'c', DAY, 1))

    def wait(self, seconds: int, live: set[str], *, read: bool = True) -> None:
        """Let time pass, with a look every few seconds."""
        for _ in range(0, seconds, STEP_SECONDS):
            self._clock.tick(timedelta(seconds=STEP_SECONDS))
            if read:
                self.follower.catch_up()
            self.watch.check(live)
        self.follower.catch_up()

    def held(self) -> int:
        """Return what the other entry holds."""
        return self.follower.state.held('c', DAY).get('other', 0)


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return the two entries, with a clock that only the test moves."""
    with freeze_time('2026-12-04') as clock:
        yield Bench(clock)


class TestAbsenceWatch:
    """Only silence on the peer streams and in the log returns allowances."""

    def test_silent(self, bench: Bench) -> None:
        """What a silent entry held returns, and it may reserve no more."""
        bench.wait(LIMIT_SECONDS * 2, set())
        assert bench.held() == 0
        assert bench.follower.state.is_retired('other')

    def test_peers_hear_it(self, bench: Bench) -> None:
        """An entry that a peer hears of keeps what it holds."""
        bench.wait(LIMIT_SECONDS * 2, {'other'})
        assert bench.held() == 50

    def test_only_the_log_hears_it(self, bench: Bench) -> None:
        """So does one that no common sidecar tells of, but the log does."""
        for _ in range(4):
            bench.give_back()
            bench.wait(LIMIT_SECONDS // 2, set())
        assert bench.held() == 46

    def test_log_unread(self, bench: Bench) -> None:
        """Silence while the log can't be read counts for nothing."""
        bench.wait(LIMIT_SECONDS * 2, set(), read=False)
        bench.wait(LIMIT_SECONDS // 2, set())
        assert bench.held() == 50
