"""Shares of the limits that all entries of a fleet keep together."""

from typing import Any

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from toucancourse.errors import LogDownError
from toucancourse.forwarding import peers
from toucancourse.forwarding.peers import (
    KEY_PREFIX,
    SETTLE_SECONDS,
    EntryRegistry,
)

#: Pause between two reads of an entry that reaches the store, in seconds.
READ_SECONDS = 2.0
TOLERANCE = 1e-9


class SimulatedEntry:
    """One process of an entry, which reads a list of records as its store."""

    def __init__(self, fleet: 'SimulatedFleet', name: str) -> None:
        """Create a process that has not read anything."""
        self.name = name
        self.fleet = fleet
        self.is_cut_off = False
        self.is_paused = False
        self.position = 0
        self.proved_at = float('-inf')
        self.registry = EntryRegistry(
            name, f'{name}:1', lambda: fleet.now - self.proved_at
        )

    def find_next_offset(self) -> int | None:
        """Return the offset of the first unread record."""
        return None if self.proved_at == float('-inf') else self.position

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record to the store."""
        if self.is_cut_off:
            raise LogDownError('cut off')
        if at is not None and at != len(self.fleet.records):
            return False
        self.fleet.records.append((key, content))
        return True

    def read(self) -> None:
        """Apply all new records."""
        if self.is_cut_off or self.is_paused:
            return
        for key, content in self.fleet.records[self.position :]:
            self.registry.apply(key, content)
        self.position = len(self.fleet.records)
        self.proved_at = self.fleet.now

    def register(self) -> None:
        """Check the registration as the entry's loop does."""
        if not self.is_paused:
            topic: Any = self
            self.registry.ensure_registered(topic, topic)


