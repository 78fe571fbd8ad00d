"""A smaller model's answer is kept while a larger model is asked under load."""

import threading
import time
from collections.abc import Iterator

import pytest

from toucancourse.forwarding.keeping import (
    FORWARD_SECONDS,
    MAX_STREAM_SHARE,
    find_wait_seconds,
)
from toucancourse.forwarding.models import LargerModelNeeds

from .forwarding import RecordedResponse, RelayHarness
from .test_relay import CANCEL_SECONDS, find_ids

#: Route, model and mean seconds that put the larger model under pressure.
SLOW_MODEL = ('auto', 'large')
SLOW_SECONDS = 0.3
#: Objective and timeout of the route in seconds.
OBJECTIVE = 0.6
TIMEOUT = 2.0


@pytest.fixture
def loaded() -> Iterator[RelayHarness]:
    """Return a relay whose larger model is slow and seldom in time."""
    relay = RelayHarness()
    for replica in relay.replicas:
        replica.model_confidence = {'small': 10, 'large': 90}
    relay.metrics.record_seconds(SLOW_MODEL, SLOW_SECONDS)
    yield relay
    relay.close()


def delay_larger_model(relay: RelayHarness, seconds: float) -> None:
    """Let the endpoints answer for the larger model after some seconds."""
    for replica in relay.replicas:
        replica.model_delays = {'large': seconds}


def list_models(relay: RelayHarness) -> list[str]:
    """Return the models of the executed requests."""
    return [run['headers']['X-Model'] for run in relay.runs()]


class TestBurstOfLongPrompts:
    """A zone empties, another is cold, and long prompts fill the rest."""

    def test_ready_answer_is_forwarded_by_the_objective(
        self, loaded: RelayHarness
    ) -> None:
        for replica in loaded.replicas:
            replica.model_confidence['small'] = 25
        delay_larger_model(loaded, 1.7)
        response = loaded.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]
        assert sorted(list_models(loaded)) == ['large', 'small']
        assert loaded.metrics.kept._value.get() == 1

    def test_poor_answer_waits_while_the_larger_stream_can_end(
        self, loaded: RelayHarness
    ) -> None:
        delay_larger_model(loaded, 0.9)
        response = loaded.send('/auto/x')
        assert response.is_finished
        assert loaded.metrics.kept._value.get() == 0

    def test_poor_answer_is_forwarded_before_the_deadline(
        self, loaded: RelayHarness
    ) -> None:
        delay_larger_model(loaded, 5.0)
        response = loaded.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]

    def test_larger_model_is_left_at_once(self, loaded: RelayHarness) -> None:
        delay_larger_model(loaded, 5.0)
        started_at = time.monotonic()
        loaded.send('/auto/x')
        assert time.monotonic() - started_at < TIMEOUT
        assert not any(
            endpoint.backlog.running
            for endpoint in loaded.endpoints.list_service('desk')
        )

    def test_answer_is_not_kept_without_pressure(self) -> None:
        relay = RelayHarness()
        for replica in relay.replicas:
            replica.model_confidence = {'small': 10, 'large': 90}
        assert relay.send('/auto/x').is_finished
        assert relay.metrics.kept._value.get() == 0
        relay.close()


class TestLargerModelFails:
    """The larger model's endpoint fails before its first event."""

    @pytest.mark.parametrize('fault', ['close', 'cut', 'garbage'])
    def test_ready_answer_is_forwarded(
        self, loaded: RelayHarness, fault: str
    ) -> None:
        for replica in loaded.replicas:
            replica.model_faults = {'large': fault}
        response = loaded.send('/auto/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]

    def test_request_that_did_not_run_asks_another_endpoint(
        self, loaded: RelayHarness
    ) -> None:
        for replica in loaded.replicas:
            replica.model_faults = {'large': 'shed'}
        assert loaded.send('/auto/x').is_finished

    def test_broken_kept_answer_is_no_success(
        self, loaded: RelayHarness
    ) -> None:
        for replica in loaded.replicas:
            replica.model_faults = {'large': 'close'}
            replica.cut_at = 1
        response = loaded.send('/auto/x')
        assert response.error is not None
        assert response.error.status == 502
        assert not response.is_finished


class TestCallerLeaves:
    """A caller disconnects while the larger model is awaited."""

    def test_both_attempts_end(self, loaded: RelayHarness) -> None:
        delay_larger_model(loaded, 5.0)
        response = RecordedResponse()
        threading.Timer(0.2, response.disconnect).start()
        started_at = time.monotonic()
        loaded.send('/auto/x', response=response)
        assert time.monotonic() - started_at < 0.2 + CANCEL_SECONDS
        assert not any(
            endpoint.backlog.running
            for endpoint in loaded.endpoints.list_service('desk')
        )


class TestWait:
    """How long the larger model's first event is awaited."""

    def test_fair_answer_is_late_for_nothing(self) -> None:
        needs = LargerModelNeeds(1.0, 0.5, OBJECTIVE, TIMEOUT)
        assert find_wait_seconds(needs, 0.3) == OBJECTIVE - FORWARD_SECONDS

    def test_poor_answer_waits_longer(self) -> None:
        needs = LargerModelNeeds(1.0, 0.5, OBJECTIVE, TIMEOUT)
        assert find_wait_seconds(needs, 0.1) == TIMEOUT - 0.5

    @pytest.mark.parametrize('stream', [0.0, 5.0])
    def test_time_for_the_stream_is_bounded(self, stream: float) -> None:
        needs = LargerModelNeeds(1.0, stream, -0.1, TIMEOUT)
        seconds = find_wait_seconds(needs, 0.3)
        assert TIMEOUT * (1 - MAX_STREAM_SHARE) <= seconds < TIMEOUT
