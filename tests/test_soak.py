"""Short soak runs: two fixed seeds and those that failed before."""

import pytest

from bench.soak import read_failed_seeds, run_seed

FIXED_SEEDS: tuple[int, ...] = (1001, 1002)


class TestSoak:
    """Random faults violate no service guarantee."""

    @pytest.mark.parametrize('seed', [*FIXED_SEEDS, *read_failed_seeds()])
    def test_seed(self, seed: int) -> None:
        assert run_seed(seed) == []
