"""Relay: responses, retries, resumed streams and accurate error codes."""

import threading
import time
from collections.abc import Iterator

import pytest

from standins.operator_config import make_operator_config
from toucancourse.admission.limits import WindowBudget
from toucancourse.errors import Outcome
from toucancourse.membership.startup import STARTUP_TIMEOUT_SECONDS

from .forwarding import RecordedResponse, RelayHarness

#: Time within which a request must end after its caller disconnected.
CANCEL_SECONDS = 0.5


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay in front of two endpoints."""
    relay = RelayHarness()
    yield relay
    relay.close()


class TestResponses:
    """Each caller receives the complete response to its own request."""

    def test_request_is_forwarded_unchanged(self, relay: RelayHarness) -> None:
        response = relay.send(
            '/look/a%2Fb?x=1', body=b'what', X_Tenant='forged'
        )
        run = relay.runs()[0]
        assert response.status == 200
        assert (run['path'], run['body']) == ('/look/a%2Fb?x=1', b'what')
        assert run['headers']['X-Tenant'] == 'account-a'
        assert 'X-Key' not in run['headers']
        assert response.headers['X-Server-Signature'] == 'test-signature'

    def test_internal_headers_of_callers_are_removed(
        self, relay: RelayHarness
    ) -> None:
        relay.send(
            '/open/x',
            X_Tenant='forged',
            X_Pin_Duration_Ms='9',
            Kv_From='1.2.3.4:5/h',
            X_Cache_Retention='r',
            X_Kv_Backup='1.2.3.4:5',
        )
        names = {name.lower() for name in relay.runs()[0]['headers']}
        assert not names & {
            'x-tenant',
            'x-key',
            'x-pin-duration-ms',
            'kv-from',
            'x-cache-retention',
            'x-kv-backup',
        }

    def test_trailing_data_is_not_the_next_response(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.fault = 'extra'
        bodies = [relay.send(f'/look/{number}').body for number in range(6)]
        assert all(body.startswith(b'answer of i-') for body in bodies)

    @pytest.mark.parametrize('fault', ['cut', 'garbage', 'crossed', 'unsigned'])
    def test_invalid_response_is_retried(
        self, relay: RelayHarness, fault: str
    ) -> None:
        for replica in relay.replicas:
            replica.fault = fault
            replica.faults_left = 1
        response = relay.send('/look/x')
        # Both endpoints fail once, so the retry may fail too; the next request
        # must succeed.
        assert response.error is None or response.error.status == 502
        assert relay.send('/look/x').status == 200

    @pytest.mark.parametrize('fault', ['cut', 'garbage', 'crossed', 'unsigned'])
    def test_invalid_response_is_never_forwarded(
        self, relay: RelayHarness, fault: str
    ) -> None:
        for replica in relay.replicas:
            replica.fault = fault
        response = relay.send('/book/x')
        assert response.status == 0
        assert response.error is not None
        assert response.error.status == 502

    def test_large_body_is_sent_on_a_reused_connection(
        self, relay: RelayHarness
    ) -> None:
        body = bytes(3_000_000)
        for replica in relay.replicas:
            replica.body_delay = 0.1
        relay.send('/look/x')
        relay.send('/look/x')
        assert relay.send('/look/x', body=body).status == 200
        assert any(run['body'] == body for run in relay.runs())

    def test_connection_is_reused(self, relay: RelayHarness) -> None:
        for _ in range(10):
            relay.send('/book/x')
        assert relay.connections.opened <= 2


class TestAtMostOnce:
    """Unsafe requests are executed once; errors state whether they ran."""

    @pytest.mark.parametrize('fault', ['close', 'cut', 'error', 'garbage'])
    def test_unsafe_request_is_not_retried(
        self, relay: RelayHarness, fault: str
    ) -> None:
        for replica in relay.replicas:
            replica.fault = fault
        relay.send('/book/x')
        assert len(relay.runs()) == 1

    def test_lost_response_has_unknown_outcome(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.fault = 'close'
        error = relay.send('/book/x').error
        assert error is not None
        assert error.status == 502
        assert error.outcome is Outcome.unknown

    def test_request_that_was_not_executed_is_retried(
        self, relay: RelayHarness
    ) -> None:
        relay.replicas[0].fault = 'shed'
        statuses = [relay.send('/book/x').status for _ in range(8)]
        assert statuses == [200] * 8
        assert not relay.replicas[0].runs()

    def test_rejection_by_all_endpoints_is_unavailable(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.fault = 'shed'
        error = relay.send('/book/x').error
        assert error is not None
        assert error.status == 503
        assert not relay.runs()

    def test_unreachable_endpoint_is_skipped(self, relay: RelayHarness) -> None:
        relay.replicas[0].close()
        assert [relay.send('/book/x').status for _ in range(6)] == [200] * 6
        assert relay.metrics.failures.labels('endpoint_unreachable') is not None

    def test_failed_safe_request_is_retried_elsewhere(
        self, relay: RelayHarness
    ) -> None:
        relay.replicas[0].fault = 'error'
        assert [relay.send('/look/x').status for _ in range(6)] == [200] * 6


class TestConfiguration:
    """Requests are admitted by the newest configuration."""

    def test_unknown_key_is_unauthorized(self, relay: RelayHarness) -> None:
        error = relay.send('/look/x', key='other').error
        assert error is not None
        assert error.status == 401

    def test_withdrawn_key_is_unauthorized(self, relay: RelayHarness) -> None:
        table = make_operator_config(
            2, tenants=[{'name': 'account-a', 'apiKeys': []}]
        )
        relay.operators.apply('config', table)
        error = relay.send('/look/x').error
        assert error is not None
        assert error.status == 401

    def test_key_needs_a_fresh_proof(self, relay: RelayHarness) -> None:
        relay.proof_age = 4.9
        error = relay.send('/look/x').error
        assert error is not None
        assert (error.status, error.code) == (503, 'configuration_stale')
        assert relay.send('/open/x').status == 200

    def test_lower_revision_is_ignored(self, relay: RelayHarness) -> None:
        relay.operators.apply('config', make_operator_config(7))
        relay.operators.apply('config', make_operator_config(6, routes=[]))
        assert relay.send('/look/x').status == 200

    def test_unknown_path_is_not_found(self, relay: RelayHarness) -> None:
        error = relay.send('/none/x').error
        assert error is not None
        assert error.status == 404

    def test_evacuated_zone_receives_no_requests(
        self, relay: RelayHarness
    ) -> None:
        relay.operators.apply('evacuate/zone-a', b'{}')
        error = relay.send('/look/x').error
        assert error is not None
        assert error.code == 'no_endpoint'
        relay.operators.apply('evacuate/zone-a', None)
        assert relay.send('/look/x').status == 200


class TestStreams:
    """Streams are complete and in order, also after an interruption."""

    def test_complete_stream(self, relay: RelayHarness) -> None:
        response = relay.send('/draft/x')
        assert response.is_finished
        assert find_ids(response) == [1, 2, 3, 4]

    def test_interrupted_stream_resumes_after_the_last_event(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.events = 6
        # The first endpoint is interrupted, and the other resumes there.
        relay.replicas[0].cut_at = 3
        relay.replicas[1].cut_at = 4
        response = relay.send('/draft/x')
        ids = find_ids(response)
        runs = relay.runs()
        assert ids == list(range(1, len(ids) + 1))
        assert len(runs) == 2
        assert any('Last-Event-Id' in run['headers'] for run in runs)

    def test_stream_truncated_within_an_event_is_aborted(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.cut_at = 2
        response = relay.send('/draft/x')
        assert find_ids(response) == [1]
        assert response.is_aborted
        assert not response.is_finished

    def test_resumed_stream_keeps_its_model(self, relay: RelayHarness) -> None:
        relay.replicas[0].cut_at = 2
        relay.replicas[1].cut_at = 3
        relay.send('/auto/x')
        models = {run['headers']['X-Model'] for run in relay.runs()}
        assert models == {'small'}

    def test_last_event_id_of_the_caller_is_forwarded(
        self, relay: RelayHarness
    ) -> None:
        response = relay.send('/draft/x', Last_Event_Id='2')
        assert find_ids(response) == [3, 4]

    def test_request_is_cancelled_when_the_caller_disconnects(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.events = 2000
            replica.event_delay = 0.02
        response = RecordedResponse()
        threading.Timer(0.2, response.disconnect).start()
        started_at = time.monotonic()
        relay.send('/draft/x', response=response)
        assert time.monotonic() - started_at < 0.2 + CANCEL_SECONDS
        assert any(
            endpoint.disconnects.acquire(timeout=2)
            for endpoint in relay.replicas
        )


class TestModels:
    """The smallest model with sufficient confidence answers."""

    def test_confident_small_model_answers(self, relay: RelayHarness) -> None:
        for replica in relay.replicas:
            replica.model_confidence = {'small': 90, 'large': 90}
        assert relay.send('/auto/x').is_finished
        assert [run['headers']['X-Model'] for run in relay.runs()] == ['small']

    def test_low_confidence_escalates_to_the_largest_model(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.model_confidence = {'small': 20, 'large': 90}
        response = relay.send('/auto/x')
        models = [run['headers']['X-Model'] for run in relay.runs()]
        assert sorted(models) == ['large', 'small']
        assert find_ids(response) == [1, 2, 3, 4]

    def test_model_named_by_the_caller_is_kept(
        self, relay: RelayHarness
    ) -> None:
        relay.send('/draft/x', X_Model='large')
        assert relay.runs()[0]['headers']['X-Model'] == 'large'


class TestDeadlines:
    """Deadlines are enforced and propagated to endpoints."""

    def test_remaining_time_is_sent_to_the_endpoint(
        self, relay: RelayHarness
    ) -> None:
        relay.send('/look/x', deadline_ms=900)
        left = int(relay.runs()[0]['headers']['X-Deadline-Ms'])
        assert 500 < left <= 900

    def test_late_response_ends_with_504(self, relay: RelayHarness) -> None:
        for replica in relay.replicas:
            replica.fault = 'silent'
        started_at = time.monotonic()
        error = relay.send('/book/x', deadline_ms=400).error
        assert error is not None
        assert error.status == 504
        assert time.monotonic() - started_at < 0.5

    def test_expired_deadline_sends_nothing(self, relay: RelayHarness) -> None:
        error = relay.send('/book/x', deadline_ms=1).error
        assert error is not None
        assert not relay.runs()


def find_ids(response: RecordedResponse) -> list[int]:
    """Return the identifiers of the events that a caller received."""
    return [
        int(line[3:])
        for line in response.body.split(b'\n')
        if line.startswith(b'id:')
    ]


class TestAvailableResponses:
    """A response is not discarded if a better one can't be obtained."""

    def test_small_model_answers_without_retry_budget(self) -> None:
        relay = RelayHarness(replicas=1)
        relay.replicas[0].model_confidence = {'small': 10, 'large': 90}
        relay.budget = WindowBudget(0, 0, 10)
        response = relay.send('/auto/x')
        assert response.is_finished
        assert [run['headers']['X-Model'] for run in relay.runs()] == ['small']
        relay.close()

    def test_proof_expiring_during_a_request_is_ignored(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.model_confidence = {'small': 10, 'large': 90}
            replica.event_delay = 0.1
        response = RecordedResponse()
        threading.Timer(0.05, lambda: setattr(relay, 'proof_age', 9.0)).start()
        relay.send('/auto/x', response=response)
        assert response.is_finished


class TestStart:
    """All entries restart at once under full traffic."""

    def test_request_waits_for_the_first_read(
        self, relay: RelayHarness
    ) -> None:
        first_read = threading.Event()
        relay.reads.append(first_read)
        threading.Timer(0.3, first_read.set).start()
        response = relay.send('/look/x')
        assert response.status == 200

    def test_unavailable_store_delays_requests_briefly(
        self, relay: RelayHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        relay.reads.append(threading.Event())
        now = time.monotonic()
        monkeypatch.setattr(
            time, 'monotonic', lambda: now + STARTUP_TIMEOUT_SECONDS + 0.1
        )
        started_at = time.perf_counter()
        relay.send('/look/x')
        assert time.perf_counter() - started_at < STARTUP_TIMEOUT_SECONDS

    def test_deadline_ends_the_wait(self, relay: RelayHarness) -> None:
        relay.reads.append(threading.Event())
        started_at = time.perf_counter()
        response = relay.send('/look/x', X_Deadline_Ms='200')
        assert time.perf_counter() - started_at < STARTUP_TIMEOUT_SECONDS
        assert response.error is not None
        assert relay.runs() == []


class TestCanary:
    """The canary version fails and has few endpoints."""

    @pytest.mark.parametrize('fault', ['error', 'close'])
    def test_failure_is_retried_at_the_baseline(
        self, relay: RelayHarness, fault: str
    ) -> None:
        new = relay.replicas[1]
        new.fault = fault
        relay.endpoints.apply(new.identifier, new.record(version='v2'))
        relay.operators.apply(
            'rollout/desk',
            b'{"service": "desk", "target": "v2", "durationS": 20}',
        )
        responses = [
            relay.send('/draft/x', Session=f's{number}') for number in range(40)
        ]
        assert new.runs()
        assert {response.status for response in responses} == {200}


class TestAnnouncements:
    """What an endpoint announces in its responses is respected at once."""

    # Guards against requests to an endpoint that said that it is leaving.
    def test_leaving_endpoint_gets_no_further_request(
        self, relay: RelayHarness
    ) -> None:
        leaving = relay.replicas[0]
        leaving.is_leaving = True
        while not leaving.runs():
            relay.send('/look/x')
        before = len(leaving.runs())
        for _ in range(20):
            assert relay.send('/look/x').status == 200
        assert len(leaving.runs()) == before

    # Guards against its use after an outage in which its record expired.
    def test_leaving_endpoint_stays_unused_when_it_registers_again(
        self, relay: RelayHarness
    ) -> None:
        leaving = relay.replicas[0]
        leaving.is_leaving = True
        while not leaving.runs():
            relay.send('/look/x')
        before = len(leaving.runs())
        relay.endpoints.apply(leaving.identifier, None)
        relay.endpoints.apply(leaving.identifier, leaving.record(sequence=2))
        for _ in range(20):
            relay.send('/look/x')
        assert len(leaving.runs()) == before

    def test_new_incarnation_of_a_leaving_endpoint_is_used(
        self, relay: RelayHarness
    ) -> None:
        leaving = relay.replicas[0]
        leaving.is_leaving = True
        while not leaving.runs():
            relay.send('/look/x')
        before = len(leaving.runs())
        leaving.is_leaving = False
        relay.endpoints.apply(leaving.identifier, leaving.record(born=2))
        relay.endpoints.apply(relay.replicas[1].identifier, None)
        assert relay.send('/look/x').status == 200
        assert len(leaving.runs()) == before + 1

    # Guards against requests to an endpoint that asked this entry to wait.
    def test_endpoint_that_asked_to_wait_gets_nothing_until_then(
        self, relay: RelayHarness
    ) -> None:
        busy = relay.replicas[0]
        busy.fault = 'shed'
        busy.retry_after = '0.6'
        while not busy.refusals:
            relay.send('/look/x')
        for _ in range(20):
            assert relay.send('/look/x').status == 200
        assert busy.refusals == 1
        busy.fault = ''
        relay.endpoints.apply(relay.replicas[1].identifier, None)
        assert relay.send('/look/x').status == 0
        time.sleep(0.6)
        assert relay.send('/look/x').status == 200

    @pytest.mark.parametrize('text', ['soon', '-1', 'nan', 'inf', ''])
    def test_unusable_time_to_wait_is_ignored(
        self, relay: RelayHarness, text: str
    ) -> None:
        for replica in relay.replicas:
            replica.fault = 'shed'
            replica.retry_after = text
            replica.faults_left = 1
        relay.send('/look/x')
        assert relay.send('/look/x').status == 200

    # Guards against callers that return before any endpoint accepts them.
    def test_caller_is_told_when_the_first_endpoint_accepts_again(
        self, relay: RelayHarness
    ) -> None:
        for replica, seconds in zip(relay.replicas, ('3', '5'), strict=True):
            replica.fault = 'shed'
            replica.retry_after = seconds
        relay.send('/look/x')
        error = relay.send('/look/x').error
        assert error is not None
        assert (error.status, error.code) == (503, 'no_endpoint')
        assert error.retry_after == pytest.approx(3, abs=0.2)


class TestBrokenStreams:
    """A stream that breaks off goes on as a stream, or is seen to be broken."""

    @pytest.fixture
    def broken(self, relay: RelayHarness) -> RelayHarness:
        """Return a relay whose endpoints break the first stream off."""
        for replica in relay.replicas:
            replica.cut_at = 3
        return relay

    # Guards against an error's text, or an end, in the middle of a stream.
    @pytest.mark.parametrize(
        'fault', ['error', 'text', 'not_found', 'shed', 'garbage', 'unsigned']
    )
    def test_answer_of_the_next_endpoint_is_no_part_of_the_stream(
        self, broken: RelayHarness, fault: str
    ) -> None:
        first, second = broken.replicas
        broken.endpoints.apply(second.identifier, None)
        second.fault = fault
        first.on_cut = lambda: broken.endpoints.apply(
            second.identifier, second.record()
        )
        response = broken.send('/draft/x')
        assert response.body == (
            b'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n'
        )
        assert response.is_aborted
        assert not response.is_finished

    # Guards against a crash that looks like the end of a resumed stream.
    def test_resumed_stream_without_length_or_event_is_not_complete(
        self, broken: RelayHarness
    ) -> None:
        first, second = broken.replicas
        broken.endpoints.apply(second.identifier, None)
        second.fault = 'unframed_empty'
        first.on_cut = lambda: broken.endpoints.apply(
            second.identifier, second.record()
        )
        response = broken.send('/draft/x')
        assert response.is_aborted
        assert not response.is_finished

    def test_stream_that_ends_with_its_connection_is_complete(
        self, relay: RelayHarness
    ) -> None:
        for replica in relay.replicas:
            replica.is_framed = False
        response = relay.send('/draft/x')
        assert response.body.count(b'id:') == 4
        assert response.is_finished

    def test_stream_that_ends_within_an_event_is_resumed(
        self, broken: RelayHarness
    ) -> None:
        for replica in broken.replicas:
            replica.is_framed = False
        broken.replicas[1].cut_at = 0
        broken.endpoints.apply(broken.replicas[1].identifier, None)
        broken.replicas[0].on_cut = lambda: broken.endpoints.apply(
            broken.replicas[1].identifier, broken.replicas[1].record()
        )
        response = broken.send('/draft/x')
        assert response.body.count(b'id:') == 4
        assert response.is_finished
