"""Which version a request goes to, and how a roll-out is decided."""

from collections.abc import Iterator

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
from toucancourse.forwarding import moves as moves_module
from toucancourse.forwarding import rollouts as module
from toucancourse.forwarding.evidence import Evidence, Work
from toucancourse.forwarding.moves import STALE_AFTER, MoveBook
from toucancourse.forwarding.peers import Listeners
from toucancourse.forwarding.rollouts import (
    MOVE_FROM,
    MOVE_TO,
    MOVED_SLOW_RATIO,
    SLOW_RATIO,
    TRIAL_SHARE,
    RolloutJudge,
    Rollouts,
    State,
)
from toucancourse.forwarding.tables import OperatorBook, TimedOrder
from toucancourse.membership.feeds import Feed, PollTiming
from toucancourse.membership.topics import Record, Records, Topic
from toucancourse.platform.records import PlatformDecoder

ORDER = b'{"service": "desk", "target": "v2", "durationS": 20}'
VERSIONS = ('v1', 'v2')
WORK = Work('r', 'm', 8)


class Clock:
    """A clock that tests advance."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class SharedTopic(Topic):
    """A store's topic in this process, which may lose its answers."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []
        self.is_down = False
        self.loses_answers = False
        #: Calls to append, refused ones too.
        self.appends = 0

    def fetch_newest(self) -> Records:
        """Return all records."""
        return self.read(0, 0)

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on."""
        if self.is_down:
            raise LogDownError('down')
        return Records(tuple(self.records[start:]), len(self.records))

    def append(self, key: str, content: bytes | None, at: int) -> bool:
        """Append if the topic ends there."""
        self.appends += 1
        if self.is_down:
            raise LogDownError('down')
        if at != len(self.records):
            return False
        self.records.append(Record(key, content, at))
        if self.loses_answers:
            raise LogDownError('answer lost')
        return True


class Entry:
    """One entry's view of a roll-out."""

    def __init__(self, topic: Topic) -> None:
        """Know the order from the start."""
        decoder = PlatformDecoder()
        self.operators = OperatorBook(decoder)
        self.operators.apply('rollout/desk', ORDER)
        self.moves = MoveBook()
        self.rollouts = Rollouts(decoder, self.operators, 5, self.moves)
        self.feed = Feed(
            'statuses',
            topic,
            Listeners(self.rollouts, self.moves),
            PollTiming(0, 0),
        )
        self.judge = RolloutJudge(
            self.rollouts,
            self.operators,
            topic,
            decoder,
            self.feed,
            self.moves,
        )

    def step(self) -> None:
        """Read the store, decide, and read it again."""
        self.feed._poll_once()
        self.judge.check()
        self.feed._poll_once()

    @property
    def evidence(self) -> Evidence:
        """Return what it knows of the service's versions."""
        return self.rollouts.evidence('desk')

    def answer(self, version: str, count: int, seconds: float = 0.2) -> None:
        """Count good answers."""
        for _ in range(count):
            self.rollouts.note_answer('desk', version, WORK, seconds)

    def timed(self) -> TimedOrder:
        """Return the order."""
        timed = self.operators.order('desk')
        assert timed is not None
        return timed

    def state(self) -> State:
        """Return how the roll-out stands."""
        return self.rollouts.find_state('desk', 'v2')

    def share(self, count: int = 2000) -> float:
        """Return the new version's share of new sessions."""
        chosen = [
            self.rollouts.choose('desk', VERSIONS, f's{row}', '')
            for row in range(count)
        ]
        return chosen.count('v2') / count


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    """Return the clock that the modules under test read."""
    built = Clock()
    monkeypatch.setattr(module, 'read_clock', built)
    monkeypatch.setattr('toucancourse.forwarding.tables.read_clock', built)
    monkeypatch.setattr('toucancourse.forwarding.moves.read_clock', built)
    monkeypatch.setattr('time.time', lambda: 1e9 + built.now)
    yield built


