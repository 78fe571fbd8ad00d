"""Following keyed topics: gaps, outages, lost history and proofs."""

import threading
from collections.abc import Callable, Iterator
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
from toucancourse.membership.feeds import Feed, Listener, Pace
from toucancourse.membership.topics import (
    ExpiredError,
    Record,
    Records,
    Topic,
)
from toucancourse.platform.records import PlatformDecoder
from toucancourse.platform.store import StoreTopic

from .test_records import make_record


class Kept(Listener):
    """Keeps the newest content of each key."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, bytes] = {}

    def apply(self, key: str, content: bytes | None) -> None:
        """Keep or drop one."""
        if content is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = content


class ScriptedTopic(Topic):
    """Answers as a test says, one step after the other."""

    def __init__(self, *steps: Any) -> None:
        """Keep the answers and errors."""
        self.steps = list(steps)

    def fetch_newest(self) -> Records:
        """Return the next answer."""
        return self._next()

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the next answer."""
        return self._next()

    def append(self, key: str, content: bytes | None, at: int) -> bool:
        """Refuse."""
        return False

    def _next(self) -> Records:
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        found: Records = step
        return found


@pytest.fixture
def store() -> Iterator[KeyedStore]:
    """Return a running store."""
    built = KeyedStore()
    yield built
    built.close()


@pytest.fixture
def follow(
    store: KeyedStore,
) -> Iterator[Callable[[Listener], Feed]]:
    """Return what starts to follow a topic of the store."""
    running: list[Feed] = []

    def start(listener: Listener) -> Feed:
        feed = Feed(
            'test',
            StoreTopic(store.address, 'keyed.op'),
            listener,
            Pace(wait=0.2, pause=0),
        )
        threading.Thread(target=feed.run, daemon=True).start()
        running.append(feed)
        return feed

    yield start
    for feed in running:
        feed.stop()


class TestFollowing:
    """A listener learns each key's newest record."""

    def test_records_before_and_after_the_start(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        store.put('keyed.op', 'a', b'1')
        kept = Kept()
        follow(kept)
        wait_until(lambda: kept.rows == {'a': b'1'}, 2, 'first record')
        store.put('keyed.op', 'a', b'2')
        store.put('keyed.op', 'b', b'3')
        store.put('keyed.op', 'a', None)
        wait_until(lambda: kept.rows == {'b': b'3'}, 2, 'later records')

    def test_lost_history(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        store.put('keyed.op', 'a', b'1')
        store.put('keyed.op', 'b', b'1')
        kept = Kept()
        follow(kept)
        wait_until(lambda: len(kept.rows) == 2, 2, 'first records')
        store.refuse = 503
        store.put('keyed.op', 'a', None)
        store.put('keyed.op', 'c', b'1')
        store.forget('keyed.op')
        store.refuse = 0
        wait_until(lambda: set(kept.rows) == {'b', 'c'}, 2, 'newest records')

    def test_older_record_does_not_undo_a_newer_one(self) -> None:
        kept = Kept()
        # The page was read after the end that it names.
        page = Records((Record('a', b'new', 5),), 4)
        tail = Records((Record('a', b'old', 4), Record('a', b'new', 5)), 6)
        feed = Feed('test', ScriptedTopic(page, tail), kept, Pace(0, 0))
        feed._step()
        feed._step()
        assert kept.rows == {'a': b'new'}


class TestProof:
    """The age of what is known is that of the last call's start."""

    def test_outage_ages_the_proof(
        self, store: KeyedStore, follow: Callable[[Listener], Feed]
    ) -> None:
        feed = follow(Kept())
        wait_until(lambda: feed.age() < 0.5, 2, 'proof')
        store.refuse = 503
        wait_until(lambda: feed.age() > 0.6, 3, 'aging')
        store.refuse = 0
        wait_until(lambda: feed.age() < 0.5, 3, 'proof after the outage')

    def test_time_asleep_counts(self, monkeypatch: pytest.MonkeyPatch) -> None:
        clock = [100.0]
        monkeypatch.setattr(feeds, 'read_clock', lambda: clock[0])
        feed = Feed('test', ScriptedTopic(Records((), 0)), Kept(), Pace(0, 0))
        feed._step()
        clock[0] = 107.5
        assert feed.age() == 7.5

    def test_failed_call_is_no_proof(self) -> None:
        feed = Feed(
            'test', ScriptedTopic(LogDownError('down')), Kept(), Pace(0, 0)
        )
        with pytest.raises(LogDownError):
            feed._step()
        assert feed.age() == float('inf')

    def test_records_behind_the_end_are_no_proof(self) -> None:
        page = Records((), 0)
        part = Records((Record('a', b'1', 0),), 9)
        feed = Feed('test', ScriptedTopic(page, part), Kept(), Pace(0, 0))
        feed._step()
        proof = feed.proof
        feed._step()
        assert feed.proof == proof

    def test_expired_records_are_read_anew(self) -> None:
        kept = Kept()
        newest = Records((Record('a', b'1', 8),), 9)
        topic = ScriptedTopic(Records((), 0), ExpiredError('gone'), newest)
        feed = Feed('test', topic, kept, Pace(0, 0))
        for _ in range(3):
            feed._step()
        assert kept.rows == {'a': b'1'}


class TestLapses:
    """Endpoints that lapse in an outage have two seconds to come back."""

    def test_lapse_in_an_outage_is_borne_for_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [50.0]
        monkeypatch.setattr('time.monotonic', lambda: clock[0])
        book = EndpointRegistry(PlatformDecoder(), lambda _: None)
        book.apply('i-1', make_record())
        book.apply('i-2', make_record())
        clock[0] = 60.0
        book.note_return()
        book.apply('i-1', None)
        book.apply('i-2', None)
        book.settle()
        assert len(book.list_service('desk')) == 2
        clock[0] += 1
        book.apply('i-2', make_record())
        clock[0] += EXPIRY_GRACE_SECONDS
        book.settle()
        names = [row.record.identifier for row in book.list_service('desk')]
        assert names == ['i-2']

    def test_removal_without_an_outage_holds_at_once(self) -> None:
        book = EndpointRegistry(PlatformDecoder(), lambda _: None)
        book.apply('i-1', make_record())
        book.apply('i-1', None)
        assert not book.list_service('desk')


class TestLongPolls:
    """An empty answer proves what was newest when the poll ended."""

    def test_empty_answer_is_a_proof_of_its_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(feeds, 'read_clock', lambda: 100.0)
        topic = ScriptedTopic(Records((), 0), Records((), 0))
        feed = Feed('test', topic, Kept(), Pace(wait=1.3, pause=0))
        feed._step()
        feed._step()
        assert feed.proof == pytest.approx(101.25)

    def test_answer_with_records_is_a_proof_of_its_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(feeds, 'read_clock', lambda: 100.0)
        page = Records((Record('a', b'1', 0),), 1)
        topic = ScriptedTopic(Records((), 0), page)
        feed = Feed('test', topic, Kept(), Pace(wait=1.3, pause=0))
        feed._step()
        feed._step()
        assert feed.proof == 100.0
