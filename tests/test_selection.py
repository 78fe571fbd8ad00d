"""Where work goes, under the loads that fleets meet."""

import time
from collections import Counter

import pytest

from toucancourse.forwarding.endpoints import Endpoint
from toucancourse.forwarding.loads import LoadBook
from toucancourse.forwarding.models import (
    MIN_CONFIDENCE,
    MIN_LATE_CONFIDENCE,
    find_required_confidence,
)
from toucancourse.forwarding.objects import (
    Call,
    EndpointRecord,
    Load,
    Route,
    RouteKind,
)
from toucancourse.forwarding.pace import ReadingPace
from toucancourse.forwarding.peers import EntryBook
from toucancourse.forwarding.relay import find_attempt_timeout
from toucancourse.forwarding.selection import Chooser, Wanted
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
    """Return a call whose prompt shares two thirds with others."""
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


def make_chooser(zone: str = 'zone-a') -> Chooser:
    """Return a chooser of one entry."""
    return Chooser(
        zone,
        Outliers(),
        ReadingPace(),
        lambda *_: COLD_RATE,
        LoadBook(lambda: 1),
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
        priority=0,
        max_executions=3,
        anonymous=False,
        resumable=True,
        models=(),
    )


WANTED = Wanted('desk', '', 'm', ())


def replay(
    chooser: Chooser, endpoints: list[Endpoint], calls: list[Call]
) -> Counter[str]:
    """Return the requests that each endpoint got, none of which ends."""
    sent: Counter[str] = Counter()
    for call in calls:
        scored = chooser.choose(call, endpoints, WANTED)
        if scored is None:
            sent['refused'] += 1
            continue
        scored.endpoint.backlog.enter(0, scored.reading)
        sent[scored.endpoint.record.identifier] += 1
    return sent


class TestSteadyLoad:
    """Pattern: many alike requests, all endpoints well."""

    def test_requests_without_prompts_spread(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
        sent = replay(make_chooser(), endpoints, [make_call()] * 100)
        assert max(sent.values()) <= 2 * min(sent.values())

    def test_shared_prompts_meet_at_one_place_from_all_entries(self) -> None:
        homes = set()
        for _ in range(ENTRIES):
            endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
            scored = make_chooser().choose(
                make_call('s', 9000), endpoints, WANTED
            )
            assert scored is not None
            homes.add(scored.endpoint.record.identifier)
        assert len(homes) == 1

    def test_parts_that_were_read_are_not_read_again(self) -> None:
        endpoint = make_endpoint('i-1')
        call = make_call('s', 9000)
        assert endpoint.count_fresh_tokens(call, 'm') == 9000
        endpoint.note_parts(call, 'm')
        assert endpoint.count_fresh_tokens(call, 'm') == 0
        assert endpoint.count_fresh_tokens(call, 'other') == 9000


class TestHotKey:
    """Pattern: one shared prompt gets most of the traffic."""

    def test_hot_prompt_spills_over_its_home(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(5)]
        calls = [make_call('hot', 9000)] * 100
        sent = replay(make_chooser(), endpoints, calls)
        assert len(sent) == 5
        assert max(sent.values()) < 50


class TestZones:
    """Pattern: endpoints near and far, idle or not."""

    def test_bytes_stay_in_the_zone_while_it_has_room(self) -> None:
        endpoints = [
            make_endpoint('near'),
            make_endpoint('far-1', 'zone-b'),
            make_endpoint('far-2', 'zone-c'),
        ]
        calls = [make_call(tokens=600, body=bytes(18_000))] * 2
        assert replay(make_chooser(), endpoints, calls)['near'] == 2

    def test_busy_zone_hands_over(self) -> None:
        near, far = make_endpoint('near'), make_endpoint('far', 'zone-b')
        near.backlog.note_load(Load(60, 10, 128))
        sent = replay(
            make_chooser(), [near, far], [make_call(body=bytes(18_000))]
        )
        assert sent['far'] == 1


class TestColdReturn:
    """Pattern: endpoints come back cold and fall over under full load."""

    def test_all_entries_together_stay_under_the_limit(self) -> None:
        total = 0
        for _ in range(8):
            cold = make_endpoint('i-1')
            cold.note_cold(3)
            sent = replay(make_chooser(), [cold], [make_call()] * 50)
            total += sent['i-1']
        assert total <= 8 * COLD_RATE

    def test_calls_that_choose_at_the_same_moment_stay_under_it(self) -> None:
        # None of them is sent before the last one has chosen.
        cold = make_endpoint('i-1')
        cold.note_cold(3)
        chooser = make_chooser()
        chosen = [
            chooser.choose(make_call(), [cold], WANTED) for _ in range(20)
        ]
        assert sum(row is not None for row in chosen) <= COLD_RATE

    @pytest.mark.parametrize('count', [1, 4, 8, 30, 300])
    def test_shares_of_any_number_of_entries_stay_under_it(
        self, count: int
    ) -> None:
        books = [EntryBook(f'e-{row}', f'h:{row}') for row in range(count)]
        for book in books:
            for row in range(count):
                book.apply(f'entry/e-{row}', b'h:%d' % row)
        for key in ('i-1', 'i-2', 'i-3'):
            shares = [int(book.divide(25.6, key)) for book in books]
            assert 0.5 * 25.6 <= sum(shares) <= 25.6

    def test_unreachable_endpoint_is_cold_until_it_tells(self) -> None:
        endpoint = make_endpoint('i-1')
        endpoint.note_unreachable()
        assert not endpoint.is_usable()
        assert endpoint.is_cold()
        endpoint.update(endpoint.record)
        assert not endpoint.is_cold()


class TestSickEndpoints:
    """Pattern: one endpoint is slow or fails, its health is good."""

    def test_slow_one_gets_less(self) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]
        for _ in range(20):
            endpoints[0].note_pace(6)
        sent = replay(make_chooser(), endpoints, [make_call()] * 100)
        assert sent['i-0'] < sent['i-1'] / 2

    def test_failing_one_is_tried_last_but_tried(self) -> None:
        chooser = make_chooser()
        endpoints = [make_endpoint('i-0'), make_endpoint('i-1')]
        for _ in range(6):
            chooser._outliers.note('i-0', failed=True)
        sent = replay(chooser, endpoints, [make_call()] * 20)
        assert sent['i-0'] <= 3
        assert replay(chooser, endpoints[:1], [make_call()])['i-0'] == 1


