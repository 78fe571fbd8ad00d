"""Speeds and limits of endpoints that are found out, by the load."""

import math
from collections import Counter
from statistics import mean

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucancourse.forwarding.endpoints import Endpoint
from toucancourse.forwarding.peerstates import (
    NO_SLOWNESS,
    LocalState,
    Slowness,
)
from toucancourse.forwarding.slowness import (
    HALF_LIFE_SECONDS,
    MAX_RATIO,
    NO_SUM,
    SLOW_RATIO,
    ConcurrencyLimit,
    EndpointSlowness,
    PeerSlowness,
    compute_ratio,
)

from .endpointload import (
    USUAL_SECONDS,
    Clock,
    LoadedEntry,
    make_endpoint,
)
from .forwarding import RelayHarness

SLOW_FACTOR = 2.7


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the paused time."""
    return Clock(monkeypatch)


def report(
    peers: PeerSlowness, instance: str, slowness: Slowness, digest: int = 7
) -> None:
    """Let an entry report an endpoint's slowness on its only stream."""
    peers.update(instance, instance, LocalState({}, {}, {digest: slowness}))


def find_ratio(peers: PeerSlowness, clock: Clock, digest: int = 7) -> float:
    """Return an endpoint's slowness by peers only."""
    return compute_ratio(NO_SUM, peers.totals.get(digest, NO_SUM), clock.now)


class TestThirdOfEndpointsIsSlow:
    """Endpoints of which a third takes 2.7 times as long."""

    def test_slow_ones_get_less_and_are_still_probed(
        self, clock: Clock
    ) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(6)]
        slow = {'i-0', 'i-1'}

        def respond(name: str, running: int, now: float) -> float:
            return USUAL_SECONDS * (SLOW_FACTOR if name in slow else 1)

        entry = LoadedEntry(clock, endpoints, respond)
        entry.run(3, 60)
        sent = entry.run(12, 60)
        slow_share = sum(sent[name] for name in slow) / sum(sent.values())
        assert slow_share < 0.12
        for name in slow:
            assert sent[name] >= 1
        fast = [sent[f'i-{row}'] for row in range(2, 6)]
        assert max(fast) <= 2 * min(fast)


class TestEndpointSlowsDownLongBeforeItIsFull:
    """An endpoint that slows down beyond 20 of its 64 slots."""

    def test_its_limit_is_found(self, clock: Clock) -> None:
        names = [f'i-{row}' for row in range(4)]
        endpoints = [make_endpoint(name) for name in names]

        def respond(name: str, running: int, now: float) -> float:
            knee = 20 if name == 'i-0' else 64
            return 0.5 * max(1.0, (running / knee) ** 2)

        entry = LoadedEntry(clock, endpoints, respond)
        for _ in range(6):
            entry.run(3, 80)
            entry.run(2, 280)
        assert endpoints[0].limit.value < 40
        assert min(each.limit.value for each in endpoints[1:]) > 48

    def test_small_queue_of_a_service_without_models(
        self, clock: Clock
    ) -> None:
        """Six slots, of which one endpoint takes two well."""
        endpoints = [make_endpoint(f'i-{row}', slots=6) for row in range(3)]

        def respond(name: str, running: int, now: float) -> float:
            knee = 2 if name == 'i-0' else 6
            return USUAL_SECONDS * max(1.0, running / knee) ** 2

        entry = LoadedEntry(clock, endpoints, respond)
        for _ in range(8):
            entry.run(2, 12)
            entry.run(2, 110)
        sent = entry.run(4, 90)
        assert sent['i-0'] < 0.8 * min(sent['i-1'], sent['i-2'])


