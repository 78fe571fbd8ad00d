"""Version selection during roll-outs, and their decisions."""

from collections.abc import Iterator, Mapping

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from toucancourse.errors import LogDownError
from toucancourse.forwarding import rollouts as module
from toucancourse.forwarding import shifts as shifts_module
from toucancourse.forwarding.attempts import AttemptProgress
from toucancourse.forwarding.canary import PACE, CanaryAnalysis, LatencyClass
from toucancourse.forwarding.peers import ListenerGroup
from toucancourse.forwarding.rollouts import (
    CANARY_SHARE,
    SHIFT_END,
    SHIFT_START,
    SHIFTED_SLOW_RATIO,
    SLOW_RATIO,
    RolloutController,
    Rollouts,
    RolloutState,
    Turns,
)
from toucancourse.forwarding.shifts import STALE_DURATIONS, ShiftRegistry
from toucancourse.forwarding.tables import OperatorConfig, TimedOrder
from toucancourse.membership.feeds import Feed, PollTiming
from toucancourse.membership.topics import Record, Records, Topic
from toucancourse.platform.records import PlatformDecoder

from .forwarding import RelayHarness

ORDER = b'{"service": "desk", "target": "v2", "durationS": 20}'
VERSIONS = ('v1', 'v2')
LATENCY_CLASS = LatencyClass('r', 'm', 8)


class Clock:
    """A clock that tests advance."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class SharedTopic(Topic):
    """An in-process topic of the store that may lose its responses."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []
        self.is_down = False
        self.loses_responses = False
        #: Calls of append(), also failed ones.
        self.appends = 0

    def fetch_newest(self) -> Records:
        """Return all records."""
        return self.read(0, 0)

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on."""
        if self.is_down:
            raise LogDownError('down')
        return Records(tuple(self.records[start:]), len(self.records))

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record; with `at`, only if the topic ends there."""
        self.appends += 1
        if self.is_down:
            raise LogDownError('down')
        if at is not None and at != len(self.records):
            return False
        self.records.append(Record(key, content, len(self.records)))
        if self.loses_responses:
            raise LogDownError('response lost')
        return True

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append records if the topic ends there."""
        if at != len(self.records):
            return False
        for key, content in changes.items():
            self.append(key, content)
        return True


#: Time in which a version is not used any more after so many failures.
ROLLBACK_SECONDS = 5.0
COUNTED_FAILURES = 50
#: Longest time from the write of a report to its last reader.
READ_SECONDS = 1.0
STEP_SECONDS = 0.25
ENTRY_TURNS = tuple((row, 19 - row) for row in range(20))


class Entry:
    """One entry's view of a roll-out."""

    def __init__(
        self,
        topic: Topic,
        name: str = 'entry-1',
        entries: int = 1,
        turn: int = 0,
    ) -> None:
        """Create one of some entries, which knows the roll-out order."""
        decoder = PlatformDecoder()
        self.operators = OperatorConfig(decoder)
        self.operators.apply('rollout/desk', ORDER)
        self.shifts = ShiftRegistry()
        self.rollouts = Rollouts(decoder, self.operators, 5, self.shifts, name)
        self.feed = Feed(
            'statuses',
            topic,
            ListenerGroup(self.rollouts, self.shifts),
            PollTiming(0, 0),
        )
        self.controller = RolloutController(
            self.rollouts,
            self.operators,
            topic,
            decoder,
            self.feed,
            self.shifts,
            Turns(lambda: entries, lambda _: turn),
        )

    def step(self) -> None:
        """Read the store, decide, and read it again."""
        self.feed._poll_once()
        self.controller.check()
        self.feed._poll_once()

    @property
    def analysis(self) -> CanaryAnalysis:
        """Return its analysis of the service's versions."""
        return self.rollouts.get_analysis('desk')

    def record_good(
        self, version: str, count: int, seconds: float = 0.2
    ) -> None:
        """Record successful responses of a version."""
        for _ in range(count):
            self.rollouts.record_response(
                'desk', version, LATENCY_CLASS, seconds
            )

    def timed(self) -> TimedOrder:
        """Return the order."""
        timed = self.operators.order('desk')
        assert timed is not None
        return timed

    def state(self) -> RolloutState:
        """Return the state of the roll-out."""
        return self.rollouts.find_state('desk', 'v2')

    def share(self, count: int = 2000) -> float:
        """Return the new version's share of new sessions."""
        chosen = [
            self.rollouts.choose('desk', VERSIONS, f's{row}', '')
            for row in range(count)
        ]
        return chosen.count('v2') / count


