"""Requests in flight at one endpoint and the queueing delay they cause."""

import threading
import time
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

from .loads import Workload
from .objects import Load

#: Half-life of an endpoint's report about other entries' requests: prefill of
#: the queue at a loaded endpoint takes seconds.
HALF_LIFE_SECONDS: Final = 1.5
#: Share of less urgent work that delays a request: prefill runs in chunks
#: that are not preempted.
LESS_URGENT_SHARE: Final = 0.2
#: Shortest prefill that is assumed of a waiting request, in seconds.
MIN_WAITING_SECONDS: Final = 0.005
#: Prefill time that is too short to report to other entries, in seconds.
MIN_REPORTED_SECONDS: Final = 0.005
#: Priority ranks of requests, 0 for the most urgent.
RANKS: Final = range(10)


class Queue(NamedTuple):
    """Work at an endpoint that a new request meets."""

    #: Prefill before it, in seconds.
    seconds: float
    #: Requests in flight.
    running: float


class Backlog:
    """In-flight requests at one endpoint; times are time.monotonic()."""

    def __init__(self) -> None:
        """Create a backlog without requests."""
        self._lock = threading.Lock()
        #: Requests of this entry in flight at the endpoint.
        self.running = 0
        #: Rank -> this entry's requests without a first event, and their
        #: prefill time in seconds.
        self._prefilling: dict[int, int] = defaultdict(int)
        self._prefill_seconds = [0.0 for _ in RANKS]
        self._is_prefilling = False
        #: Requests of other entries by the endpoint's last report.
        self._others_running = 0.0
        self._others_waiting = 0.0
        self._reported_at = 0.0

    def add_request(self, rank: int, seconds: float) -> 'InFlightRequest':
        """Return a new request with some seconds of prefill."""
        return InFlightRequest(self, rank, seconds)

    def record_load(self, load: Load) -> None:
        """Update the other entries' share from a response's load report."""
        with self._lock:
            prefilling = sum(self._prefilling.values())
            running = self.running - prefilling
            self._others_waiting = max(0, load.waiting - prefilling)
            self._others_running = max(0, load.running - running)
            self._reported_at = time.monotonic()

    def estimate_peer_requests(self) -> float:
        """Return the estimated requests of other entries in flight here."""
        return (
            self._others_running + self._others_waiting
        ) * self._compute_decay()

    def snapshot(self) -> Workload:
        """Return this entry's workload here, to report to other entries."""
        with self._lock:
            prefill = self._prefill_seconds.copy()
            running = self.running
        while prefill and prefill[-1] < MIN_REPORTED_SECONDS:
            prefill.pop()
        return Workload(
            running, tuple(round(seconds, 2) for seconds in prefill)
        )

    def measure_queue(
        self,
        rank: int,
        average_prefill: float,
        peer_workload: Workload | None,
    ) -> Queue:
        """Return the work that a new request of a rank meets.

        peer_workload is what the other entries report, or None. Without it
        their share is estimated from the endpoint's load reports, with
        average_prefill seconds for each of their waiting requests.
        """
        seconds = 0.0
        if self._is_prefilling:
            seconds = sum_prefill(self._prefill_seconds, rank)
        if peer_workload is not None:
            if peer_workload.prefill_seconds:
                seconds += sum_prefill(peer_workload.prefill_seconds, rank)
            return Queue(seconds, self.running + peer_workload.running)
        share = self._compute_decay()
        waiting = self._others_waiting * share
        seconds += waiting * max(MIN_WAITING_SECONDS, average_prefill)
        running = self._others_running * share + waiting
        return Queue(seconds, self.running + running)

    def _compute_decay(self) -> float:
        """Return the weight of the endpoint's last report, by its age."""
        age = time.monotonic() - self._reported_at
        return float(0.5 ** (age / HALF_LIFE_SECONDS))

    def adjust(
        self,
        running: int,
        rank: int,
        prefilling: int,
        seconds: float,
    ) -> None:
        """Add to the running requests and to those in prefill of a rank."""
        with self._lock:
            self.running += running
            self._prefilling[rank] += prefilling
            self._prefill_seconds[rank] = max(
                0.0, self._prefill_seconds[rank] + seconds
            )
            self._is_prefilling = any(self._prefill_seconds)


class InFlightRequest:
    """One request of this entry at an endpoint."""

    def __init__(self, backlog: Backlog, rank: int, seconds: float) -> None:
        """Add it to the backlog as running and in prefill."""
        self._backlog = backlog
        self._rank = rank
        self._seconds = seconds
        self._is_prefilling = True
        backlog.adjust(1, rank, 1, seconds)

    def finish_prefill(self) -> None:
        """Remove its prefill time from the backlog; later calls do nothing."""
        if self._is_prefilling:
            self._is_prefilling = False
            self._backlog.adjust(0, self._rank, -1, -self._seconds)

    def finish(self) -> None:
        """Remove it from the backlog; must be called once."""
        self.finish_prefill()
        self._backlog.adjust(-1, self._rank, 0, 0)


def sum_prefill(prefill: Sequence[float], rank: int) -> float:
    """Return the seconds by which queued work delays a request of a rank.

    The work is given as prefill seconds by rank.
    """
    urgent = sum(prefill[: rank + 1])
    return urgent + LESS_URGENT_SHARE * sum(prefill[rank + 1 :])