class TestHalfOfEndpointsHaveACliff:
    """Half of the endpoints take four times as long beyond 20 of 64 slots."""

    def test_limits_make_responses_faster(
        self, clock: Clock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def measure() -> float:
            endpoints = [make_endpoint(f'i-{row}') for row in range(4)]

            def respond(name: str, running: int, now: float) -> float:
                knee = 20 if name in {'i-0', 'i-1'} else 64
                return 0.5 if running <= knee else 2.0

            entry = LoadedEntry(clock, endpoints, respond)
            for _ in range(6):
                entry.run(3, 40)
                entry.run(2, 280)
            return mean(seen for seen, _ in entry.times)

        with_limits = measure()
        monkeypatch.setattr(ConcurrencyLimit, 'observe', lambda *_: None)
        assert with_limits < 0.97 * measure()


class TestSpeedChangesWithinABurst:
    """A speed that changes in the middle of a burst, and changes back."""

    def test_change_is_followed_within_seconds(self, clock: Clock) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]
        start = clock.now

        def respond(name: str, running: int, now: float) -> float:
            is_slow = name == 'i-0' and 5 <= now - start < 15
            return USUAL_SECONDS * (5 if is_slow else 1)

        entry = LoadedEntry(clock, endpoints, respond)
        before = entry.run(5, 60)
        entry.run(2, 60)
        during = entry.run(8, 60)
        entry.run(8, 60)
        after = entry.run(5, 60)
        assert before['i-0'] >= 0.5 * before['i-1']
        assert during['i-0'] < 0.4 * during['i-1']
        assert after['i-0'] >= 0.5 * after['i-1']


class TestNewEndpoint:
    """A new endpoint among known ones."""

    def test_it_neither_starves_nor_is_flooded(self, clock: Clock) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]
        entry = LoadedEntry(clock, endpoints, lambda *_: USUAL_SECONDS)
        entry.run(5, 60)
        endpoints.append(make_endpoint('new'))
        sent = entry.run(3, 60)
        fair = sum(sent.values()) / len(endpoints)
        assert 0.4 * fair < sent['new'] < 2 * fair

    def test_slow_one_is_no_longer_flooded_after_few_responses(
        self, clock: Clock
    ) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]

        def respond(name: str, running: int, now: float) -> float:
            return USUAL_SECONDS * (6 if name == 'new' else 1)

        entry = LoadedEntry(clock, endpoints, respond)
        entry.run(5, 60)
        endpoints.append(make_endpoint('new'))
        sent = entry.run(3, 60)
        assert 1 <= sent['new'] < 0.1 * sum(sent.values())


class TestIncarnationEnds:
    """An incarnation that ends; its successor is as fast as others."""

    def test_what_was_learnt_is_forgotten(self, clock: Clock) -> None:
        harness = RelayHarness(replicas=1)
        replica = harness.replicas[0]

        def find_endpoint() -> Endpoint:
            (endpoint,) = harness.endpoints.list_service(replica.service)
            return endpoint

        first = find_endpoint()
        for _ in range(20):
            first.slowness.observe(6)
        harness.endpoints.apply(replica.identifier, replica.record())
        assert find_endpoint() is first
        assert compute_ratio(first.slowness.total, NO_SUM, clock.now) > 3
        harness.endpoints.apply(replica.identifier, replica.record(born=77))
        second = find_endpoint()
        assert compute_ratio(second.slowness.total, NO_SUM, clock.now) == 1
        assert second.limit.value == second.record.slots
        reported = harness.endpoints.snapshot_slowness()
        assert reported == {second.digest: NO_SLOWNESS}
        harness.close()


class TestSlots:
    """An endpoint whose record tells another number of slots."""

    def test_limit_follows_the_record(self) -> None:
        endpoint = make_endpoint('i-1', slots=4)
        endpoint.update(endpoint.record._replace(slots=16))
        assert endpoint.limit.find_crowding(15) == 1
        endpoint.update(endpoint.record._replace(slots=8))
        assert endpoint.limit.find_crowding(15) == 2


