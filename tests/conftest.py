"""Shared fixtures and the hypothesis profile."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from .fleet import SmallFleet

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
settings.load_profile('ci')


@pytest.fixture(scope='module')
def small_fleet() -> Iterator[SmallFleet]:
    """Return a running fleet of one entry, two model servers and a service."""
    with SmallFleet(('e1',)) as fleet:
        yield fleet