class SimulatedFleet:
    """Entries of one store on a simulated clock."""

    def __init__(self, count: int) -> None:
        """Start entries and let their shares settle."""
        self.now = 1000.0
        self.records: list[tuple[str, bytes | None]] = []
        self.entries = [
            SimulatedEntry(self, f'e-{number}') for number in range(count)
        ]
        self.advance(SETTLE_SECONDS + 3 * READ_SECONDS)

    def advance(self, seconds: float) -> None:
        """Let time pass; entries that reach the store read it."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            for entry in self.entries:
                if self.now - entry.proved_at >= READ_SECONDS:
                    entry.read()
                entry.register()

    def sum_shares(self) -> float:
        """Return what all live entries use together."""
        return sum(
            entry.registry.find_fleet_share()
            for entry in self.entries
            if not entry.is_paused
        )


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> list[SimulatedFleet]:
    """Let registries read the clock of the fleet that was added last."""
    fleets: list[SimulatedFleet] = []
    monkeypatch.setattr(
        peers, 'read_clock', lambda: fleets[-1].now if fleets else 1000.0
    )
    return fleets


def make_fleet(fleets: list[SimulatedFleet], count: int) -> SimulatedFleet:
    """Return a settled fleet whose clock the registries read."""
    fleet = SimulatedFleet.__new__(SimulatedFleet)
    fleets.append(fleet)
    fleet.now = 1000.0
    fleet.__init__(count)  # type: ignore[misc]
    return fleet


class TestSettledFleet:
    """All entries know each other."""

    @pytest.mark.parametrize('count', [1, 3, 8, 26, 40])
    def test_shares_add_up_to_the_whole(
        self, clock: list[SimulatedFleet], count: int
    ) -> None:
        fleet = make_fleet(clock, count)
        assert fleet.sum_shares() == pytest.approx(1)

    def test_one_append_registers_each(
        self, clock: list[SimulatedFleet]
    ) -> None:
        fleet = make_fleet(clock, 40)
        assert len(fleet.records) <= 40 * (1 + READ_SECONDS / 0.25)
        assert all(entry.registry.count() == 40 for entry in fleet.entries)


class TestAddedEntries:
    """Entries are added in the middle of traffic."""

    @pytest.mark.parametrize('count', [3, 8, 26])
    def test_sum_stays_at_the_whole(
        self, clock: list[SimulatedFleet], count: int
    ) -> None:
        fleet = make_fleet(clock, count)
        fleet.entries.extend(
            SimulatedEntry(fleet, f'new-{number}')
            for number in range(count * 3 // 4)
        )
        for _ in range(80):
            fleet.advance(0.25)
            assert fleet.sum_shares() <= 1 + TOLERANCE
        assert fleet.sum_shares() == pytest.approx(1)

    @pytest.mark.parametrize('cut_off', [1, 2, 4])
    def test_sum_stays_if_old_entries_are_cut_off(
        self, clock: list[SimulatedFleet], cut_off: int
    ) -> None:
        fleet = make_fleet(clock, 4)
        for entry in fleet.entries[:cut_off]:
            entry.is_cut_off = True
        fleet.entries.extend(
            SimulatedEntry(fleet, f'new-{number}') for number in range(3)
        )
        for _ in range(80):
            fleet.advance(0.25)
            assert fleet.sum_shares() <= 1 + TOLERANCE


class TestLeavingEntries:
    """Entries leave while they still serve requests."""

    def test_share_is_used_until_the_registration_is_removed(
        self, clock: list[SimulatedFleet]
    ) -> None:
        fleet = make_fleet(clock, 4)
        leaving = fleet.entries[0]
        topic: Any = leaving
        leaving.read()
        leaving.registry.deregister(topic, topic)
        fleet.entries.remove(leaving)
        fleet.advance(READ_SECONDS)
        assert fleet.sum_shares() == pytest.approx(1)

    def test_lost_registration_is_appended_again(
        self, clock: list[SimulatedFleet]
    ) -> None:
        fleet = make_fleet(clock, 4)
        fleet.records.append((f'{KEY_PREFIX}e-1', None))
        fleet.advance(SETTLE_SECONDS + 3 * READ_SECONDS)
        assert fleet.sum_shares() == pytest.approx(1)


class ShareMachine(RuleBasedStateMachine):
    """Random partitions, pauses, restarts and additions of entries."""

    fleet: SimulatedFleet

    @initialize(count=strategies.integers(3, 40))
    def start(self, count: int) -> None:
        """Start a fleet of some entries."""
        self.patch = pytest.MonkeyPatch()
        self.fleet = SimulatedFleet.__new__(SimulatedFleet)
        self.fleet.now = 1000.0
        self.patch.setattr(peers, 'read_clock', lambda: self.fleet.now)
        self.fleet.__init__(count)  # type: ignore[misc]
        self.added = 0
        self.most = count * 3 // 4

    @rule(seconds=strategies.sampled_from([0.25, 1.0, 3.0, 6.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.advance(seconds)

    @rule(pick=strategies.integers(0, 99))
    def toggle_partition(self, pick: int) -> None:
        """Cut an entry off from the store, or connect it again."""
        entry = self.fleet.entries[pick % len(self.fleet.entries)]
        entry.is_cut_off = not entry.is_cut_off

    @rule(pick=strategies.integers(0, 99))
    def toggle_pause(self, pick: int) -> None:
        """Suspend an entry, or resume it."""
        entry = self.fleet.entries[pick % len(self.fleet.entries)]
        entry.is_paused = not entry.is_paused

    @rule(pick=strategies.integers(0, 99))
    def restart(self, pick: int) -> None:
        """Kill an entry and start it again."""
        number = pick % len(self.fleet.entries)
        name = self.fleet.entries[number].name
        self.fleet.entries[number] = SimulatedEntry(self.fleet, name)

    @rule()
    def add(self) -> None:
        """Add an entry."""
        if self.added < self.most:
            self.added += 1
            self.fleet.entries.append(
                SimulatedEntry(self.fleet, f'new-{self.added}')
            )

    @invariant()
    def sum_is_bounded(self) -> None:
        """Together, the entries use at most the whole."""
        if hasattr(self, 'fleet'):
            assert self.fleet.sum_shares() <= 1 + TOLERANCE

    def teardown(self) -> None:
        """Restore the clock."""
        if hasattr(self, 'patch'):
            self.patch.undo()


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class TestTurns:
    """What all entries could write is written by one after the other."""

    def test_entries_have_one_order(self) -> None:
        names = [f'entry-{row}' for row in range(20)]
        registries = [EntryRegistry(name, '127.0.0.1:1') for name in names]
        for registry in registries:
            for name in names:
                registry.apply(f'entry/{name}', b'127.0.0.1:1')
        turns = [registry.find_turn('desk/v2') for registry in registries]
        assert sorted(turns) == list(range(20))

    def test_entry_that_is_alone_is_first(self) -> None:
        assert EntryRegistry('a', '127.0.0.1:1').find_turn('desk/v2') == 0
