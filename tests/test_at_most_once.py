"""Requests that may run once are executed once, whatever asks for more."""

import json
from collections.abc import Iterator
from typing import Any

import pytest

from standins.operator_config import make_operator_config

from .forwarding import RelayHarness
from .test_relay import find_ids


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay whose smallest model is unsure of its answers."""
    relay = RelayHarness()
    for replica in relay.replicas:
        replica.model_confidence = {'small': 5, 'middle': 95, 'large': 95}
    yield relay
    relay.close()


def change_route(relay: RelayHarness, name: str, **changes: Any) -> None:
    """Apply a configuration in which one route differs from the default."""
    table = relay.operators.table
    assert table is not None
    config = json.loads(make_operator_config(table.revision + 1))
    for route in config['routes']:
        if route['name'] == name:
            route.update(changes)
    relay.operators.apply('config', json.dumps(config).encode())


def list_models(relay: RelayHarness) -> list[str]:
    """Return the models of the executed requests, in any order."""
    return sorted(run['headers']['X-Model'] for run in relay.runs())


class TestUnsureModel:
    """A larger model may be asked only where a request may run twice."""

    # Guards against the larger model's run of a stream that can't be resumed.
    @pytest.mark.parametrize('larger_seconds', [0.0, 0.3])
    def test_stream_that_may_run_once_has_one_run(
        self, relay: RelayHarness, larger_seconds: float
    ) -> None:
        change_route(relay, 'auto', streamResumption=False)
        # A slow larger model is asked while the smaller one's answer is kept.
        relay.metrics.record_seconds(('auto', 'large'), larger_seconds)
        response = relay.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert len(relay.runs()) == 1

    @pytest.mark.parametrize('larger_seconds', [0.0, 0.3])
    def test_resumable_stream_asks_the_larger_model(
        self, relay: RelayHarness, larger_seconds: float
    ) -> None:
        relay.metrics.record_seconds(('auto', 'large'), larger_seconds)
        response = relay.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert list_models(relay) == ['large', 'small']

    def test_larger_model_is_an_attempt(self, relay: RelayHarness) -> None:
        change_route(relay, 'auto', maxAttempts=1)
        assert relay.send('/auto/x').is_finished
        assert len(relay.runs()) == 1
