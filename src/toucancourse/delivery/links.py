"""The entry's end of one peer stream."""

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
from .fates import Fates
from .logcalls import LogCalls

MIN_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 2.0
#: Heartbeats without a message after which the stream is broken.
SILENT_HEARTBEATS: Final = 4
#: How long attempts wait for their sidecar to come back.
REATTACH_SECONDS: Final = 3.0

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
    """Return a new attempt number."""
    return next(_attempt_numbers)


class Link:
    """Keeps a stream to one sidecar and the attempts that use it."""

    def __init__(
        self,
        instance: Instance,
        hello: peer_pb2.Hello,
        make_gossip: Callable[[], Gossip],
        adopt_bill: AdoptBill,
        find_period: Callable[[], float],
        transport: Transport,
    ) -> None:
        """Keep the parts; run() connects."""
        self.instance = instance
        self.sidecar = peer_pb2.Hello()
        self.load = peer_pb2.Load()
        self.connected = False
        self.leaving_self = False
        #: Entries that this sidecar hears from.
        self.roster = ConnectedEntries()
        self._hello = hello
        self._make_gossip = make_gossip
        self._adopt_bill = adopt_bill
        self._find_period = find_period
        self._transport = transport
        self._gossip = make_gossip()
        self._outbox: Outbox[Item] = Outbox()
        self._lock = threading.Lock()
        self._attempts: dict[int, Attempt] = {}
        self._fates = Fates()
        self.log_calls = LogCalls(instance.name, self.is_usable)
        self._stop = threading.Event()
        self._last_heard = 0.0
        self._broken_since = time.monotonic()
        self._call: grpc.Call | None = None

    @property
    def offset(self) -> int:
        """Return the configuration offset that the sidecar reached."""
        return self._gossip.offset or 0

    def is_usable(self) -> bool:
        """Return True if new work may be sent."""
        silent = time.monotonic() - self._last_heard
        return (
            self.connected
            and not self._gossip.leaving
            and silent < self._gossip.period * SILENT_HEARTBEATS / 2
        )

    def in_flight(self) -> int:
        """Return the open attempts of this entry."""
        return len(self._attempts)

    def open(self, request: peer_pb2.Open) -> Attempt:
        """Start an attempt; the request gets its number unless it has one."""
        attempt = Attempt(request)
        if not request.attempt:
            request.attempt = next_attempt()
        with self._lock:
            self._attempts[request.attempt] = attempt
        if not self.connected:
            self._attempts.pop(request.attempt, None)
            attempt.fail(self._make_refusal())
            return attempt
        self._outbox.put(request)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt whose answer is no longer wanted.

        One that was not sent yet never will be.
        """
        number = attempt.request.attempt
        if attempt.has_ended():
            return
        with self._lock:
            unsent = not attempt.sent
            if unsent:
                self._attempts.pop(number, None)
        if unsent:
            self._outbox.withdraw(attempt.request)
            attempt.fail(self._make_refusal())
            return
        self._outbox.put(peer_pb2.Cancel(attempt=number))

    def settle(self, requests: list[str]) -> None:
        """Tell the sidecar which bills are durable."""
        self._outbox.put(peer_pb2.Settled(requests=requests), urgent=False)

    def inquire(
        self,
        incarnation: str,
        attempt: int,
        timeout: float,
    ) -> peer_pb2.Fate | None:
        """Return what became of another entry's attempt, if answered."""
        self._fates.expect(incarnation, attempt)
        self._outbox.put(
            peer_pb2.Inquiry(attempt=attempt, incarnation=incarnation)
        )
        return self._fates.take(incarnation, attempt, timeout)

    def wake(self) -> None:
        """Send a message now, with the records that the peer lacks."""
        self._outbox.put(None)

    def run(self) -> None:
        """Connect, and connect again, until stopped."""
        backoff = MIN_BACKOFF_SECONDS
        while not self._stop.is_set():
            if self._stream():
                backoff = MIN_BACKOFF_SECONDS
            self._break()
            self._stop.wait(backoff * random.uniform(0.5, 1))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
        self._fail_attempts(lambda attempt: True)

    def stop(self) -> None:
        """End run()."""
        self._stop.set()
        self._outbox.close()
        if self._call is not None:
            self._call.cancel()

    def check_silence(self) -> None:
        """Break a stream that is silent; fail attempts left too long."""
        now = time.monotonic()
        silent = now - self._last_heard
        if self.connected and silent > self._gossip.period * SILENT_HEARTBEATS:
            logger.warning('sidecar "{}" is silent', self.instance.name)
            if self._call is not None:
                self._call.cancel()
        if not self.connected and now - self._broken_since > REATTACH_SECONDS:
            self._fail_attempts(lambda attempt: True)

    def _stream(self) -> bool:
        """Carry one stream; return True if the sidecar answered."""
        outbox: Outbox[Item] = Outbox()
        heard = False
        row = self.instance
        with self._transport.open_channel(row.name, row.address) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            gossip = self._make_gossip()
            gossip.zone = self.instance.zone
            call = stub.Connect(self._messages(outbox, gossip))
            self._call = call
            self._outbox = outbox
            try:
                for message in call:
                    self._last_heard = time.monotonic()
                    if not heard:
                        self._gossip = gossip
                        self._attach(message.hello)
                        heard = True
                    self._receive(message, gossip)
            except grpc.RpcError as error:
                logger.debug(
                    'stream to "{}" ended: {}', self.instance.name, error
                )
            finally:
                outbox.close()
        return heard

    def _attach(self, hello: peer_pb2.Hello) -> None:
        """Take the sidecar's Hello and go on with open attempts."""
        same = self.sidecar.incarnation == hello.incarnation
        self.sidecar = hello
        self.connected = True
        self.roster.clear()
        self.log_calls.open(hello.version, self._outbox.put)
        if not same:
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

    def _break(self) -> None:
        """Fail at once the attempts that can be repeated elsewhere."""
        if self.connected:
            self._broken_since = time.monotonic()
        self.connected = False
        self.log_calls.close()
        self._fail_attempts(_is_repeatable)

    def _fail_attempts(self, choose: Callable[[Attempt], bool]) -> None:
        with self._lock:
            chosen = [
                number
                for number, attempt in self._attempts.items()
                if choose(attempt)
            ]
            failed = [self._attempts.pop(number) for number in chosen]
        for attempt in failed:
            error = self._make_loss() if attempt.sent else self._make_refusal()
            attempt.fail(error)

    def _make_loss(self) -> UnknownOutcomeError:
        return UnknownOutcomeError(
            f'the answer of "{self.instance.name}" was lost'
        )

    def _make_refusal(self) -> UnavailableError:
        return UnavailableError(
            f'endpoint "{self.instance.name}" is not connected'
        )

    def _messages(
        self,
        outbox: Outbox[Item],
        gossip: Gossip,
    ) -> Iterator[peer_pb2.EntryMessage]:
        yield peer_pb2.EntryMessage(
            hello=self._hello,
            status=gossip.make_status(leaving=self.leaving_self),
        )
        for batch in outbox.batches(gossip.find_period):
            yield self._compose(batch, gossip)

    def _compose(
        self,
        batch: list[Item],
        gossip: Gossip,
    ) -> peer_pb2.EntryMessage:
        # The number of peers, and so the pace, changes while a stream lives.
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
                gossip.make_status(leaving=self.leaving_self)
            )
        return message

    def _mark_sent(self, number: int) -> bool:
        """Return False if an attempt was given up before it was sent."""
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
        self.roster.receive(list(message.entries))
        for fate in message.fates:
            self._receive_fate(fate)
        for answer in message.log_answers:
            self.log_calls.receive(answer)
        for copy in message.bills:
            self._adopt_bill(copy)

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
                # The sidecar never saw it and now never will.
                attempt.fail(self._make_refusal())
            elif attempt is not None:
                attempt.fail(self._make_loss())
            return
        self._fates.receive(fate)


def _is_repeatable(attempt: Attempt) -> bool:
    return not attempt.sent or (
        attempt.request.idempotent and attempt.next_seq == 0
    )
