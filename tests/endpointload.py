"""A load of requests on endpoints whose speeds differ, without a network."""

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable

import pytest

from toucancourse.forwarding.endpoints import Endpoint
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.objects import EndpointRecord
from toucancourse.forwarding.prefill import PrefillEstimator
from toucancourse.forwarding.selection import (
    EndpointSelector,
    ScoredEndpoint,
    SelectionCriteria,
)
from toucancourse.forwarding.slowness import PeerSlowness
from toucancourse.routing.endpoints import Outliers

from .test_selection import make_call

#: Response time of an endpoint of usual speed, in seconds.
USUAL_SECONDS = 0.1
CALL = make_call()
#: Endpoint, requests in flight there and time -> seconds to its response.
Respond = Callable[[str, int, float], float]


class Clock:
    """Stands for time.monotonic() in a test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Stop the time, and let choices be the same in each run."""
        self.now = 1000.0
        random.seed(1)
        monkeypatch.setattr(time, 'monotonic', lambda: self.now)


def make_endpoint(name: str, slots: int = 64, incarnation: int = 1) -> Endpoint:
    """Return a warm endpoint in the entry's zone."""
    return Endpoint(
        EndpointRecord(
            name,
            'desk',
            '127.0.0.1',
            9,
            'zone-a',
            'v1',
            slots,
            False,
            0,
            incarnation,
        )
    )


class LoadedEntry:
    """One entry with requests that arrive at a constant rate."""

    def __init__(
        self, clock: Clock, endpoints: list[Endpoint], respond: Respond
    ) -> None:
        """Create it with the endpoints' response times."""
        self.clock = clock
        self.endpoints = endpoints
        self.respond = respond
        self.slowness = PeerSlowness()
        self.selector = EndpointSelector(
            'zone-a',
            Outliers(),
            PrefillEstimator(),
            lambda *_: 1.0,
            PeerLoads(lambda: 1),
            self.slowness,
        )
        #: Seen and predicted seconds of all responses, oldest first.
        self.times: list[tuple[float, float]] = []
        #: Most requests in flight at each endpoint.
        self.most: Counter[str] = Counter()
        self._ends: list[tuple[float, int, ScoredEndpoint, float, object]] = []
        self._numbers = itertools.count()

    def run(self, seconds: float, rate: float) -> Counter[str]:
        """Send requests for some seconds; return how many each got."""
        sent: Counter[str] = Counter()
        end = self.clock.now + seconds
        due = self.clock.now
        while due < end:
            self._advance(due)
            scored = self.selector.choose(
                CALL, self.endpoints, SelectionCriteria('desk', '', '', ())
            )
            assert scored is not None
            self._send(scored)
            sent[scored.endpoint.record.identifier] += 1
            due += 1 / rate
        return sent

    def predict_stream(self, events: float) -> ScoredEndpoint:
        """Return the choice for a stream that is not sent."""
        scored = self.selector.choose(
            CALL,
            self.endpoints,
            SelectionCriteria('desk', '', '', (), 0, events),
        )
        assert scored is not None
        return scored

    def _send(self, scored: ScoredEndpoint) -> None:
        endpoint = scored.endpoint
        name = endpoint.record.identifier
        request = endpoint.backlog.add_request(0, 0)
        self.most[name] = max(self.most[name], endpoint.backlog.running)
        seconds = self.respond(name, endpoint.backlog.running, self.clock.now)
        heapq.heappush(
            self._ends,
            (
                self.clock.now + seconds,
                next(self._numbers),
                scored,
                seconds,
                request.finish,
            ),
        )

    def _advance(self, until: float) -> None:
        """Let the time pass; responses arrive at theirs."""
        while self._ends and self._ends[0][0] <= until:
            self.clock.now, _, scored, seconds, finish = heapq.heappop(
                self._ends
            )
            assert callable(finish)
            finish()
            scored.forecast.record_response(seconds)
            self.times.append((seconds, scored.latency))
        self.clock.now = until
