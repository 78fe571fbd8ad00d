"""Shared fixtures and the hypothesis profile."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from loguru import logger

from .crowds import Entry
from .fleet import SmallFleet
from .forwarding import RelayHarness

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
settings.load_profile('ci')

#: Entries name a test by its id: "- `tests/test_x.py::TestY::test_z`".
KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the tests listed as known red to fail."""
    listed = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    for item in items:
        if f'`{item.nodeid}`' in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


@pytest.fixture(scope='module')
def small_fleet() -> Iterator[SmallFleet]:
    """Return a running fleet of one entry, two model servers and a service."""
    with SmallFleet(('e1',)) as fleet:
        yield fleet


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[Entry]:
    """Return an entry with little memory that is ready."""
    running = Entry(tmp_path)
    yield running
    running.close()


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay in front of one endpoint."""
    relay = RelayHarness(replicas=1)
    yield relay
    relay.close()


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Return the fields of the log lines, each with its message."""
    lines: list[dict[str, Any]] = []

    def add_line(message: Any) -> None:
        record = message.record
        lines.append({'message': record['message'], **record['extra']})

    sink = logger.add(add_line, level='DEBUG')
    yield lines
    logger.remove(sink)
