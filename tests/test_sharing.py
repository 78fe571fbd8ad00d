"""Topics that a few entries read for all others."""

import threading
import time
from collections.abc import Iterator, Sequence

import pytest

from standins.calls import find_port, wait_until
from standins.keyedstore import KeyedStore
from toucancourse.errors import LogDownError
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.peers import (
    MIN_READERS,
    MIN_SHARING_ENTRIES,
    READER_ENTRIES,
    EntryRegistry,
)
from toucancourse.forwarding.reporting import (
    LoadReporters,
    LoadServicer,
    LocalState,
)
from toucancourse.forwarding.topicreads import GrpcTopicReader, TopicServicer
from toucancourse.membership import feeds
from toucancourse.membership.clock import read_clock
from toucancourse.membership.feeds import Feed, PollTiming
from toucancourse.membership.sharing import (
    MAX_PROOF_AGE_SECONDS,
    PENALTY_SECONDS,
    SHARED_WAIT_SECONDS,
    SharedTopic,
    TopicReader,
)
from toucancourse.membership.tails import MAX_RECORDS, TopicTail
from toucancourse.membership.topics import Record, Records
from toucancourse.platform.store import StoreTopic

from .test_feeds import CountedTopic, ScriptedTopic, TableListener

#: Time within which operators' changes and leaving endpoints must be known.
APPLY_SECONDS = 2.0
READER_TIMING = PollTiming(wait_seconds=0.5, pause_seconds=0)


class TailReader(TopicReader):
    """Reads the tail of a feed in this process, or fails."""

    def __init__(self, tail: TopicTail, address: str = 'peer:1') -> None:
        """Create a reader that works."""
        self.tail = tail
        self.address = address
        self.is_gone = False
        self.reads = 0
        #: How long a response is held back after it was made, in seconds.
        self.pause_seconds = 0.0

    def read(
        self, topic: str, start: int, wait_seconds: float
    ) -> Records | None:
        """Return a page of the tail."""
        self.reads += 1
        if self.is_gone:
            return None
        page = self.tail.read(start, wait_seconds)
        time.sleep(self.pause_seconds)
        return None if page is None else page._replace(source=self.address)

    def describe(self) -> str:
        """Return the address."""
        return self.address


class SharingFleet:
    """A store, two entries that read it, and one that reads at them."""

    def __init__(self) -> None:
        """Start all feeds."""
        self.store = KeyedStore()
        self.store.put('keyed.op', 'config', b'1')
        self.running: list[Feed] = []
        #: Store of the two readers; another one stands for a partition.
        self.reader_feeds = [
            self.start(StoreTopic(self.store.address, 'keyed.op'))[0]
            for _ in range(MIN_READERS)
        ]
        self.readers = [
            TailReader(feed.tail, f'peer:{row}')
            for row, feed in enumerate(self.reader_feeds)
        ]
        self.topic = SharedTopic(
            StoreTopic(self.store.address, 'keyed.op'), 'keyed.op'
        )
        self.feed, self.table = self.start(self.topic)
        for feed in self.running:
            assert feed.caught_up.wait(2)
        self.topic.readers = tuple(self.readers)

    def start(
        self, topic: StoreTopic | SharedTopic
    ) -> tuple[Feed, TableListener]:
        """Start a feed of a topic."""
        table = TableListener()
        feed = Feed('test', topic, table, READER_TIMING)
        threading.Thread(target=feed.run, daemon=True).start()
        self.running.append(feed)
        return feed, table

    def change(self, content: bytes, seconds: float = APPLY_SECONDS) -> None:
        """Change the configuration and wait until the follower has it."""
        self.store.put('keyed.op', 'config', content)
        wait_until(
            lambda: self.table.contents.get('config') == content,
            seconds,
            'the change',
        )

    def count_calls(self, seconds: float) -> int:
        """Return the calls that the store gets in some seconds."""
        before = sum(self.store.calls.values())
        time.sleep(seconds)
        return sum(self.store.calls.values()) - before

    def close(self) -> None:
        """Stop all feeds and the store."""
        for feed in self.running:
            feed.stop()
        self.store.close()


@pytest.fixture
def fleet() -> Iterator[SharingFleet]:
    """Return a fleet whose follower reads at the two readers."""
    running = SharingFleet()
    yield running
    running.close()