class TestPeers:
    """Entries that see few requests each, and tell each other."""

    def test_reports_count_by_their_samples(self, clock: Clock) -> None:
        few, many = PeerSlowness(), PeerSlowness()
        report(few, 'b', Slowness(4.0, 2))
        report(many, 'b', Slowness(4.0, 40))
        assert 1 < find_ratio(few, clock) < 1.6
        assert 3 < find_ratio(many, clock) < 4

    def test_newer_report_replaces_older(self, clock: Clock) -> None:
        peers = PeerSlowness()
        report(peers, 'b', Slowness(4.0, 40))
        report(peers, 'b', Slowness(1.0, 40))
        assert find_ratio(peers, clock) == pytest.approx(1)

    def test_withdrawn_report_leaves_nothing(self, clock: Clock) -> None:
        peers = PeerSlowness()
        report(peers, 'b', Slowness(4.0, 40))
        clock.now += 1
        report(peers, 'b', Slowness(1.0, 0))
        assert peers.totals == {}

    def test_restarted_stream_counts_once(self, clock: Clock) -> None:
        peers = PeerSlowness()
        state = LocalState({}, {}, {7: Slowness(4.0, 10)})
        peers.update('b', 'old', state)
        once = find_ratio(peers, clock)
        peers.update('b', 'new', state)
        peers.drop('b', 'old')
        assert find_ratio(peers, clock) == pytest.approx(once)
        peers.drop('b', 'new')
        assert find_ratio(peers, clock) == 1

    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abc'),
                st.floats(0.01, 100),
                st.integers(0, 200),
                st.floats(0, 5),
            ),
            max_size=30,
        )
    )
    def test_any_reports_give_a_bounded_ratio(
        self, reports: list[tuple[str, float, int, float]]
    ) -> None:
        with pytest.MonkeyPatch.context() as monkeypatch:
            clock = Clock(monkeypatch)
            peers = PeerSlowness()
            for instance, ratio, samples, pause in reports:
                clock.now += pause
                report(peers, instance, Slowness(ratio, samples))
                found = find_ratio(peers, clock)
                assert 1 / MAX_RATIO <= found <= MAX_RATIO
            for instance in 'abc':
                peers.drop(instance, instance)
            assert peers.totals == {}


class TestManyEntries:
    """Four entries with few requests each; a third of endpoints is slow."""

    def test_reports_spare_requests_to_slow_endpoints(
        self, clock: Clock
    ) -> None:
        def respond(name: str, running: int, now: float) -> float:
            return USUAL_SECONDS * (SLOW_FACTOR if name in 'i-0 i-1' else 1)

        def send(*, is_reporting: bool) -> int:
            entries = [
                LoadedEntry(
                    clock,
                    [make_endpoint(f'i-{row}') for row in range(6)],
                    respond,
                )
                for _ in range(4)
            ]
            sent: Counter[str] = Counter()
            for _ in range(40):
                for row, entry in enumerate(entries):
                    sent += entry.run(0.25, 12)
                    if not is_reporting:
                        continue
                    slowness = {
                        each.digest: each.slowness.snapshot()
                        for each in entry.endpoints
                    }
                    for other in entries[:row] + entries[row + 1 :]:
                        other.slowness.update(
                            f'e-{row}', row, LocalState({}, {}, slowness)
                        )
            return sent['i-0'] + sent['i-1']

        assert send(is_reporting=True) < 0.7 * send(is_reporting=False)


class TestPeersStopReporting:
    """Peers that stop reporting, and an entry that is cut off."""

    def test_old_reports_fade(self, clock: Clock) -> None:
        peers = PeerSlowness()
        report(peers, 'b', Slowness(4.0, 10))
        before = math.log(find_ratio(peers, clock))
        clock.now += 5 * HALF_LIFE_SECONDS
        assert math.log(find_ratio(peers, clock)) < 0.1 * before

    def test_entry_goes_on_with_its_own(self, clock: Clock) -> None:
        peers = PeerSlowness()
        report(peers, 'b', Slowness(1.0, 20))
        peers.drop('b', 'b')
        own = EndpointSlowness()
        for _ in range(20):
            own.observe(4)
        ratio = compute_ratio(own.total, peers.totals.get(7, NO_SUM), clock.now)
        assert ratio > 2.5


class TestLogLines:
    """An endpoint whose speed is near the bound, and one that is slow."""

    def test_change_is_noticed_once(self) -> None:
        slowness = EndpointSlowness()
        seen = [
            slowness.notice_change(ratio)
            for ratio in (1.9, SLOW_RATIO, 1.9, 2.1, 1.5, 1.3, 1.9, 2.5)
        ]
        assert seen == [None, True, None, None, None, False, None, True]

    def test_report_changes_with_samples_only(self, clock: Clock) -> None:
        slowness = EndpointSlowness()
        assert slowness.snapshot() == Slowness(1.0, 0)
        slowness.observe(2)
        first = slowness.snapshot()
        clock.now += 1
        assert slowness.snapshot() == first == Slowness(2.0, 1)

    def test_reports_of_a_burst_are_rare(self, clock: Clock) -> None:
        """A hundred responses a second at one endpoint."""
        slowness = EndpointSlowness()
        reported = set()
        for _ in range(300):
            slowness.observe(2)
            reported.add(slowness.snapshot())
            clock.now += 0.01
        assert len(reported) == 3
        assert slowness.snapshot().samples > 100
