"""Requests through the relay: answers, failures and truthful refusals."""

import threading
import time
from collections.abc import Iterator

import pytest

from standins.tables import make_table
from toucancourse.admission.limits import WindowBudget
from toucancourse.errors import Outcome
from toucancourse.membership.startup import STARTUP_TIMEOUT_SECONDS

from .forwarding import Caller, Desk

#: Time within which work must end after its caller left, in seconds.
LEFT_SECONDS = 0.5


@pytest.fixture
def desk() -> Iterator[Desk]:
    """Return a relay before two endpoints."""
    built = Desk()
    yield built
    built.close()


class TestAnswers:
    """Answers reach their own caller, whole."""

    def test_request_goes_through_unchanged(self, desk: Desk) -> None:
        caller = desk.send('/look/a%2Fb?x=1', body=b'what', X_Tenant='forged')
        run = desk.runs()[0]
        assert caller.status == 200
        assert (run['path'], run['body']) == ('/look/a%2Fb?x=1', b'what')
        assert run['headers']['X-Tenant'] == 'account-a'
        assert 'X-Key' not in run['headers']
        assert caller.headers['X-Server-Signature'] == 'test-signature'

    def test_headers_of_the_system_are_not_taken_from_callers(
        self, desk: Desk
    ) -> None:
        desk.send(
            '/open/x',
            X_Tenant='forged',
            X_Pin_Duration_Ms='9',
            Kv_From='1.2.3.4:5/h',
            X_Cache_Retention='r',
            X_Kv_Backup='1.2.3.4:5',
        )
        names = {name.lower() for name in desk.runs()[0]['headers']}
        assert not names & {
            'x-tenant',
            'x-key',
            'x-pin-duration-ms',
            'kv-from',
            'x-cache-retention',
            'x-kv-backup',
        }

    def test_bytes_after_an_answer_are_not_the_next_one(
        self, desk: Desk
    ) -> None:
        for replica in desk.replicas:
            replica.fault = 'extra'
        bodies = [desk.send(f'/look/{row}').body for row in range(6)]
        assert all(body.startswith(b'answer of i-') for body in bodies)

    @pytest.mark.parametrize('fault', ['cut', 'garbage', 'crossed', 'unsigned'])
    def test_damaged_answer_is_asked_for_again(
        self, desk: Desk, fault: str
    ) -> None:
        for replica in desk.replicas:
            replica.fault = fault
            replica.faults_left = 1
        caller = desk.send('/look/x')
        # Both endpoints fail once, so a second request shows the recovery.
        assert caller.error is None or caller.error.status == 502
        assert desk.send('/look/x').status == 200

    @pytest.mark.parametrize('fault', ['cut', 'garbage', 'crossed', 'unsigned'])
    def test_damaged_answer_never_succeeds(
        self, desk: Desk, fault: str
    ) -> None:
        for replica in desk.replicas:
            replica.fault = fault
        caller = desk.send('/book/x')
        assert caller.status == 0
        assert caller.error is not None
        assert caller.error.status == 502

    def test_large_body_goes_over_a_kept_connection(self, desk: Desk) -> None:
        body = bytes(3_000_000)
        for replica in desk.replicas:
            replica.read_pause = 0.1
        desk.send('/look/x')
        desk.send('/look/x')
        assert desk.send('/look/x', body=body).status == 200
        assert any(run['body'] == body for run in desk.runs())

    def test_connection_is_used_again(self, desk: Desk) -> None:
        for _ in range(10):
            desk.send('/book/x')
        assert desk.connections.made <= 2


