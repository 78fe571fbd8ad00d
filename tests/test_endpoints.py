"""Load balancing among endpoints, without a network."""

from collections import Counter

from freezegun import freeze_time

from toucancourse.routing.endpoints import (
    MAX_FAILURE_RATE,
    EndpointView,
    Outliers,
    PowerOfTwo,
)

DRAWS = 400


def make_view(name: str, zone: str = 'east', **changes: float) -> EndpointView:
    """Return an idle, healthy endpoint with a window of 4 and some changes."""
    return EndpointView(name, zone, 0, 4, 0.0)._replace(**changes)  # type: ignore[arg-type]


def count_first(*views: EndpointView) -> Counter[str]:
    """Return how often each endpoint is tried first."""
    policy = PowerOfTwo('east')
    return Counter(policy.order(views, '')[0].instance for _ in range(DRAWS))


class TestPowerOfTwo:
    """The order depends on failures, then capacity, then the zone."""

    def test_idle_own_zone_is_preferred(self) -> None:
        """While the own zone is idle, no request goes to another zone."""
        counts = count_first(make_view('near'), make_view('far', 'west'))
        assert counts == {'near': DRAWS}

    def test_busy_own_zone_is_not_preferred(self) -> None:
        """Requests go to another zone before the own one is full."""
        counts = count_first(
            make_view('near', running=3), make_view('far', 'west')
        )
        assert counts == {'far': DRAWS}

    def test_full_before_failing(self) -> None:
        """A full healthy endpoint is tried before an idle failing one."""
        counts = count_first(
            make_view('full', 'west', running=4),
            make_view('failing', failure_rate=MAX_FAILURE_RATE),
        )
        assert counts == {'full': DRAWS}

    def test_failing_endpoints_are_still_tried(self) -> None:
        """If all endpoints fail, the order still contains all of them."""
        views = [make_view(name, failure_rate=0.9) for name in ('a', 'b')]
        assert len(PowerOfTwo('east').order(views, '')) == 2


class TestOutliers:
    """Failures raise an endpoint's failure rate, which decays over time."""

    def test_two_failures_in_a_row(self) -> None:
        """One failure stays below the limit, two in a row reach it."""
        outliers = Outliers()
        outliers.record_attempt('m1', failed=True)
        assert outliers.get_failure_rate('m1') < MAX_FAILURE_RATE
        outliers.record_attempt('m1', failed=True)
        assert outliers.get_failure_rate('m1') >= MAX_FAILURE_RATE
        assert not outliers.get_failure_rate('m2')

    def test_failures_decay(self) -> None:
        """Without attempts the failure rate decays within 5 s."""
        with freeze_time() as clock:
            outliers = Outliers()
            for _ in range(20):
                outliers.record_attempt('m1', failed=True)
            clock.tick(5.1)
            assert outliers.get_failure_rate('m1') < MAX_FAILURE_RATE
