"""A store that comes back from an older copy, in which writes are lost."""

import threading
import time
from collections.abc import Iterator

import pytest

from standins.calls import wait_until
from standins.keyedstore import KeyedStore, StoreCopy
from toucancourse.forwarding.endpoints import (
    EXPIRY_GRACE_SECONDS,
    EndpointRegistry,
)
from toucancourse.membership.feeds import Feed, Listener, PollTiming
from toucancourse.membership.restores import LostRecordWriter
from toucancourse.membership.sharing import SharedTopic
from toucancourse.platform.records import PlatformDecoder
from toucancourse.platform.store import StoreTopic

from .test_feeds import TableListener
from .test_records import make_record
from .test_sharing import TailReader

TOPIC = 'keyed.status'
#: Time within which a change after the store's return is known, in seconds.
APPLY_SECONDS = 2.0


class Follower:
    """A store and a feed of one of its topics."""

    def __init__(self, listener: Listener | None = None) -> None:
        """Follow a topic that has one record."""
        self.store = KeyedStore()
        self.table = TableListener()
        self.store.put(TOPIC, 'first', b'1')
        self.topic = StoreTopic(self.store.address, TOPIC)
        self.feed = self.follow(self.topic, listener or self.table)

    def follow(
        self, topic: StoreTopic | SharedTopic, listener: Listener
    ) -> Feed:
        """Start a feed and wait for its first page."""
        feed = Feed('test', topic, listener, PollTiming(0.3, 0))
        threading.Thread(target=feed.run, daemon=True).start()
        assert feed.caught_up.wait(2)
        return feed

    def put(self, key: str, content: bytes | None) -> None:
        """Write a record and wait until the feed has read it."""
        offset = self.store.put(TOPIC, key, content)
        wait_until(
            lambda: (self.feed.find_next_offset() or 0) > offset, 2, 'record'
        )

    def restore(self, content: StoreCopy, *written: tuple[str, bytes]) -> None:
        """Let the store be away, and come back with records written since."""
        self.store.error_status = 503
        time.sleep(0.5)
        self.store.restore(content)
        for key, record in written:
            self.store.put(TOPIC, key, record)
        self.store.error_status = 0

    def close(self) -> None:
        """Stop the feed and the store."""
        self.feed.stop()
        self.store.close()


@pytest.fixture
def follower() -> Iterator[Follower]:
    """Return a feed that has read the topic's only record."""
    running = Follower()
    yield running
    running.close()


class TestOffsets:
    """Offsets that are given out again name other records."""

    # Guards against a change that is ignored for its lower offset.
    def test_change_at_an_offset_that_was_read_before(
        self, follower: Follower
    ) -> None:
        follower.put('config', b'1')
        copied = follower.store.copy()
        for number in range(2, 6):
            follower.put('config', b'%d' % number)
        follower.restore(copied, ('config', b'7'))
        wait_until(
            lambda: follower.table.contents['config'] == b'7',
            APPLY_SECONDS,
            'the change',
        )

    # Guards against changes that are skipped, since the topic has grown past
    # the offset of the next read.
    def test_changes_in_a_topic_that_has_grown_again(
        self, follower: Follower
    ) -> None:
        follower.put('a', b'1')
        copied = follower.store.copy()
        follower.put('a', b'2')
        follower.restore(copied, ('b', b'1'), ('c', b'1'), ('d', b'1'))
        wait_until(
            lambda: {'b', 'c', 'd'} <= set(follower.table.contents),
            APPLY_SECONDS,
            'the changes',
        )

    # Guards against the same in an entry that has read no change yet.
    def test_change_after_the_first_page_only(self) -> None:
        follower = Follower()
        copied = follower.store.copy()
        follower.put('a', b'2')
        follower.feed.stop()
        table = TableListener()
        feed = follower.follow(StoreTopic(follower.store.address, TOPIC), table)
        follower.restore(copied, ('a', b'3'), ('b', b'1'))
        wait_until(
            lambda: table.contents.get('a') == b'3' and 'b' in table.contents,
            APPLY_SECONDS,
            'the changes',
        )
        feed.stop()
        follower.close()

    # Guards against a reader that passes on offsets of the era before.
    def test_change_at_an_entry_that_reads_at_another(
        self, follower: Follower
    ) -> None:
        table = TableListener()
        shared = SharedTopic(StoreTopic(follower.store.address, TOPIC), TOPIC)
        feed = follower.follow(shared, table)
        shared.readers = (TailReader(follower.feed.tail),)
        follower.put('config', b'1')
        copied = follower.store.copy()
        for number in range(2, 6):
            follower.put('config', b'%d' % number)
        follower.restore(copied, ('config', b'7'))
        wait_until(
            lambda: table.contents['config'] == b'7',
            2 * APPLY_SECONDS,
            'the change',
        )
        feed.stop()


