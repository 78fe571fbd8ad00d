"""Test harness: an in-process relay with endpoints on loopback."""

import threading
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry

from standins.operator_config import HOST, KEY, make_operator_config
from standins.replica import Replica
from toucancourse.admission.limits import WindowBudget
from toucancourse.admission.slots import StreamSlots
from toucancourse.errors import CourseError, LogDownError
from toucancourse.forwarding.admission import Admission
from toucancourse.forwarding.connections import ConnectionPool
from toucancourse.forwarding.context import RelayContext
from toucancourse.forwarding.endpoints import Endpoint, EndpointRegistry
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.messages import RawRequest
from toucancourse.forwarding.metrics import ForwardingMetrics
from toucancourse.forwarding.objects import Headers
from toucancourse.forwarding.prefill import PrefillEstimator
from toucancourse.forwarding.quarantine import Quarantine
from toucancourse.forwarding.relay import Relay
from toucancourse.forwarding.responses import CallerGoneError, ResponseWriter
from toucancourse.forwarding.rollouts import Rollouts
from toucancourse.forwarding.selection import EndpointSelector
from toucancourse.forwarding.shifts import ShiftRegistry
from toucancourse.forwarding.shutdown import Shutdown
from toucancourse.forwarding.tables import OperatorConfig
from toucancourse.membership.startup import StartupBarrier
from toucancourse.membership.topics import Record, Records, Topic
from toucancourse.platform.messages import PlatformCodec
from toucancourse.platform.records import PlatformDecoder
from toucancourse.routing.endpoints import Outliers

#: How often a request is sent that a starved endpoint does not get in time.
MAX_SENDS = 5
#: Threads of an entry in front of the relay.
THREADS = 450


class RecordedResponse(ResponseWriter):
    """Records the response that a caller receives."""

    def __init__(self) -> None:
        """Create an empty response on an open connection."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_finished = False
        self.is_aborted = False
        self.is_closed = False
        self.error: CourseError | None = None
        self.on_disconnect: Callable[[], None] | None = None

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete response."""
        self.begin(status, headers)
        self.body = body
        self.is_finished = True

    def begin(self, status: int, headers: Headers) -> None:
        """Record the head of a response."""
        self.status = status
        self.headers = dict(headers)

    def write(self, content: bytes) -> None:
        """Record part of the body; fail after disconnect()."""
        if self.is_closed:
            raise CallerGoneError('disconnected')
        self.body += content

    def finish(self) -> None:
        """Record that the body is complete."""
        self.is_finished = True

    def abort(self) -> None:
        """Record that the response was truncated."""
        self.is_aborted = True

    def is_disconnected(self) -> bool:
        """Return True after disconnect()."""
        return self.is_closed

    def watch_disconnect(
        self, on_disconnect: Callable[[], None] | None
    ) -> None:
        """Set the callback of disconnect()."""
        self.on_disconnect = on_disconnect

    def disconnect(self) -> None:
        """Close the caller's connection and call the callback."""
        self.is_closed = True
        if self.on_disconnect is not None:
            self.on_disconnect()


