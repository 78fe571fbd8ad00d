"""Endpoint selection under typical loads and faults of a fleet."""

import time
from collections import Counter

import pytest

from toucancourse.forwarding import endpoints
from toucancourse.forwarding.endpoints import Endpoint, Reservation
from toucancourse.forwarding.loads import PeerLoads
from toucancourse.forwarding.models import (
    MIN_CONFIDENCE,
    MIN_LATE_CONFIDENCE,
    LargerModelNeeds,
    find_required_confidence,
)
from toucancourse.forwarding.objects import (
    Call,
    EndpointRecord,
    Load,
    Route,
    RouteKind,
)
from toucancourse.forwarding.patience import find_head_patience
from toucancourse.forwarding.peers import EntryRegistry
from toucancourse.forwarding.prefill import PrefillEstimator
from toucancourse.forwarding.selection import (
    EndpointSelector,
    SelectionCriteria,
)
from toucancourse.platform.messages import PlatformCodec
from toucancourse.routing.endpoints import Outliers

from .forwarding import make_request

ENTRIES = 4
COLD_RATE = 3.2


def make_endpoint(name: str, zone: str = 'zone-a') -> Endpoint:
    """Return a warm endpoint."""
    return Endpoint(
        EndpointRecord(
            name, 'desk', '127.0.0.1', 9, zone, 'v1', 128, False, 0, 1
        )
    )


def make_call(shared: str = '', tokens: int = 3000, body: bytes = b'') -> Call:
    """Return a call whose prompt shares two thirds with other calls."""
    part = tokens // 3
    prompt = f'a{shared}:{part},b{shared}:{part},own:{part}'
    return PlatformCodec().decode_call(
        make_request(
            '/draft/x',
            body=body,
            X_Token_Usage=f'{tokens},40',
            X_Prompt_Prefix=prompt if shared else '',
        )
    )


def make_selector(zone: str = 'zone-a') -> EndpointSelector:
    """Return the selector of the only entry."""
    return EndpointSelector(
        zone,
        Outliers(),
        PrefillEstimator(),
        lambda *_: COLD_RATE,
        PeerLoads(lambda: 1),
    )


def make_route(objective: float) -> Route:
    """Return a route of resumable streams."""
    return Route(
        name='r',
        host='h',
        prefix='/',
        kind=RouteKind.stream,
        shares=(),
        timeout=10,
        objective=objective,
        event_pause=0,
        priority=0,
        max_executions=3,
        anonymous=False,
        resumable=True,
        models=(),
    )


CRITERIA = SelectionCriteria('desk', '', 'm', ())


def replay(
    selector: EndpointSelector, endpoints: list[Endpoint], calls: list[Call]
) -> Counter[str]:
    """Return the requests per endpoint, none of which finishes."""
    sent: Counter[str] = Counter()
    for call in calls:
        scored = selector.choose(call, endpoints, CRITERIA)
        if scored is None:
            sent['refused'] += 1
            continue
        scored.endpoint.backlog.add_request(0, scored.prefill_seconds)
        sent[scored.endpoint.record.identifier] += 1
    return sent