def make_fleet(topic: Topic) -> list[Entry]:
    """Return 68 entries that reported a good version, and know it."""
    fleet = [
        Entry(topic, f'entry-{row}', 68, turn=min(row, 1)) for row in range(68)
    ]
    for _ in range(3):
        for entry in fleet:
            entry.record_good('v1', 20)
            entry.record_good('v2', 2)
            entry.step()
    return fleet


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    """Return the clock that the modules under test read."""
    fake = Clock()
    monkeypatch.setattr(module, 'read_clock', fake)
    monkeypatch.setattr('toucancourse.forwarding.tables.read_clock', fake)
    monkeypatch.setattr('toucancourse.forwarding.shifts.read_clock', fake)
    monkeypatch.setattr('time.time', lambda: 1e9 + fake.now)
    yield fake


class TestCanary:
    """A canary gets few requests until it is known to be good."""

    def test_share_is_small_at_first(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        assert abs(entry.share() - CANARY_SHARE) < 0.03

    def test_share_grows_only_for_a_good_version(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        clock.now += 17
        assert abs(entry.share() - CANARY_SHARE) < 0.03
        entry.record_good('v2', 20)
        assert entry.share() == 1.0

    def test_failing_version_gets_no_requests(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v1', 60)
        entry.record_good('v2', 5)
        for _ in range(6):
            entry.analysis.record_failure('v2')
        assert entry.share() == 0

    def test_fault_of_both_versions_does_not_make_one_bad(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for version, count in (('v1', 100), ('v2', 10)):
            entry.record_good(version, count)
            for _ in range(count):
                entry.analysis.record_failure(version)
        assert not entry.analysis.is_bad('v2')

    def test_version_that_may_be_worse_stays_a_canary(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v1', 60)
        entry.record_good('v2', 8)
        for _ in range(3):
            entry.analysis.record_failure('v2')
        assert not entry.analysis.is_bad('v2')
        clock.now += 20 * (SHIFT_END + 0.01)
        assert abs(entry.share() - CANARY_SHARE) < 0.03
        entry.record_good('v2', 30)
        assert entry.share() == 1.0

    def test_slow_version_is_bad(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v1', 60)
        entry.record_good('v2', 8, seconds=0.2 * (SLOW_RATIO + 1))
        assert entry.analysis.is_bad('v2')

    def test_cold_caches_during_the_shift_do_not_make_it_bad(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v1', 60)
        entry.record_good('v2', 10)
        clock.now += 20 * SHIFT_START + 1
        entry.record_good('v2', 20, seconds=0.2 * (SHIFTED_SLOW_RATIO - 1))
        assert not entry.analysis.is_bad('v2')


class TestSharedAnalysis:
    """Entries judge a version by what all of them observed."""

    # Guards against a slow version that each entry sees too little of.
    def test_slow_version_is_bad_for_all_entries_together(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        entries = [Entry(topic, f'entry-{number}') for number in range(4)]
        for entry in entries:
            entry.record_good('v1', 40)
            entry.record_good('v2', 3)
            entry.record_good('v2', 2, seconds=0.2 * (SLOW_RATIO + 1))
            assert not entry.analysis.is_bad('v2')
        for _ in range(6):
            clock.now += 2
            for entry in entries:
                entry.step()
        assert any(entry.analysis.is_bad('v2') for entry in entries)
        assert all(entry.state() is RolloutState.back for entry in entries)

    # Guards against an entry that completes what the others find worse.
    def test_entry_without_bad_responses_does_not_complete_it(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        lucky, other = Entry(topic, 'lucky'), Entry(topic, 'other')
        for entry in (lucky, other):
            entry.record_good('v1', 60)
        lucky.record_good('v2', 10)
        other.record_good('v2', 4)
        other.record_good('v2', 6, seconds=0.2 * (SLOW_RATIO + 1))
        for _ in range(3):
            other.step()
            lucky.step()
        clock.now += 20 * 0.95
        lucky.step()
        assert lucky.state() is not RolloutState.done

    def test_good_version_is_completed_by_all(self, clock: Clock) -> None:
        topic = SharedTopic()
        entries = [Entry(topic, f'entry-{number}') for number in range(4)]
        while clock.now < 100 + 20 * 0.95:
            for entry in entries:
                entry.record_good('v1', 4)
                entry.record_good('v2', 1)
                entry.step()
            clock.now += 0.25
        assert all(entry.state() is RolloutState.done for entry in entries)

    def test_reports_are_bounded(self, clock: Clock) -> None:
        topic = SharedTopic()
        entry = Entry(topic)
        for _ in range(40):
            entry.record_good('v2', 1)
            entry.step()
            clock.now += 0.25
        assert topic.appends <= 2 + 10 / module.REPORT_INTERVAL_SECONDS

    @pytest.mark.parametrize(
        ('entries', 'seconds'), [(1, 1.5), (12, 1.5), (24, 3.0), (48, 6.0)]
    )
    def test_reports_of_a_large_fleet_are_bounded_together(
        self, entries: int, seconds: float
    ) -> None:
        """All entries of a fleet observe a version on trial."""
        entry = Entry(SharedTopic(), entries=entries)
        assert entry.controller.find_report_interval() == seconds

    # Guards against a bad version that large fleets learn of too late.
    def test_failures_are_reported_sooner_than_good_responses(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        entry = Entry(topic, entries=48)
        entry.record_good('v2', 1)
        entry.step()
        entry.step()
        known = topic.appends
        clock.now += module.REPORT_INTERVAL_SECONDS
        entry.record_good('v2', 1)
        entry.step()
        assert topic.appends == known
        entry.analysis.record_failure('v2')
        entry.step()
        assert topic.appends == known + 1
        entry.analysis.record_failure('v2')
        entry.step()
        assert topic.appends == known + 1

    def test_large_fleet_stops_using_a_version_that_turns_bad(
        self, clock: Clock
    ) -> None:
        """Each of 68 entries has just reported when all requests fail."""
        fleet = make_fleet(SharedTopic())
        failures, failed_at = 0, float('inf')
        while any(not entry.analysis.is_bad('v2') for entry in fleet):
            clock.now += STEP_SECONDS
            for entry in fleet[failures % 68 :][:8]:
                entry.analysis.record_failure('v2')
                failures += 1
            if failures >= COUNTED_FAILURES:
                failed_at = min(failed_at, clock.now)
            for entry in fleet:
                entry.step()
            assert clock.now - failed_at < ROLLBACK_SECONDS - READ_SECONDS

    def test_one_entry_publishes_what_all_know(self, clock: Clock) -> None:
        """Each of 20 entries sees a new order at the same moment."""
        topic = SharedTopic()
        fleet = [
            Entry(topic, f'entry-{row}', 20, turn) for row, turn in ENTRY_TURNS
        ]
        for _ in range(8):
            for entry in fleet:
                entry.controller.check()
            for entry in fleet:
                entry.feed._poll_once()
            clock.now += 0.25
        assert topic.appends == 1

    def test_entry_that_waits_for_its_turn_reports(self, clock: Clock) -> None:
        """A version fails while its roll-out's start isn't published yet."""
        topic = SharedTopic()
        entry = Entry(topic, 'entry-2', 20, 3)
        entry.step()
        entry.rollouts.get_analysis('desk').record_failure('v2')
        clock.now += 0.25
        entry.step()
        assert topic.appends == 1

    def test_next_entry_publishes_if_the_first_is_cut_off(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        second = Entry(topic, 'entry-2', 20, 1)
        last = Entry(topic, 'entry-3', 20, 19)
        for entry in (second, last):
            entry.step()
        assert topic.appends == 0
        clock.now += module.TURN_SECONDS
        second.step()
        assert topic.appends == 1
        clock.now += module.MAX_TURNS * module.TURN_SECONDS
        last.step()
        assert topic.appends == 1

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'{}',
            b'{"target": "v2", "canary": [9], "baseline": [0, 0, 0, 0]}',
            b'{"target": "v2", "canary": [5, 9, 0, 0],'
            b' "baseline": [0, 0, 0, 0]}',
            b'{"target": "v2", "canary": [1e999, 0, 0, 0],'
            b' "baseline": [0, 0, 0, 0]}',
        ],
    )
    def test_invalid_report_is_ignored(
        self, clock: Clock, content: bytes
    ) -> None:
        entry = Entry(SharedTopic())
        entry.rollouts.apply('canary/desk/entry-2', content)
        assert not entry.analysis.count('v2').answers


class TestLoad:
    """Slow responses of both versions hide no failures."""

    # Guards against a failing version that is kept on a day of high load.
    def test_failing_version_is_bad_while_the_old_one_is_slow(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v1', 60)
        for _ in range(20):
            entry.record_good('v1', 1, seconds=9.0)
            entry.record_good('v1', 2)
        entry.record_good('v2', 40)
        for _ in range(12):
            entry.analysis.record_failure('v2')
        assert entry.analysis.is_bad('v2')

    # Guards against pauses of good responses that dilute the failures.
    def test_measured_pauses_are_no_answers(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.record_good('v2', 3)
        for _ in range(9):
            entry.rollouts.record_response(
                'desk', 'v2', LatencyClass('r', 'm', PACE), 0.1
            )
        assert entry.analysis.count('v2').answers == 3


class TestPace:
    """A version whose events come slowly is bad, whenever the first comes."""

    # Guards against a version that is slow only once its response has begun.
    def test_slow_events_make_a_version_bad(self, clock: Clock) -> None:
        pace_class = LatencyClass('r', 'm', PACE)
        entry = Entry(SharedTopic())
        clock.now += 20 * SHIFT_START + 1
        for version, seconds in (('v1', 0.1), ('v2', 0.1 * (SLOW_RATIO + 1))):
            entry.record_good(version, 20)
            for _ in range(20):
                entry.rollouts.record_response(
                    'desk', version, pace_class, seconds
                )
        assert entry.analysis.is_bad('v2')

    # Guards against a bound for first events that hides slow pauses.
    def test_slow_pauses_of_a_few_hundredths_of_a_second_count(
        self, clock: Clock
    ) -> None:
        pace_class = LatencyClass('r', 'm', PACE)
        entry = Entry(SharedTopic())
        for version, seconds in (('v1', 0.04), ('v2', 0.09)):
            entry.record_good(version, 20)
            for _ in range(20):
                entry.rollouts.record_response(
                    'desk', version, pace_class, seconds
                )
        assert entry.analysis.is_bad('v2')

    def test_pause_is_measured_once_after_some_events(self) -> None:
        progress = AttemptProgress()
        measured = [progress.add_events(1, now) for now in (5.0, 5.2, 5.6, 9.0)]
        assert measured == [False, False, True, False]
        assert progress.pause == pytest.approx(0.3)

    # Guards against a pace that the relay measures and nobody judges.
    def test_relay_records_the_pace_of_streams(self) -> None:
        relay = RelayHarness(replicas=1)
        relay.send('/draft/x')
        relay.close()
        assert relay.rollouts.get_analysis('desk').count('v1').timed == 2


class TestSessions:
    """A session is pinned to its version."""

    def test_session_stays_on_the_baseline_before_the_shift(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.pin_session('desk', f's{row}', 'v1', 0)
        clock.now += 2
        assert entry.share(200) == 0

    def test_session_stays_on_the_new_version(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.pin_session('desk', f's{row}', 'v2', 0)
        clock.now += 2
        assert entry.share(200) == 1.0

    def test_session_lasts_from_the_end_of_its_response(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.pin_session('desk', f's{row}', 'v1', 9)
        clock.now += 8
        assert entry.share(200) == 0
        for row in range(200):
            entry.rollouts.pin_session('desk', f's{row}', 'v1', 0)
        clock.now += 4
        assert entry.share(200) == 0
        clock.now += 2
        assert entry.share(200) > 0

    def test_session_stays_when_it_moves_to_another_entry(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        first, second = Entry(topic), Entry(topic)
        for row in range(200):
            first.rollouts.pin_session('desk', f's{row}', 'v1', 0)
        assert second.share(200) > 0
        reported = first.rollouts.list_baseline_sessions()
        assert 0 < len(reported) < 40
        for digest, until in reported.items():
            second.rollouts.pin_baseline_session(digest, until - clock.now)
        assert second.share(200) == 0
        clock.now += 6
        assert second.share(200) > 0

    def test_reported_session_does_not_replace_a_local_pin(
        self, clock: Clock
    ) -> None:
        first, second = Entry(SharedTopic()), Entry(SharedTopic())
        for row in range(200):
            first.rollouts.pin_session('desk', f's{row}', 'v1', 0)
            second.rollouts.pin_session('desk', f's{row}', 'v2', 0)
        for digest in first.rollouts.list_baseline_sessions():
            second.rollouts.pin_baseline_session(digest, 5)
        assert second.share(200) == 1.0

    def test_session_leaves_a_version_that_is_rolled_back(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        entry = Entry(topic)
        entry.rollouts.pin_session('desk', 's', 'v2', 0)
        entry.rollouts.apply(
            'rollout/desk', b'{"state": "rolled_back", "target": "v2"}'
        )
        assert entry.rollouts.choose('desk', VERSIONS, 's', '') == 'v1'


class TestDecision:
    """All entries follow the first decision in the store."""

    def test_good_version_is_completed_in_time(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.feed._poll_once()
        entry.record_good('v2', 20)
        clock.now += 18
        entry.step()
        assert entry.state() is RolloutState.running
        clock.now += 1
        entry.step()
        assert entry.state() is RolloutState.done

    def test_failed_write_is_retried_after_a_pause(self, clock: Clock) -> None:
        topic = SharedTopic()
        entry = Entry(topic)
        entry.step()
        topic.appends = 0
        topic.is_down = True
        entry.record_good('v1', 60)
        for _ in range(12):
            entry.analysis.record_failure('v2')
        for _ in range(8):
            entry.controller.check()
            clock.now += 0.25
        assert topic.appends == 2
        topic.is_down = False
        clock.now += 1
        entry.step()
        assert entry.state() is RolloutState.back

    def test_paused_entry_does_not_overwrite_a_decision(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        first, paused = Entry(topic), Entry(topic)
        for entry in (first, paused):
            entry.feed._poll_once()
        first.record_good('v1', 60)
        for _ in range(12):
            first.analysis.record_failure('v2')
        first.controller.check()
        paused.record_good('v2', 30)
        clock.now += 19
        paused.controller.check()
        for entry in (first, paused):
            entry.feed._poll_once()
            assert entry.state() is RolloutState.back


class TestLateEntry:
    """An entry is partitioned or restarted during a roll-out."""

    def test_it_sends_sessions_to_the_same_version(self, clock: Clock) -> None:
        topic = SharedTopic()
        first = Entry(topic)
        first.step()
        first.record_good('v2', 20)
        clock.now += 20 * (SHIFT_END + 0.01)
        first.step()
        late = Entry(topic)
        late.step()
        assert late.share() == first.share() == 1.0

    def test_version_it_finds_bad_gets_no_requests(self, clock: Clock) -> None:
        topic = SharedTopic()
        first = Entry(topic)
        first.step()
        first.record_good('v2', 20)
        clock.now += 20 * (SHIFT_END + 0.01)
        first.step()
        late = Entry(topic)
        late.feed._poll_once()
        late.record_good('v1', 60)
        for _ in range(12):
            late.analysis.record_failure('v2')
        assert late.share() == 0

    def test_second_order_for_a_version_starts_at_zero(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        Entry(topic).step()
        clock.now += 20 * (STALE_DURATIONS + 0.1)
        late = Entry(topic)
        late.step()
        assert late.state() is RolloutState.running

    def test_damaged_record_is_ignored(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.shifts.apply('move/desk', b'{"target": 3, "began": "x"}')
        assert entry.rollouts.find_progress(entry.timed()) == 0


class RolloutMachine(RuleBasedStateMachine):
    """Entries decide despite lost responses, outages and pauses."""

    def __init__(self) -> None:
        """Start three entries on one topic."""
        super().__init__()
        self.clock = Clock()
        module.read_clock = shifts_module.read_clock = self.clock
        self.topic = SharedTopic()
        self.entries = [Entry(self.topic) for _ in range(3)]

    @rule(number=st.integers(0, 2), count=st.integers(1, 12))
    def observe_good(self, number: int, count: int) -> None:
        """Let an entry observe successful responses."""
        self.entries[number].record_good('v2', count)
        self.entries[number].record_good('v1', count * 5)

    @rule(number=st.integers(0, 2), count=st.integers(1, 8))
    def observe_bad(self, number: int, count: int) -> None:
        """Let an entry observe failures."""
        for _ in range(count):
            self.entries[number].analysis.record_failure('v2')

    @rule(number=st.integers(0, 2))
    def read(self, number: int) -> None:
        """Let an entry read the store."""
        try:
            self.entries[number].feed._poll_once()
        except LogDownError:
            return

    @rule(number=st.integers(0, 2))
    def check(self, number: int) -> None:
        """Let an entry write decisions."""
        self.entries[number].controller.check()

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Replace an entry by a restarted one."""
        self.entries[number] = Entry(self.topic)

    @rule(is_down=st.booleans(), loses=st.booleans())
    def disturb(self, is_down: bool, loses: bool) -> None:
        """Start or end faults of the store."""
        self.topic.is_down = is_down
        self.topic.loses_responses = loses

    @precondition(lambda self: self.clock.now < 130)
    @rule(seconds=st.floats(0.1, 6))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.now += seconds

    @invariant()
    def is_decided_once(self) -> None:
        """At most one decision is in the store."""
        decisions = [
            record
            for record in self.topic.records
            if b'completed' in (record.content or b'')
            or b'rolled_back' in (record.content or b'')
        ]
        assert len(decisions) <= 1

    def teardown(self) -> None:
        """Restore the clock of the modules."""
        module.read_clock = shifts_module.read_clock = REAL_CLOCK


REAL_CLOCK = module.read_clock
TestRolloutMachine = RolloutMachine.TestCase
TestRolloutMachine.settings = settings(max_examples=60, deadline=None)
