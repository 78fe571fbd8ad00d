"""Client accounts' shares, by the pattern of their load."""

import time
from collections.abc import Mapping

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucancourse.forwarding import fairness
from toucancourse.forwarding.digests import hash_text
from toucancourse.forwarding.fairness import (
    MAX_ACCOUNTS,
    MAX_REPORTED,
    STALE_SECONDS,
    AccountShares,
    UsualUse,
    find_excesses,
)
from toucancourse.forwarding.peerstates import LocalState

#: Accounts of a usual deployment.
ACCOUNTS = tuple(f'account-{number}' for number in range(24))
GREEDY = ACCOUNTS[3]
#: Seconds of endpoint time that each account usually gets per second.
USUAL = 0.05
CALLS = tuple(f'call-{number}' for number in range(400))


class Clock:
    """Stands in for the module `time`."""

    def __init__(self) -> None:
        """Begin now."""
        self.now = time.monotonic()

    def monotonic(self) -> float:
        """Return the time to which the test has come."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock that accounts' shares read."""
    clock = Clock()
    monkeypatch.setattr(fairness, 'time', clock)
    return clock


def pass_seconds(
    clock: Clock,
    shares: AccountShares,
    seconds: int,
    factors: Mapping[str, float] | None = None,
) -> None:
    """Charge all accounts for some seconds, some more than usual."""
    for _ in range(seconds):
        clock.now += 1
        for account in ACCOUNTS:
            factor = (factors or {}).get(account, 1)
            shares.charge(account, USUAL * factor)
        shares.report()


def count_yielding(shares: AccountShares, account: str) -> int:
    """Return how many of the calls yield."""
    return sum(shares.yields(account, call) for call in CALLS)


class TestAccountAtSevenTimesItsUsual:
    """One account sends 7.5 times its usual for some seconds."""

    def test_excess_yields(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 30)
        pass_seconds(clock, shares, 6, {GREEDY: 7.5})
        assert count_yielding(shares, GREEDY) > 0.3 * len(CALLS)

    def test_its_share_does_not_yield(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 30)
        pass_seconds(clock, shares, 6, {GREEDY: 7.5})
        assert count_yielding(shares, GREEDY) < 0.9 * len(CALLS)

    def test_others_do_not_yield(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 30)
        pass_seconds(clock, shares, 6, {GREEDY: 7.5})
        for account in ACCOUNTS:
            if account != GREEDY:
                assert not count_yielding(shares, account)

    def test_it_is_forgiven(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 30)
        pass_seconds(clock, shares, 6, {GREEDY: 7.5})
        pass_seconds(clock, shares, 20)
        assert not count_yielding(shares, GREEDY)


class TestCallersThatRepeatAtOnce:
    """Callers of one account repeat at once and often."""

    def test_each_try_is_charged(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 30)
        for _ in range(5):
            clock.now += 1
            for _ in range(10):
                shares.charge(GREEDY, USUAL)
        shares.report()
        assert count_yielding(shares, GREEDY)


class TestLargeAccount:
    """A large account sends as usual, or all accounts send more."""

    def test_usual_use_does_not_yield(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 40, {GREEDY: 10})
        assert not count_yielding(shares, GREEDY)

    def test_small_account_may_send_more(self, clock: Clock) -> None:
        shares = AccountShares()
        small = {GREEDY: 0.1}
        pass_seconds(clock, shares, 30, small)
        pass_seconds(clock, shares, 6, {GREEDY: 0.9})
        assert not count_yielding(shares, GREEDY)

    def test_callers_without_account_do_not_yield(self, clock: Clock) -> None:
        shares = AccountShares()
        for _ in range(50):
            clock.now += 0.1
            shares.charge('', 1.0)
        assert not count_yielding(shares, '')
        assert not shares.report()


class TestRestartedEntry:
    """An entry that has just started knows nobody's usual use."""

    def test_nobody_yields(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 4, {GREEDY: 7.5})
        assert not any(count_yielding(shares, each) for each in ACCOUNTS)