class TestSteadyLoad:
    """Uniform requests to healthy endpoints."""

    def test_requests_without_prompts_spread(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
        sent = replay(make_selector(), endpoints, [make_call()] * 100)
        assert max(sent.values()) <= 2 * min(sent.values())

    def test_all_entries_choose_the_same_affinity_endpoint(self) -> None:
        chosen = set()
        for _ in range(ENTRIES):
            endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
            scored = make_selector().choose(
                make_call('s', 9000), endpoints, CRITERIA
            )
            assert scored is not None
            chosen.add(scored.endpoint.record.identifier)
        assert len(chosen) == 1

    def test_cached_parts_are_not_counted(self) -> None:
        endpoint = make_endpoint('i-1')
        call = make_call('s', 9000)
        assert endpoint.count_uncached_tokens(call, 'm') == 9000
        endpoint.record_cached_parts(call, 'm')
        assert endpoint.count_uncached_tokens(call, 'm') == 0
        assert endpoint.count_uncached_tokens(call, 'other') == 9000


class TestHotKey:
    """One shared prompt gets most of the traffic."""

    def test_hot_prompt_overflows_its_affinity_endpoint(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
        calls = [make_call('hot', 9000)] * 100
        sent = replay(make_selector(), endpoints, calls)
        assert len(sent) == 5
        assert max(sent.values()) < 50


class TestZones:
    """Endpoints in the entry's zone and in others, idle or busy."""

    def test_large_requests_stay_in_a_zone_with_capacity(self) -> None:
        endpoints = [
            make_endpoint('near'),
            make_endpoint('far-1', 'zone-b'),
            make_endpoint('far-2', 'zone-c'),
        ]
        calls = [make_call(tokens=600, body=bytes(18_000))] * 2
        assert replay(make_selector(), endpoints, calls)['near'] == 2

    def test_busy_zone_sends_to_another_zone(self) -> None:
        near, far = make_endpoint('near'), make_endpoint('far', 'zone-b')
        near.backlog.record_load(Load(60, 10, 128))
        sent = replay(
            make_selector(), [near, far], [make_call(body=bytes(18_000))]
        )
        assert sent['far'] == 1


class TestColdReturn:
    """Endpoints return cold and would fail under full load."""

    def test_sum_over_all_entries_stays_under_the_limit(self) -> None:
        total = 0
        for _ in range(8):
            cold = make_endpoint('i-1')
            cold.record_cold_period(3)
            sent = replay(make_selector(), [cold], [make_call()] * 50)
            total += sent['i-1']
        assert total <= 8 * COLD_RATE

    def test_concurrent_selections_stay_under_the_limit(self) -> None:
        # No request is sent before the last selection.
        cold = make_endpoint('i-1')
        cold.record_cold_period(3)
        selector = make_selector()
        chosen = [
            selector.choose(make_call(), [cold], CRITERIA) for _ in range(20)
        ]
        assert sum(scored is not None for scored in chosen) <= COLD_RATE

    def test_requests_whose_sending_is_delayed_stay_under_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An entry without processor time chooses, and sends half a second
        # later; no window of a second may have more than the limit.
        now = [100.0]

        class Clock:
            monotonic = staticmethod(lambda: now[0])

        monkeypatch.setattr(endpoints, 'time', Clock)
        cold = make_endpoint('i-1')
        cold.record_cold_period(30)
        delay = 0.5
        waiting: list[tuple[float, Reservation]] = []
        sent: list[float] = []
        for step in range(400):
            now[0] = 100 + step / 50
            reservation = cold.reserve(COLD_RATE)
            if reservation is not None:
                # The first ones are late, the others are sent at once.
                lateness = delay if now[0] < 101 else 0
                waiting.append((now[0] + lateness, reservation))
            for due, other in tuple(waiting):
                if due <= now[0]:
                    other.record_sent()
                    waiting.remove((due, other))
                    sent.append(now[0])
        for start in sent:
            window = [at for at in sent if start <= at < start + 1]
            assert len(window) <= COLD_RATE
        assert len(sent) >= 6 * COLD_RATE

    @pytest.mark.parametrize('count', [1, 4, 8, 30, 300])
    def test_shares_of_any_number_of_entries_stay_under_the_limit(
        self, count: int
    ) -> None:
        registries = [
            EntryRegistry(f'e-{row}', f'h:{row}') for row in range(count)
        ]
        for registry in registries:
            for row in range(count):
                registry.apply(f'entry/e-{row}', b'h:%d' % row)
        for key in ('i-1', 'i-2', 'i-3'):
            shares = [
                int(registry.compute_share(25.6, key))
                for registry in registries
            ]
            assert 0.5 * 25.6 <= sum(shares) <= 25.6

    def test_unreachable_endpoint_is_cold_until_its_next_record(self) -> None:
        endpoint = make_endpoint('i-1')
        endpoint.record_unreachable()
        assert not endpoint.is_usable()
        assert endpoint.is_cold()
        endpoint.update(endpoint.record)
        assert not endpoint.is_cold()


class TestFailingEndpoints:
    """One endpoint is slow or fails although it reports good health."""

    def test_slow_endpoint_gets_fewer_requests(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]
        for _ in range(20):
            endpoints[0].slowness.observe(6)
        sent = replay(make_selector(), endpoints, [make_call()] * 100)
        assert sent['i-0'] < sent['i-1'] / 2

    def test_failing_endpoint_is_the_last_choice(self) -> None:
        selector = make_selector()
        endpoints = [make_endpoint('i-0'), make_endpoint('i-1')]
        for _ in range(6):
            selector._outliers.record_attempt('i-0', failed=True)
        sent = replay(selector, endpoints, [make_call()] * 20)
        assert sent['i-0'] <= 3
        assert replay(selector, endpoints[:1], [make_call()])['i-0'] == 1


class TestBusyEverywhere:
    """All endpoints have long queues, and none fails."""

    def test_queued_request_is_not_retried(self) -> None:
        route = make_route(objective=2.0)
        assert find_head_patience(route, 0.3, 1.5).silent >= 3 * 1.5

    def test_unresponsive_idle_endpoint_times_out(self) -> None:
        route = make_route(objective=2.0)
        patience = find_head_patience(route, 0.1, 0.1)
        assert patience.find_end(0, heard_at=-1) <= route.objective / 2


class TestLoadChange:
    """Prompts become longer and the largest model slower."""

    @pytest.mark.parametrize(
        ('larger', 'left', 'wanted'),
        [
            (0.2, 1.5, MIN_CONFIDENCE),
            (1.5, 1.5, MIN_LATE_CONFIDENCE),
            (3.0, 1.5, MIN_LATE_CONFIDENCE),
            (0.5, -0.1, MIN_LATE_CONFIDENCE),
        ],
    )
    def test_wanted_confidence(
        self, larger: float, left: float, wanted: float
    ) -> None:
        needs = LargerModelNeeds(larger, 0.0, left, 60.0)
        assert find_required_confidence(needs) == pytest.approx(wanted)

    def test_it_falls_steadily(self) -> None:
        steps = [
            find_required_confidence(LargerModelNeeds(row / 10, 0.0, 1.0, 60.0))
            for row in range(12)
        ]
        assert steps == sorted(steps, reverse=True)

    def test_prefill_time_is_learnt_by_model(self) -> None:
        estimator = PrefillEstimator()
        for _ in range(50):
            estimator.observe('large', 9000, 0.45)
            estimator.observe('small', 9000, 0.1)
        ratio = estimator.predict('large', 1000) / estimator.predict(
            'small', 1000
        )
        assert 6 < ratio < 10


class TestQueuedRequests:
    """Long prompts are queued at endpoints that send no new load reports."""

    def test_load_report_still_counts_after_a_second(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        loaded, other = make_endpoint('loaded'), make_endpoint('other')
        selector = make_selector()
        selector._prefill.observe('m', 4000, 0.6)
        loaded.backlog.record_load(Load(10, 30, 128))
        other.backlog.add_request(0, 0.5)
        now = time.monotonic()
        monkeypatch.setattr(time, 'monotonic', lambda: now + 1)
        scored = selector.choose(make_call(), [loaded, other], CRITERIA)
        assert scored is not None
        assert scored.endpoint is other

    def test_urgent_request_overtakes_less_urgent_ones(self) -> None:
        long_work, urgent_work = make_endpoint('long'), make_endpoint('urgent')
        long_work.backlog.add_request(4, 2.0)
        urgent_work.backlog.add_request(0, 0.8)
        scored = make_selector().choose(
            make_call(), [long_work, urgent_work], CRITERIA
        )
        assert scored is not None
        assert scored.endpoint is long_work

    def test_less_urgent_request_waits_for_urgent_ones(self) -> None:
        long_work, urgent_work = make_endpoint('long'), make_endpoint('urgent')
        long_work.backlog.add_request(4, 2.0)
        urgent_work.backlog.add_request(0, 0.8)
        scored = make_selector().choose(
            make_call(), [long_work, urgent_work], CRITERIA._replace(rank=4)
        )
        assert scored is not None
        assert scored.endpoint is urgent_work

    def test_finished_requests_leave_an_empty_backlog(self) -> None:
        endpoint = make_endpoint('i-1')
        requests = [
            endpoint.backlog.add_request(rank, 0.3) for rank in range(5)
        ]
        for request in requests[:3]:
            request.finish_prefill()
            request.finish_prefill()
        for request in requests:
            request.finish()
        assert endpoint.backlog.measure_queue(9, 0.1, None) == (0, 0)
        assert endpoint.backlog.running == 0

    def test_own_requests_are_not_counted_as_peer_requests(self) -> None:
        endpoint = make_endpoint('i-1')
        for _ in range(3):
            endpoint.backlog.add_request(0, 0.1)
        endpoint.backlog.add_request(0, 0.1).finish_prefill()
        endpoint.backlog.record_load(Load(1, 3, 128))
        assert endpoint.backlog.estimate_peer_requests() == 0
