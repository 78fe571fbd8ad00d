"""Prompt parts that crash endpoints are refused; sound requests are not."""

import threading
import time
from collections.abc import Iterator

import pytest
from prometheus_client import CollectorRegistry

from toucancourse.forwarding import quarantine
from toucancourse.forwarding.crashes import (
    Crash,
    find_crashing_sets,
    hash_parts,
)
from toucancourse.forwarding.metrics import ForwardingMetrics
from toucancourse.forwarding.objects import Call, EndpointRecord
from toucancourse.forwarding.quarantine import (
    BLOCK_SECONDS,
    CrashingPromptError,
    Quarantine,
)
from toucancourse.platform.messages import PlatformCodec
from toucancourse.platform.records import decode_endpoint

from .forwarding import (
    MemoryTopic,
    RecordedResponse,
    RelayHarness,
    make_request,
)

#: Requests with a crashing part that may reach endpoints after the fifth crash.
ALLOWED_AFTER = 3
CRASHING = 'deadly'
#: How long an endpoint is away after a crash.
DOWN_SECONDS = 0.4


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay in front of endpoints that crash on a prompt part."""
    relay = RelayHarness(replicas=8)
    for replica in relay.replicas:
        replica.crashing_part = CRASHING
    yield relay
    relay.close()


def send(relay: RelayHarness, *parts: str) -> RecordedResponse:
    """Send a stream request whose prompt has these parts."""
    prompt = ','.join(f'{part}:10' for part in parts)
    return relay.send('/draft/x', X_Prompt_Prefix=prompt, X_Token_Usage='40,9')


def count_runs(relay: RelayHarness, part: str) -> int:
    """Return how many executed requests had a prompt part."""
    return sum(
        f'{part}:' in run['headers']['X-Prompt-Prefix'] for run in relay.runs()
    )


def crash_processes(relay: RelayHarness, crashes_after: str) -> None:
    """Make crashes end the endpoints' processes for some time."""
    for replica in relay.replicas:
        replica.crashes_after = crashes_after
        replica.down_seconds = DOWN_SECONDS


class TestCrashingPart:
    """A part on which endpoints crash soon reaches no endpoint."""

    # Guards against requests of one kind crashing one endpoint after another.
    def test_later_requests_with_the_part_reach_no_endpoint(
        self, relay: RelayHarness
    ) -> None:
        for number in range(20):
            send(relay, 'rules', f'topic-{number}', CRASHING, f'own-{number}')
        assert count_runs(relay, CRASHING) <= 5 + ALLOWED_AFTER

    # Guards against refusing what only shares a caller and parts with them.
    def test_requests_with_all_other_parts_are_served(
        self, relay: RelayHarness
    ) -> None:
        for number in range(6):
            topic = f'topic-{number}'
            send(relay, 'rules', topic, CRASHING, f'own-{number}')
            assert send(relay, 'rules', topic, f'sound-{number}').is_finished

    def test_refusal_says_that_nothing_ran_and_when_to_return(
        self, relay: RelayHarness
    ) -> None:
        for number in range(4):
            response = send(relay, 'rules', CRASHING, f'own-{number}')
        assert response.error is not None
        assert response.error.code == 'prompt_crashes_endpoints'
        assert response.error.status == 503
        assert response.error.retry_after is not None
        assert 0 < response.error.retry_after <= BLOCK_SECONDS

    def test_request_that_crashed_an_endpoint_is_not_said_to_be_unexecuted(
        self, relay: RelayHarness
    ) -> None:
        response = send(relay, 'rules', CRASHING, 'own')
        assert response.error is not None
        assert response.error.status == 502
        assert count_runs(relay, CRASHING) == 2

    def test_part_that_becomes_sound_again_is_served(
        self, relay: RelayHarness, clock: list[float]
    ) -> None:
        for number in range(4):
            send(relay, 'rules', CRASHING, f'own-{number}')
        for replica in relay.replicas:
            replica.crashing_part = ''
        clock[0] += BLOCK_SECONDS
        assert send(relay, 'rules', CRASHING, 'own').is_finished
        assert send(relay, 'rules', CRASHING, 'other').is_finished


