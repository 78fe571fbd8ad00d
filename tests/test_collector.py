"""Collectors: merged appends, shared reads, failures and failover."""

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
from toucancourse.streams.collector import Collector
from toucancourse.streams.collectorlog import (
    MAX_BODY_CHARS,
    CollectorGoneError,
    CollectorLog,
    CollectorPeer,
)
from toucancourse.streams.tailcache import MAX_CACHED_RECORDS, TailCache

from .fleet import SmallFleet

Answer = peer_pb2.LogAnswer
STREAM = 'claims'


class MemoryLog(Log):
    """A log in memory that counts its reads and can be unavailable."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.records: list[str] = []
        self.reads = 0
        self.down = False
        self.changed = threading.Condition()

    def append(self, stream: str, body: str) -> int:
        """Append a record; return its offset."""
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
        """Return records from an offset on, or wait for the next one."""
        self._check()
        with self.changed:
            self.reads += 1
            self.changed.wait_for(
                lambda: len(self.records) > start, wait_seconds
            )
            entries = tuple(
                Entry(offset, body) for offset, body in enumerate(self.records)
            )
            return Page(0, len(entries), entries[start : start + limit])

    def _check(self) -> None:
        if self.down:
            raise LogDownError('the log is down')


class Replies:
    """Collects the answers that a reply function receives."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self.answers: list[Answer] = []

    def wait(self, count: int) -> list[Answer]:
        """Return the answers once there are this many."""
        wait_until(lambda: len(self.answers) >= count, 5, f'{count} answers')
        return self.answers


def make_body(number: int) -> str:
    """Return a record with one claim, whose nonce has the number."""
    return encode_items([make_claim(f'n{number}')])


def make_claim(nonce: str) -> Claim:
    """Return a claim of the key "k" with a nonce."""
    return Claim('c', 'k', 'digest', nonce, 'inc', 1, 'b1/x', 1.0)


def make_read(start: int, wait_ms: int = 0, number: int = 1) -> Any:
    """Return a read; with a wait it is a long poll."""
    return peer_pb2.LogCall(
        number=number, stream=STREAM, start=start, limit=100, wait_ms=wait_ms
    )


@pytest.fixture
def log() -> MemoryLog:
    """Return an empty log."""
    return MemoryLog()


@pytest.fixture
def tail_cache(log: MemoryLog) -> Iterator[TailCache]:
    """Return a cache whose serve methods run in threads."""
    tail_cache = TailCache(log, STREAM)
    for task in (tail_cache.serve_long_polls, tail_cache.serve_end_reads):
        threading.Thread(target=task, daemon=True).start()
    yield tail_cache
    tail_cache.stop()


class TestTailCache:
    """Reads share reads of the log, but never one older than themselves."""

    def test_shared_poll(self, log: MemoryLog, tail_cache: TailCache) -> None:
        """Twenty long polls get a new record from at most three log reads."""
        replies = Replies()
        for number in range(20):
            tail_cache.submit(
                make_read(0, 5000, number), replies.answers.append
            )
        log.append(STREAM, 'x')
        answers = replies.wait(20)
        assert {len(row.records) for row in answers} == {1}
        assert log.reads <= 3

    def test_present_end(self, log: MemoryLog, tail_cache: TailCache) -> None:
        """A read that does not wait sees every record appended before it."""
        replies = Replies()
        tail_cache.submit(make_read(0, 1000), replies.answers.append)
        for count in range(1, 20):
            log.append(STREAM, f'{count}')
            latest = Replies()
            tail_cache.submit(make_read(0), latest.answers.append)
            assert len(latest.wait(1)[0].records) == count

    def test_empty_answer_is_fresh(
        self, log: MemoryLog, tail_cache: TailCache
    ) -> None:
        """An answer without records comes from a log read after the call."""
        replies = Replies()
        tail_cache.submit(make_read(0, 100), replies.answers.append)
        answer = replies.wait(1)[0]
        assert not answer.records
        assert answer.age_ms <= 2000
        assert log.reads

    def test_log_down(self, log: MemoryLog, tail_cache: TailCache) -> None:
        """While the log is down, long polls and other reads fail."""
        log.down = True
        replies = Replies()
        tail_cache.submit(make_read(0, 60_000), replies.answers.append)
        tail_cache.submit(make_read(0), replies.answers.append)
        assert all(row.error for row in replies.wait(2))

    def test_dropped_records(
        self, log: MemoryLog, tail_cache: TailCache
    ) -> None:
        """A reader that needs dropped records gets `behind`."""
        log.records = ['x'] * (MAX_CACHED_RECORDS + 500)
        replies = Replies()
        tail_cache.submit(make_read(0, 1000), replies.answers.append)
        tail_cache.submit(
            make_read(MAX_CACHED_RECORDS + 400), replies.answers.append
        )
        behind = Replies()
        tail_cache.submit(make_read(0), behind.answers.append)
        assert behind.wait(1)[0].behind
        assert {row.behind for row in replies.wait(2)} == {True, False}