class TestAtMostOnce:
    """An unsafe request runs once, and refusals are true."""

    @pytest.mark.parametrize('fault', ['close', 'cut', 'error', 'garbage'])
    def test_unsafe_request_is_not_sent_again(
        self, desk: Desk, fault: str
    ) -> None:
        for replica in desk.replicas:
            replica.fault = fault
        desk.send('/book/x')
        assert len(desk.runs()) == 1

    def test_lost_answer_is_no_refusal(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.fault = 'close'
        error = desk.send('/book/x').error
        assert error is not None
        assert error.status == 502
        assert error.outcome is Outcome.unknown

    def test_request_that_did_not_run_goes_on(self, desk: Desk) -> None:
        desk.replicas[0].fault = 'shed'
        answers = [desk.send('/book/x').status for _ in range(8)]
        assert answers == [200] * 8
        assert not desk.replicas[0].runs()

    def test_refusal_by_all_is_one_of_ours(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.fault = 'shed'
        error = desk.send('/book/x').error
        assert error is not None
        assert error.status == 503
        assert not desk.runs()

    def test_unreachable_endpoint_is_left_alone(self, desk: Desk) -> None:
        desk.replicas[0].close()
        assert [desk.send('/book/x').status for _ in range(6)] == [200] * 6
        assert desk.metrics.failures.labels('endpoint_unreachable') is not None

    def test_failure_of_a_safe_request_is_tried_elsewhere(
        self, desk: Desk
    ) -> None:
        desk.replicas[0].fault = 'error'
        assert [desk.send('/look/x').status for _ in range(6)] == [200] * 6


class TestConfiguration:
    """What may be served follows from the newest configuration."""

    def test_unknown_key_is_refused(self, desk: Desk) -> None:
        error = desk.send('/look/x', key='other').error
        assert error is not None
        assert error.status == 401

    def test_withdrawn_key_is_refused(self, desk: Desk) -> None:
        table = make_table(2, tenants=[{'name': 'account-a', 'apiKeys': []}])
        desk.operators.apply('config', table)
        error = desk.send('/look/x').error
        assert error is not None
        assert error.status == 401

    def test_key_needs_a_fresh_proof(self, desk: Desk) -> None:
        desk.age = 4.9
        error = desk.send('/look/x').error
        assert error is not None
        assert (error.status, error.code) == (503, 'configuration_stale')
        assert desk.send('/open/x').status == 200

    def test_lower_revision_is_not_taken(self, desk: Desk) -> None:
        desk.operators.apply('config', make_table(7))
        desk.operators.apply('config', make_table(6, routes=[]))
        assert desk.send('/look/x').status == 200

    def test_unknown_path_is_not_found(self, desk: Desk) -> None:
        error = desk.send('/none/x').error
        assert error is not None
        assert error.status == 404

    def test_zone_that_is_out_gets_nothing(self, desk: Desk) -> None:
        desk.operators.apply('evacuate/zone-a', b'{}')
        error = desk.send('/look/x').error
        assert error is not None
        assert error.code == 'no_endpoint'
        desk.operators.apply('evacuate/zone-a', None)
        assert desk.send('/look/x').status == 200


class TestStreams:
    """Streams arrive whole, in order, and go on elsewhere if cut."""

    def test_whole_stream(self, desk: Desk) -> None:
        caller = desk.send('/draft/x')
        assert caller.is_finished
        assert find_ids(caller) == [1, 2, 3, 4]

    def test_cut_stream_goes_on_after_the_last_event(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.events = 6
        # Whichever runs first is cut; the other begins after that event.
        desk.replicas[0].cut_at = 3
        desk.replicas[1].cut_at = 4
        caller = desk.send('/draft/x')
        ids = find_ids(caller)
        runs = desk.runs()
        assert ids == list(range(1, len(ids) + 1))
        assert len(runs) == 2
        assert any('Last-Event-Id' in run['headers'] for run in runs)

    def test_stream_never_ends_as_complete_within_an_event(
        self, desk: Desk
    ) -> None:
        for replica in desk.replicas:
            replica.cut_at = 2
        caller = desk.send('/draft/x')
        assert find_ids(caller) == [1]
        assert caller.is_aborted
        assert not caller.is_finished

    def test_resumed_stream_keeps_its_model(self, desk: Desk) -> None:
        desk.replicas[0].cut_at = 2
        desk.replicas[1].cut_at = 3
        desk.send('/auto/x')
        models = {run['headers']['X-Model'] for run in desk.runs()}
        assert models == {'small'}

    def test_callers_last_event_is_handed_on(self, desk: Desk) -> None:
        caller = desk.send('/draft/x', Last_Event_Id='2')
        assert find_ids(caller) == [3, 4]

    def test_work_ends_when_the_caller_leaves(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.events = 2000
            replica.pace = 0.02
        caller = Caller()
        threading.Timer(0.2, caller.leave).start()
        began = time.monotonic()
        desk.send('/draft/x', caller=caller)
        assert time.monotonic() - began < 0.2 + LEFT_SECONDS
        assert any(row.left.acquire(timeout=2) for row in desk.replicas)


class TestModels:
    """The smallest model that is good enough answers."""

    def test_confident_small_model_answers(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.opinions = {'small': 90, 'large': 90}
        assert desk.send('/auto/x').is_finished
        assert [run['headers']['X-Model'] for run in desk.runs()] == ['small']

    def test_doubtful_answer_is_asked_of_the_largest(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.opinions = {'small': 20, 'large': 90}
        caller = desk.send('/auto/x')
        models = [run['headers']['X-Model'] for run in desk.runs()]
        assert sorted(models) == ['large', 'small']
        assert find_ids(caller) == [1, 2, 3, 4]

    def test_callers_model_is_kept(self, desk: Desk) -> None:
        desk.send('/draft/x', X_Model='large')
        assert desk.runs()[0]['headers']['X-Model'] == 'large'


class TestTime:
    """Requests end in time, with what is left told to endpoints."""

    def test_deadline_is_passed_on_shortened(self, desk: Desk) -> None:
        desk.send('/look/x', deadline_ms=900)
        left = int(desk.runs()[0]['headers']['X-Deadline-Ms'])
        assert 500 < left <= 900

    def test_late_answer_ends_with_504(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.fault = 'silent'
        began = time.monotonic()
        error = desk.send('/book/x', deadline_ms=400).error
        assert error is not None
        assert error.status == 504
        assert time.monotonic() - began < 0.5

    def test_passed_deadline_is_refused_at_once(self, desk: Desk) -> None:
        error = desk.send('/book/x', deadline_ms=1).error
        assert error is not None
        assert not desk.runs()


def find_ids(caller: Caller) -> list[int]:
    """Return the identifiers of the events that a caller received."""
    return [
        int(line[3:])
        for line in caller.body.split(b'\n')
        if line.startswith(b'id:')
    ]


class TestReadyAnswers:
    """An answer that is there isn't given up for one that can't come."""

    def test_small_answer_is_kept_without_a_budget(self) -> None:
        desk = Desk(replicas=1)
        desk.replicas[0].opinions = {'small': 10, 'large': 90}
        desk.budget = WindowBudget(0, 0, 10)
        caller = desk.send('/auto/x')
        assert caller.is_finished
        assert [run['headers']['X-Model'] for run in desk.runs()] == ['small']
        desk.close()

    def test_proof_that_ages_on_the_way_stops_nothing(self, desk: Desk) -> None:
        for replica in desk.replicas:
            replica.opinions = {'small': 10, 'large': 90}
            replica.pace = 0.1
        caller = Caller()
        threading.Timer(0.05, lambda: setattr(desk, 'age', 9.0)).start()
        desk.send('/auto/x', caller=caller)
        assert caller.is_finished


class TestStart:
    """Pattern: all entries start again at once, under full traffic."""

    def test_request_waits_for_the_first_read(self, desk: Desk) -> None:
        read = threading.Event()
        desk.reads.append(read)
        threading.Timer(0.3, read.set).start()
        caller = desk.send('/look/x')
        assert caller.status == 200

    def test_store_that_stays_away_holds_nobody_for_long(
        self, desk: Desk, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        desk.reads.append(threading.Event())
        now = time.monotonic()
        monkeypatch.setattr(
            time, 'monotonic', lambda: now + STARTUP_TIMEOUT_SECONDS + 0.1
        )
        began = time.perf_counter()
        desk.send('/look/x')
        assert time.perf_counter() - began < STARTUP_TIMEOUT_SECONDS

    def test_deadline_ends_the_wait(self, desk: Desk) -> None:
        desk.reads.append(threading.Event())
        began = time.perf_counter()
        caller = desk.send('/look/x', X_Deadline_Ms='200')
        assert time.perf_counter() - began < STARTUP_TIMEOUT_SECONDS
        assert caller.error is not None
        assert desk.runs() == []


class TestTriedVersion:
    """Pattern: a new version fails, and only few of its endpoints are up."""

    @pytest.mark.parametrize('fault', ['error', 'close'])
    def test_failure_goes_on_at_the_old_version(
        self, desk: Desk, fault: str
    ) -> None:
        new = desk.replicas[1]
        new.fault = fault
        desk.endpoints.apply(new.identifier, new.record(version='v2'))
        desk.operators.apply(
            'rollout/desk',
            b'{"service": "desk", "target": "v2", "durationS": 20}',
        )
        callers = [
            desk.send('/draft/x', Session=f's{row}') for row in range(40)
        ]
        assert new.runs()
        assert {caller.status for caller in callers} == {200}
