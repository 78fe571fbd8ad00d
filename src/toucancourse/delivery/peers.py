"""The sidecar's side of the peer streams."""

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
from .executions import AttemptRegistry, EmitFrame, Execution, UnconfirmedBills

#: How long an entry may be disconnected before its attempts are cancelled.
RECONNECT_GRACE_SECONDS: Final = 5.0
#: Offset changes of entries within this time are sent in one message.
OFFSET_BATCH_SECONDS: Final = 0.05
#: Threads beyond two for each slot, for attempts that are being refused.
EXTRA_WORKERS: Final = 16

Item = (
    peer_pb2.Frame
    | peer_pb2.Fate
    | peer_pb2.BillCopy
    | peer_pb2.LogAnswer
    | None
)


class Identity(NamedTuple):
    """Fields of the Hello that describe a sidecar."""

    instance: str
    zone: str
    incarnation: str
    kind: str
    slots: int


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """gRPC servicer with one stream for each connected entry."""

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
        """Create a servicer without streams.

        Each outbox waits linger_seconds to batch frames.
        """
        self._identity = identity
        self._dispatcher = dispatcher
        self._collector = collector
        self._transport = transport
        self._make_gossip = make_gossip
        self._make_load = make_load
        self._heartbeat = heartbeat_seconds
        self._linger = linger_seconds
        self._attempts = AttemptRegistry()
        self._lock = threading.Lock()
        self._streams: dict[str, Outbox[Item]] = {}
        #: Incarnation -> instance and offset of each connected entry.
        self._entries: dict[str, tuple[str, int]] = {}
        #: Incarnation -> time.monotonic() at which its stream ended.
        self._disconnected: dict[str, float] = {}
        self._offsets_changed = threading.Event()
        self._closed = False
        self._workers = ThreadPoolExecutor(
            identity.slots * 2 + EXTRA_WORKERS, 'attempt'
        )
        self.bills = UnconfirmedBills()
        self.is_draining = False

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
            self._disconnected.pop(incarnation, None)
        # gRPC may drop this generator at any yield, so code after a yield
        # may never run.
        if not context.add_callback(
            lambda: self._unregister(incarnation, outbox)
        ):
            self._unregister(incarnation, outbox)
            return
        reader = threading.Thread(
            target=self._read_messages,
            args=(request_iterator, incarnation, gossip, outbox),
            daemon=True,
        )
        gossip.instance = first.hello.instance
        self._handle_message(first, incarnation, gossip, outbox)
        reader.start()
        yield self._make_hello()
        reported: dict[str, tuple[str, int]] = {}
        for batch in outbox.batches(gossip.find_period):
            yield self._build_message(batch, gossip, reported)

    def publish_entry_offsets(self) -> None:
        """Send entries each other's changed offsets until close() is called.

        Changes are batched: a configuration change reaches all entries at
        nearly the same time, and a message for each offset would cost as many
        messages as there are pairs of entries.
        """
        while not self._closed:
            self._offsets_changed.wait()
            time.sleep(OFFSET_BATCH_SECONDS)
            self._offsets_changed.clear()
            self.push_status()

    def push_status(self) -> None:
        """Send a status to every connected entry now."""
        for outbox in list(self._streams.values()):
            outbox.put(None)

    def close(self) -> None:
        """End all streams after their queued messages; wait for workers."""
        self._closed = True
        self._offsets_changed.set()
        for outbox in list(self._streams.values()):
            outbox.close()
        self._workers.shutdown(wait=True)

    def expire_disconnected(self) -> None:
        """Cancel attempts and hand over bills of entries that don't reconnect.

        One connected entry gets the bills.
        """
        now = time.monotonic()
        with self._lock:
            streams = sorted(self._streams.items())
            expired = [
                incarnation
                for incarnation, disconnected_at in self._disconnected.items()
                if now - disconnected_at > RECONNECT_GRACE_SECONDS
            ]
            for incarnation in expired:
                del self._disconnected[incarnation]
            live = set(self._disconnected) | set(self._streams)
        for incarnation in expired:
            self._attempts.cancel_all(incarnation)
        if streams:
            for bill in self.bills.find_orphans(live):
                streams[0][1].put(bill)

    def _unregister(self, incarnation: str, outbox: Outbox[Item]) -> None:
        """Mark an entry as disconnected, unless a newer stream replaced it."""
        outbox.close()
        with self._lock:
            if self._streams.get(incarnation) is outbox:
                del self._streams[incarnation]
                self._entries.pop(incarnation, None)
                self._disconnected[incarnation] = time.monotonic()

    def _check_entry(
        self,
        context: grpc.ServicerContext,
        instance: str,
    ) -> None:
        """Abort the stream if the certificate does not name the entry."""
        if self._transport.is_entry(context, instance):
            return
        text = f'the certificate does not name entry "{instance}"'
        logger.warning('peer "{}" refused: {}', context.peer(), text)
        context.abort(grpc.StatusCode.PERMISSION_DENIED, text)

    def _make_hello(self) -> peer_pb2.SidecarMessage:
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

    def _read_messages(
        self,
        messages: Iterator[peer_pb2.EntryMessage],
        incarnation: str,
        gossip: Gossip,
        outbox: Outbox[Item],
    ) -> None:
        try:
            for message in messages:
                self._handle_message(message, incarnation, gossip, outbox)
        except grpc.RpcError:
            logger.debug('entry "{}" disconnected', incarnation)
        except Exception:  # noqa: BLE001 - iteration ends with bare errors
            logger.debug('stream of entry "{}" ended', incarnation)
        finally:
            outbox.close()

    def _handle_message(
        self,
        message: peer_pb2.EntryMessage,
        incarnation: str,
        gossip: Gossip,
        outbox: Outbox[Item],
    ) -> None:
        gossip.receive_records(message.records)
        if message.HasField('status'):
            gossip.receive(message.status)
            self._record_offset(incarnation, gossip, message.status.offset)
        for request in message.opens:
            self._open_attempt(request, incarnation, outbox)
        for cancel in message.cancels:
            execution = self._attempts.find((incarnation, cancel.attempt))
            if execution is not None:
                execution.cancel()
        for inquiry in message.inquiries:
            self._answer_inquiry(inquiry, incarnation, outbox)
        for attempt in message.closed:
            ended = self._attempts.find((incarnation, attempt))
            if ended is not None:
                ended.release_frames()
        for call in message.log_calls:
            self._collector.handle_call(call, _make_answer_sender(call, outbox))
        if message.HasField('settled'):
            self.bills.confirm(list(message.settled.requests))

    def _record_offset(
        self,
        incarnation: str,
        gossip: Gossip,
        offset: int,
    ) -> None:
        """Store an entry's offset and wake publish_entry_offsets()."""
        entry = (gossip.instance, offset)
        if self._entries.get(incarnation) != entry:
            self._entries[incarnation] = entry
            self._offsets_changed.set()

    def _open_attempt(
        self,
        request: peer_pb2.Open,
        incarnation: str,
        outbox: Outbox[Item],
    ) -> None:
        execution = Execution(
            request, _make_frame_sender(outbox), self.bills.add
        )
        try:
            accepted = self._attempts.start(
                (incarnation, request.attempt), execution
            )
        except KeyError:
            return
        expected = request.sidecar or self._identity.incarnation
        if accepted and expected != self._identity.incarnation:
            execution.send_end(
                UnavailableError(
                    'the attempt was for an earlier run of the sidecar'
                )
            )
        elif accepted and not self.is_draining:
            self._workers.submit(self._dispatcher.run, execution)
        elif accepted:
            execution.send_end(LeavingError('the endpoint is draining'))
        else:
            execution.send_end(
                UnavailableError('the attempt was fenced or is too old')
            )

    def _answer_inquiry(
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
            execution = self._attempts.find_or_fence(key)
        except KeyError:
            fate.state = 'forgotten'
            outbox.put(fate)
            return
        if execution is not None and inquiry.incarnation == incarnation:
            execution.resend(inquiry.next_seq, _make_frame_sender(outbox))
            return
        _fill_fate(fate, execution)
        outbox.put(fate)

    def _build_message(
        self,
        batch: list[Item],
        gossip: Gossip,
        reported: dict[str, tuple[str, int]],
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
        has_answers = message.frames or message.log_answers
        if has_answers and None not in batch and not gossip.is_due():
            return message
        message.records.extend(gossip.collect_records())
        message.status.CopyFrom(gossip.make_status(leaving=self.is_draining))
        message.load.CopyFrom(self._make_load())
        for incarnation, entry in list(self._entries.items()):
            if reported.get(incarnation) != entry:
                reported[incarnation] = entry
                message.entries.add(
                    instance=entry[0], offset=entry[1], incarnation=incarnation
                )
        for incarnation in reported.keys() - self._entries.keys():
            instance, _ = reported.pop(incarnation)
            message.entries.add(
                instance=instance, incarnation=incarnation, gone=True
            )
        return message


def _make_frame_sender(outbox: Outbox[Item]) -> EmitFrame:
    def emit(frame: peer_pb2.Frame) -> None:
        is_data = not (frame.HasField('head') or frame.HasField('end'))
        outbox.put(frame, urgent=not is_data)

    return emit


def _make_answer_sender(
    call: peer_pb2.LogCall,
    outbox: Outbox[Item],
) -> Callable[[peer_pb2.LogAnswer], None]:
    """Return a callback that sends the answer to a log call.

    Nobody is blocked on a read that waits for new records (wait_ms), so its
    answer may wait to share a message with others.
    """
    return lambda answer: outbox.put(answer, urgent=not call.wait_ms)


def _fill_fate(fate: peer_pb2.Fate, execution: Execution | None) -> None:
    if execution is None:
        fate.state = 'never'
    elif execution.end is None:
        fate.state = 'running'
    else:
        fate.state = 'ended'
        fate.data = execution.body()
        fate.end.CopyFrom(execution.end)
        if execution.head is not None:
            fate.head.CopyFrom(execution.head)
