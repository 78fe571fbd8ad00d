"""Short soak runs, also with the seeds that failed in earlier runs."""

import pytest

from bench.soak import read_failed_seeds, run_seed

FIXED_SEEDS: tuple[int, ...] = (1001, 1002)


#: A seed of each scenario. On c182925, 'endpoints', 'stops' and
#: 'kills' failed, on 65c09ec 'stutters'.
SCENARIO_SEEDS: tuple[tuple[str, int], ...] = (
    ('endpoints', 104),
    ('crashes', 1),
    ('restarts', 1),
    ('stops', 1),
    ('kills', 1),
    ('stutters', 3501),
)


class TestSoak:
    """Requests keep the delivery guarantees under random faults."""

    @pytest.mark.parametrize('seed', [*FIXED_SEEDS, *read_failed_seeds()])
    def test_seed(self, seed: int) -> None:
        assert run_seed(seed) == []

    # Guards against broken responses and mixtures of two that pass as whole,
    # repeats beyond the budget, and requests that a planned stop cuts off.
    @pytest.mark.parametrize(('scenario', 'seed'), SCENARIO_SEEDS)
    def test_scenario(self, scenario: str, seed: int) -> None:
        assert run_seed(seed, scenario) == []