class TestBusyEverywhere:
    """Pattern: all endpoints have long queues, and none is sick."""

    def test_waiting_work_is_not_sent_twice(self) -> None:
        route = make_route(objective=2.0)
        assert find_attempt_timeout(route, 0.3, 1.5) >= 3 * 1.5

    def test_silence_of_an_idle_endpoint_is_noticed(self) -> None:
        route = make_route(objective=2.0)
        assert find_attempt_timeout(route, 0.1, 0.1) <= route.objective / 2


class TestSwing:
    """Pattern: load shifts to long prompts and the largest model is slow."""

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
        assert find_required_confidence(larger, left) == pytest.approx(wanted)

    def test_it_falls_steadily(self) -> None:
        steps = [find_required_confidence(row / 10, 1.0) for row in range(12)]
        assert steps == sorted(steps, reverse=True)

    def test_long_prompts_count_by_their_reading_time(self) -> None:
        pace = ReadingPace()
        for _ in range(50):
            pace.learn('large', 9000, 0.45)
            pace.learn('small', 9000, 0.1)
        ratio = pace.predict('large', 1000) / pace.predict('small', 1000)
        assert 6 < ratio < 10


class TestWaitingWork:
    """Pattern: long prompts wait at some endpoints, of which no news comes."""

    def test_reported_work_is_not_forgotten_within_a_second(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        loaded, other = make_endpoint('loaded'), make_endpoint('other')
        chooser = make_chooser()
        chooser._pace.learn('m', 4000, 0.6)
        loaded.backlog.note_load(Load(10, 30, 128))
        other.backlog.enter(0, 0.5)
        now = time.monotonic()
        monkeypatch.setattr(time, 'monotonic', lambda: now + 1)
        scored = chooser.choose(make_call(), [loaded, other], WANTED)
        assert scored is not None
        assert scored.endpoint is other

    def test_urgent_request_passes_long_work(self) -> None:
        long_work, urgent_work = make_endpoint('long'), make_endpoint('urgent')
        long_work.backlog.enter(4, 2.0)
        urgent_work.backlog.enter(0, 0.8)
        scored = make_chooser().choose(
            make_call(), [long_work, urgent_work], WANTED
        )
        assert scored is not None
        assert scored.endpoint is long_work

    def test_long_work_waits_for_urgent_work(self) -> None:
        long_work, urgent_work = make_endpoint('long'), make_endpoint('urgent')
        long_work.backlog.enter(4, 2.0)
        urgent_work.backlog.enter(0, 0.8)
        scored = make_chooser().choose(
            make_call(), [long_work, urgent_work], WANTED._replace(rank=4)
        )
        assert scored is not None
        assert scored.endpoint is urgent_work

    def test_visits_leave_nothing_behind(self) -> None:
        endpoint = make_endpoint('i-1')
        visits = [endpoint.backlog.enter(rank, 0.3) for rank in range(5)]
        for visit in visits[:3]:
            visit.begin()
            visit.begin()
        for visit in visits:
            visit.end()
        assert endpoint.backlog.find_wait(9, 0.1, None) == pytest.approx(0)
        assert endpoint.backlog.running == 0

    def test_own_requests_are_no_others(self) -> None:
        endpoint = make_endpoint('i-1')
        for _ in range(3):
            endpoint.backlog.enter(0, 0.1)
        endpoint.backlog.enter(0, 0.1).begin()
        endpoint.backlog.note_load(Load(1, 3, 128))
        assert endpoint.backlog.others() == 0
