"""Tests of the sidecar's side of the peer streams, without a network."""

import queue
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from freezegun import freeze_time

from standins.calls import wait_until
from toucancourse.contract.state import State
from toucancourse.delivery import peers
from toucancourse.delivery.executions import Execution
from toucancourse.delivery.peers import (
    RECONNECT_GRACE_SECONDS,
    Identity,
    PeerServicer,
)
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.membership.gossip import Gossip
from toucancourse.protocol import peer_pb2
from toucancourse.protocol.transports import PlainTransport


class FakeContext:
    """A gRPC context that runs its callbacks when the test ends the call."""

    def __init__(self) -> None:
        """Create the context of a new call."""
        self._callbacks: list[Callable[[], None]] = []

    def add_callback(self, callback: Callable[[], None]) -> bool:
        """Register a callback; return True as an active call does."""
        self._callbacks.append(callback)
        return True

    def end(self) -> None:
        """End the call, as gRPC does when a peer disconnects."""
        for callback in self._callbacks:
            callback()


class FakeDispatcher:
    """Completes every request at once."""

    def run(self, execution: Execution) -> None:
        """Send a complete response with usage."""
        execution.usage = peer_pb2.Usage(prompt_tokens=1, completion_tokens=2)
        execution.send_end()


class Peer:
    """An entry that is connected to the servicer."""

    def __init__(self, servicer: PeerServicer, incarnation: str) -> None:
        """Connect and read the sidecar's Hello."""
        self.context = FakeContext()
        self._sent: queue.Queue[peer_pb2.EntryMessage] = queue.Queue()
        hello = peer_pb2.Hello(version=1, instance='e', incarnation=incarnation)
        self.send(hello=hello)
        context: Any = self.context
        self.messages = servicer.Connect(iter(self._sent.get, None), context)
        next(self.messages)

    def send(self, **fields: Any) -> None:
        """Send one message."""
        self._sent.put(peer_pb2.EntryMessage(**fields))


@pytest.fixture
def servicer() -> Iterator[PeerServicer]:
    """Return the servicer of a sidecar with an empty configuration."""
    configuration = Configuration()
    configuration.install_state(State())
    freshness = Freshness('east', 60)
    # While the freshness proof is recent, statuses are sent at the period
    # that entries request.
    freshness.record_log_read(time.monotonic())
    dispatcher: Any = FakeDispatcher()
    collector: Any = None
    created = PeerServicer(
        Identity('m1', 'east', 'sidecar', 'model', 4),
        dispatcher,
        collector,
        PlainTransport(),
        lambda: Gossip(configuration, freshness, 0.05),
        peer_pb2.Load,
        0.05,
        0,
    )
    yield created
    created.close()


class TestEntryOffsets:
    """Entries receive each other's offsets in batches."""

    def test_offsets_share_a_message(
        self,
        servicer: PeerServicer,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Six offsets that change together cost two messages, not six."""
        monkeypatch.setattr(peers, 'OFFSET_BATCH_SECONDS', 0.5)
        threading.Thread(
            target=servicer.publish_entry_offsets, daemon=True
        ).start()
        entries = [Peer(servicer, f'entry-{n}') for n in range(6)]
        reported: list[set[str]] = []

        def read() -> None:
            for message in entries[0].messages:
                if message.entries:
                    reported.append(
                        {entry.incarnation for entry in message.entries}
                    )

        threading.Thread(target=read, daemon=True).start()
        for entry in entries:
            entry.send(status=peer_pb2.Status(offset=5, period_ms=60_000))
            # Sent apart, so that only the servicer can batch them.
            time.sleep(0.03)
        wait_until(lambda: len(set().union(*reported)) == 6, 10, 'all offsets')
        assert len(reported) <= 2


class TestClaimedCall:
    """A claimed call runs only at the sidecar process that its claim names."""

    def test_earlier_sidecar(self, servicer: PeerServicer) -> None:
        """A call for an earlier run of the sidecar is refused as not run."""
        peer = Peer(servicer, 'entry')
        for number, sidecar in enumerate(('earlier', 'sidecar', ''), 1):
            request = f'entry:{number}'
            opened = peer_pb2.Open(
                request=request, attempt=number, sidecar=sidecar
            )
            peer.send(opens=[opened])
        outcomes: dict[int, str] = {}
        while len(outcomes) < 3:
            for frame in next(peer.messages).frames:
                if frame.HasField('end'):
                    outcomes[frame.attempt] = frame.end.outcome
        assert outcomes == {1: 'not_run', 2: 'done', 3: 'done'}


class TestEntryDisconnected:
    """The bills of an entry that fails are handed to another entry."""

    def test_generator_is_dropped(self, servicer: PeerServicer) -> None:
        """Bills are handed over although the stream's generator never resumes.

        gRPC may drop the generator of an ended stream, so code after its last
        yield does not run.
        """
        dead = Peer(servicer, 'dead')
        live = Peer(servicer, 'live')
        dead.send(
            opens=[
                peer_pb2.Open(
                    request='dead:1',
                    attempt=1,
                    idempotent=True,
                    version='v@1',
                )
            ]
        )
        wait_until(lambda: len(servicer.bills), 5, 'the answer')
        dead.context.end()
        assert not self._expire_and_read(servicer, live)
        with freeze_time() as clock:
            clock.tick(RECONNECT_GRACE_SECONDS + 1)
            servicer.expire_disconnected()
        [bill] = self._read_bills(live)
        assert bill.request == 'dead:1'

    def test_newer_stream_stays(self, servicer: PeerServicer) -> None:
        """The end of an entry's old stream does not affect its new one."""
        old = Peer(servicer, 'entry')
        Peer(servicer, 'entry')
        other = Peer(servicer, 'other')
        old.send(opens=[peer_pb2.Open(request='entry:1', attempt=1)])
        wait_until(lambda: len(servicer.bills), 5, 'the answer')
        old.context.end()
        with freeze_time() as clock:
            clock.tick(RECONNECT_GRACE_SECONDS + 1)
            servicer.expire_disconnected()
        assert not self._read_bills(other)

    def _expire_and_read(
        self, servicer: PeerServicer, peer: Peer
    ) -> list[peer_pb2.BillCopy]:
        servicer.expire_disconnected()
        return self._read_bills(peer)

    def _read_bills(self, peer: Peer) -> list[peer_pb2.BillCopy]:
        """Return the bills of all messages within 0.3 s."""
        bills: list[peer_pb2.BillCopy] = []
        limit = time.monotonic() + 0.3
        while time.monotonic() < limit:
            bills.extend(next(peer.messages).bills)
        return bills