class TestFollowing:
    """An entry knows what its readers know, without calls to the store."""

    def test_changes_arrive_without_calls(self, fleet: SharingFleet) -> None:
        wait_until(lambda: fleet.readers[0].reads > 1, 2, 'shared reads')
        for reader in fleet.reader_feeds:
            reader.stop()
        time.sleep(READER_TIMING.wait_seconds + 0.1)
        fleet.reader_feeds[0].tail.publish(
            (Record('config', b'2', 1),), 2, read_clock(), 0, fleet.store.era
        )
        wait_until(
            lambda: fleet.table.contents['config'] == b'2', 1, 'shared record'
        )

    def test_proof_is_renewed(self, fleet: SharingFleet) -> None:
        time.sleep(2)
        assert fleet.feed.proof_age() < (
            READER_TIMING.wait_seconds + 2 * SHARED_WAIT_SECONDS + 0.4
        )

    def test_small_delay(self, fleet: SharingFleet) -> None:
        time.sleep(0.5)
        fleet.change(b'2', 0.5)


class TestFailingReaders:
    """Changes apply in time though readers fail."""

    def test_both_readers_are_gone(self, fleet: SharingFleet) -> None:
        for reader in fleet.readers:
            reader.is_gone = True
        fleet.change(b'2')
        assert fleet.feed.proof_age() < APPLY_SECONDS

    def test_failed_reader_is_not_asked_again_at_once(self) -> None:
        reader = TailReader(TopicTail())
        reader.is_gone = True
        page = Records((), 1)
        topic = SharedTopic(ScriptedTopic(*[page] * 5), 'keyed.op')
        topic.readers = (reader,)
        for _ in range(5):
            topic.read(1, 0)
        assert reader.reads == 1
        assert PENALTY_SECONDS > APPLY_SECONDS

    @pytest.mark.parametrize(('max_age', 'reads'), [(1.2, 1), (2.4, 0)])
    def test_age_of_a_proof_that_suffices(
        self, max_age: float, reads: int
    ) -> None:
        """A reader that polls a topic once a second, as it does for calm ones.

        Topics on which less depends may be older.
        """
        tail = TopicTail()
        tail.publish((), 1, read_clock() - 1.5, 0, 0)
        topic = SharedTopic(
            CountedTopic(ScriptedTopic(Records((), 1))), 'keyed.op', max_age
        )
        topic.readers = (TailReader(tail),)
        topic.read(1, 0)
        assert topic._topic.reads == reads

    def test_store_turns_a_reader_away(self, fleet: SharingFleet) -> None:
        for feed in fleet.reader_feeds:
            feed.stop()
            feed.tail.mark_unavailable()
        fleet.change(b'2')

    def test_key_is_withdrawn_while_readers_are_partitioned(
        self, fleet: SharingFleet
    ) -> None:
        # Readers that are cut off answer with an older and older proof.
        for feed in fleet.reader_feeds:
            feed.stop()
        fleet.change(b'2')

    def test_stale_page_is_replaced_by_a_read_of_the_store(self) -> None:
        tail = TopicTail()
        tail.publish((), 1, read_clock() - MAX_PROOF_AGE_SECONDS - 0.1, 0)
        newer = Records((Record('config', b'2', 1),), 2)
        topic = SharedTopic(ScriptedTopic(newer), 'keyed.op')
        topic.readers = (TailReader(tail),)
        assert topic.read(1, 0).records == newer.records