class TestLostWrites:
    """What is known is newer than the copy, and is written again."""

    # Guards against configurations and decisions that revert.
    def test_newer_knowledge_is_kept(self, follower: Follower) -> None:
        follower.put('config', b'1')
        follower.put('gone', b'1')
        copied = follower.store.copy()
        follower.put('config', b'2')
        follower.put('gone', None)
        follower.restore(copied, ('other', b'1'))
        wait_until(
            lambda: 'other' in follower.table.contents, APPLY_SECONDS, 'record'
        )
        assert follower.table.contents['config'] == b'2'
        assert 'gone' not in follower.table.contents

    # Guards against the same once the store has dropped older records.
    def test_newer_knowledge_is_kept_in_a_trimmed_topic(
        self, follower: Follower
    ) -> None:
        for number in range(4):
            follower.put('config', b'%d' % number)
        follower.put('gone', b'1')
        follower.store.trim(TOPIC, 3)
        copied = follower.store.copy()
        follower.put('config', b'9')
        follower.put('gone', None)
        follower.restore(copied, ('other', b'1'))
        wait_until(
            lambda: 'other' in follower.table.contents, APPLY_SECONDS, 'record'
        )
        assert follower.table.contents['config'] == b'9'
        assert 'gone' not in follower.table.contents
        assert follower.feed.lost.list_changes() == {
            'config': b'9',
            'gone': None,
        }

    # Guards against decisions of the system that stay lost.
    def test_lost_records_are_written_again_once(
        self, follower: Follower
    ) -> None:
        follower.put('kept', b'1')
        copied = follower.store.copy()
        follower.put('decided', b'done')
        follower.put('kept', None)
        follower.put('written', b'old')
        follower.restore(copied, ('written', b'new'))
        writers = [LostRecordWriter(follower.topic) for _ in range(2)]

        def check() -> bool:
            for writer in writers:
                writer.check(
                    follower.feed.lost, follower.feed.find_next_offset()
                )
            return follower.store.newest(TOPIC) == {
                'first': b'1',
                'decided': b'done',
                'written': b'new',
            }

        wait_until(check, APPLY_SECONDS, 'the lost records')
        wait_until(
            lambda: not follower.feed.lost.list_changes(), 1, 'reading back'
        )
        assert follower.store.put(TOPIC, 'x', b'1') == 5

    def test_nothing_is_written_if_nothing_is_lost(
        self, follower: Follower
    ) -> None:
        follower.put('a', b'1')
        copied = follower.store.copy()
        follower.restore(copied, ('b', b'1'))
        wait_until(
            lambda: 'b' in follower.table.contents, APPLY_SECONDS, 'record'
        )
        assert not follower.feed.lost.list_changes()

    def test_second_restore(self, follower: Follower) -> None:
        for number in range(3):
            copied = follower.store.copy()
            follower.put('a', b'%d' % number)
            follower.put('a', b'old')
            follower.restore(copied, ('a', b'new %d' % number))
            wait_until(
                lambda: follower.table.contents['a'] == b'new %d' % number,  # noqa: B023
                APPLY_SECONDS,
                'the change',
            )


class TestEndpoints:
    """Endpoints of a restored store."""

    # Guards against an endpoint that left and is used again.
    def test_draining_endpoint_stays_so(self) -> None:
        registry = EndpointRegistry(PlatformDecoder(), lambda _: None)
        follower = Follower(registry)
        follower.put('i-1', make_record(sequence=1))
        follower.put('i-2', make_record(sequence=1))
        copied = follower.store.copy()
        follower.put('i-1', make_record(sequence=5, state='draining'))
        follower.put('i-2', None)
        follower.restore(copied)
        follower.store.put(TOPIC, 'i-3', make_record())
        wait_until(lambda: len(registry.list_service('desk')) == 1, 3, 'i-3')
        follower.close()

    # Guards against a dead endpoint that is kept, and a live one that is lost.
    def test_endpoint_that_the_copy_lacks_has_time_to_return(self) -> None:
        registry = EndpointRegistry(PlatformDecoder(), lambda _: None)
        follower = Follower(registry)
        copied = follower.store.copy()
        follower.put('i-1', make_record())
        follower.put('i-2', make_record())
        follower.restore(copied)
        returned_at = time.monotonic()
        time.sleep(EXPIRY_GRACE_SECONDS / 2)
        assert len(registry.list_service('desk')) == 2
        follower.store.put(TOPIC, 'i-2', make_record(sequence=2))
        wait_until(lambda: len(registry.list_service('desk')) == 1, 4, 'expiry')
        assert time.monotonic() - returned_at > EXPIRY_GRACE_SECONDS
        follower.close()
