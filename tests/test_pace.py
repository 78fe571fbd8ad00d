"""Time that streams take at endpoints, by the pattern of their load."""

import time

import pytest

from toucancourse.forwarding import pace
from toucancourse.forwarding.models import (
    MIN_CONFIDENCE,
    LargerModelNeeds,
    find_required_confidence,
)
from toucancourse.forwarding.pace import EventPace, StreamLengths

from .test_selection import CRITERIA, make_call, make_endpoint, make_selector


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list whose only item is the time that the pace reads."""
    now = [time.monotonic()]

    class Clock:
        monotonic = staticmethod(lambda: now[0])

    monkeypatch.setattr(pace, 'time', Clock)
    return now


class TestLongPromptsBesideShortStreams:
    """Each event of a stream waits for part of another prompt's prefill."""

    def test_slow_events_are_noticed_within_a_few(
        self, clock: list[float]
    ) -> None:
        events = EventPace()
        for _ in range(10):
            clock[0] += 1.0
            events.observe(1, 1.0)
        assert events.find_pause() > 0.3

    def test_pause_is_forgotten_once_the_prefill_is_over(
        self, clock: list[float]
    ) -> None:
        events = EventPace()
        for _ in range(10):
            events.observe(1, 1.0)
        clock[0] += 10
        assert events.find_pause() < 0.05

    def test_events_that_arrive_together_share_the_pause(
        self, clock: list[float]
    ) -> None:
        together, apart = EventPace(), EventPace()
        together.observe(10, 1.0)
        apart.observe(1, 1.0)
        assert together.find_pause() < apart.find_pause() / 5

    def test_stream_time_is_predicted_from_its_length(
        self, clock: list[float]
    ) -> None:
        endpoint = make_endpoint('i-1')
        for _ in range(40):
            endpoint.pace.observe(1, 0.5)
        scored = make_selector().choose(
            make_call(), [endpoint], CRITERIA._replace(events=17)
        )
        assert scored is not None
        assert scored.stream_seconds == pytest.approx(8.0, rel=0.05)


class TestEndpointsFullOfLongPrompts:
    """The largest model's prefills keep all streams from their ends."""

    def test_stream_that_can_end_in_time_is_escalated(self) -> None:
        needs = LargerModelNeeds(0.5, 1.0, 2.5, 9.0)
        assert find_required_confidence(needs) == MIN_CONFIDENCE

    @pytest.mark.parametrize(
        ('latency', 'stream'), [(0.5, 7.0), (0.5, 20.0), (8.0, 0.0)]
    )
    def test_stream_that_would_not_end_is_not_begun(
        self, latency: float, stream: float
    ) -> None:
        needs = LargerModelNeeds(latency, stream, 60.0, 9.0)
        assert find_required_confidence(needs) == pytest.approx(0)

    def test_nothing_is_escalated_after_the_deadline(self) -> None:
        needs = LargerModelNeeds(0.5, 0.0, 0.4, -0.1)
        assert find_required_confidence(needs) == pytest.approx(0)

    def test_slower_events_need_less_confidence(self) -> None:
        steps = [
            find_required_confidence(LargerModelNeeds(0.1, row, 60.0, 9.0))
            for row in range(10)
        ]
        assert steps == sorted(steps, reverse=True)
        assert len(set(steps)) > 4


class TestStreamLengths:
    """Events hold a number of tokens that differs by service."""

    def test_length_is_learnt_for_each_route(self) -> None:
        lengths = StreamLengths()
        assert lengths.predict('draft', 140) == 0
        for _ in range(20):
            lengths.observe('draft', 70, 10)
            lengths.observe('check', 20, 5)
        assert lengths.predict('draft', 140) == pytest.approx(20)
        assert lengths.predict('check', 40) == pytest.approx(10)

    def test_unknown_lengths_are_ignored(self) -> None:
        lengths = StreamLengths()
        lengths.observe('draft', 0, 10)
        assert lengths.predict('draft', 70) == 0