class TestTrial:
    """A new version gets few requests until it is known to be good."""

    def test_share_is_small_at_first(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        assert abs(entry.share() - TRIAL_SHARE) < 0.03

    def test_share_grows_only_with_evidence(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        clock.now += 17
        assert abs(entry.share() - TRIAL_SHARE) < 0.03
        entry.answer('v2', 20)
        assert entry.share() == 1.0

    def test_failing_version_gets_nothing(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.answer('v1', 60)
        entry.answer('v2', 5)
        for _ in range(6):
            entry.evidence.note_failure('v2')
        assert entry.share() == 0

    def test_fault_of_both_versions_is_not_held_against_one(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for version, count in (('v1', 100), ('v2', 10)):
            entry.answer(version, count)
            for _ in range(count):
                entry.evidence.note_failure(version)
        assert not entry.evidence.is_bad('v2')

    def test_version_that_seems_worse_stays_on_trial(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        entry.answer('v1', 60)
        entry.answer('v2', 8)
        for _ in range(3):
            entry.evidence.note_failure('v2')
        assert not entry.evidence.is_bad('v2')
        clock.now += 20 * (MOVE_TO + 0.01)
        assert abs(entry.share() - TRIAL_SHARE) < 0.03
        entry.answer('v2', 30)
        assert entry.share() == 1.0

    def test_slow_version_is_bad(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.answer('v1', 60)
        entry.answer('v2', 8, seconds=0.2 * (SLOW_RATIO + 1))
        assert entry.evidence.is_bad('v2')

    def test_cold_caches_after_the_move_are_not_slowness(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        entry.answer('v1', 60)
        entry.answer('v2', 10)
        clock.now += 20 * MOVE_FROM + 1
        entry.answer('v2', 20, seconds=0.2 * (MOVED_SLOW_RATIO - 1))
        assert not entry.evidence.is_bad('v2')


class TestSessions:
    """A session keeps its version while it may."""

    def test_session_stays_on_the_old_version_in_the_first_half(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.hold_session('desk', f's{row}', 'v1', 0)
        clock.now += 2
        assert entry.share(200) == 0

    def test_session_on_the_new_version_stays_there(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.hold_session('desk', f's{row}', 'v2', 0)
        clock.now += 2
        assert entry.share(200) == 1.0

    def test_session_lasts_from_the_end_of_its_answer(
        self, clock: Clock
    ) -> None:
        entry = Entry(SharedTopic())
        for row in range(200):
            entry.rollouts.hold_session('desk', f's{row}', 'v1', 9)
        clock.now += 8
        assert entry.share(200) == 0
        for row in range(200):
            entry.rollouts.hold_session('desk', f's{row}', 'v1', 0)
        clock.now += 4
        assert entry.share(200) == 0
        clock.now += 2
        assert entry.share(200) > 0

    def test_session_that_comes_to_another_entry_stays_too(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        first, second = Entry(topic), Entry(topic)
        for row in range(200):
            first.rollouts.hold_session('desk', f's{row}', 'v1', 0)
        assert second.share(200) > 0
        told = first.rollouts.list_old_sessions()
        assert 0 < len(told) < 40
        for digest, until in told.items():
            second.rollouts.hold_old_session(digest, until - clock.now)
        assert second.share(200) == 0
        clock.now += 6
        assert second.share(200) > 0

    def test_what_was_told_undoes_no_session_here(self, clock: Clock) -> None:
        first, second = Entry(SharedTopic()), Entry(SharedTopic())
        for row in range(200):
            first.rollouts.hold_session('desk', f's{row}', 'v1', 0)
            second.rollouts.hold_session('desk', f's{row}', 'v2', 0)
        for digest in first.rollouts.list_old_sessions():
            second.rollouts.hold_old_session(digest, 5)
        assert second.share(200) == 1.0

    def test_session_leaves_a_version_that_is_turned_back(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        entry = Entry(topic)
        entry.rollouts.hold_session('desk', 's', 'v2', 0)
        entry.rollouts.apply(
            'rollout/desk', b'{"state": "rolled_back", "target": "v2"}'
        )
        assert entry.rollouts.choose('desk', VERSIONS, 's', '') == 'v1'


class TestDecision:
    """The first decision in the store is everybody's."""

    def test_good_version_is_completed_in_time(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.feed._poll_once()
        entry.answer('v2', 20)
        clock.now += 18
        entry.step()
        assert entry.state() is State.running
        clock.now += 1
        entry.step()
        assert entry.state() is State.done

    def test_store_that_refuses_is_left_alone_for_a_while(
        self, clock: Clock
    ) -> None:
        topic = SharedTopic()
        entry = Entry(topic)
        entry.step()
        topic.appends = 0
        topic.is_down = True
        entry.answer('v1', 60)
        for _ in range(12):
            entry.evidence.note_failure('v2')
        for _ in range(8):
            entry.judge.check()
            clock.now += 0.25
        assert topic.appends == 2
        topic.is_down = False
        clock.now += 1
        entry.step()
        assert entry.state() is State.back

    def test_paused_entry_does_not_undo_a_decision(self, clock: Clock) -> None:
        topic = SharedTopic()
        first, paused = Entry(topic), Entry(topic)
        for entry in (first, paused):
            entry.feed._poll_once()
        first.answer('v1', 60)
        for _ in range(12):
            first.evidence.note_failure('v2')
        first.judge.check()
        paused.answer('v2', 30)
        clock.now += 19
        paused.judge.check()
        for entry in (first, paused):
            entry.feed._poll_once()
            assert entry.state() is State.back


class TestLateEntry:
    """Pattern: an entry cut off or killed while a version is rolled out."""

    def test_it_sends_sessions_where_the_others_do(self, clock: Clock) -> None:
        topic = SharedTopic()
        first = Entry(topic)
        first.step()
        first.answer('v2', 20)
        clock.now += 20 * (MOVE_TO + 0.01)
        first.step()
        late = Entry(topic)
        late.step()
        assert late.share() == first.share() == 1.0

    def test_version_it_finds_bad_gets_nothing(self, clock: Clock) -> None:
        topic = SharedTopic()
        first = Entry(topic)
        first.step()
        first.answer('v2', 20)
        clock.now += 20 * (MOVE_TO + 0.01)
        first.step()
        late = Entry(topic)
        late.feed._poll_once()
        late.answer('v1', 60)
        for _ in range(12):
            late.evidence.note_failure('v2')
        assert late.share() == 0

    def test_second_order_to_a_version_starts_anew(self, clock: Clock) -> None:
        topic = SharedTopic()
        Entry(topic).step()
        clock.now += 20 * (STALE_AFTER + 0.1)
        late = Entry(topic)
        late.step()
        assert late.state() is State.running

    def test_damaged_record_is_passed_over(self, clock: Clock) -> None:
        entry = Entry(SharedTopic())
        entry.moves.apply('move/desk', b'{"target": 3, "began": "x"}')
        assert entry.rollouts.find_progress(entry.timed()) == 0


class RolloutMachine(RuleBasedStateMachine):
    """Entries decide with lost answers, outages and pauses."""

    def __init__(self) -> None:
        """Start three entries on one topic."""
        super().__init__()
        self.clock = Clock()
        module.read_clock = moves_module.read_clock = self.clock
        self.topic = SharedTopic()
        self.entries = [Entry(self.topic) for _ in range(3)]

    @rule(number=st.integers(0, 2), count=st.integers(1, 12))
    def see_good(self, number: int, count: int) -> None:
        """Let an entry see good answers."""
        self.entries[number].answer('v2', count)
        self.entries[number].answer('v1', count * 5)

    @rule(number=st.integers(0, 2), count=st.integers(1, 8))
    def see_bad(self, number: int, count: int) -> None:
        """Let an entry see failures."""
        for _ in range(count):
            self.entries[number].evidence.note_failure('v2')

    @rule(number=st.integers(0, 2))
    def read(self, number: int) -> None:
        """Let an entry read what was decided."""
        try:
            self.entries[number].feed._poll_once()
        except LogDownError:
            return

    @rule(number=st.integers(0, 2))
    def check(self, number: int) -> None:
        """Let an entry decide."""
        self.entries[number].judge.check()

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Let an entry forget everything."""
        self.entries[number] = Entry(self.topic)

    @rule(is_down=st.booleans(), loses=st.booleans())
    def disturb(self, is_down: bool, loses: bool) -> None:
        """Change the store's fault."""
        self.topic.is_down = is_down
        self.topic.loses_answers = loses

    @precondition(lambda self: self.clock.now < 130)
    @rule(seconds=st.floats(0.1, 6))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.now += seconds

    @invariant()
    def is_decided_once(self) -> None:
        """At most one decision was written after the last look."""
        decisions = [
            record
            for record in self.topic.records
            if b'completed' in (record.content or b'')
            or b'rolled_back' in (record.content or b'')
        ]
        assert len(decisions) <= 1

    def teardown(self) -> None:
        """Give the module its clock back."""
        module.read_clock = moves_module.read_clock = REAL_CLOCK


REAL_CLOCK = module.read_clock
TestRolloutMachine = RolloutMachine.TestCase
TestRolloutMachine.settings = settings(max_examples=60, deadline=None)
