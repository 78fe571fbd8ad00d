"""Requests in flight at one endpoint and the queueing delay they cause."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from .loads import Workload
from .objects import Load

#: Half-life of an endpoint's report about other entries' requests: prefill of
#: the queue at a loaded endpoint takes seconds.
HALF_LIFE_SECONDS: Final = 1.5
#: Share of less urgent work that delays a request: prefill runs in chunks
#: that are not preempted.
LESS_URGENT_SHARE: Final = 0.2
#: Delay of a new request by each running one, in seconds.
RUNNING_SECONDS: Final = 0.005
#: Prefill time that is too short to report to other entries, in seconds.
MIN_REPORTED_SECONDS: Final = 0.005
#: Priority ranks of requests, 0 for the most urgent.
RANKS: Final = range(10)


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
        self._prefill_seconds: dict[int, float] = defaultdict(float)
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
            prefill = [self._prefill_seconds.get(rank, 0.0) for rank in RANKS]
            running = self.running
        while prefill and prefill[-1] < MIN_REPORTED_SECONDS:
            prefill.pop()
        return Workload(
            running, tuple(round(seconds, 2) for seconds in prefill)
        )

    def predict_wait(
        self,
        rank: int,
        average_prefill: float,
        peer_workload: Workload | None,
    ) -> float:
        """Return the seconds until the prefill of a request of a rank starts.

        peer_workload is what the other entries report, or None. Without it
        their share is estimated from the endpoint's load reports, with
        average_prefill seconds for each of their waiting requests.
        """
        with self._lock:
            own = tuple(self._prefill_seconds.items())
        wait = sum_prefill(own, rank) + self.running * RUNNING_SECONDS
        if peer_workload is not None:
            wait += sum_prefill(enumerate(peer_workload.prefill_seconds), rank)
            return wait + peer_workload.running * RUNNING_SECONDS
        waiting = self._others_waiting * max(RUNNING_SECONDS, average_prefill)
        running = self._others_running * RUNNING_SECONDS
        return wait + (waiting + running) * self._compute_decay()

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


def sum_prefill(prefill: Iterable[tuple[int, float]], rank: int) -> float:
    """Return the seconds by which queued work delays a request of a rank.

    The work is given as pairs of a rank and prefill seconds.
    """
    return sum(
        seconds if other <= rank else LESS_URGENT_SHARE * seconds
        for other, seconds in prefill
    )
