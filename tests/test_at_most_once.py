"""Requests that may run once are executed once, whatever asks for more."""

import json
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from standins.operator_config import make_operator_config
from standins.replica import FAULTS
from toucancourse.forwarding.patience import Patience

from .forwarding import RecordedResponse, RelayHarness
from .test_relay import find_ids

#: How long endpoints wait before they answer, so that a route changes first.
CHANGE_SECONDS = 1.0


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay whose smallest model is unsure of its answers."""
    relay = RelayHarness()
    for replica in relay.replicas:
        replica.model_confidence = {'small': 5, 'middle': 95, 'large': 95}
    yield relay
    relay.close()


@pytest.fixture
def impatient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace silent endpoints after half of their wait."""
    for name in ('find_event_patience', 'find_head_patience'):
        patience = Patience(CHANGE_SECONDS / 2, CHANGE_SECONDS / 2)
        monkeypatch.setattr(
            f'toucancourse.forwarding.relay.{name}',
            lambda *_, patience=patience: patience,
        )


def change_route(relay: RelayHarness, name: str, **changes: Any) -> None:
    """Apply a configuration in which one route differs from the default."""
    table = relay.operators.table
    assert table is not None
    config = json.loads(make_operator_config(table.revision + 1))
    for route in config['routes']:
        if route['name'] == name:
            route.update(changes)
    relay.operators.apply('config', json.dumps(config).encode())


def change_while_running(
    relay: RelayHarness, name: str, **changes: Any
) -> None:
    """Change a route as soon as an endpoint executes a request."""

    def wait_and_change() -> None:
        while not relay.runs():
            time.sleep(0.005)
        change_route(relay, name, **changes)

    for replica in relay.replicas:
        replica.model_delays = dict.fromkeys(
            ('', 'small', 'large'), CHANGE_SECONDS
        )
    threading.Thread(target=wait_and_change, daemon=True).start()


def list_models(relay: RelayHarness) -> list[str]:
    """Return the models of the executed requests, in any order."""
    return sorted(run['headers']['X-Model'] for run in relay.runs())


class TestUnsureModel:
    """A larger model may be asked only where a request may run twice."""

    # Guards against the larger model's run of a stream that can't be resumed.
    @pytest.mark.parametrize('larger_seconds', [0.0, 0.3])
    def test_stream_that_may_run_once_has_one_run(
        self,
        relay: RelayHarness,
        monkeypatch: pytest.MonkeyPatch,
        larger_seconds: float,
    ) -> None:
        # The smallest model is asked first.
        monkeypatch.setattr(
            'toucancourse.forwarding.relay.UNCHECKED_CONFIDENCE', 1.0
        )
        change_route(relay, 'auto', streamResumption=False)
        # A slow larger model is asked while the smaller one's answer is kept.
        relay.metrics.record_seconds(('auto', 'large'), larger_seconds)
        response = relay.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert list_models(relay) == ['small']

    @pytest.mark.parametrize('larger_seconds', [0.0, 0.3])
    def test_resumable_stream_asks_the_larger_model(
        self, relay: RelayHarness, larger_seconds: float
    ) -> None:
        relay.metrics.record_seconds(('auto', 'large'), larger_seconds)
        response = relay.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert list_models(relay) == ['large', 'small']

    def test_larger_model_counts_as_an_attempt(
        self, relay: RelayHarness
    ) -> None:
        change_route(relay, 'auto', maxAttempts=1)
        assert relay.send('/auto/x').is_finished
        assert len(relay.runs()) == 1