class MemoryTopic(Topic):
    """A keyed topic in memory."""

    def __init__(self) -> None:
        """Create an empty topic that is available."""
        self.records: list[Record] = []
        self.is_available = True

    def fetch_newest(self) -> Records:
        """Return the newest record of each key."""
        newest = {record.key: record for record in self.records}
        present = [each for each in newest.values() if each.content is not None]
        return Records(tuple(present), len(self.records))

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on, without waiting."""
        return Records(tuple(self.records[start:]), len(self.records))

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record; with `at`, only if the topic ends there."""
        if not self.is_available:
            raise LogDownError('the topic is not available')
        if at is not None and at != len(self.records):
            return False
        self.records.append(Record(key, content, len(self.records)))
        return True

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append records if the topic ends there."""
        if at != len(self.records):
            return False
        for key, content in changes.items():
            self.append(key, content)
        return True


class RelayHarness:
    """A relay in front of stand-in endpoints."""

    def __init__(self, replicas: int = 2) -> None:
        """Start the endpoints and apply a configuration."""
        decoder = PlatformDecoder()
        codec = PlatformCodec()
        self.proof_age = 0.0
        self.shutdown = Shutdown()
        self.operators = OperatorConfig(decoder)
        #: Endpoints that the registry removed.
        self.removed: list[Endpoint] = []
        self.endpoints = EndpointRegistry(decoder, self.removed.append)
        self.rollouts = Rollouts(decoder, self.operators, 5, ShiftRegistry())
        #: Set events of initial store reads; requests wait for all of them.
        self.reads: list[threading.Event] = []
        self.loads = PeerLoads(lambda: 1)
        self.outliers = Outliers()
        self.connections = ConnectionPool(codec)
        self.budget = WindowBudget(0.5, 20, 10)
        self.metrics = ForwardingMetrics(CollectorRegistry())
        self.topic = MemoryTopic()
        self.quarantine = Quarantine(
            self.topic, lambda: len(self.topic.records), self.metrics
        )
        prefill = PrefillEstimator()
        selector = EndpointSelector(
            'zone-a', self.outliers, prefill, lambda *_: 2.0, self.loads
        )
        self.streams = StreamSlots(THREADS)
        self.relay = Relay(
            RelayContext(
                codec=codec,
                admission=Admission(
                    self.operators, self.endpoints, self.rollouts, selector
                ),
                connections=self.connections,
                rollouts=self.rollouts,
                outliers=self.outliers,
                metrics=self.metrics,
                prefill=prefill,
                quarantine=self.quarantine,
                startup=StartupBarrier(self.reads),
                streams=self.streams,
                find_retry_budget=lambda _: self.budget,
                find_fleet_share=lambda: 1.0,
                find_proof_age=lambda: self.proof_age,
                revocation_seconds=5,
                shutdown=self.shutdown,
            )
        )
        self.replicas = [Replica(f'i-{number}') for number in range(replicas)]
        self.operators.apply('config', make_operator_config())
        for replica in self.replicas:
            self.endpoints.apply(replica.identifier, replica.record())

    def close(self) -> None:
        """Stop the endpoints."""
        for replica in self.replicas:
            replica.close()

    def send(self, path: str, **options: Any) -> RecordedResponse:
        """Send a request and return the recorded response or error."""
        response = options.pop('response', None) or RecordedResponse()
        raw = make_request(path, **options)
        try:
            self.relay.serve(raw, response)
        except CourseError as error:
            response.error = error
        return response

    def runs(self) -> list[dict[str, Any]]:
        """Return the requests that endpoints executed."""
        return [run for replica in self.replicas for run in replica.runs()]


def break_off(
    relay: RelayHarness, path: str, size: int, fault: str = 'break_off'
) -> RecordedResponse:
    """Send a request whose response breaks off after some bytes."""
    replica = relay.replicas[0]
    relay.endpoints.apply(replica.identifier, None)
    relay.endpoints.apply(replica.identifier, replica.record(born=size + 2))
    replica.break_off_at = size
    replica.fault = fault
    before = len(relay.runs())
    for _ in range(MAX_SENDS):
        response = relay.send(path)
        if len(relay.runs()) > before:
            return response
    raise AssertionError('the endpoint executed no request')


def make_request(
    path: str,
    method: str = 'POST',
    key: str = KEY,
    deadline_ms: int = 2000,
    body: bytes = b'{}',
    **headers: str,
) -> RawRequest:
    """Return a raw request; header names use _ for -."""
    fields = {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Key': key,
        'X-Deadline-Ms': str(deadline_ms),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    if path.startswith(('/draft', '/auto')):
        fields['Accept'] = 'text/event-stream'
        fields.setdefault('X-Model', '*' if '/auto' in path else 'large')
    return RawRequest(
        method, path, tuple(fields.items()), body, time.monotonic()
    )
