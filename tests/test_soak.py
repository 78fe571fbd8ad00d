"""Short soak runs, also with the seeds that failed in earlier runs."""

import pytest

from bench.soak import read_failed_seeds, run_seed

FIXED_SEEDS: tuple[int, ...] = (1001, 1002)


class TestSoak:
    """Requests keep the delivery guarantees under random faults."""

    @pytest.mark.parametrize('seed', [*FIXED_SEEDS, *read_failed_seeds()])
    def test_seed(self, seed: int) -> None:
        assert run_seed(seed) == []