class TestCollector:
    """Appends at the same time share a record."""

    def test_merged(self, log: MemoryLog) -> None:
        """Each append gets the offset of the record with its items."""
        replies = Replies()
        with ThreadPoolExecutor() as workers:
            collector = Collector(log, lambda task: workers.submit(task), 0.2)
            for number in range(30):
                call = peer_pb2.LogCall(
                    number=number, stream=STREAM, body=make_body(number)
                )
                collector.handle_call(call, replies.answers.append)
            answers = replies.wait(30)
            collector.close()
        assert len(log.records) <= 2
        codec = Codec(Claim)
        for answer in answers:
            items = codec.decode(log.records[answer.offset])
            assert f'n{answer.number}' in {item.nonce for item in items}

    def test_bad_record_is_refused(self, log: MemoryLog) -> None:
        """An invalid body is refused and the valid one is appended alone."""
        replies = Replies()
        with ThreadPoolExecutor() as workers:
            collector = Collector(log, lambda task: workers.submit(task), 0.1)
            for number, body in enumerate(('{', '[9,[]]', make_body(2))):
                call = peer_pb2.LogCall(number=number, stream=STREAM, body=body)
                collector.handle_call(call, replies.answers.append)
            failed = {bool(row.error): row.number for row in replies.wait(3)}
            collector.close()
        assert failed[False] == 2
        assert log.records == [make_body(2)]

    def test_merge_keeps_order(self) -> None:
        """merge_records() keeps items in the order of their records."""
        merged = merge_records([make_body(number) for number in range(5)])
        nonces = [item.nonce for item in Codec(Claim).decode(merged)]
        assert nonces == [f'n{number}' for number in range(5)]


class FakeCollector(CollectorPeer):
    """A collector with a fixed answer, or without any."""

    def __init__(self, name: str, answer: Answer | None) -> None:
        """Create a collector; with the answer None its calls time out."""
        self._name = name
        self.answer = answer
        self.calls = 0

    @property
    def name(self) -> str:
        """Return the instance name."""
        return self._name

    def is_available(self) -> bool:
        """Return True: the collector always looks connected."""
        return True

    def call_log(self, call: peer_pb2.LogCall, timeout: float) -> Answer:
        """Return the answer or raise CollectorGoneError."""
        self.calls += 1
        if self.answer is None:
            raise CollectorGoneError(self._name)
        return self.answer


