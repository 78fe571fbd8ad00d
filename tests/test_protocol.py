"""Tests of version compatibility, frame order and the outbox."""

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
import pytest

from standins.calls import find_port, wait_until
from toucancourse.contract.state import State
from toucancourse.delivery.attempts import Attempt
from toucancourse.delivery.links import Link
from toucancourse.errors import EndpointError
from toucancourse.interfaces.instances import Instance
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.membership.gossip import Gossip
from toucancourse.protocol import peer_pb2, peer_pb2_grpc
from toucancourse.protocol.outbox import Outbox
from toucancourse.protocol.transports import (
    GRPC_WAIT_SECONDS,
    PlainTransport,
    lengthen_grpc_waits,
)

from .fleet import SmallFleet

#: An encoded field with a number that no version uses yet, as a newer peer
#: may send.
UNKNOWN_FIELD = b'\xfa\x3e\x05later'


def make_link(address: str) -> Link:
    """Return a link of an entry with an empty configuration."""
    configuration = Configuration()
    configuration.install_state(State())
    freshness = Freshness('east', 4)
    hello = peer_pb2.Hello(version=1, instance='e', zone='east')
    return Link(
        Instance('m1', 'sidecar', 'east', address, False),
        hello,
        lambda: Gossip(configuration, freshness, 0.2),
        lambda copy: None,
        lambda: 0.2,
        PlainTransport(),
    )


class OldSidecar(peer_pb2_grpc.PeerServicer):
    """A sidecar of an older version, without status, load or fates."""

    def Connect(  # noqa: N802
        self,
        request_iterator: Iterator[peer_pb2.EntryMessage],
        context: grpc.ServicerContext,
    ) -> Iterator[peer_pb2.SidecarMessage]:
        """Answer each request with two frames and one unknown field."""
        hello = peer_pb2.Hello(version=0, instance='m1', incarnation='old')
        yield peer_pb2.SidecarMessage(hello=hello)
        for message in request_iterator:
            frames = []
            for request in message.opens:
                number = request.attempt
                head = peer_pb2.Head(status=200, content_type='text/plain')
                frames.append(peer_pb2.Frame(attempt=number, head=head))
                end = peer_pb2.End(frames=2, outcome='done')
                frames.append(
                    peer_pb2.Frame(attempt=number, seq=1, data=b'x', end=end)
                )
            answer = peer_pb2.SidecarMessage(frames=frames)
            answer.MergeFromString(UNKNOWN_FIELD)
            yield answer


class TestCancel:
    """An attempt that is cancelled before it was sent never runs."""

    def test_unsent_is_removed(self) -> None:
        """It fails as not run, and no later message contains it."""
        link = make_link('127.0.0.1:1')
        link.connected = True
        attempt = link.open(peer_pb2.Open(request='e:1'))
        link.cancel(attempt)
        assert attempt.has_ended()
        assert not attempt.may_have_run()
        gossip = Gossip(Configuration(), Freshness('east', 4), 0.2)
        message = link._build_message([attempt.request], gossip)
        assert not message.opens

    def test_sent_may_have_run(self) -> None:
        """One that was sent already may have run."""
        link = make_link('127.0.0.1:1')
        link.connected = True
        attempt = link.open(peer_pb2.Open(request='e:1'))
        gossip = Gossip(Configuration(), Freshness('east', 4), 0.2)
        assert link._build_message([attempt.request], gossip).opens
        link.cancel(attempt)
        assert attempt.may_have_run()


class TestVersions:
    """Peers of different versions are compatible."""

    def test_new_entry_old_sidecar(self) -> None:
        """A request is served although the sidecar lacks newer messages."""
        server = grpc.server(ThreadPoolExecutor(4))
        peer_pb2_grpc.add_PeerServicer_to_server(OldSidecar(), server)
        address = f'127.0.0.1:{find_port()}'
        server.add_insecure_port(address)
        server.start()
        link = make_link(address)
        thread = threading.Thread(target=link.run)
        thread.start()
        try:
            wait_until(lambda: link.connected, 10, 'connection')
            attempt = link.open(peer_pb2.Open(request='r:1'))
            assert attempt.wait_end(5)
            assert attempt.check().frames == 2
            assert attempt.body() == b'x'
        finally:
            link.stop()
            thread.join()
            server.stop(0)

    def test_old_entry_new_sidecar(self, small_fleet: SmallFleet) -> None:
        """An entry without status and with unknown fields is served."""
        address = small_fleet.daemons['b1'].address
        outbox: Outbox[peer_pb2.EntryMessage] = Outbox()
        hello = peer_pb2.Hello(version=0, instance='old', incarnation='old-1')
        first = peer_pb2.EntryMessage(hello=hello)
        first.MergeFromString(UNKNOWN_FIELD)
        request = peer_pb2.Open(
            attempt=1,
            request='old-1:1',
            customer='chikugo',
            method='POST',
            path='/bookings',
            body=b'{"old": 1}',
            deadline_ms=5000,
        )
        outbox.put(first)
        outbox.put(peer_pb2.EntryMessage(opens=[request]))

        def messages() -> Iterator[peer_pb2.EntryMessage]:
            for batch in outbox.batches(lambda: 0.2):
                yield from batch

        with grpc.insecure_channel(address) as channel:
            call = peer_pb2_grpc.PeerStub(channel).Connect(messages())
            ends = []
            for message in call:
                ends += [
                    frame for frame in message.frames if frame.HasField('end')
                ]
                if ends:
                    break
            outbox.close()
            call.cancel()
        assert ends[0].end.outcome == 'done'