class TestFirstModel:
    """Where no larger model may be asked afterwards, the largest is first."""

    @pytest.fixture
    def single(self, relay: RelayHarness) -> RelayHarness:
        """Return a relay whose streams may run once."""
        change_route(relay, 'auto', streamResumption=False)
        return relay

    # Guards against poor answers as the only ones that a caller can get.
    def test_largest_model_answers(self, single: RelayHarness) -> None:
        assert single.send('/auto/x').is_finished
        assert list_models(single) == ['large']

    # Guards against late answers while the smallest model would be in time.
    def test_smallest_model_answers_if_the_largest_would_be_late(
        self, single: RelayHarness
    ) -> None:
        single.metrics.record_seconds(('auto', 'large'), 1.0)
        assert single.send('/auto/x').is_finished
        assert list_models(single) == ['small']

    def test_refusals_by_all_endpoints_run_nothing(
        self, single: RelayHarness
    ) -> None:
        for replica in single.replicas:
            replica.model_faults = {'large': 'shed'}
        error = single.send('/auto/x').error
        assert error is not None
        assert error.status == 503
        assert not single.runs()

    def test_refusal_of_the_largest_model_is_retried(
        self, single: RelayHarness
    ) -> None:
        single.replicas[0].model_faults = {'large': 'shed'}
        for _ in range(4):
            assert single.send('/auto/x').is_finished
        assert list_models(single) == ['large'] * 4

    def test_model_that_the_caller_named_is_kept(
        self, single: RelayHarness
    ) -> None:
        assert single.send('/auto/x', X_Model='middle').is_finished
        assert list_models(single) == ['middle']

    def test_resumable_stream_asks_the_smallest_model_first(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.model_confidence['small'] = 95
        assert relay.send('/auto/x').is_finished
        assert list_models(relay) == ['small']


class TestFailures:
    """No failure of an endpoint makes a request that may run once run twice."""

    @pytest.mark.parametrize('fault', FAULTS)
    @pytest.mark.parametrize('path', ['/book/x', '/draft/x', '/auto/x'])
    def test_failed_request_is_not_repeated(
        self, relay: RelayHarness, path: str, fault: str
    ) -> None:
        change_route(relay, path.split('/')[1], streamResumption=False)
        for replica in relay.replicas:
            replica.fault = fault
            replica.break_off_at = 300
        # Some faults need a connection that was used before.
        for _ in range(3):
            relay.send(path, deadline_ms=300)
        runs = Counter(run['call'] for run in relay.runs())
        assert set(runs.values()) <= {1}

    # Guards against a run that goes on elsewhere from the last event.
    def test_stream_that_may_run_once_is_not_resumed(
        self, relay: RelayHarness
    ) -> None:
        change_route(relay, 'draft', streamResumption=False)
        for replica in relay.replicas:
            replica.cut_at = 3
        response = relay.send('/draft/x')
        assert find_ids(response) == [1, 2]
        assert response.is_aborted
        assert len(relay.runs()) == 1

    # Guards against a successor of an endpoint that only pauses.
    def test_silent_endpoint_is_not_replaced(
        self, relay: RelayHarness, impatient: None
    ) -> None:
        change_route(relay, 'draft', streamResumption=False)
        for replica in relay.replicas:
            replica.preempt_at = 3
            replica.preempt_seconds = CHANGE_SECONDS
        response = relay.send('/draft/x')
        assert response.is_finished
        assert len(relay.runs()) == 1


class ChangingResponse(RecordedResponse):
    """Changes the configuration after the first part of the body."""

    def __init__(self, change: Callable[[], None]) -> None:
        """Create a response that calls change() once."""
        super().__init__()
        self._change: Callable[[], None] | None = change

    def write(self, content: bytes) -> None:
        """Record part of the body."""
        super().write(content)
        change, self._change = self._change, None
        if change is not None:
            change()


class TestRouteChanges:
    """All revisions of a route that a request meets must allow a second run."""

    # Guards against retries by the route as it was when the attempt began.
    @pytest.mark.parametrize(
        ('path', 'changes'),
        [
            ('/look/x', {'kind': 'unsafe'}),
            ('/draft/x', {'streamResumption': False}),
            ('/draft/x', {'maxAttempts': 1}),
        ],
    )
    def test_failed_request_follows_the_newest_route(
        self, relay: RelayHarness, path: str, changes: dict[str, Any]
    ) -> None:
        for replica in relay.replicas:
            replica.fault = 'close'
        change_while_running(relay, path.split('/')[1], **changes)
        error = relay.send(path).error
        assert error is not None
        assert error.status == 502
        assert len(relay.runs()) == 1

    # Guards against a second run of what could run once when it was sent.
    @pytest.mark.parametrize(
        ('path', 'before', 'after'),
        [
            ('/book/x', {'maxAttempts': 2}, {'kind': 'safe', 'maxAttempts': 2}),
            (
                '/draft/x',
                {'streamResumption': False},
                {'streamResumption': True},
            ),
        ],
    )
    def test_failed_request_keeps_the_limit_that_it_was_sent_under(
        self,
        relay: RelayHarness,
        path: str,
        before: dict[str, Any],
        after: dict[str, Any],
    ) -> None:
        name = path.split('/')[1]
        change_route(relay, name, **before)
        for replica in relay.replicas:
            replica.fault = 'close'
        change_while_running(relay, name, **after)
        assert relay.send(path).error is not None
        assert len(relay.runs()) == 1

    # Guards against a larger model's run after the route has forbidden it.
    def test_unsure_answer_is_forwarded(self, relay: RelayHarness) -> None:
        calm = {'targetLatencyMs': 3000, 'timeoutMs': 9000}
        change_route(relay, 'auto', **calm)
        change_while_running(relay, 'auto', streamResumption=False, **calm)
        response = relay.send('/auto/x', deadline_ms=9000)
        assert response.is_finished
        assert list_models(relay) == ['small']

    def test_broken_stream_is_not_resumed(self, relay: RelayHarness) -> None:
        for replica in relay.replicas:
            replica.cut_at = 3
            replica.on_cut = lambda: change_route(
                relay, 'draft', streamResumption=False
            )
        response = relay.send('/draft/x')
        assert find_ids(response) == [1, 2]
        assert response.is_aborted
        assert len(relay.runs()) == 1

    def test_endpoint_that_pauses_is_waited_for(
        self, relay: RelayHarness, impatient: None
    ) -> None:
        for replica in relay.replicas:
            replica.preempt_at = 3
            replica.preempt_seconds = CHANGE_SECONDS
        response = ChangingResponse(
            lambda: change_route(relay, 'draft', streamResumption=False)
        )
        relay.send('/draft/x', response=response)
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert len(relay.runs()) == 1

    def test_endpoint_that_has_not_begun_is_waited_for(
        self, relay: RelayHarness, impatient: None
    ) -> None:
        change_while_running(relay, 'draft', streamResumption=False)
        response = relay.send('/draft/x')
        assert response.is_finished
        assert len(relay.runs()) == 1