class TestCollectorLog:
    """A failed collector gets no more calls; without any the log is called."""

    def test_failed_collectors(self, log: MemoryLog) -> None:
        """Calls go to the next collector, and after the last to the log."""
        silent = FakeCollector('a', None)
        failing = FakeCollector('b', Answer(error='the log failed'))
        collector_log = CollectorLog(log, lambda: (silent, failing), 1)
        for collector in (silent, failing):
            with pytest.raises(LogDownError):
                collector_log.append(STREAM, 'x')
            assert collector.calls == 1
        assert collector_log.append(STREAM, 'x') == 0
        assert log.records == ['x']

    def test_behind(self, log: MemoryLog) -> None:
        """Records that a collector dropped from its cache come from the log."""
        log.records = ['x', 'y']
        peer = FakeCollector('a', Answer(behind=True))
        collector_log = CollectorLog(log, lambda: (peer,), 1)
        assert len(collector_log.read(STREAM, 0).entries) == 2

    def test_large_record(self, log: MemoryLog) -> None:
        """A record over the size limit is appended to the log directly."""
        peer = FakeCollector('a', Answer())
        collector_log = CollectorLog(log, lambda: (peer,), 1)
        collector_log.append(STREAM, 'x' * (MAX_BODY_CHARS + 1))
        assert not peer.calls
        assert len(log.records) == 1

    def test_older_sidecar(self) -> None:
        """A sidecar whose protocol version lacks log calls is not used."""
        calls = LogCalls('m1', lambda: True)
        calls.open(1, lambda call: None)
        assert not calls.is_available()
        with pytest.raises(CollectorGoneError):
            calls.call_log(make_read(0), 1)

    def test_broken_stream(self) -> None:
        """Pending calls fail when the stream breaks, before their timeout."""
        calls = LogCalls('m1', lambda: True)
        calls.open(2, lambda call: calls.close())
        with pytest.raises(CollectorGoneError):
            calls.call_log(make_read(0), 60)


class TestLateClaim:
    """A paused collector appends a claim long after the entry sent it.

    The end of the claim may be in the log already.
    """

    def test_repeated_after_end(self) -> None:
        """A repeated claim does not claim a key that its end released."""
        state = ClaimState()
        state.apply(make_claim('n'))
        state.apply(ClaimEnd('c', 'k', 'n', 'not_run', 0, '', '', 2.0))
        state.apply(make_claim('n'))
        assert state.find_claim_status('c', 'k') is None

    def test_first_seen_after_end(self) -> None:
        """A claim first seen after its end has no effect, also after a dump."""
        state = ClaimState()
        state.apply(ClaimEnd('c', 'k', 'n', 'not_run', 0, '', '', 2.0))
        restored = ClaimState()
        restored.load(state.dump())
        restored.apply(make_claim('n'))
        assert restored.find_claim_status('c', 'k') is None
        restored.apply(make_claim('other'))
        holding = restored.find_claim_status('c', 'k')
        assert holding is not None
        assert holding.claim.nonce == 'other'


@pytest.fixture
def collecting() -> Iterator[SmallFleet]:
    """Return a fleet behind the fault proxy whose entries use collectors."""
    with SmallFleet(proxy=True, entry={'collect_entries': 1}) as fleet:
        yield fleet


class TestCollectingFleet:
    """Bills and claims go through collectors that fail."""

    def test_entry_without_log(self, collecting: SmallFleet) -> None:
        """An entry without a connection to the log still bills and claims."""
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
        """Each request is billed once and each idempotency key runs once."""
        entries = ('e1', 'e2') * 20
        with ThreadPoolExecutor(12) as workers:
            bookings = [
                workers.submit(collecting.book, entry, key=f'{fault}-{number}')
                for number, entry in enumerate(entries)
            ]
            chats = [
                workers.submit(collecting.chat, entry) for entry in entries
            ]
            # The other zone's collector and engine keep running.
            getattr(collecting.daemons['m1'], fault)()
            booked = [booking.result() for booking in bookings]
            answers = [chat.result() for chat in chats]
            collecting.clear_faults()
        motors = [
            json.loads(row['body'])['motor']
            for row in collecting.service_rows()
        ]
        assert len(motors) == len(set(motors))
        for number, answer in enumerate(booked):
            ran = f'{fault}-{number}' in motors
            assert ran or answer.status != 201
            assert not (ran and b'"not_run"' in answer.body), answer.body
        served = sum(row.status in {200, 201} for row in (*answers, *booked))
        assert served >= len(entries)
        # No request is billed twice, and every successful one is billed.
        total = collecting.wait_billed(served)['requests']
        assert served <= total <= len(entries) * 2
