"""Refusal of hopeless requests, by the pattern of their load."""

import time
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucancourse.errors import Outcome
from toucancourse.forwarding import overload
from toucancourse.forwarding.overload import (
    MARGIN,
    MIN_WAIT_SECONDS,
    PROBE_SECONDS,
    OverloadError,
    OverloadGuard,
    Prospect,
    find_retry_seconds,
)

from .forwarding import RelayHarness
from .test_selection import make_call, make_route

#: Objective and timeout of the route, in seconds.
ROUTE = make_route(objective=2.0)._replace(timeout=6.0)
#: A request whose caller is nearly out of time at full endpoints.
HOPELESS = Prospect(wait=3.0, latency=3.5, stream_seconds=2.0, left=0.4)
#: Work that waits at each endpoint, in seconds.
QUEUED_SECONDS = 30.0


@pytest.fixture
def guard() -> OverloadGuard:
    """Return a guard that let one hopeless request through just now."""
    guard = OverloadGuard()
    guard.check(make_call(), ROUTE, HOPELESS)
    return guard


def is_refused(guard: OverloadGuard, prospect: Prospect) -> bool:
    """Return True if a new request is refused."""
    try:
        guard.check(make_call(), ROUTE, prospect)
    except OverloadError:
        return True
    return False


class TestZoneEmptiesInABurst:
    """A zone empties while another is cold and a burst arrives."""

    def test_hopeless_request_is_refused(self, guard: OverloadGuard) -> None:
        assert is_refused(guard, HOPELESS)

    def test_refusal_is_true(self) -> None:
        assert OverloadError('').status == 503
        assert OverloadError('').outcome is Outcome.not_run

    def test_uncertain_request_is_sent(self, guard: OverloadGuard) -> None:
        left = HOPELESS.find_needed() / MARGIN + 0.01
        assert not is_refused(guard, HOPELESS._replace(left=left))

    def test_callers_return_apart(self) -> None:
        seconds = {
            find_retry_seconds(make_call(), ROUTE, HOPELESS) for _ in range(200)
        }
        least = HOPELESS.latency - ROUTE.objective
        assert least <= min(seconds) < 1.1 * least
        assert 1.9 * least < max(seconds) <= 2 * least
        assert len(seconds) > 20


class TestNoKindStarves:
    """A route whose requests are all hopeless is tried again and again."""

    def test_probe_gets_through(
        self, guard: OverloadGuard, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = time.monotonic()

        class Clock:
            monotonic = staticmethod(lambda: now)

        monkeypatch.setattr(overload, 'time', Clock)
        sent = 0
        for _ in range(100):
            now += PROBE_SECONDS / 10
            sent += not is_refused(guard, HOPELESS)
        assert 9 <= sent <= 11

    def test_other_requests_of_the_route_are_enough(
        self, guard: OverloadGuard, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        later = time.monotonic() + 5 * PROBE_SECONDS

        class Clock:
            monotonic = staticmethod(lambda: later)

        monkeypatch.setattr(overload, 'time', Clock)
        assert not is_refused(guard, HOPELESS._replace(left=60.0))
        assert is_refused(guard, HOPELESS)

    def test_routes_are_judged_apart(self, guard: OverloadGuard) -> None:
        other = ROUTE._replace(name='other')
        guard.check(make_call(), other, HOPELESS)
        assert is_refused(guard, HOPELESS)


class TestRoom:
    """Nothing is refused while an endpoint is free, or for no reason."""

    @given(st.floats(0, 100), st.floats(0, 100), st.floats(0.001, 10))
    def test_free_endpoint_gets_all(
        self, latency: float, stream: float, left: float
    ) -> None:
        guard = OverloadGuard()
        free = Prospect(MIN_WAIT_SECONDS / 2, latency, stream, left)
        assert not is_refused(guard, free)

    @pytest.mark.parametrize('change', [{'timeout': 0}, {'objective': 0}])
    def test_route_that_states_no_times_is_never_refused(
        self, guard: OverloadGuard, change: dict[str, float]
    ) -> None:
        route = ROUTE._replace(**change)
        for _ in range(3):
            guard.check(make_call(), route, HOPELESS)


class TestRelay:
    """What callers see."""

    @pytest.fixture
    def full(self) -> Iterator[RelayHarness]:
        """Return a relay whose endpoints have long queues."""
        relay = RelayHarness()
        for endpoint in relay.endpoints.list_service('desk'):
            endpoint.backlog.adjust(1, 0, 1, QUEUED_SECONDS)
        relay.send('/look/x')
        yield relay
        relay.close()

    def test_refusal_comes_at_once(self, full: RelayHarness) -> None:
        before = len(full.runs())
        started_at = time.monotonic()
        error = full.send('/look/x').error
        assert error is not None
        assert (error.status, error.code) == (503, 'overloaded')
        assert error.retry_after is not None
        assert time.monotonic() - started_at < 0.2
        assert len(full.runs()) == before

    def test_caller_that_returns_is_served(self, full: RelayHarness) -> None:
        assert full.send('/look/x').error is not None
        for endpoint in full.endpoints.list_service('desk'):
            endpoint.backlog.adjust(-1, 0, -1, -QUEUED_SECONDS)
        assert full.send('/look/x').status == 200

    def test_request_that_ran_is_not_refused(self, full: RelayHarness) -> None:
        for endpoint in full.endpoints.list_service('desk'):
            endpoint.backlog.adjust(-1, 0, -1, -QUEUED_SECONDS)
        first, second = full.replicas
        first.cut_at = second.cut_at = 1
        before = len(full.runs())

        def fill() -> None:
            for endpoint in full.endpoints.list_service('desk'):
                endpoint.backlog.adjust(1, 0, 1, QUEUED_SECONDS)

        first.on_cut = second.on_cut = fill
        error = full.send('/draft/x').error
        assert error is not None
        assert error.status == 502
        assert len(full.runs()) == before + 2

    def test_free_endpoint_is_used(self, full: RelayHarness) -> None:
        full.endpoints.list_service('desk')[0].backlog.adjust(
            -1, 0, -1, -QUEUED_SECONDS
        )
        assert full.send('/look/x').status == 200
