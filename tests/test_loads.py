"""Workload reports between entries."""

import time
from collections.abc import Callable

import pytest

from standins.calls import find_port
from toucancourse.forwarding.digests import hash_text
from toucancourse.forwarding.loads import (
    NO_WORKLOAD,
    STALE_SECONDS,
    PeerLoads,
    Workload,
)
from toucancourse.forwarding.peerstates import Slowness, StateListener
from toucancourse.forwarding.prefill import PrefillEstimator
from toucancourse.forwarding.reporting import (
    EMPTY_REPORT_SECONDS,
    MAX_PEERS,
    REPORT_INTERVAL_SECONDS,
    LoadReporters,
    LoadServicer,
    LocalState,
    StateSource,
)
from toucancourse.forwarding.selection import (
    EndpointSelector,
    SelectionCriteria,
)
from toucancourse.forwarding.topicreads import TopicServicer
from toucancourse.routing.endpoints import Outliers

from .test_selection import make_call, make_endpoint

ENTRIES = 4
BUSY = Workload(5, (0.0, 0.4, 1.2))
HERE = hash_text('i-1')
#: Timeout of a wait for a condition; no latency is guaranteed here.
TIMEOUT_SECONDS = 15.0


def make_loads() -> PeerLoads:
    """Return the peer loads of one of four entries."""
    return PeerLoads(lambda: ENTRIES)


class TestPeerLoads:
    """Sums of the workloads that other entries report."""

    def test_workloads_of_all_entries_are_added(self) -> None:
        loads = make_loads()
        for name in ('b', 'c', 'd'):
            loads.update(name, name, {HERE: BUSY})
        workload = loads.find('i-1')
        assert workload is not None
        assert workload.running == 15
        assert workload.prefill_seconds == pytest.approx((0.0, 1.2, 3.6))
        assert loads.find('i-2') == NO_WORKLOAD

    def test_newer_report_replaces_older(self) -> None:
        loads = make_loads()
        for name in ('b', 'c'):
            loads.update(name, name, {HERE: BUSY})
        loads.update('b', 'b', {HERE: NO_WORKLOAD})
        workload = loads.find('i-1')
        assert workload is not None
        assert workload.running == BUSY.running

    def test_too_few_reports_give_no_sum(self) -> None:
        loads = make_loads()
        loads.update('b', 'b', {HERE: BUSY})
        assert loads.find('i-1') is None

    def test_single_entry_has_no_peers(self) -> None:
        assert PeerLoads(lambda: 1).find('i-1') is None

    def test_stale_reports_are_removed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        loads = make_loads()
        for name in ('b', 'c'):
            loads.update(name, name, {HERE: BUSY})
        now = time.monotonic()
        monkeypatch.setattr(
            time, 'monotonic', lambda: now + STALE_SECONDS + 0.1
        )
        loads.update('d', 'd', {HERE: BUSY})
        loads.sweep()
        assert loads.find('i-1') is None

    def test_end_of_an_older_stream_keeps_the_newer_report(self) -> None:
        loads = make_loads()
        for name in ('b', 'c'):
            loads.update(name, 'old', {HERE: BUSY})
        loads.update('b', 'new', {HERE: BUSY})
        loads.drop('b', 'old')
        workload = loads.find('i-1')
        assert workload is not None
        assert workload.running == 2 * BUSY.running
        loads.drop('b', 'new')
        assert loads.find('i-1') is None


class TestPeerWorkloads:
    """Several entries get a burst of long prompts at the same time."""

    def test_endpoint_loaded_by_other_entries_is_avoided(self) -> None:
        endpoints = [make_endpoint('i-1'), make_endpoint('i-2')]
        loads = make_loads()
        for name in ('b', 'c'):
            loads.update(name, name, {HERE: BUSY})
        selector = EndpointSelector(
            'zone-a', Outliers(), PrefillEstimator(), lambda *_: 0, loads
        )
        for _ in range(10):
            scored = selector.choose(
                make_call(),
                endpoints,
                SelectionCriteria('desk', '', 'm', (), 2),
            )
            assert scored is not None
            assert scored.endpoint is endpoints[1]

    def test_sums_follow_each_report_and_end_empty(self) -> None:
        """Requests of three entries begin and end in any order."""
        loads = make_loads()
        steps = (
            Workload(2, (0.5, 0.25)),
            Workload(1, (0.1,)),
            Workload(4, (0.0, 0.3, 0.7)),
            NO_WORKLOAD,
        )
        for step in range(len(steps) + 2):
            expected = NO_WORKLOAD
            for row, name in enumerate(('b', 'c', 'd')):
                workload = steps[min(len(steps) - 1, max(0, step - row))]
                loads.update(name, name, {HERE: workload})
                expected = expected.add(workload)
            found = loads.find('i-1')
            assert found is not None
            assert found.running == expected.running
            rest = (0.0,) * (3 - len(found.prefill_seconds))
            due = expected.prefill_seconds
            assert (*found.prefill_seconds, *rest) == pytest.approx(
                (*due, *(0.0,) * (3 - len(due)))
            )
        assert loads.find('i-1') == NO_WORKLOAD

    def test_entries_that_report_balance_the_load(self) -> None:
        """Four entries send long requests to ten endpoints, and none ends."""
        names = [f'i-{row}' for row in range(10)]
        all_loads = [make_loads() for _ in range(ENTRIES)]
        fleets = [[make_endpoint(name) for name in names] for _ in all_loads]
        selectors = [
            EndpointSelector(
                'zone-a', Outliers(), PrefillEstimator(), lambda *_: 0, loads
            )
            for loads in all_loads
        ]
        for _ in range(30):
            for number, selector in enumerate(selectors):
                scored = selector.choose(
                    make_call(),
                    fleets[number],
                    SelectionCriteria('desk', '', 'm', (), 4),
                )
                assert scored is not None
                scored.endpoint.backlog.add_request(4, 0.4)
                workloads = {
                    hash_text(row.record.identifier): row.backlog.snapshot()
                    for row in fleets[number]
                }
                for loads in all_loads[:number] + all_loads[number + 1 :]:
                    loads.update(f'e-{number}', number, workloads)
        totals = [
            sum(fleet[row].backlog.running for fleet in fleets)
            for row in range(10)
        ]
        assert max(totals) - min(totals) <= 1


