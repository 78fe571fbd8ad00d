"""The order in which endpoints are tried, without a network."""

from collections import Counter

from freezegun import freeze_time

from toucancourse.routing.endpoints import (
    MAX_FAILING,
    Outliers,
    PowerOfTwo,
    View,
)

DRAWS = 400


def make_view(name: str, zone: str = 'east', **changes: float) -> View:
    """Return an idle, sound endpoint of 4 places with some changes."""
    return View(name, zone, 0, 4, 0.0)._replace(**changes)  # type: ignore[arg-type]


def count_first(*views: View) -> Counter[str]:
    """Return how often each endpoint is tried first."""
    chooser = PowerOfTwo('east')
    return Counter(chooser.order(views, '')[0].instance for _ in range(DRAWS))


class TestPowerOfTwo:
    """Room first, then soundness, then the zone."""

    def test_idle_near(self) -> None:
        """While the own zone is idle, nothing leaves it."""
        found = count_first(make_view('near'), make_view('far', 'west'))
        assert found == {'near': DRAWS}

    def test_busy_near(self) -> None:
        """A busy own zone shares with the others before it is full."""
        found = count_first(
            make_view('near', running=3), make_view('far', 'west')
        )
        assert found == {'far': DRAWS}

    def test_full_before_failing(self) -> None:
        """A queue at a sound endpoint beats a place at a failing one."""
        found = count_first(
            make_view('full', 'west', running=4),
            make_view('failing', failing=MAX_FAILING),
        )
        assert found == {'full': DRAWS}

    def test_failing_is_kept(self) -> None:
        """If all fail, all are still tried."""
        views = [make_view(name, failing=0.9) for name in ('a', 'b')]
        assert len(PowerOfTwo('east').order(views, '')) == 2


class TestOutliers:
    """Failures put an endpoint last, and fade."""

    def test_two_in_a_row(self) -> None:
        """One failure is forgiven, a second is not."""
        outliers = Outliers()
        outliers.note('m1', failed=True)
        assert outliers.failing('m1') < MAX_FAILING
        outliers.note('m1', failed=True)
        assert outliers.failing('m1') >= MAX_FAILING
        assert not outliers.failing('m2')

    def test_is_tried_again(self) -> None:
        """Without attempts the failures fade within 5 s."""
        with freeze_time() as clock:
            outliers = Outliers()
            for _ in range(20):
                outliers.note('m1', failed=True)
            clock.tick(5.1)
            assert outliers.failing('m1') < MAX_FAILING
