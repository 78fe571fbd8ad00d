"""How long streams take now, by the pattern of their load."""

import time

import pytest

from toucancourse.forwarding import streamtimes
from toucancourse.forwarding.streamtimes import StreamTimes


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list whose only item is the time that is read."""
    now = [time.monotonic()]

    class Clock:
        monotonic = staticmethod(lambda: now[0])

    monkeypatch.setattr(streamtimes, 'time', Clock)
    return now


class TestBurstOfLongPrompts:
    """Prefills of 2.5 times the long prompts slow all streams down."""

    def test_slow_streams_are_noticed(self, clock: list[float]) -> None:
        times = StreamTimes()
        for _ in range(20):
            clock[0] += 0.1
            times.observe('summary', 5.0)
        assert times.find('summary') > 3.0

    def test_one_slow_stream_is_no_burst(self, clock: list[float]) -> None:
        times = StreamTimes()
        times.observe('summary', 5.0)
        assert times.find('summary') < 1.0

    def test_other_routes_are_not_judged(self, clock: list[float]) -> None:
        times = StreamTimes()
        times.observe('note', 5.0)
        assert times.find('summary') == 0

    def test_burst_is_forgotten(self, clock: list[float]) -> None:
        times = StreamTimes()
        for _ in range(20):
            times.observe('summary', 5.0)
        clock[0] += 20
        assert times.find('summary') < 0.1


class TestRestartedEntry:
    """An entry that has seen no stream assumes nothing."""

    def test_stream_without_history_takes_no_time(self) -> None:
        assert StreamTimes().find('summary') == 0
