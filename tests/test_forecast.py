"""Predicted response times, by the load on endpoints that teaches them."""

import random
from statistics import median, quantiles

import pytest

from toucancourse.forwarding.forecast import (
    FIRST_LATENCY,
    MAX_CHANGE,
    Demand,
    EngineModel,
    LearntSum,
)

from .endpointload import Clock, LoadedEntry, make_endpoint
from .forwarding import RelayHarness


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the paused time."""
    return Clock(monkeypatch)


def make_demands(count: int) -> list[Demand]:
    """Return demands of short and long prompts, at idle and busy endpoints."""
    chance = random.Random(7)
    return [
        Demand(
            chance.choice((0, 500, 2000, 8000)),
            chance.choice((0.0, 0.0, 0.2, 1.0)),
            chance.randrange(30),
        )
        for _ in range(count)
    ]


class TestEngineWithAnUnknownConstant:
    """Engines whose first event takes a tenth of a second at least."""

    def test_median_and_long_waits_are_predicted(self) -> None:
        chance = random.Random(3)
        learnt = LearntSum(FIRST_LATENCY)
        ratios = []
        for demand in make_demands(600):
            usual = (
                0.1
                + 2e-5 * demand.tokens
                + 1.5 * demand.queued_seconds
                + 0.003 * demand.running
            )
            seen = usual * chance.lognormvariate(0, 0.5)
            ratios.append(seen / learnt.predict(demand))
            learnt.observe(demand, ratios[-1])
        late = ratios[200:]
        assert 0.8 < median(late) < 1.25
        assert quantiles(late, n=10)[-1] < 2.5

    def test_models_are_learnt_apart(self) -> None:
        engines = EngineModel()
        small = engines.find('desk', 'small')
        for _ in range(50):
            demand = Demand(4000, 0, 0)
            seen = 0.4 / small.latency.predict(demand)
            small.latency.observe(demand, seen)
        assert engines.find('desk', 'small') is small
        large = engines.find('desk', 'large')
        assert large.latency.coefficients == FIRST_LATENCY


class TestOutliers:
    """A few responses take a hundred times as long, or come at once."""

    def test_single_samples_change_little(self) -> None:
        learnt = LearntSum(FIRST_LATENCY)
        demand = Demand(0, 0, 0)
        for _ in range(50):
            learnt.observe(demand, 0.1 / learnt.predict(demand))
        learnt.observe(demand, 100)
        assert learnt.predict(demand) < 0.12
        learnt.observe(demand, 0.01)
        assert learnt.predict(demand) > 0.09

    def test_coefficients_stay_within_bounds(self) -> None:
        learnt = LearntSum(FIRST_LATENCY)
        for ratio in (1e6, 1e-9):
            for demand in make_demands(2000):
                learnt.observe(demand, ratio)
            for first, known in zip(
                FIRST_LATENCY, learnt.coefficients, strict=True
            ):
                assert first / MAX_CHANGE <= known <= first * MAX_CHANGE


class TestBurst:
    """Four endpoints with six slots get more than they take for a while."""

    def test_queueing_is_predicted(self, clock: Clock) -> None:
        chance = random.Random(5)
        endpoints = [make_endpoint(f'i-{row}', slots=6) for row in range(4)]

        def respond(name: str, running: int, now: float) -> float:
            return 0.1 * max(1.0, running / 6) * chance.lognormvariate(0, 0.3)

        entry = LoadedEntry(clock, endpoints, respond)
        entry.run(3, 60)
        entry.times.clear()
        entry.run(3, 230)
        ratios = [seen / predicted for seen, predicted in entry.times]
        assert 0.8 < median(ratios) < 1.25
        assert quantiles(ratios, n=10)[-1] < 2.5


class TestManyInFlight:
    """Over a hundred requests are in flight when their times are learnt."""

    def test_same_error_is_corrected_once(self, clock: Clock) -> None:
        endpoints = [make_endpoint(f'i-{row}') for row in range(4)]
        entry = LoadedEntry(clock, endpoints, lambda *_: 0.5)
        entry.run(4, 240)
        entry.times.clear()
        entry.run(8, 240)
        ratios = [seen / predicted for seen, predicted in entry.times]
        assert min(ratios) > 0.8
        assert max(ratios) < 1.25


class TestFreshEndpoint:
    """An endpoint without streams of this entry, among known ones."""

    def test_its_streams_are_as_long_as_usual(self, clock: Clock) -> None:
        known, fresh = make_endpoint('known'), make_endpoint('fresh')
        entry = LoadedEntry(clock, [known], lambda *_: 0.1)
        for _ in range(40):
            scored = entry.predict_stream(10)
            scored.forecast.record_pause(0.08)
        entry.endpoints[:] = [fresh]
        assert entry.predict_stream(10).stream_seconds == pytest.approx(
            0.72, rel=0.1
        )

    def test_slow_endpoint_makes_streams_longer(self, clock: Clock) -> None:
        endpoint = make_endpoint('i-1')
        entry = LoadedEntry(clock, [endpoint], lambda *_: 0.1)
        usual = entry.predict_stream(10).stream_seconds
        for _ in range(60):
            endpoint.slowness.observe(3)
        assert entry.predict_stream(10).stream_seconds > 2 * usual


class TestSilence:
    """An endpoint sends nothing until the entry gives up."""

    def test_it_counts_as_slow_and_what_is_usual_stays(
        self, clock: Clock
    ) -> None:
        endpoint = make_endpoint('i-1')
        entry = LoadedEntry(clock, [endpoint], lambda *_: 0.1)
        scored = entry.predict_stream(0)
        usual = scored.forecast.times.latency.coefficients
        scored.forecast.record_silence(1.0)
        assert endpoint.slowness.snapshot().ratio > 5
        assert scored.forecast.times.latency.coefficients == usual

    def test_early_end_says_nothing(self, clock: Clock) -> None:
        endpoint = make_endpoint('i-1')
        entry = LoadedEntry(clock, [endpoint], lambda *_: 0.1)
        entry.predict_stream(0).forecast.record_silence(0.001)
        assert endpoint.slowness.snapshot().samples == 0


class TestForwardedRequests:
    """Requests and streams that an entry forwards to two endpoints."""

    @pytest.mark.parametrize(
        ('path', 'kinds'),
        [('/look/x', {'first'}), ('/draft/x', {'first', 'last'})],
    )
    def test_their_times_are_learnt(self, path: str, kinds: set[str]) -> None:
        harness = RelayHarness()
        for _ in range(4):
            response = harness.send(path, X_Token_Usage='300,40')
            assert response.error is None
        counts = {
            sample.labels['until']: sample.value
            for metric in harness.metrics.forecast.collect()
            for sample in metric.samples
            if sample.name.endswith('_count')
        }
        assert counts.keys() == kinds
        assert counts['first'] == 4
        slowness = harness.endpoints.snapshot_slowness()
        assert sum(each.samples for each in slowness.values()) == 4
        harness.close()