class RecordedStates(StateListener):
    """Newest slowness and account use that other entries reported."""

    def __init__(self) -> None:
        """Create it without reports."""
        self.running: dict[int, int] = {}
        self.slowness: dict[int, Slowness] = {}
        self.accounts: dict[int, float] = {}
        self.dropped = 0

    def update(self, instance: str, stream: object, state: LocalState) -> None:
        """Record what a report has."""
        self.running.update(
            (digest, workload.running)
            for digest, workload in state.workloads.items()
        )
        self.slowness.update(state.slowness)
        self.accounts.update(state.accounts)

    def drop(self, instance: str, stream: object) -> None:
        """Count streams that ended."""
        self.dropped += 1


class Peer:
    """One entry that sends and receives reports."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.address = f'127.0.0.1:{find_port()}'
        self.loads = PeerLoads(lambda: 2)
        self.workloads: dict[int, Workload] = {}
        self.sessions: dict[int, float] = {}
        self.slowness: dict[int, Slowness] = {}
        self.accounts: dict[int, float] = {}
        self.pinned: dict[int, float] = {}
        self.heard = RecordedStates()
        self.reporters = LoadReporters(
            self.address,
            lambda: LocalState(
                dict(self.workloads),
                dict(self.sessions),
                dict(self.slowness),
                dict(self.accounts),
            ),
            LoadServicer(self.loads, self.pinned.__setitem__, (self.heard,)),
        )
        self.reporters.serve(self.address, TopicServicer({}))

    def close(self) -> None:
        """End the streams and the server."""
        self.reporters.close()


def make_state() -> LocalState:
    """Return a state without workloads and sessions."""
    return LocalState({}, {})


def make_reporters(collect: Callable[[], LocalState]) -> LoadReporters:
    """Return reporters without peers, which listen on a free port."""
    reporters = LoadReporters(
        'here', collect, LoadServicer(make_loads(), lambda *_: None)
    )
    reporters.serve(f'127.0.0.1:{find_port()}', TopicServicer({}))
    return reporters


def wait_until(condition: Callable[[], bool]) -> bool:
    """Return True once a condition is true, or False if it stays false."""
    end = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class TestReporting:
    """Workloads and sessions reach the other entries on streams."""

    def test_workload_is_reported_and_removed(self) -> None:
        here, there = Peer(), Peer()
        here.reporters.set_peers({there.address})
        here.workloads[HERE] = BUSY
        assert wait_until(lambda: there.loads.find('i-1') == BUSY)
        here.workloads.clear()
        assert wait_until(lambda: there.loads.find('i-1') == NO_WORKLOAD)
        here.close()
        assert wait_until(lambda: there.loads.find('i-1') is None)
        there.close()

    def test_sessions_are_reported(self) -> None:
        here, there = Peer(), Peer()
        here.reporters.set_peers({there.address})
        here.sessions[7] = time.clock_gettime(time.CLOCK_BOOTTIME) + 60
        assert wait_until(lambda: 7 in there.pinned)
        assert 30 < there.pinned[7] <= 60
        here.close()
        there.close()

    def test_slowness_and_account_use_are_reported_and_withdrawn(self) -> None:
        here, there = Peer(), Peer()
        here.slowness[HERE] = Slowness(2.5, 3)
        here.accounts[9] = 1.25
        here.reporters.set_peers({there.address})
        assert wait_until(
            lambda: there.heard.slowness.get(HERE) == Slowness(2.5, 3)
        )
        assert wait_until(lambda: there.heard.accounts.get(9) == 1.25)
        here.slowness.clear()
        here.accounts.clear()
        assert wait_until(lambda: there.heard.slowness[HERE].samples == 0)
        assert wait_until(lambda: there.heard.accounts[9] == 0)
        here.close()
        assert wait_until(lambda: there.heard.dropped == 1)
        there.close()

    def test_reporter_connects_to_a_peer_that_starts_later(self) -> None:
        here = Peer()
        port = find_port()
        here.reporters.set_peers({f'127.0.0.1:{port}'})
        here.workloads[HERE] = BUSY
        time.sleep(0.3)
        loads = PeerLoads(lambda: 2)
        late = LoadReporters(
            'late',
            lambda: LocalState({}, {}),
            LoadServicer(loads, lambda *_: None),
        )
        late.serve(f'127.0.0.1:{port}', TopicServicer({}))
        assert wait_until(lambda: loads.find('i-1') == BUSY)
        here.close()
        late.close()

    # Guards against an exception that ends the thread of all reports.
    def test_endless_prefill_is_reported(self) -> None:
        state = LocalState({HERE: Workload(1, (1e12,))}, {})
        source = StateSource(lambda: state, lambda: 2)
        source.collect()
        assert source.newest.changes[0].loads[0].reading_ms[0] >= 1e9

    def test_large_state_is_reported_in_parts(self) -> None:
        """A message over the other entry's limit would end the stream."""
        here, there = Peer(), Peer()
        names = [f'i-{row}' for row in range(1000)]
        here.workloads.update({hash_text(name): BUSY for name in names})
        here.sessions.update(
            {row: time.monotonic() + 60 for row in range(10_000)}
        )
        here.reporters.set_peers({there.address})
        assert wait_until(lambda: len(there.pinned) == len(here.sessions))
        assert wait_until(
            lambda: all(there.loads.find(name) == BUSY for name in names)
        )
        here.close()
        there.close()

    def test_state_is_collected_once_for_all_peers(self) -> None:
        """Small instances in a large fleet: collecting takes their time."""
        collected: list[float] = []
        state = LocalState({HERE: BUSY}, {})

        def collect() -> LocalState:
            collected.append(time.monotonic())
            return state

        source = StateSource(collect, lambda: 20)
        source.collect()
        first = source.newest
        assert source.wait_for_change(0, 0) is first
        assert source.wait_for_change(first.number, 0) is first
        source.collect()
        assert source.newest is first
        assert len(collected) == 2

    # Guards against empty reports that keep an old state alive.
    def test_reports_go_on_after_a_collection_that_failed(self) -> None:
        there = Peer()
        collected: list[float] = []

        def collect() -> LocalState:
            collected.append(time.monotonic())
            if len(collected) == 2:
                raise RuntimeError('dictionary changed size')
            return LocalState({HERE: Workload(len(collected), ())}, {})

        here = make_reporters(collect)
        here.set_peers({there.address})
        assert wait_until(lambda: there.heard.running.get(HERE, 0) > 2)
        here.close()
        there.close()

    def test_state_is_not_collected_for_nobody(self) -> None:
        collected: list[float] = []

        def collect() -> LocalState:
            collected.append(time.monotonic())
            return make_state()

        here, there = make_reporters(collect), Peer()
        time.sleep(3 * REPORT_INTERVAL_SECONDS)
        assert not collected
        here.set_peers({there.address})
        assert wait_until(lambda: bool(collected))
        here.close()
        there.close()

    def test_reports_are_rarer_in_large_fleets(self) -> None:
        interval = StateSource(make_state, lambda: 8).find_interval()
        assert interval == REPORT_INTERVAL_SECONDS
        assert StateSource(make_state, lambda: 3).find_interval() == interval
        longer = StateSource(make_state, lambda: 20).find_interval()
        assert longer == pytest.approx(2.5 * interval)
        assert longer < EMPTY_REPORT_SECONDS

    def test_stream_that_missed_states_gets_all_changes(self) -> None:
        """A peer whose link is slow while others keep up."""
        here, there = Peer(), Peer()
        here.reporters.set_peers({there.address})
        for row in range(20):
            here.workloads[row] = Workload(row + 1, ())
            time.sleep(0.01)
        assert wait_until(
            lambda: there.heard.running == {row: row + 1 for row in range(20)}
        )
        here.close()
        there.close()

    def test_large_fleets_do_not_report(self) -> None:
        here = Peer()
        here.reporters.set_peers(
            {f'127.0.0.1:{row + 1}' for row in range(MAX_PEERS)}
        )
        assert here.reporters.count() == MAX_PEERS
        here.reporters.set_peers(
            {f'127.0.0.1:{row + 1}' for row in range(MAX_PEERS + 1)}
        )
        assert here.reporters.count() == 0
        here.close()

    def test_port_in_use_is_an_error(self) -> None:
        here = Peer()
        other = LoadReporters(
            'other',
            lambda: LocalState({}, {}),
            LoadServicer(make_loads(), lambda *_: None),
        )
        with pytest.raises(RuntimeError, match='bind'):
            other.serve(here.address, TopicServicer({}))
        here.close()