class TestCrashWithoutTrace:
    """The cause is found whatever left the endpoint before it crashed."""

    # Guards against missing crashes before a head or after the first event.
    @pytest.mark.parametrize('crashes_after', ['nothing', 'head', 'event'])
    def test_later_requests_with_the_part_reach_no_endpoint(
        self, relay: RelayHarness, crashes_after: str
    ) -> None:
        crash_processes(relay, crashes_after)
        for number in range(8):
            send(relay, 'rules', f'topic-{number}', CRASHING, f'own-{number}')
            time.sleep(DOWN_SECONDS)
        assert count_runs(relay, CRASHING) <= 5 + ALLOWED_AFTER

    # Guards against refusing requests that were lost in the same crashes.
    @pytest.mark.parametrize('crashes_after', ['nothing', 'head', 'event'])
    def test_requests_with_all_other_parts_are_served(
        self, relay: RelayHarness, crashes_after: str
    ) -> None:
        crash_processes(relay, crashes_after)
        for number in range(6):
            topic = f'topic-{number}'
            send(relay, 'rules', topic, CRASHING, f'own-{number}')
            assert send(relay, 'rules', topic, f'sound-{number}').is_finished

    # Guards against blaming prompts for connections that were only cut.
    def test_lost_connections_of_live_endpoints_block_nothing(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.crashing_part = ''
            replica.fault = 'close'
            replica.faults_left = 1
        for number in range(4):
            send(relay, 'rules', 'topic', f'own-{number}')
        assert send(relay, 'rules', 'topic', 'own').is_finished

    # Guards against refusing the parts of one request that was repeated at
    # endpoints that crash for another reason.
    # Guards against refusing prompts of endpoints that write responses twice.
    def test_responses_that_start_again_block_nothing(
        self, relay: RelayHarness
    ) -> None:
        for size in range(240, 320, 4):
            for replica in relay.replicas:
                replica.fault = 'restart'
                replica.break_off_at = size
            send(relay, 'rules', 'topic', f'own-{size}')
        for replica in relay.replicas:
            replica.fault = ''
        assert send(relay, 'rules', 'topic', 'sound').is_finished

    def test_one_repeated_request_blocks_nothing(
        self, clock: list[float]
    ) -> None:
        entry = Entry(MemoryTopic())
        for number in range(5):
            entry.crash_indirectly(f'i-{number}', 'rules', 'topic', 'own')
        assert not entry.refuses('rules', 'topic', 'own')

    # Guards against refusing what waits beside the cause in each crash.
    def test_only_the_part_of_all_crashes_is_blocked(
        self, clock: list[float]
    ) -> None:
        entry = Entry(MemoryTopic())
        for number in range(5):
            name = f'i-{number}'
            entry.crash_indirectly(name, 'deadly', f'own-{number}')
            entry.crash_indirectly(name, f'topic-{number % 2}', f'x-{number}')
        assert entry.refuses('deadly', 'x')
        assert not entry.refuses('topic-0', 'x')
        assert not entry.refuses('topic-1', 'x')

    # Guards against entries that each need three crashes of their own.
    def test_indirect_crashes_seen_by_different_entries_add_up(
        self, clock: list[float]
    ) -> None:
        topic = MemoryTopic()
        entries = [Entry(topic) for _ in range(3)]
        for number, entry in enumerate(entries):
            entry.crash_indirectly(f'i-{number}', 'deadly', f'x-{number}')
            entry.write()
        for entry in entries:
            entry.read()
        assert all(entry.refuses('deadly', 'y') for entry in entries)

    def test_parts_with_responses_are_no_suspects(
        self, clock: list[float]
    ) -> None:
        entry = Entry(MemoryTopic())
        for number in range(4):
            entry.quarantine.record_success(make_call('rules', 'topic', 'x'))
            entry.crash_indirectly(f'i-{number}', 'rules', 'topic', f'{number}')
        clock[0] += quarantine.SOUND_SECONDS
        assert not entry.refuses('rules', 'topic', 'x')


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the time that quarantines read."""
    now = [1000.0]
    monkeypatch.setattr(quarantine, 'read_clock', lambda: now[0])
    return now


class Entry:
    """The quarantine of one process, which reads a topic."""

    def __init__(self, topic: MemoryTopic) -> None:
        """Create a process that has read nothing."""
        self.topic = topic
        self.position = 0
        self.quarantine = Quarantine(
            topic,
            lambda: self.position,
            ForwardingMetrics(CollectorRegistry()),
        )

    def read(self) -> None:
        """Apply all new records."""
        for record in self.topic.records[self.position :]:
            self.quarantine.apply(record.key, record.content)
        self.position = len(self.topic.records)

    def write(self) -> None:
        """Write what waits, as the entry's thread does until it is stopped."""
        stopped = threading.Event()
        thread = threading.Thread(
            target=self.quarantine.run, args=(stopped,), daemon=True
        )
        thread.start()
        deadline = time.monotonic() + 5
        while self.quarantine.count_pending() and time.monotonic() < deadline:
            if not self.topic.is_available:
                break
            time.sleep(0.01)
        stopped.set()
        thread.join()

    def crash(self, name: str, *parts: str) -> None:
        """Record that an endpoint crashed on a prompt."""
        self.quarantine.record_crash(make_call(*parts), make_record(name))

    def crash_indirectly(self, name: str, *parts: str) -> None:
        """Record that an endpoint crashed with a prompt in flight."""
        self.quarantine.record_indirect_crash(
            make_call(*parts), make_record(name)
        )

    def refuses(self, *parts: str) -> bool:
        """Return True if a request with these parts is refused."""
        try:
            self.quarantine.check(make_call(*parts))
        except CrashingPromptError:
            return True
        return False


def make_call(*parts: str) -> Call:
    """Return a call whose prompt has these parts."""
    prompt = ','.join(f'{part}:10' for part in parts)
    return PlatformCodec().decode_call(
        make_request('/draft/x', X_Prompt_Prefix=prompt)
    )


def make_record(name: str) -> EndpointRecord:
    """Return the record of an endpoint."""
    return decode_endpoint(
        name,
        b'{"service": "desk", "address": "127.0.0.1:1", "zone": "a",'
        b' "version": "v1", "slots": 1, "state": "ready", "born": 1}',
    )


class TestSharedBelief:
    """All entries refuse what a few of them found, also after failures."""

    # Guards against each entry losing endpoints until it knows by itself.
    def test_crashes_seen_by_different_entries_add_up(
        self, clock: list[float]
    ) -> None:
        topic = MemoryTopic()
        entries = [Entry(topic) for _ in range(3)]
        for number, entry in enumerate(entries[:2]):
            topic_part = f'topic-{number}'
            entry.crash(f'i-{number}', 'rules', topic_part, 'deadly', 'x')
            entry.write()
        for entry in entries:
            entry.read()
        assert all(entry.refuses('rules', 'deadly', 'y') for entry in entries)

    # Guards against a new process crashing endpoints again.
    def test_restarted_entry_refuses_at_once(self, clock: list[float]) -> None:
        topic = MemoryTopic()
        first = Entry(topic)
        first.crash('i-1', 'rules', 'deadly', 'x')
        first.crash('i-2', 'rules', 'deadly', 'y')
        first.write()
        second = Entry(topic)
        for record in topic.fetch_newest().records:
            second.quarantine.apply(record.key, record.content)
        assert second.refuses('rules', 'deadly', 'z')

    # Guards against a report that is lost while the store is away.
    def test_reports_are_written_once_the_store_is_back(
        self, clock: list[float]
    ) -> None:
        topic = MemoryTopic()
        topic.is_available = False
        first, second = Entry(topic), Entry(topic)
        first.crash('i-1', 'rules', 'deadly', 'x')
        first.crash('i-2', 'rules', 'deadly', 'y')
        first.write()
        topic.is_available = True
        first.write()
        second.read()
        assert second.refuses('rules', 'deadly', 'z')

    def test_one_entry_tries_again_after_a_while(
        self, clock: list[float]
    ) -> None:
        topic = MemoryTopic()
        entries = [Entry(topic) for _ in range(3)]
        entries[0].crash('i-1', 'rules', 'deadly', 'x')
        entries[0].crash('i-2', 'rules', 'deadly', 'y')
        entries[0].write()
        for entry in entries:
            entry.read()
        clock[0] += BLOCK_SECONDS
        refused = [entry.refuses('rules', 'deadly', 'z') for entry in entries]
        assert refused == [False, True, True]
        for entry in entries:
            entry.read()
        clock[0] += BLOCK_SECONDS
        assert all(entry.refuses('rules', 'deadly', 'z') for entry in entries)

    def test_response_at_one_entry_ends_the_belief_of_all(
        self, clock: list[float]
    ) -> None:
        topic = MemoryTopic()
        entries = [Entry(topic) for _ in range(2)]
        entries[0].crash('i-1', 'rules', 'deadly', 'x')
        entries[0].crash('i-2', 'rules', 'deadly', 'y')
        entries[0].write()
        entries[1].read()
        entries[1].quarantine.record_success(make_call('rules', 'deadly', 'z'))
        entries[1].write()
        for entry in entries:
            entry.read()
        refused = [entry.refuses('rules', 'deadly', 'z') for entry in entries]
        assert refused == [False, False]

    @pytest.mark.parametrize(
        'content', [b'', b'[]', b'{"parts": 3}', b'{"parts": [1]}', b'\xff']
    )
    def test_invalid_record_is_ignored(
        self, clock: list[float], content: bytes
    ) -> None:
        entry = Entry(MemoryTopic())
        entry.quarantine.apply('blocked/x', content)
        entry.quarantine.apply('crash/i-1.1/x', content)
        assert not entry.refuses('rules', 'deadly', 'x')


class TestSoundParts:
    """Crashes that requests have nothing to do with block no part."""

    def test_parts_with_responses_are_not_blocked(
        self, clock: list[float]
    ) -> None:
        entry = Entry(MemoryTopic())
        for number in range(3):
            entry.quarantine.record_success(make_call('rules', 'topic', 'x'))
            entry.crash(f'i-{number}', 'rules', 'topic', 'x')
        assert not entry.refuses('rules', 'topic', 'x')

    def test_repeated_loss_of_one_endpoint_blocks_nothing(
        self, clock: list[float]
    ) -> None:
        entry = Entry(MemoryTopic())
        for number in range(5):
            entry.crash('i-1', 'rules', 'topic', f'own-{number}')
        assert not entry.refuses('rules', 'topic', 'x')

    def test_old_crashes_block_nothing(self, clock: list[float]) -> None:
        entry = Entry(MemoryTopic())
        entry.crash('i-1', 'rules', 'topic', 'x')
        clock[0] += quarantine.CRASH_SECONDS
        entry.crash('i-2', 'rules', 'topic', 'y')
        assert not entry.refuses('rules', 'topic', 'x')


def make_crash(endpoint: str, *parts: str) -> Crash:
    """Return a crash of an endpoint on a prompt with these shared parts."""
    return Crash(endpoint, frozenset(parts))


class TestCrashingSets:
    """The parts that explain crashes, and no others, are found."""

    def test_one_prompt_sent_twice_is_found_whole(self) -> None:
        crashes = [
            make_crash('i-1', 'a', 'b', 'c'),
            make_crash('i-2', 'a', 'b', 'c'),
        ]
        assert find_crashing_sets(crashes) == {frozenset('abc')}

    def test_part_in_all_prompts_is_found(self) -> None:
        crashes = [
            make_crash('i-1', 'a', 'c'),
            make_crash('i-2', 'a', 'c'),
            make_crash('i-3', 'b', 'c'),
        ]
        assert find_crashing_sets(crashes) == {frozenset('c')}

    def test_two_causes_are_found(self) -> None:
        crashes = [
            make_crash('i-1', 'a', 'c'),
            make_crash('i-2', 'b', 'c'),
            make_crash('i-3', 'd', 'e'),
            make_crash('i-4', 'f', 'e'),
        ]
        assert find_crashing_sets(crashes) == {frozenset('c'), frozenset('e')}

    # Guards against sound parts of bystanders that hide the cause.
    def test_sound_part_of_all_prompts_explains_nothing(self) -> None:
        crashes = [
            make_crash(f'i-{number}', 'rules', name)
            for number in range(3)
            for name in ('deadly', f'topic-{number}', f'other-{number}')
        ]
        found = find_crashing_sets(crashes, frozenset(('rules',)))
        assert found == {frozenset(('rules', 'deadly'))}

    # Guards against refusing what was lost beside the cause.
    def test_each_crash_has_one_cause(self) -> None:
        crashes = [
            make_crash(f'i-{number}', name)
            for number in range(5)
            for name in ('deadly', f'topic-{number % 2}')
        ]
        assert find_crashing_sets(crashes) == {frozenset(('deadly',))}

    def test_crashes_without_a_common_part_explain_nothing(self) -> None:
        crashes = [make_crash('i-1', 'a'), make_crash('i-2', 'b')]
        assert not find_crashing_sets(crashes)

    def test_sets_have_equal_names_in_all_processes(self) -> None:
        assert hash_parts(frozenset(('a', 'b'))) == hash_parts(
            frozenset(('b', 'a'))
        )