class TestAttempt:
    """Duplicate or missing frames never corrupt a response."""

    def make_frame(self, seq: int, **fields: object) -> peer_pb2.Frame:
        """Return a frame of attempt 1 with these fields."""
        return peer_pb2.Frame(attempt=1, seq=seq, **fields)

    def test_repeated_frames(self) -> None:
        """Frames sent again after a reconnect are dropped."""
        attempt = Attempt(peer_pb2.Open())
        first = self.make_frame(0, head=peer_pb2.Head(status=200))
        attempt.deliver([first, self.make_frame(1, data=b'a')])
        attempt.deliver([first, self.make_frame(1, data=b'a')])
        attempt.deliver([self.make_frame(2, data=b'b')])
        end = peer_pb2.End(frames=4, outcome='done')
        attempt.deliver([self.make_frame(3, end=end)])
        assert attempt.check() == end
        assert attempt.body() == b'ab'

    def test_gap(self) -> None:
        """A missing frame is an error, not a shorter response."""
        attempt = Attempt(peer_pb2.Open())
        attempt.deliver([self.make_frame(0, head=peer_pb2.Head(status=200))])
        attempt.deliver([self.make_frame(2, data=b'b')])
        with pytest.raises(EndpointError):
            attempt.check()

    def test_wrong_count(self) -> None:
        """An end that counts more frames than were received is an error."""
        attempt = Attempt(peer_pb2.Open())
        end = peer_pb2.End(frames=3, outcome='done')
        attempt.deliver([self.make_frame(0, end=end)])
        with pytest.raises(EndpointError):
            attempt.check()


class TestWriteTo:
    """Data stays in order while the buffered data is passed to a writer."""

    def test_frame_during_first_write(self) -> None:
        """A frame that arrives meanwhile is written after the buffered data."""
        attempt = Attempt(peer_pb2.Open())
        attempt.deliver([peer_pb2.Frame(data=b'first')])
        later = peer_pb2.Frame(seq=1, data=b'second')
        arrived = threading.Event()
        written: list[bytes] = []

        def deliver() -> None:
            attempt.deliver([later])
            arrived.set()

        reader = threading.Thread(target=deliver, daemon=True)

        def write(data: bytes) -> None:
            if not reader.is_alive() and not arrived.is_set():
                reader.start()
                # Long enough for the frame to overtake without the lock.
                arrived.wait(0.2)
            written.append(data)

        attempt.write_to(write)
        assert arrived.wait(5)
        assert written == [b'first', b'second']


class TestIdleStreams:
    """Threads of idle streams are not woken ten times a second."""

    def test_wait_is_lengthened(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The pinned version of gRPC has the private constant that is set."""
        common: Any = getattr(grpc, '_common')  # noqa: B009 - private
        monkeypatch.setattr(common, 'MAXIMUM_WAIT_TIMEOUT', 0.1)
        lengthen_grpc_waits()
        assert common.MAXIMUM_WAIT_TIMEOUT == GRPC_WAIT_SECONDS


class TestOutbox:
    """Items of several threads are delivered in order, each once."""

    def test_order(self) -> None:
        """No item is lost or duplicated; each thread's items stay in order."""
        outbox: Outbox[tuple[int, int]] = Outbox(0.001)

        def produce(producer: int) -> None:
            for number in range(300):
                outbox.put((producer, number), urgent=number % 7 == 0)

        threads = [
            threading.Thread(target=produce, args=(producer,))
            for producer in range(4)
        ]
        for thread in threads:
            thread.start()
        closer = threading.Thread(
            target=lambda: (
                [thread.join() for thread in threads],
                outbox.close(),
            )
        )
        closer.start()
        taken = [
            item for batch in outbox.batches(lambda: 0.05) for item in batch
        ]
        closer.join()
        assert len(taken) == 1200
        for producer in range(4):
            numbers = [number for owner, number in taken if owner == producer]
            assert numbers == list(range(300))

    def test_remove(self) -> None:
        """A queued item can be removed; one in a batch cannot."""
        outbox: Outbox[int] = Outbox()
        outbox.put(1)
        assert outbox.remove(1)
        outbox.put(2)
        batches = outbox.batches(lambda: 0.01)
        assert next(batches) == [2]
        assert not outbox.remove(2)
