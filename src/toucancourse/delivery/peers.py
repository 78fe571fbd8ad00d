"""The sidecar's end of the peer streams."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

import grpc
from loguru import logger

from ..errors import LeavingError, UnavailableError
from ..membership.gossip import Gossip
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.outbox import Outbox
from ..protocol.transports import Transport
from ..protocol.versions import PROTOCOL_VERSION
from ..streams.collector import Collector
from .dispatch import Dispatcher
from .running import Attempts, Bills, Emit, Running

#: How long an entry may be gone before its work is cancelled.
REATTACH_SECONDS: Final = 5.0
#: Offsets of entries that change within this time are told at once.
ROSTER_SECONDS: Final = 0.05
#: Threads for attempts that are being refused.
SPARE_WORKERS: Final = 16

Item = (
    peer_pb2.Frame
    | peer_pb2.Fate
    | peer_pb2.BillCopy
    | peer_pb2.LogAnswer
    | None
)


class Identity(NamedTuple):
    """What a sidecar says of itself in its Hello."""

    instance: str
    zone: str
    incarnation: str
    kind: str
    slots: int


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Serves one stream for each connected entry."""

    def __init__(
        self,
        identity: Identity,
        dispatcher: Dispatcher,
        collector: Collector,
        transport: Transport,
        make_gossip: Callable[[], Gossip],
        make_load: Callable[[], peer_pb2.Load],
        heartbeat_seconds: float,
        linger_seconds: float,
    ) -> None:
        """Keep the parts."""
        self._identity = identity
        self._dispatcher = dispatcher
        self._collector = collector
        self._transport = transport
        self._make_gossip = make_gossip
        self._make_load = make_load
        self._heartbeat = heartbeat_seconds
        self._linger = linger_seconds
        self._attempts = Attempts()
        self._lock = threading.Lock()
        self._streams: dict[str, Outbox[Item]] = {}
        #: Incarnation -> instance and offset of each connected entry.
        self._entries: dict[str, tuple[str, int]] = {}
        self._gone: dict[str, float] = {}
        self._roster_changed = threading.Event()
        self._closed = False
        self._workers = ThreadPoolExecutor(
            identity.slots * 2 + SPARE_WORKERS, 'attempt'
        )
        self.bills = Bills()
        self.leaving = False

    def Connect(  # noqa: N802 - the name is the protocol's
        self,
        request_iterator: Iterator[peer_pb2.EntryMessage],
        context: grpc.ServicerContext,
    ) -> Iterator[peer_pb2.SidecarMessage]:
        """Yield messages to one entry until either side ends the stream."""
        first = next(request_iterator)
        self._check_entry(context, first.hello.instance)
        incarnation = first.hello.incarnation
        gossip = self._make_gossip()
        gossip.zone = first.hello.zone
        outbox: Outbox[Item] = Outbox(self._linger)
        with self._lock:
            self._streams[incarnation] = outbox
            self._gone.pop(incarnation, None)
        # gRPC may drop this generator at any yield, so nothing after one is
        # sure to run.
        if not context.add_callback(lambda: self._part(incarnation, outbox)):
            self._part(incarnation, outbox)
            return
        reader = threading.Thread(
            target=self._read,
            args=(request_iterator, incarnation, gossip, outbox),
            daemon=True,
        )
        gossip.instance = first.hello.instance
        self._handle(first, incarnation, gossip, outbox)
        reader.start()
        yield self._greet()
        told: dict[str, tuple[str, int]] = {}
        for batch in outbox.batches(gossip.find_period):
            yield self._compose(batch, gossip, told)

    def tell_roster(self) -> None:
        """Tell entries of each other's offsets until close() is called.

        A change of the configuration reaches all entries at nearly the same
        time; telling each offset by itself would cost as many messages as
        there are pairs of entries.
        """
        while not self._closed:
            self._roster_changed.wait()
            time.sleep(ROSTER_SECONDS)
            self._roster_changed.clear()
            self.wake()

    def wake(self) -> None:
        """Send every entry a message now."""
        for outbox in list(self._streams.values()):
            outbox.put(None)

    def close(self) -> None:
        """End all streams after what is queued."""
        self._closed = True
        self._roster_changed.set()
        for outbox in list(self._streams.values()):
            outbox.close()
        self._workers.shutdown(wait=True)

    def tend_gone(self) -> None:
        """Cancel the work of entries that are gone; hand over their bills."""
        now = time.monotonic()
        with self._lock:
            streams = sorted(self._streams.items())
            lost = [
                incarnation
                for incarnation, moment in self._gone.items()
                if now - moment > REATTACH_SECONDS
            ]
            for incarnation in lost:
                del self._gone[incarnation]
            waiting = set(self._gone) | set(self._streams)
        for incarnation in lost:
            self._attempts.cancel_all(incarnation)
        if streams:
            for copy in self.bills.orphans(waiting):
                streams[0][1].put(copy)

    def _part(self, incarnation: str, outbox: Outbox[Item]) -> None:
        """Note that a stream ended, unless a newer one took its place."""
        outbox.close()
        with self._lock:
            if self._streams.get(incarnation) is outbox:
                del self._streams[incarnation]
                self._entries.pop(incarnation, None)
                self._gone[incarnation] = time.monotonic()

    def _check_entry(
        self,
        context: grpc.ServicerContext,
        instance: str,
    ) -> None:
        """End the stream of a peer whose certificate is not that entry's."""
        if self._transport.is_entry(context, instance):
            return
        text = f'the certificate does not name entry "{instance}"'
        logger.warning('peer "{}" refused: {}', context.peer(), text)
        context.abort(grpc.StatusCode.PERMISSION_DENIED, text)

    def _greet(self) -> peer_pb2.SidecarMessage:
        load = self._make_load()
        hello = peer_pb2.Hello(
            version=PROTOCOL_VERSION,
            instance=self._identity.instance,
            zone=self._identity.zone,
            incarnation=self._identity.incarnation,
            kind=self._identity.kind,
            offers=load.offers,
            slots=self._identity.slots,
        )
        return peer_pb2.SidecarMessage(hello=hello, load=load)

    def _read(
        self,
        messages: Iterator[peer_pb2.EntryMessage],
        incarnation: str,
        gossip: Gossip,
        outbox: Outbox[Item],
    ) -> None:
        try:
            for message in messages:
                self._handle(message, incarnation, gossip, outbox)
        except grpc.RpcError:
            logger.debug('entry "{}" disconnected', incarnation)
        except Exception:  # noqa: BLE001 - iteration ends with bare errors
            logger.debug('stream of entry "{}" ended', incarnation)
        finally:
            outbox.close()

    def _handle(
        self,
        message: peer_pb2.EntryMessage,
        incarnation: str,
        gossip: Gossip,
        outbox: Outbox[Item],
    ) -> None:
        gossip.receive_records(message.records)
        if message.HasField('status'):
            gossip.receive(message.status)
            self._note_offset(incarnation, gossip, message.status.offset)
        for request in message.opens:
            self._open(request, incarnation, outbox)
        for cancel in message.cancels:
            running = self._attempts.find((incarnation, cancel.attempt))
            if running is not None:
                running.cancel()
        for inquiry in message.inquiries:
            self._inquire(inquiry, incarnation, outbox)
        for attempt in message.closed:
            ended = self._attempts.find((incarnation, attempt))
            if ended is not None:
                ended.forget()
        for call in message.log_calls:
            self._collector.handle_call(call, _make_reply(call, outbox))
        if message.HasField('settled'):
            self.bills.settle(list(message.settled.requests))

    def _note_offset(
        self,
        incarnation: str,
        gossip: Gossip,
        offset: int,
    ) -> None:
        """Remember an entry's offset; other entries wait to hear of it."""
        row = (gossip.instance, offset)
        if self._entries.get(incarnation) != row:
            self._entries[incarnation] = row
            self._roster_changed.set()

    def _open(
        self,
        request: peer_pb2.Open,
        incarnation: str,
        outbox: Outbox[Item],
    ) -> None:
        running = Running(request, _make_emit(outbox), self.bills.keep)
        try:
            fresh = self._attempts.start(
                (incarnation, request.attempt), running
            )
        except KeyError:
            return
        meant = request.sidecar or self._identity.incarnation
        if fresh and meant != self._identity.incarnation:
            running.send_end(
                UnavailableError('the attempt was for an earlier sidecar')
            )
        elif fresh and not self.leaving:
            self._workers.submit(self._dispatcher.run, running)
        elif fresh:
            running.send_end(LeavingError('the endpoint is leaving'))
        else:
            running.send_end(UnavailableError('the attempt was given up'))

    def _inquire(
        self,
        inquiry: peer_pb2.Inquiry,
        incarnation: str,
        outbox: Outbox[Item],
    ) -> None:
        key = (inquiry.incarnation, inquiry.attempt)
        fate = peer_pb2.Fate(
            attempt=inquiry.attempt, incarnation=inquiry.incarnation
        )
        try:
            running = self._attempts.inquire(key)
        except KeyError:
            fate.state = 'forgotten'
            outbox.put(fate)
            return
        if running is not None and inquiry.incarnation == incarnation:
            running.resend(inquiry.next_seq, _make_emit(outbox))
            return
        _tell_fate(fate, running)
        outbox.put(fate)

    def _compose(
        self,
        batch: list[Item],
        gossip: Gossip,
        told: dict[str, tuple[str, int]],
    ) -> peer_pb2.SidecarMessage:
        message = peer_pb2.SidecarMessage()
        for item in batch:
            if isinstance(item, peer_pb2.Frame):
                message.frames.append(item)
            elif isinstance(item, peer_pb2.Fate):
                message.fates.append(item)
            elif isinstance(item, peer_pb2.BillCopy):
                message.bills.append(item)
            elif isinstance(item, peer_pb2.LogAnswer):
                message.log_answers.append(item)
        carries = message.frames or message.log_answers
        if carries and None not in batch and not gossip.is_due():
            return message
        message.records.extend(gossip.take_records())
        message.status.CopyFrom(gossip.make_status(leaving=self.leaving))
        message.load.CopyFrom(self._make_load())
        for incarnation, row in list(self._entries.items()):
            if told.get(incarnation) != row:
                told[incarnation] = row
                message.entries.add(
                    instance=row[0], offset=row[1], incarnation=incarnation
                )
        for incarnation in told.keys() - self._entries.keys():
            instance, _ = told.pop(incarnation)
            message.entries.add(
                instance=instance, incarnation=incarnation, gone=True
            )
        return message


def _make_emit(outbox: Outbox[Item]) -> Emit:
    def emit(frame: peer_pb2.Frame) -> None:
        is_data = not (frame.HasField('head') or frame.HasField('end'))
        outbox.put(frame, urgent=not is_data)

    return emit


def _make_reply(
    call: peer_pb2.LogCall,
    outbox: Outbox[Item],
) -> Callable[[peer_pb2.LogAnswer], None]:
    """Return a reply that shares a message if nobody waits for it."""
    return lambda answer: outbox.put(answer, urgent=not call.wait_ms)


def _tell_fate(fate: peer_pb2.Fate, running: Running | None) -> None:
    if running is None:
        fate.state = 'never'
    elif running.end is None:
        fate.state = 'running'
    else:
        fate.state = 'ended'
        fate.data = running.body()
        fate.end.CopyFrom(running.end)
        if running.head is not None:
            fate.head.CopyFrom(running.head)
