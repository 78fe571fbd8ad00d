"""A short run of the soak, and the seeds that failed once."""

import pytest

from bench.soak import read_kept, run_seed

SHORT: tuple[int, ...] = (1001, 1002)


class TestSoak:
    """Nothing is broken under random faults."""

    @pytest.mark.parametrize('seed', [*SHORT, *read_kept()])
    def test_seed(self, seed: int) -> None:
        assert run_seed(seed) == []