class TestProofs:
    """A proof is never younger than the read of the store behind it."""

    def test_paused_reader_with_a_fresh_page(self) -> None:
        tail = TopicTail()
        reader = TailReader(tail)
        # The reader was suspended after it had made its response.
        reader.pause_seconds = 0.5
        topic = SharedTopic(ScriptedTopic(Records((), 1)), 'keyed.op')
        topic.readers = (reader,)
        feed = Feed('test', topic, TableListener(), PollTiming(0, 0))
        feed._next_offset = 1
        read_at = read_clock()
        tail.publish((), 1, read_at, 0)
        feed._poll_once()
        assert feed.proof <= read_at

    def test_store_read_instead_of_a_reader_does_not_count_its_wait(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = [100.0]
        monkeypatch.setattr(feeds, 'read_clock', lambda: now[0])
        reader = TailReader(TopicTail())
        topic = SharedTopic(ScriptedTopic(Records((), 1)), 'keyed.op')
        topic.readers = (reader,)
        feed = Feed('test', topic, TableListener(), PollTiming(1.3, 0))
        feed._next_offset = 1
        feed._poll_once()
        assert feed.proof <= 100.0

    def test_reader_that_is_behind_proves_what_it_knows(self) -> None:
        ahead, behind = TopicTail(), TopicTail()
        now = read_clock()
        records = tuple(Record('a', b'%d' % row, row) for row in range(5))
        ahead.publish(records, 5, now - 0.1, 0)
        behind.publish(records[:3], 3, now - 0.5, 0)
        table = TableListener()
        topic = SharedTopic(ScriptedTopic(), 'keyed.op')
        feed = Feed('test', topic, table, PollTiming(0, 0))
        feed._next_offset = 0
        topic.readers = (TailReader(ahead),)
        feed._poll_once()
        proof = feed.proof
        topic.readers = (TailReader(behind),)
        feed._poll_once()
        assert table.contents == {'a': b'4'}
        assert feed.find_next_offset() == 5
        assert feed.proof == proof

    def test_outage_that_a_reader_saw_is_reported(self) -> None:
        tail = TopicTail()
        table = TableListener()
        topic = SharedTopic(ScriptedTopic(), 'keyed.servers')
        topic.readers = (TailReader(tail),)
        feed = Feed('test', topic, table, PollTiming(0, 0))
        feed._next_offset = 1
        for recoveries in (2, 2, 3):
            tail.publish((), 1, read_clock(), recoveries)
            feed._poll_once()
        assert table.recoveries == 1


class TestCompaction:
    """Records are dropped that a follower has not read."""

    def test_records_before_the_tail_are_read_from_the_store(self) -> None:
        tail = TopicTail()
        records = tuple(
            Record('a', b'x', row) for row in range(MAX_RECORDS + 10)
        )
        tail.publish(records, len(records), read_clock(), 0)
        assert tail.read(9, 0) is None
        page = tail.read(10, 0)
        assert page is not None
        assert page.records[0].offset == 10

    def test_gap_clears_the_tail(self) -> None:
        tail = TopicTail()
        tail.publish((Record('a', b'1', 0),), 1, read_clock(), 0)
        tail.publish((Record('a', b'2', 8),), 9, read_clock(), 0)
        assert tail.read(0, 0) is None
        page = tail.read(8, 0)
        assert page is not None
        assert [record.offset for record in page.records] == [8]

    def test_follower_fetches_the_newest(self, fleet: SharingFleet) -> None:
        for reader in fleet.readers:
            reader.is_gone = True
        for row in range(20):
            fleet.store.put('keyed.op', 'config', b'%d' % row)
        fleet.store.compact('keyed.op')
        fleet.change(b'last')


class TestReaders:
    """All entries agree on a few readers, whatever the fleet's size."""

    @staticmethod
    def make_registries(count: int) -> Sequence[EntryRegistry]:
        """Return the registries of a fleet in which all know each other."""
        registries = [
            EntryRegistry(f'e-{row}', f'h:{row}') for row in range(count)
        ]
        for registry in registries:
            for row in range(count):
                registry.apply(f'entry/e-{row}', b'h:%d' % row)
        return registries

    @pytest.mark.parametrize('count', [10, 26, 40, 104, 450])
    def test_readers_grow_slower_than_the_fleet(self, count: int) -> None:
        registries = self.make_registries(count)
        readers = [entry for entry in registries if entry.is_reader()]
        asked = {
            address for entry in registries for address in entry.list_readers()
        }
        assert len(readers) == max(MIN_READERS, -(-count // READER_ENTRIES))
        assert len(asked) == len(readers)

    def test_small_fleet_reads_for_itself(self) -> None:
        registries = self.make_registries(MIN_SHARING_ENTRIES - 1)
        assert not any(entry.list_readers() for entry in registries)
        assert not any(entry.is_reader() for entry in registries)

    def test_unregistered_entry_reads_for_itself(self) -> None:
        registries = self.make_registries(26)
        new = EntryRegistry('new', 'h:99')
        for row in range(26):
            new.apply(f'entry/e-{row}', b'h:%d' % row)
        assert not new.list_readers()
        assert not new.is_reader()
        assert len(registries) == 26


class TestGrpc:
    """Reads at another process."""

    def test_records_and_failures(self) -> None:
        tail = TopicTail()
        loads = PeerLoads(lambda: 2)
        reporters = LoadReporters(
            'a',
            lambda: LocalState({}, {}),
            LoadServicer(loads, lambda *_: None),
        )
        address = f'127.0.0.1:{find_port()}'
        reporters.serve(address, TopicServicer({'keyed.op': tail}))
        reader = GrpcTopicReader(address)
        assert reader.read('keyed.op', 0, 0.1) is None
        tail.publish(
            (Record('a', b'1', 0), Record('b', None, 1)),
            2,
            read_clock() - 0.3,
            4,
        )
        page = reader.read('keyed.op', 0, 0.1)
        assert page is not None
        assert page.records == (Record('a', b'1', 0), Record('b', None, 1))
        assert (page.end, page.source, page.recoveries) == (2, address, 4)
        assert page.proof_age is not None
        assert page.proof_age >= 0.3
        assert reader.read('keyed.none', 0, 0.1) is None
        reporters.close()
        started_at = time.monotonic()
        assert reader.read('keyed.op', 2, 0.1) is None
        assert time.monotonic() - started_at < 1
        reader.close()

    def test_scripted_error_is_passed_on(self) -> None:
        topic = SharedTopic(ScriptedTopic(LogDownError('down')), 'keyed.op')
        with pytest.raises(LogDownError):
            topic.read(0, 0)
