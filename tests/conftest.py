"""Shared fixtures and the hypothesis profile."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from .world import World

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
settings.load_profile('ci')


@pytest.fixture(scope='module')
def small_world() -> Iterator[World]:
    """Return a running system of one entry, two engines and a service."""
    with World(('e1',)) as world:
        yield world