class TestPeers:
    """Entries tell each other what accounts use; reports may be lost."""

    def report(self, shares: AccountShares, stream: object, use: float) -> None:
        """Receive another entry's report about all accounts."""
        accounts = {hash_text(account): USUAL for account in ACCOUNTS}
        accounts[hash_text(GREEDY)] = use
        shares.peers.update('other', stream, LocalState({}, {}, {}, accounts))

    def test_excess_at_another_entry_counts(self, clock: Clock) -> None:
        shares = AccountShares()
        stream = object()
        for second in range(36):
            self.report(shares, stream, USUAL * (1 if second < 30 else 12))
            pass_seconds(clock, shares, 1)
        assert count_yielding(shares, GREEDY)

    def test_silent_peers_lock_nobody_out(self, clock: Clock) -> None:
        shares = AccountShares()
        stream = object()
        for _ in range(30):
            self.report(shares, stream, USUAL)
            pass_seconds(clock, shares, 1)
        pass_seconds(clock, shares, int(STALE_SECONDS) + 10)
        assert not any(count_yielding(shares, each) for each in ACCOUNTS)

    def test_partition_leaves_the_own_view(self, clock: Clock) -> None:
        shares = AccountShares()
        stream = object()
        for _ in range(30):
            self.report(shares, stream, USUAL)
            pass_seconds(clock, shares, 1)
        shares.peers.drop('other', stream)
        pass_seconds(clock, shares, 6, {GREEDY: 7.5})
        assert count_yielding(shares, GREEDY)

    def test_return_of_peers_locks_nobody_out(self, clock: Clock) -> None:
        shares = AccountShares()
        streams = {f'entry-{number}': object() for number in range(10)}
        large = {GREEDY: 4.0}
        for second in range(60):
            if not 30 <= second < 40:
                for instance, stream in streams.items():
                    accounts = dict.fromkeys(map(hash_text, ACCOUNTS), USUAL)
                    accounts[hash_text(GREEDY)] = 4 * USUAL
                    state = LocalState({}, {}, {}, accounts)
                    shares.peers.update(instance, stream, state)
            pass_seconds(clock, shares, 1, large)
            assert not any(count_yielding(shares, each) for each in ACCOUNTS)

    def test_end_of_an_older_stream_is_ignored(self, clock: Clock) -> None:
        shares = AccountShares()
        older, newer = object(), object()
        self.report(shares, older, USUAL)
        self.report(shares, newer, USUAL)
        shares.peers.drop('other', older)
        assert any(shares.peers.list_accounts())

    def test_account_that_uses_nothing_is_forgotten(self, clock: Clock) -> None:
        shares = AccountShares()
        stream = object()
        self.report(shares, stream, USUAL)
        ended = {hash_text(account): 0.0 for account in ACCOUNTS}
        shares.peers.update('other', stream, LocalState({}, {}, {}, ended))
        assert not any(shares.peers.list_accounts())

    def test_report_changes_rarely(self, clock: Clock) -> None:
        shares = AccountShares()
        pass_seconds(clock, shares, 20)
        reports = []
        for second in range(10):
            pass_seconds(clock, shares, 1, {GREEDY: 1 + 0.02 * (second % 2)})
            reports.append(shares.report())
        assert reports.count(reports[0]) == len(reports)


class TestTenThousandAccounts:
    """State and reports stay bounded."""

    def test_bounds(self, clock: Clock) -> None:
        shares = AccountShares()
        for number in range(10_000):
            clock.now += 0.001
            shares.charge(f'many-{number}', 0.5)
        assert len(shares.report()) <= MAX_REPORTED
        assert len(shares._uses) <= MAX_ACCOUNTS
        clock.now += 600
        shares.report()
        assert not shares.report()


class TestEqualShares:
    """Nobody below an equal share ever yields."""

    @given(
        st.dictionaries(
            st.integers(0, 50), st.floats(0, 100), min_size=1, max_size=50
        ),
        st.dictionaries(st.integers(0, 50), st.floats(0, 100), max_size=50),
    )
    def test_share_is_never_refused(
        self, rates: dict[int, float], history: dict[int, float]
    ) -> None:
        usual = UsualUse()
        for _ in range(10):
            usual.add(history, 1.0)
        share = sum(rates.values()) / len(rates)
        for digest, excess in find_excesses(rates, usual).items():
            assert rates[digest] > share
            assert 0 <= excess < 1
            assert rates[digest] * (1 - excess) >= share * 0.999
