"""Sidecars that call the log for entries: merged, shared, lost, replaced."""

import json
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.calls import wait_until
from toucancourse.billing.claims import Claim, ClaimEnd, ClaimState
from toucancourse.delivery.logcalls import LogCalls
from toucancourse.errors import LogDownError
from toucancourse.interfaces.log import Entry, Log, Page
from toucancourse.protocol import peer_pb2
from toucancourse.streams.codec import Codec, encode_items, merge_records
from toucancourse.streams.collected import (
    MAX_BODY_CHARS,
    CollectedLog,
    CollectorGoneError,
    CollectorPeer,
)
from toucancourse.streams.collector import Collector
from toucancourse.streams.tail import KEPT_RECORDS, Tail

from .fleet import SmallFleet

Answer = peer_pb2.LogAnswer
STREAM = 'claims'


class MemoryLog(Log):
    """A log in memory that counts its calls and can be down."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[str] = []
        self.reads = 0
        self.down = False
        self.changed = threading.Condition()

    def append(self, stream: str, body: str) -> int:
        """Return the offset of a record."""
        self._check()
        with self.changed:
            self.records.append(body)
            self.changed.notify_all()
            return len(self.records) - 1

    def read(
        self,
        stream: str,
        start: int,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> Page:
        """Return records from an offset on."""
        self._check()
        with self.changed:
            self.reads += 1
            self.changed.wait_for(
                lambda: len(self.records) > start, wait_seconds
            )
            rows = tuple(
                Entry(place, body) for place, body in enumerate(self.records)
            )
            return Page(0, len(rows), rows[start : start + limit])

    def _check(self) -> None:
        if self.down:
            raise LogDownError('down')


class Replies:
    """Answers as they come."""

    def __init__(self) -> None:
        """Start with none."""
        self.rows: list[Answer] = []

    def wait(self, count: int) -> list[Answer]:
        """Return a number of answers."""
        wait_until(lambda: len(self.rows) >= count, 5, f'{count} answers')
        return self.rows


def make_body(number: int) -> str:
    """Return a record with one claim."""
    return encode_items([make_claim(f'n{number}')])


def make_claim(nonce: str) -> Claim:
    """Return a claim of one key."""
    return Claim('c', 'k', 'digest', nonce, 'inc', 1, 'b1/x', 1.0)


def make_read(start: int, wait_ms: int = 0, number: int = 1) -> Any:
    """Return a read."""
    return peer_pb2.LogCall(
        number=number, stream=STREAM, start=start, limit=100, wait_ms=wait_ms
    )


@pytest.fixture
def log() -> MemoryLog:
    """Return a log."""
    return MemoryLog()


@pytest.fixture
def tail(log: MemoryLog) -> Iterator[Tail]:
    """Return a tail that is being read."""
    tail = Tail(log, STREAM)
    for task in (tail.poll, tail.sync):
        threading.Thread(target=task, daemon=True).start()
    yield tail
    tail.stop()


class TestTail:
    """Many reads rest on few reads of the log, and none on an older one."""

    def test_shared_poll(self, log: MemoryLog, tail: Tail) -> None:
        """Twenty waiting reads get a record from a read or two."""
        replies = Replies()
        for number in range(20):
            tail.ask(make_read(0, 5000, number), replies.rows.append)
        log.append(STREAM, 'x')
        answers = replies.wait(20)
        assert {len(row.records) for row in answers} == {1}
        assert log.reads <= 3

    def test_present_end(self, log: MemoryLog, tail: Tail) -> None:
        """A read that does not wait sees what was appended before it."""
        replies = Replies()
        tail.ask(make_read(0, 1000), replies.rows.append)
        for count in range(1, 20):
            log.append(STREAM, f'{count}')
            seen = Replies()
            tail.ask(make_read(0), seen.rows.append)
            assert len(seen.wait(1)[0].records) == count

    def test_empty_answer_is_fresh(self, log: MemoryLog, tail: Tail) -> None:
        """No records after the wait: the log was read since the call."""
        replies = Replies()
        tail.ask(make_read(0, 100), replies.rows.append)
        answer = replies.wait(1)[0]
        assert not answer.records
        assert answer.age_ms <= 2000
        assert log.reads

    def test_log_down(self, log: MemoryLog, tail: Tail) -> None:
        """Reads fail, whether they wait or not."""
        log.down = True
        replies = Replies()
        tail.ask(make_read(0, 60_000), replies.rows.append)
        tail.ask(make_read(0), replies.rows.append)
        assert all(row.error for row in replies.wait(2))

    def test_dropped_records(self, log: MemoryLog, tail: Tail) -> None:
        """A reader behind what is kept is told so."""
        log.records = ['x'] * (KEPT_RECORDS + 500)
        replies = Replies()
        tail.ask(make_read(0, 1000), replies.rows.append)
        tail.ask(make_read(KEPT_RECORDS + 400), replies.rows.append)
        ahead = Replies()
        tail.ask(make_read(0), ahead.rows.append)
        assert ahead.wait(1)[0].behind
        assert {row.behind for row in replies.wait(2)} == {True, False}


class TestCollector:
    """Appends of one moment share a record."""

    def test_merged(self, log: MemoryLog) -> None:
        """All callers learn the offset of the record with their items."""
        replies = Replies()
        with ThreadPoolExecutor() as workers:
            collector = Collector(log, lambda task: workers.submit(task), 0.2)
            for number in range(30):
                call = peer_pb2.LogCall(
                    number=number, stream=STREAM, body=make_body(number)
                )
                collector.take(call, replies.rows.append)
            answers = replies.wait(30)
            collector.close()
        assert len(log.records) <= 2
        codec = Codec(Claim)
        for answer in answers:
            items = codec.decode(log.records[answer.offset])
            assert f'n{answer.number}' in {item.nonce for item in items}

    def test_bad_record_is_refused(self, log: MemoryLog) -> None:
        """It does not spoil the records of others."""
        replies = Replies()
        with ThreadPoolExecutor() as workers:
            collector = Collector(log, lambda task: workers.submit(task), 0.1)
            for number, body in enumerate(('{', '[9,[]]', make_body(2))):
                call = peer_pb2.LogCall(number=number, stream=STREAM, body=body)
                collector.take(call, replies.rows.append)
            failed = {bool(row.error): row.number for row in replies.wait(3)}
            collector.close()
        assert failed[False] == 2
        assert log.records == [make_body(2)]

    def test_merge_keeps_order(self) -> None:
        """Items stay in the order of their records."""
        merged = merge_records([make_body(number) for number in range(5)])
        nonces = [item.nonce for item in Codec(Claim).decode(merged)]
        assert nonces == [f'n{number}' for number in range(5)]


class FakeCollector(CollectorPeer):
    """A collector that answers, fails, or is behind."""

    def __init__(self, name: str, answer: Answer | None) -> None:
        """Keep the answer; None stands for silence."""
        self._name = name
        self.answer = answer
        self.calls = 0

    @property
    def name(self) -> str:
        """Return the name."""
        return self._name

    def is_collecting(self) -> bool:
        """Return True."""
        return True

    def call_log(self, call: peer_pb2.LogCall, timeout: float) -> Answer:
        """Return the answer."""
        self.calls += 1
        if self.answer is None:
            raise CollectorGoneError(self._name)
        return self.answer


class TestCollectedLog:
    """A collector that fails is left alone; without any the log is called."""

    def test_failed_collectors(self, log: MemoryLog) -> None:
        """The next one is asked, then the log."""
        silent = FakeCollector('a', None)
        failing = FakeCollector('b', Answer(error='the log failed'))
        collected = CollectedLog(log, lambda: (silent, failing), 1)
        for collector in (silent, failing):
            with pytest.raises(LogDownError):
                collected.append(STREAM, 'x')
            assert collector.calls == 1
        assert collected.append(STREAM, 'x') == 0
        assert log.records == ['x']

    def test_behind(self, log: MemoryLog) -> None:
        """What a collector no longer keeps comes from the log."""
        log.records = ['x', 'y']
        peer = FakeCollector('a', Answer(behind=True))
        collected = CollectedLog(log, lambda: (peer,), 1)
        assert len(collected.read(STREAM, 0).entries) == 2

    def test_large_record(self, log: MemoryLog) -> None:
        """A snapshot goes to the log directly."""
        peer = FakeCollector('a', Answer())
        collected = CollectedLog(log, lambda: (peer,), 1)
        collected.append(STREAM, 'x' * (MAX_BODY_CHARS + 1))
        assert not peer.calls
        assert len(log.records) == 1

    def test_older_sidecar(self) -> None:
        """One that does not know the calls is not asked."""
        calls = LogCalls('m1', lambda: True)
        calls.open(1, lambda call: None)
        assert not calls.is_collecting()
        with pytest.raises(CollectorGoneError):
            calls.call_log(make_read(0), 1)

    def test_broken_stream(self) -> None:
        """Calls under way fail at once, not after their timeout."""
        calls = LogCalls('m1', lambda: True)
        calls.open(2, lambda call: calls.close())
        with pytest.raises(CollectorGoneError):
            calls.call_log(make_read(0), 60)


class TestLateClaim:
    """A collector that was paused appends a claim long after its entry."""

    def test_repeated_after_end(self) -> None:
        """It does not take a key again that its end set free."""
        book = ClaimState()
        book.apply(make_claim('n'))
        book.apply(ClaimEnd('c', 'k', 'n', 'not_run', 0, '', '', 2.0))
        book.apply(make_claim('n'))
        assert book.find_claim_status('c', 'k') is None

    def test_first_seen_after_end(self) -> None:
        """Nor does one whose end is already in the log."""
        book = ClaimState()
        book.apply(ClaimEnd('c', 'k', 'n', 'not_run', 0, '', '', 2.0))
        fresh = ClaimState()
        fresh.load(book.dump())
        fresh.apply(make_claim('n'))
        assert fresh.find_claim_status('c', 'k') is None
        fresh.apply(make_claim('other'))
        holding = fresh.find_claim_status('c', 'k')
        assert holding is not None
        assert holding.claim.nonce == 'other'


@pytest.fixture
def collecting() -> Iterator[SmallFleet]:
    """Return a fleet whose entries use collectors, behind the proxy."""
    with SmallFleet(proxy=True, entry={'collect_entries': 1}) as fleet:
        yield fleet


class TestCollectingFleet:
    """Bills and claims go through sidecars that fail."""

    def test_entry_without_log(self, collecting: SmallFleet) -> None:
        """An entry cut off from the log bills and claims all the same."""
        collecting.warm_up()
        collecting.set_fault('platform:e1', 'refuse')
        before = collecting.bill(entry='e2')['requests']
        bookings = [collecting.book('e1', key=f'cut-{n}') for n in range(3)]
        answers = [collecting.chat('e1') for _ in range(5)]
        assert [row.status for row in bookings] == [201] * 3
        assert [row.status for row in answers] == [200] * 5
        collecting.wait_billed(before + 5, 'e2')
        collecting.set_fault('platform:e1', 'none')

    @pytest.mark.parametrize('fault', ['freeze', 'kill'])
    def test_collector_fails(self, collecting: SmallFleet, fault: str) -> None:
        """Each request is billed once and each key runs once."""
        entries = ('e1', 'e2') * 20
        with ThreadPoolExecutor(12) as workers:
            bookings = [
                workers.submit(collecting.book, entry, key=f'{fault}-{number}')
                for number, entry in enumerate(entries)
            ]
            chats = [
                workers.submit(collecting.chat, entry) for entry in entries
            ]
            # The other zone's collector and engine go on.
            getattr(collecting.daemons['m1'], fault)()
            told = [booking.result() for booking in bookings]
            answers = [chat.result() for chat in chats]
            collecting.clear_faults()
        motors = [
            json.loads(row['body'])['motor']
            for row in collecting.service_rows()
        ]
        assert len(motors) == len(set(motors))
        for number, answer in enumerate(told):
            ran = f'{fault}-{number}' in motors
            assert ran or answer.status != 201
            assert not (ran and b'"not_run"' in answer.body), answer.body
        served = sum(row.status in {200, 201} for row in (*answers, *told))
        assert served >= len(entries)
        # No request is billed twice, and those that were answered are billed.
        total = collecting.wait_billed(served)['requests']
        assert served <= total <= len(entries) * 2
