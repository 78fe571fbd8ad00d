"""Unit tests of feeds: gaps, outages, compaction and freshness proofs."""

import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import pytest

from standins.calls import wait_until
from standins.keyedstore import KeyedStore
from toucancourse.errors import LogDownError
from toucancourse.forwarding.endpoints import (
    EXPIRY_GRACE_SECONDS,
    EndpointRegistry,
)
from toucancourse.membership import feeds
from toucancourse.membership.feeds import Feed, Listener, PollTiming
from toucancourse.membership.topics import (
    ExpiredError,
    Record,
    Records,
    Topic,
)
from toucancourse.platform.records import PlatformDecoder
from toucancourse.platform.store import StoreTopic

from .test_records import make_record


class TableListener(Listener):
    """Stores the newest content of each key."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.contents: dict[str, bytes] = {}

    def apply(self, key: str, content: bytes | None) -> None:
        """Set or delete a key."""
        if content is None:
            self.contents.pop(key, None)
        else:
            self.contents[key] = content


class ScriptedTopic(Topic):
    """Returns or raises the scripted steps, one per call."""

    def __init__(self, *steps: Any) -> None:
        """Create a topic from pages to return and errors to raise."""
        self.steps = list(steps)

    def fetch_newest(self) -> Records:
        """Return or raise the next step."""
        return self._next()

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return or raise the next step."""
        return self._next()

    def append(self, key: str, content: bytes | None, at: int) -> bool:
        """Return False, as if the topic's end were another."""
        return False

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Return False, as if the topic's end were another."""
        return False

    def _next(self) -> Records:
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        page: Records = step
        return page


@pytest.fixture
def store() -> Iterator[KeyedStore]:
    """Return a running store."""
    keyed_store = KeyedStore()
    yield keyed_store
    keyed_store.close()


class CountedTopic(Topic):
    """Counts the reads of another topic."""

    def __init__(self, topic: Topic) -> None:
        """Wrap a topic."""
        self._topic = topic
        self.reads = 0

    def fetch_newest(self) -> Records:
        """Return the newest record of each key."""
        return self._topic.fetch_newest()

    def read(self, start: int, wait_seconds: float) -> Records:
        """Count a read, and return its records."""
        self.reads += 1
        return self._topic.read(start, wait_seconds)

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record."""
        return self._topic.append(key, content, at)

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append records."""
        return self._topic.append_all(changes, at)


@pytest.fixture
def follow(
    store: KeyedStore,
) -> Iterator[Callable[[Listener], Feed]]:
    """Return a function that starts a feed of a topic of the store."""
    running: list[Feed] = []

    def start(listener: Listener) -> Feed:
        feed = Feed(
            'test',
            StoreTopic(store.address, 'keyed.op'),
            listener,
            PollTiming(wait_seconds=0.2, pause_seconds=0),
        )
        threading.Thread(target=feed.run, daemon=True).start()
        running.append(feed)
        return feed

    yield start
    for feed in running:
        feed.stop()


