"""A relay in this process, with endpoints over loopback, for tests."""

import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry

from standins.replica import Replica
from standins.tables import HOST, KEY, make_table
from toucancourse.admission.limits import WindowBudget
from toucancourse.errors import CourseError
from toucancourse.forwarding.admission import Admission
from toucancourse.forwarding.connections import Connections
from toucancourse.forwarding.endpoints import Endpoint, EndpointRegistry
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.messages import RawRequest
from toucancourse.forwarding.metrics import ForwardingMetrics
from toucancourse.forwarding.objects import Headers
from toucancourse.forwarding.parts import RelayParts
from toucancourse.forwarding.prefill import PrefillEstimator
from toucancourse.forwarding.relay import Relay
from toucancourse.forwarding.replies import CallerGoneError, Reply
from toucancourse.forwarding.rollouts import Rollouts
from toucancourse.forwarding.selection import EndpointSelector
from toucancourse.forwarding.shifts import ShiftRegistry
from toucancourse.forwarding.tables import OperatorConfig
from toucancourse.membership.startup import Startup
from toucancourse.platform.messages import PlatformCodec
from toucancourse.platform.records import PlatformDecoder
from toucancourse.routing.endpoints import Outliers


class Caller(Reply):
    """Keeps what a caller received."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_finished = False
        self.is_aborted = False
        self.gone = False
        self.error: CourseError | None = None
        self.on_gone: Callable[[], None] | None = None

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a whole answer."""
        self.begin(status, headers)
        self.body = body
        self.is_finished = True

    def begin(self, status: int, headers: Headers) -> None:
        """Keep the start of an answer."""
        self.status = status
        self.headers = dict(headers)

    def write(self, content: bytes) -> None:
        """Keep a part of an answer."""
        if self.gone:
            raise CallerGoneError('gone')
        self.body += content

    def finish(self) -> None:
        """Note the end."""
        self.is_finished = True

    def abort(self) -> None:
        """Note that the answer was cut off."""
        self.is_aborted = True

    def is_gone(self) -> bool:
        """Return True once leave() was called."""
        return self.gone

    def watch(self, on_gone: Callable[[], None] | None) -> None:
        """Keep whom to tell."""
        self.on_gone = on_gone

    def leave(self) -> None:
        """Close the caller's connection."""
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()


class Desk:
    """A relay with a few endpoints."""

    def __init__(self, replicas: int = 2) -> None:
        """Start the endpoints and put a configuration in force."""
        decoder = PlatformDecoder()
        codec = PlatformCodec()
        self.age = 0.0
        self.operators = OperatorConfig(decoder)
        self.dropped: list[Endpoint] = []
        self.endpoints = EndpointRegistry(decoder, self.dropped.append)
        self.rollouts = Rollouts(decoder, self.operators, 5, ShiftRegistry())
        #: Reads of the store that a request may have to wait for.
        self.reads: list[threading.Event] = []
        self.loads = PeerLoads(lambda: 1)
        self.outliers = Outliers()
        self.connections = Connections(codec)
        self.budget = WindowBudget(0.5, 20, 10)
        self.metrics = ForwardingMetrics(CollectorRegistry())
        pace = PrefillEstimator()
        chooser = EndpointSelector(
            'zone-a', self.outliers, pace, lambda *_: 2.0, self.loads
        )
        self.relay = Relay(
            RelayParts(
                codec=codec,
                admission=Admission(
                    self.operators, self.endpoints, self.rollouts, chooser
                ),
                connections=self.connections,
                rollouts=self.rollouts,
                outliers=self.outliers,
                metrics=self.metrics,
                pace=pace,
                startup=Startup(self.reads),
                find_budget=lambda _: self.budget,
                count_entries=lambda: 1,
                find_age=lambda: self.age,
                revocation_seconds=5,
            )
        )
        self.replicas = [Replica(f'i-{row}') for row in range(replicas)]
        self.operators.apply('config', make_table())
        for replica in self.replicas:
            self.endpoints.apply(replica.identifier, replica.record())

    def close(self) -> None:
        """Stop the endpoints."""
        for replica in self.replicas:
            replica.close()

    def send(self, path: str, **options: Any) -> Caller:
        """Return what a caller got for a request."""
        caller = options.pop('caller', None) or Caller()
        raw = make_request(path, **options)
        try:
            self.relay.serve(raw, caller)
        except CourseError as error:
            caller.error = error
        return caller

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs of all endpoints."""
        return [row for replica in self.replicas for row in replica.runs()]


def make_request(
    path: str,
    method: str = 'POST',
    key: str = KEY,
    deadline_ms: int = 2000,
    body: bytes = b'{}',
    **headers: str,
) -> RawRequest:
    """Return a request as a caller sends it."""
    rows = {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Key': key,
        'X-Deadline-Ms': str(deadline_ms),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    if path.startswith(('/draft', '/auto')):
        rows['Accept'] = 'text/event-stream'
        rows.setdefault('X-Model', '*' if '/auto' in path else 'large')
    return RawRequest(method, path, tuple(rows.items()), body, time.monotonic())
