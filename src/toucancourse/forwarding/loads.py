"""Load of endpoints by other entries, as those report it."""

import threading
import time
from collections.abc import Callable, Mapping
from itertools import zip_longest
from typing import Final, NamedTuple

from .digests import hash_text

#: Seconds without a report after which an entry's workload is ignored;
#: entries send a report at least every half of it.
STALE_SECONDS: Final = 1.0
#: Share of the other entries that must be reporting; with fewer, the load
#: that endpoints report themselves is more accurate.
MIN_REPORTING_SHARE: Final = 0.6
#: Prefill time below which a sum is taken for 0: reports have milliseconds.
MIN_PREFILL_SECONDS: Final = 0.0005


class Workload(NamedTuple):
    """Requests that one or more entries have in flight at one endpoint."""

    running: int
    #: Prefill time of the requests without a first event, in seconds, by
    #: priority rank from 0 on.
    prefill_seconds: tuple[float, ...]

    def add(self, other: 'Workload') -> 'Workload':
        """Return the sum of both."""
        pairs = zip_longest(
            self.prefill_seconds, other.prefill_seconds, fillvalue=0.0
        )
        return Workload(
            self.running + other.running,
            tuple(left + right for left, right in pairs),
        )

    def replace(self, before: 'Workload', after: 'Workload') -> 'Workload':
        """Return this sum with one of its parts changed."""
        seconds = [
            total - old + new
            for total, old, new in zip_longest(
                self.prefill_seconds,
                before.prefill_seconds,
                after.prefill_seconds,
                fillvalue=0.0,
            )
        ]
        while seconds and seconds[-1] < MIN_PREFILL_SECONDS:
            seconds.pop()
        return Workload(
            self.running - before.running + after.running, tuple(seconds)
        )


NO_WORKLOAD: Final = Workload(0, ())


class _PeerReport(NamedTuple):
    #: Identity of the stream that the entry reports on.
    stream: object
    #: time.monotonic() of its newest report.
    received_at: float
    #: Endpoint's digest -> the entry's workload there.
    workloads: dict[int, Workload]


class PeerLoads:
    """Current workload of the other entries, by endpoint."""

    def __init__(self, count_entries: Callable[[], int]) -> None:
        """Start without reports; count_entries includes this entry."""
        self._count_entries = count_entries
        self._lock = threading.Lock()
        #: Instance -> what it reported.
        self._reports: dict[str, _PeerReport] = {}
        #: Endpoint's digest -> sum of the reported workloads.
        self._totals: dict[int, Workload] = {}

    def update(
        self,
        instance: str,
        stream: object,
        changed: Mapping[int, Workload],
    ) -> None:
        """Apply the changed workloads that an entry reported on a stream."""
        with self._lock:
            known = self._reports.get(instance)
            if known is None or known.stream is not stream:
                self._remove(instance)
                known = _PeerReport(stream, 0, {})
            for digest, workload in changed.items():
                before = known.workloads.get(digest, NO_WORKLOAD)
                total = self._totals.get(digest, NO_WORKLOAD)
                self._totals[digest] = total.replace(before, workload)
            known.workloads.update(changed)
            self._reports[instance] = known._replace(
                received_at=time.monotonic()
            )

    def drop(self, instance: str, stream: object) -> None:
        """Remove an entry whose stream ended, unless it opened another."""
        with self._lock:
            known = self._reports.get(instance)
            if known is not None and known.stream is stream:
                self._remove(instance)

    def sweep(self) -> None:
        """Remove the entries whose last report is stale."""
        horizon = time.monotonic() - STALE_SECONDS
        with self._lock:
            for instance, report in tuple(self._reports.items()):
                if report.received_at < horizon:
                    self._remove(instance)

    def find(self, identifier: str) -> Workload | None:
        """Return the other entries' workload at an endpoint.

        Returns None if too few of them are reporting.
        """
        totals = self.find_all()
        if totals is None:
            return None
        return totals.get(hash_text(identifier), NO_WORKLOAD)

    def find_all(self) -> Mapping[int, Workload] | None:
        """Return the other entries' workloads by the endpoints' digests.

        Endpoints without work may be missing. Returns None if too few entries
        are reporting.
        """
        others = self._count_entries() - 1
        if others < 1 or len(self._reports) < MIN_REPORTING_SHARE * others:
            return None
        return self._totals

    def _remove(self, instance: str) -> None:
        report = self._reports.pop(instance, None)
        if report is not None:
            self._update_totals(report.workloads)

    def _update_totals(self, digests: Mapping[int, Workload]) -> None:
        """Recompute the sums for some endpoints."""
        for digest in digests:
            total = NO_WORKLOAD
            for report in self._reports.values():
                total = total.add(report.workloads.get(digest, NO_WORKLOAD))
            self._totals[digest] = total
