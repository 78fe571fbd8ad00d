"""The entry's side of the peer stream to one sidecar."""

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import Final

import grpc
from loguru import logger

from ..errors import UnavailableError, UnknownOutcomeError
from ..interfaces.instances import Instance
from ..membership.connected_entries import ConnectedEntries
from ..membership.gossip import Gossip
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.outbox import Outbox
from ..protocol.transports import Transport
from .attempts import Attempt
from .inquiries import PendingInquiries
from .logcalls import LogCalls

MIN_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 2.0
#: Heartbeat periods without a message after which the stream is closed.
MAX_MISSED_HEARTBEATS: Final = 4
#: How long open attempts wait for their sidecar to reconnect.
RECONNECT_GRACE_SECONDS: Final = 3.0
#: Bodies of requests that share a message.
MESSAGE_BYTES: Final = 524_288

Item = (
    peer_pb2.Open
    | peer_pb2.Cancel
    | peer_pb2.Inquiry
    | peer_pb2.Settled
    | peer_pb2.LogCall
    | int
    | None
)
AdoptBill = Callable[[peer_pb2.BillCopy], None]
#: Attempt numbers are unique within the process, over all links.
_attempt_numbers = itertools.count(1)


def next_attempt() -> int:
    """Return an attempt number that this process has not used."""
    return next(_attempt_numbers)