class TestFollowing:
    """A listener receives each key's newest record."""

    def test_records_before_and_after_the_start(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        store.put('keyed.op', 'a', b'1')
        table = TableListener()
        follow(table)
        wait_until(lambda: table.contents == {'a': b'1'}, 2, 'first record')
        store.put('keyed.op', 'a', b'2')
        store.put('keyed.op', 'b', b'3')
        store.put('keyed.op', 'a', None)
        wait_until(lambda: table.contents == {'b': b'3'}, 2, 'later records')

    def test_compaction_during_an_outage(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        store.put('keyed.op', 'a', b'1')
        store.put('keyed.op', 'b', b'1')
        table = TableListener()
        follow(table)
        wait_until(lambda: len(table.contents) == 2, 2, 'first records')
        store.error_status = 503
        store.put('keyed.op', 'a', None)
        store.put('keyed.op', 'c', b'1')
        store.compact('keyed.op')
        store.error_status = 0
        wait_until(
            lambda: set(table.contents) == {'b', 'c'}, 2, 'newest records'
        )

    def test_older_record_does_not_undo_a_newer_one(self) -> None:
        table = TableListener()
        # The page holds a record that is newer than the end it names.
        page = Records((Record('a', b'new', 5),), 4)
        older = Records((Record('a', b'old', 4), Record('a', b'new', 5)), 6)
        feed = Feed('test', ScriptedTopic(page, older), table, PollTiming(0, 0))
        feed._poll_once()
        feed._poll_once()
        assert table.contents == {'a': b'new'}


class FailingListener(TableListener):
    """Fails on the record of one key."""

    def apply(self, key: str, content: bytes | None) -> None:
        """Raise an error that no decoder raises for the key "odd"."""
        if key == 'odd':
            raise ZeroDivisionError
        super().apply(key, content)


class TestListenerFaults:
    """A listener's fault with one record affects no other record."""

    # Guards against a feed that ends at one record and follows nothing more.
    def test_records_after_a_fault_are_applied(self) -> None:
        listener = FailingListener()
        records = (Record('odd', b'1', 0), Record('next', b'2', 1))
        end = [LogDownError('no more steps')] * 100
        topic = ScriptedTopic(Records((), 0), Records(records, 2), *end)
        feed = Feed('test', topic, listener, PollTiming(0.0, 0.0))
        thread = threading.Thread(target=feed.run, daemon=True)
        thread.start()
        wait_until(lambda: 'next' in listener.contents, 2, 'next record')
        feed.stop()


class TestProof:
    """The freshness proof dates from the start of the last full read."""

    def test_outage_ages_the_proof(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        feed = follow(TableListener())
        wait_until(lambda: feed.proof_age() < 0.5, 2, 'proof')
        store.error_status = 503
        wait_until(lambda: feed.proof_age() > 0.6, 3, 'aging')
        store.error_status = 0
        wait_until(lambda: feed.proof_age() < 0.5, 3, 'proof after the outage')

    def test_suspended_time_counts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [100.0]
        monkeypatch.setattr(feeds, 'read_clock', lambda: clock[0])
        feed = Feed(
            'test',
            ScriptedTopic(Records((), 0)),
            TableListener(),
            PollTiming(0, 0),
        )
        feed._poll_once()
        clock[0] = 107.5
        assert feed.proof_age() == 7.5

    def test_failed_call_gives_no_proof(self) -> None:
        feed = Feed(
            'test',
            ScriptedTopic(LogDownError('down')),
            TableListener(),
            PollTiming(0, 0),
        )
        with pytest.raises(LogDownError):
            feed._poll_once()
        assert feed.proof_age() == float('inf')

    def test_records_before_the_end_give_no_proof(self) -> None:
        empty_page = Records((), 0)
        partial_page = Records((Record('a', b'1', 0),), 9)
        feed = Feed(
            'test',
            ScriptedTopic(empty_page, partial_page),
            TableListener(),
            PollTiming(0, 0),
        )
        feed._poll_once()
        proof = feed.proof
        feed._poll_once()
        assert feed.proof == proof

    def test_newest_records_are_fetched_after_expiry(self) -> None:
        table = TableListener()
        newest = Records((Record('a', b'1', 8),), 9)
        topic = ScriptedTopic(Records((), 0), ExpiredError('gone', 1), newest)
        feed = Feed('test', topic, table, PollTiming(0, 0))
        for _ in range(3):
            feed._poll_once()
        assert table.contents == {'a': b'1'}


class TestOutageGrace:
    """Endpoints that expire in a store outage get two seconds to return.

    They could not renew their records while the store was down.
    """

    def test_endpoints_expired_in_an_outage_have_a_grace_period(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [50.0]
        monkeypatch.setattr('time.monotonic', lambda: clock[0])
        registry = EndpointRegistry(PlatformDecoder(), lambda _: None)
        registry.apply('i-1', make_record())
        registry.apply('i-2', make_record())
        clock[0] = 60.0
        registry.record_recovery()
        registry.apply('i-1', None)
        registry.apply('i-2', None)
        registry.record_catch_up()
        assert len(registry.list_service('desk')) == 2
        clock[0] += 1
        registry.apply('i-2', make_record())
        clock[0] += EXPIRY_GRACE_SECONDS
        registry.record_catch_up()
        names = [
            endpoint.record.identifier
            for endpoint in registry.list_service('desk')
        ]
        assert names == ['i-2']

    def test_removal_without_an_outage_takes_effect_at_once(self) -> None:
        registry = EndpointRegistry(PlatformDecoder(), lambda _: None)
        registry.apply('i-1', make_record())
        registry.apply('i-1', None)
        assert not registry.list_service('desk')


class TestPauses:
    """Many entries register at the same time; each read is billed."""

    def test_records_that_come_one_by_one_are_read_together(
        self, store: KeyedStore
    ) -> None:
        table = TableListener()
        topic = CountedTopic(StoreTopic(store.address, 'keyed.status'))
        feed = Feed('test', topic, table, PollTiming(2.0, 0.4))
        threading.Thread(target=feed.run, daemon=True).start()
        wait_until(feed.caught_up.is_set, 2, 'first read')
        for row in range(40):
            store.put('keyed.status', f'entry/{row}', b'-')
            time.sleep(0.01)
        wait_until(lambda: len(table.contents) == 40, 5, 'all records')
        feed.stop()
        # A read for each record without the pause.
        assert topic.reads < 20

    def test_no_pause_follows_an_empty_page(self) -> None:
        """A pause would only make the proof of freshness older."""
        page = Records((), 0)
        feed = Feed(
            'test', ScriptedTopic(page, page), TableListener(), PollTiming(0, 9)
        )
        feed._poll_once()
        assert not feed._needs_pause


class TestLongPolls:
    """An empty response proves freshness as of the end of the long poll."""

    def test_empty_response_proves_its_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(feeds, 'read_clock', lambda: 100.0)
        topic = ScriptedTopic(Records((), 0), Records((), 0))
        feed = Feed(
            'test',
            topic,
            TableListener(),
            PollTiming(wait_seconds=1.3, pause_seconds=0),
        )
        feed._poll_once()
        feed._poll_once()
        assert feed.proof == pytest.approx(101.25)

    def test_response_with_records_proves_its_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(feeds, 'read_clock', lambda: 100.0)
        page = Records((Record('a', b'1', 0),), 1)
        topic = ScriptedTopic(Records((), 0), page)
        feed = Feed(
            'test',
            topic,
            TableListener(),
            PollTiming(wait_seconds=1.3, pause_seconds=0),
        )
        feed._poll_once()
        feed._poll_once()
        assert feed.proof == 100.0
