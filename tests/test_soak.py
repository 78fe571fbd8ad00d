"""Short soak runs, also with the seeds that failed in earlier runs."""

import pytest

from bench.soak import read_failed_seeds, run_seed

FIXED_SEEDS: tuple[int, ...] = (1001, 1002)


#: Seeds of each scenario. 'endpoints', 'stops' 1 and 'kills' failed on c182925,
#: 'stutters' on 65c09ec, 'stops' 4102 and 'restores' on 2517148.
SCENARIO_SEEDS: tuple[tuple[str, int], ...] = (
    ('endpoints', 104),
    ('crashes', 1),
    ('restarts', 1),
    ('stops', 1),
    ('stops', 4102),
    ('kills', 1),
    ('stutters', 3501),
    ('restores', 4001),
    ('overload', 4201),
)


class TestSoak:
    """Requests keep the delivery guarantees under random faults."""

    @pytest.mark.parametrize('seed', [*FIXED_SEEDS, *read_failed_seeds()])
    def test_seed(self, seed: int) -> None:
        assert run_seed(seed) == []

    # Guards against broken responses and mixtures of two that pass as whole,
    # repeats beyond the budget, requests that a planned stop cuts off or leaves
    # without an answer, and changes that a restored store hides.
    @pytest.mark.parametrize(('scenario', 'seed'), SCENARIO_SEEDS)
    def test_scenario(self, scenario: str, seed: int) -> None:
        assert run_seed(seed, scenario) == []