class Link:
    """Connection to one sidecar, with the attempts sent over it.

    Reconnects with exponential backoff until stop() is called.
    """

    def __init__(
        self,
        instance: Instance,
        hello: peer_pb2.Hello,
        make_gossip: Callable[[], Gossip],
        adopt_bill: AdoptBill,
        find_period: Callable[[], float],
        transport: Transport,
    ) -> None:
        """Create a link; run() connects it.

        find_period returns the seconds between two statuses.
        """
        self.instance = instance
        self.sidecar = peer_pb2.Hello()
        self.load = peer_pb2.Load()
        self.connected = False
        self.entry_draining = False
        #: Entries that are connected to this sidecar.
        self.connected_entries = ConnectedEntries()
        self._hello = hello
        self._make_gossip = make_gossip
        self._adopt_bill = adopt_bill
        self._find_period = find_period
        self._transport = transport
        self._gossip = make_gossip()
        self._outbox: Outbox[Item] = Outbox()
        self._lock = threading.Lock()
        self._attempts: dict[int, Attempt] = {}
        self._inquiries = PendingInquiries()
        self.log_calls = LogCalls(instance.name, self.is_usable)
        self._stop = threading.Event()
        self._last_received = 0.0
        self._disconnected_since = time.monotonic()
        self._call: grpc.Call | None = None

    @property
    def offset(self) -> int:
        """Return the configuration offset that the sidecar reported last."""
        return self._gossip.offset or 0

    def is_usable(self) -> bool:
        """Return True if the sidecar may get new attempts."""
        silence = time.monotonic() - self._last_received
        return (
            self.connected
            and not self._gossip.leaving
            and silence < self._gossip.period * MAX_MISSED_HEARTBEATS / 2
        )

    def in_flight(self) -> int:
        """Return the number of this entry's open attempts at the sidecar."""
        return len(self._attempts)

    def open(self, request: peer_pb2.Open) -> Attempt:
        """Start an attempt; assign a number to the request if it has none.

        The attempt has already failed if the sidecar is not connected.
        """
        attempt = Attempt(request)
        if not request.attempt:
            request.attempt = next_attempt()
        with self._lock:
            self._attempts[request.attempt] = attempt
        if not self.connected:
            self._attempts.pop(request.attempt, None)
            attempt.fail(self._make_unavailable_error())
            return attempt
        self._outbox.put(request)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose response is no longer needed.

        One that was not sent yet is never sent.
        """
        number = attempt.request.attempt
        if attempt.has_ended():
            return
        with self._lock:
            unsent = not attempt.sent
            if unsent:
                self._attempts.pop(number, None)
        if unsent:
            self._outbox.remove(attempt.request)
            attempt.fail(self._make_unavailable_error())
            return
        self._outbox.put(peer_pb2.Cancel(attempt=number))

    def confirm_bills(self, requests: list[str]) -> None:
        """Confirm to the sidecar that the bills of requests are durable."""
        self._outbox.put(peer_pb2.Settled(requests=requests), urgent=False)

    def inquire(
        self,
        incarnation: str,
        attempt: int,
        timeout: float,
    ) -> peer_pb2.Fate | None:
        """Return the state of another entry's attempt at this sidecar.

        Returns None if no answer comes within timeout seconds.
        """
        self._inquiries.register(incarnation, attempt)
        self._outbox.put(
            peer_pb2.Inquiry(attempt=attempt, incarnation=incarnation)
        )
        return self._inquiries.wait_for(incarnation, attempt, timeout)

    def push_status(self) -> None:
        """Send a status now, with the records that the peer does not have."""
        self._outbox.put(None)

    def run(self) -> None:
        """Connect, and reconnect with backoff, until stop() is called."""
        backoff = MIN_BACKOFF_SECONDS
        while not self._stop.is_set():
            if self._run_stream():
                backoff = MIN_BACKOFF_SECONDS
            self._handle_disconnect()
            self._stop.wait(backoff * random.uniform(0.5, 1))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
        self._fail_attempts(lambda attempt: True)

    def stop(self) -> None:
        """Close the stream and make run() return."""
        self._stop.set()
        self._outbox.close()
        if self._call is not None:
            self._call.cancel()

    def check_liveness(self) -> None:
        """Close a stream without recent messages.

        Fail the attempts of a sidecar that has been disconnected for longer
        than RECONNECT_GRACE_SECONDS.
        """
        now = time.monotonic()
        silence = now - self._last_received
        if (
            self.connected
            and silence > self._gossip.period * MAX_MISSED_HEARTBEATS
        ):
            logger.warning(
                'sidecar "{}" missed its heartbeats; closing the stream',
                self.instance.name,
            )
            if self._call is not None:
                self._call.cancel()
        if (
            not self.connected
            and now - self._disconnected_since > RECONNECT_GRACE_SECONDS
        ):
            self._fail_attempts(lambda attempt: True)

    def _run_stream(self) -> bool:
        """Open one stream and process it until it ends.

        Returns True if the sidecar's Hello was received.
        """
        outbox: Outbox[Item] = Outbox()
        hello_received = False
        instance = self.instance
        with self._transport.open_channel(
            instance.name, instance.address
        ) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            gossip = self._make_gossip()
            gossip.zone = self.instance.zone
            call = stub.Connect(self._generate_messages(outbox, gossip))
            self._call = call
            self._outbox = outbox
            try:
                for message in call:
                    self._last_received = time.monotonic()
                    if not hello_received:
                        self._gossip = gossip
                        self._handle_hello(message.hello)
                        hello_received = True
                    self._receive(message, gossip)
            except grpc.RpcError as error:
                logger.debug(
                    'stream to sidecar "{}" ended: {}',
                    self.instance.name,
                    error,
                )
            finally:
                outbox.close()
        return hello_received

    def _handle_hello(self, hello: peer_pb2.Hello) -> None:
        """Mark as connected and resume the open attempts.

        If the sidecar was restarted, its attempts fail instead.
        """
        same_process = self.sidecar.incarnation == hello.incarnation
        self.sidecar = hello
        self.connected = True
        self.connected_entries.clear()
        self.log_calls.open(hello.version, self._outbox.put)
        if not same_process:
            self._fail_attempts(lambda attempt: True)
        with self._lock:
            attempts = list(self._attempts.values())
        for attempt in attempts:
            self._outbox.put(
                peer_pb2.Inquiry(
                    attempt=attempt.request.attempt,
                    incarnation=self._hello.incarnation,
                    next_seq=attempt.next_seq,
                )
            )

    def _handle_disconnect(self) -> None:
        """Mark as disconnected; fail attempts that can be retried elsewhere."""
        if self.connected:
            self._disconnected_since = time.monotonic()
        self.connected = False
        self.log_calls.close()
        self._fail_attempts(_is_repeatable)

    def _fail_attempts(self, predicate: Callable[[Attempt], bool]) -> None:
        with self._lock:
            numbers = [
                number
                for number, attempt in self._attempts.items()
                if predicate(attempt)
            ]
            failed = [self._attempts.pop(number) for number in numbers]
        for attempt in failed:
            error = (
                self._make_lost_error()
                if attempt.sent
                else self._make_unavailable_error()
            )
            attempt.fail(error)

    def _make_lost_error(self) -> UnknownOutcomeError:
        return UnknownOutcomeError(
            f'the response of endpoint "{self.instance.name}" was lost'
        )

    def _make_unavailable_error(self) -> UnavailableError:
        return UnavailableError(
            f'endpoint "{self.instance.name}" is not connected'
        )

    def _generate_messages(
        self,
        outbox: Outbox[Item],
        gossip: Gossip,
    ) -> Iterator[peer_pb2.EntryMessage]:
        yield peer_pb2.EntryMessage(
            hello=self._hello,
            status=gossip.make_status(leaving=self.entry_draining),
        )
        for batch in outbox.batches(gossip.find_period):
            for part in _split_batch(batch):
                yield self._build_message(part, gossip)

    def _build_message(
        self,
        batch: list[Item],
        gossip: Gossip,
    ) -> peer_pb2.EntryMessage:
        # The status period depends on the number of peers, which changes while
        # a stream is open.
        gossip.period = self._find_period()
        message = peer_pb2.EntryMessage(records=gossip.collect_records())
        for item in batch:
            if isinstance(item, peer_pb2.Open):
                if self._mark_sent(item.attempt):
                    message.opens.append(item)
            elif isinstance(item, peer_pb2.Cancel):
                message.cancels.append(item)
            elif isinstance(item, peer_pb2.Inquiry):
                message.inquiries.append(item)
            elif isinstance(item, peer_pb2.Settled):
                message.settled.requests.extend(item.requests)
            elif isinstance(item, peer_pb2.LogCall):
                message.log_calls.append(item)
            elif isinstance(item, int):
                message.closed.append(item)
        if not batch or None in batch or gossip.is_due():
            message.status.CopyFrom(
                gossip.make_status(leaving=self.entry_draining)
            )
        return message

    def _mark_sent(self, number: int) -> bool:
        """Mark an attempt as sent; return False if it was cancelled before."""
        with self._lock:
            attempt = self._attempts.get(number)
            if attempt is None:
                return False
            attempt.sent = True
            return True

    def _receive(
        self,
        message: peer_pb2.SidecarMessage,
        gossip: Gossip,
    ) -> None:
        if message.frames:
            self._receive_frames(message)
        if message.records:
            gossip.receive_records(message.records)
        if message.HasField('status'):
            gossip.receive(message.status)
        if message.HasField('load'):
            self.load = message.load
        self.connected_entries.receive(list(message.entries))
        for fate in message.fates:
            self._receive_fate(fate)
        for answer in message.log_answers:
            self.log_calls.receive(answer)
        for bill in message.bills:
            self._adopt_bill(bill)

    def _receive_frames(self, message: peer_pb2.SidecarMessage) -> None:
        grouped: dict[int, list[peer_pb2.Frame]] = {}
        for frame in message.frames:
            grouped.setdefault(frame.attempt, []).append(frame)
        for number, frames in grouped.items():
            attempt = self._attempts.get(number)
            if attempt is None:
                continue
            attempt.deliver(frames)
            if attempt.has_ended():
                self._attempts.pop(number, None)
                self._outbox.put(number, urgent=False)

    def _receive_fate(self, fate: peer_pb2.Fate) -> None:
        if fate.incarnation == self._hello.incarnation:
            attempt = self._attempts.pop(fate.attempt, None)
            if attempt is not None and fate.state == 'never':
                # The sidecar did not receive it and has fenced it.
                attempt.fail(self._make_unavailable_error())
            elif attempt is not None:
                attempt.fail(self._make_lost_error())
            return
        self._inquiries.receive(fate)


def _split_batch(batch: list[Item]) -> Iterator[list[Item]]:
    """Yield parts of a batch that fit into a message.

    A part has bodies of MESSAGE_BYTES, or a single one.
    """
    part: list[Item] = []
    size = 0
    for item in batch:
        body_size = len(item.body) if isinstance(item, peer_pb2.Open) else 0
        if size and size + body_size > MESSAGE_BYTES:
            yield part
            part, size = [], 0
        part.append(item)
        size += body_size
    yield part


def _is_repeatable(attempt: Attempt) -> bool:
    return not attempt.sent or (
        attempt.request.idempotent and attempt.next_seq == 0
    )
