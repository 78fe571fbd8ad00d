"""Guarantees for single requests that hold while processes and links fail."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.calls import Response, call, wait_until

from .fleet import SERVICES, SmallFleet

NOT_RUN = 'not_run'


@pytest.fixture(scope='module')
def fleet() -> Iterator[SmallFleet]:
    """Return a fleet whose links all run through the fault proxy."""
    with SmallFleet(('e1', 'e2'), proxy=True, log={'level': 'INFO'}) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def without_faults(fleet: SmallFleet) -> Iterator[None]:
    """Remove all faults after each test."""
    yield
    fleet.clear_faults()


def read_outcome(answer: Response) -> str:
    """Return 'done' or the outcome in an error body."""
    if answer.status < 300:
        return 'done'
    return str(answer.json()['error']['outcome'])


def count_bookings(fleet: SmallFleet) -> Counter[str]:
    """Return the number of executions per booking body."""
    return Counter(row['body'] for row in fleet.service_rows())


def count_executions(fleet: SmallFleet, body: object) -> int:
    """Return how often the service executed a booking."""
    return count_bookings(fleet)[json.dumps(body)]


def run_in_background(action: Any) -> tuple[threading.Thread, list[Any]]:
    """Run an action in a thread that puts its result into the list."""
    results: list[Any] = []

    def work() -> None:
        try:
            results.append(action())
        except OSError as error:
            results.append(error)

    thread = threading.Thread(target=work)
    thread.start()
    return thread, results


class TestModelRefusals:
    """A failed model request says correctly whether it may have run."""

    def test_failed_then_unreachable(self, fleet: SmallFleet) -> None:
        """The outcome is unknown if the first of two attempts may have run."""
        engine = fleet.engines['m1']
        call(engine, 'POST', '/fault', {'status': 500})
        fleet.set_proxy_fault('engine:m2', 'refuse')
        before = call(engine, 'GET', '/journal').json()['refused']
        answer = fleet.chat(headers={'X-Deadline-Ms': '2500'})
        after = call(engine, 'GET', '/journal').json()['refused']
        call(engine, 'POST', '/fault', {'status': 0})
        assert answer.status >= 500
        assert after > before
        assert read_outcome(answer) == 'unknown'

    def test_deadline_while_running(self, fleet: SmallFleet) -> None:
        """The outcome is unknown if the deadline passes during the run."""
        for name in ('m1', 'm2'):
            fault = {'token_delay': 1.0}
            call(fleet.engines[name], 'POST', '/fault', fault)
        time.sleep(0.1)
        answer = fleet.chat(headers={'X-Deadline-Ms': '500'})
        for name in ('m1', 'm2'):
            call(fleet.engines[name], 'POST', '/fault', {'token_delay': 0.0})
        assert answer.json()['error']['code'] == 'deadline_exceeded'
        assert read_outcome(answer) == 'unknown'

    def test_unreachable_everywhere(self, fleet: SmallFleet) -> None:
        """The request didn't run if no model server could be reached."""
        fleet.set_proxy_fault('engine:*', 'refuse')
        answer = fleet.chat(headers={'X-Deadline-Ms': '1500'})
        assert read_outcome(answer) == NOT_RUN


class TestNonIdempotent:
    """A booking or a refund runs at most once."""

    def test_reply_lost_after_it_ran(self, fleet: SmallFleet) -> None:
        """The outcome is unknown if the call ran and its reply is lost."""
        service = fleet.services['b1']
        call(service, 'POST', '/fault', {'lose_replies': 1})
        answer = fleet.book(body={'lost': 1})
        assert read_outcome(answer) == 'unknown'
        assert count_executions(fleet, {'lost': 1}) == 1

    def test_endpoint_unreachable(self, fleet: SmallFleet) -> None:
        """A call that never reached the service is reported as not run."""
        fleet.set_proxy_fault('service:b1', 'refuse')
        answer = fleet.book(body={'cut': 1})
        assert read_outcome(answer) == NOT_RUN
        assert count_executions(fleet, {'cut': 1}) == 0

    def test_peer_stream_cut_while_running(self, fleet: SmallFleet) -> None:
        """The entry gets the response over a new stream; the call runs once."""
        service = fleet.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 1.0})
        thread, results = run_in_background(
            lambda: fleet.book(key='cut-1', body={'stream': 'cut'})
        )
        wait_until(
            lambda: count_executions(fleet, {'stream': 'cut'}), 10, 'the run'
        )
        fleet.set_proxy_fault('peer:*:b1', 'cut')
        time.sleep(0.2)
        fleet.set_proxy_fault('peer:*:b1', 'none')
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        assert results[0].status == 201
        assert count_executions(fleet, {'stream': 'cut'}) == 1

    def test_paused_sidecar_resumes(self, fleet: SmallFleet) -> None:
        """A call that timed out at a paused sidecar reports a true outcome.

        The sidecar may still receive it once it resumes; a call reported as
        not run must not run then.
        """
        sidecar = fleet.daemons['b1']
        sidecar.pause()
        answer = fleet.book(body={'frozen': 1}, deadline_ms=1500)
        assert read_outcome(answer) in {'unknown', NOT_RUN}
        sidecar.resume()
        fleet.wait_ready('b1')
        time.sleep(1.5)
        limit = 0 if read_outcome(answer) == NOT_RUN else 1
        assert count_executions(fleet, {'frozen': 1}) <= limit

    def test_concurrent_requests_with_one_key(self, fleet: SmallFleet) -> None:
        """Twenty equal requests at two entries run once, with one response."""
        with ThreadPoolExecutor(20) as workers:
            answers = list(
                workers.map(
                    lambda number: fleet.book(
                        ('e1', 'e2')[number % 2], key='same', body={'same': 1}
                    ),
                    range(20),
                )
            )
        assert {answer.status for answer in answers} == {201}
        assert len({answer.body for answer in answers}) == 1
        assert count_executions(fleet, {'same': 1}) == 1

    def test_key_with_another_body(self, fleet: SmallFleet) -> None:
        """Reuse of a key for a different request is a conflict."""
        assert fleet.book(key='reused', body={'a': 1}).status == 201
        answer = fleet.book('e2', key='reused', body={'a': 2})
        assert answer.status == 409
        assert answer.json()['error']['code'] == 'idempotency_conflict'
        assert count_executions(fleet, {'a': 2}) == 0

    def test_key_during_and_after_log_outage(self, fleet: SmallFleet) -> None:
        """A log outage rejects calls with a key, but not those without."""
        fleet.set_platform_fault(log_down_seconds=4)
        keyed = fleet.book(key='outage', body={'outage': 'keyed'})
        unkeyed = fleet.book(body={'outage': 'unkeyed'})
        assert read_outcome(keyed) == NOT_RUN
        assert count_executions(fleet, {'outage': 'keyed'}) == 0
        assert unkeyed.status == 201
        fleet.set_platform_fault(log_down_seconds=0)
        again = fleet.book('e2', key='outage', body={'outage': 'keyed'})
        assert again.status == 201
        assert count_executions(fleet, {'outage': 'keyed'}) == 1

    def test_claim_answer_lost(self, fleet: SmallFleet) -> None:
        """A call whose claim was appended without a reply runs once."""
        fleet.set_platform_fault(lose_answers=1)
        answer = fleet.book(key='lost-claim', body={'claim': 'lost'})
        again = fleet.book('e2', key='lost-claim', body={'claim': 'lost'})
        assert (answer.status, again.status) == (201, 201)
        assert answer.body == again.body
        assert count_executions(fleet, {'claim': 'lost'}) == 1

    def test_owner_killed_after_dispatch(self, fleet: SmallFleet) -> None:
        """Another entry gets the response from the sidecar."""
        service = fleet.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 1.0})
        thread, _ = run_in_background(
            lambda: fleet.book('e1', key='owner', body={'owner': 'killed'})
        )
        wait_until(
            lambda: count_executions(fleet, {'owner': 'killed'}), 10, 'the run'
        )
        fleet.daemons['e1'].kill()
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        answer = fleet.book('e2', key='owner', body={'owner': 'killed'})
        assert answer.status == 201
        assert answer.headers['idempotent-replayed'] == 'true'
        assert count_executions(fleet, {'owner': 'killed'}) == 1

    def test_owner_and_sidecar_killed(self, fleet: SmallFleet) -> None:
        """The outcome is unknown without both, and the call never reruns."""
        service = fleet.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 2.0})
        thread, _ = run_in_background(
            lambda: fleet.book('e1', key='both', body={'both': 'killed'})
        )
        wait_until(
            lambda: count_executions(fleet, {'both': 'killed'}), 10, 'the run'
        )
        fleet.daemons['e1'].kill()
        fleet.daemons['b1'].kill()
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        fleet.daemons['b1'].start()
        fleet.wait_ready('b1')
        wait_until(
            lambda: fleet.status('e2')['instances'][2]['connected'], 15, 'link'
        )
        answer = fleet.book('e2', key='both', body={'both': 'killed'})
        assert read_outcome(answer) == 'unknown'
        assert count_executions(fleet, {'both': 'killed'}) == 1

    def test_key_after_all_entries_replaced(self, fleet: SmallFleet) -> None:
        """Restarted entries know the key from the log."""
        first = fleet.book(key='old', body={'old': 1})
        for name in ('e1', 'e2'):
            fleet.daemons[name].kill()
            fleet.daemons[name].start()
        fleet.wait_ready()
        again = fleet.book('e2', key='old', body={'old': 1})
        assert (again.status, again.body) == (201, first.body)
        assert count_executions(fleet, {'old': 1}) == 1


class TestWithdrawnRule:
    """A rule that allows repeating a call is withdrawn while the call runs."""

    # Guards against a second run by the rules at the call's arrival.
    def test_lost_reply_is_not_asked_for_again(self, fleet: SmallFleet) -> None:
        service = fleet.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 2, 'lose_replies': 1})
        thread, results = run_in_background(
            lambda: fleet.look_up('sheets/withdrawn')
        )

        def count_runs() -> int:
            paths = [row['path'] for row in fleet.service_rows()]
            return paths.count('/sheets/withdrawn')

        try:
            wait_until(count_runs, 10, 'the run')
            fleet.apply('e1', 'service/booking', {'repeatable': []})
            thread.join()
        finally:
            call(service, 'POST', '/fault', {'delay_seconds': 0})
            fleet.apply('e1', 'service/booking', SERVICES['booking'])
        assert read_outcome(results[0]) == 'unknown'
        assert count_runs() == 1

    def test_lost_reply_is_asked_for_again_by_the_rule(
        self, fleet: SmallFleet
    ) -> None:
        call(fleet.services['b1'], 'POST', '/fault', {'lose_replies': 1})
        assert fleet.look_up('sheets/kept').status == 200
        paths = [row['path'] for row in fleet.service_rows()]
        assert paths.count('/sheets/kept') == 2


class TestCompleteResponse:
    """A caller gets the complete response to its own request."""

    def test_engine_stream_breaks(self, fleet: SmallFleet) -> None:
        """A stream that breaks at the model server is resumed without a gap."""
        for address in fleet.engines.values():
            call(address, 'POST', '/fault', {'break_after': 5})
        answer = fleet.chat(
            stream=True, max_tokens=30, metadata={'tokens': '30'}
        )
        for address in fleet.engines.values():
            call(address, 'POST', '/fault', {'break_after': 0})
        assert read_words(answer) == [f'w{number}' for number in range(1, 31)]
        assert answer.body.endswith(b'data: [DONE]\n\n')

    def test_peer_stream_cut_mid_answer(self, fleet: SmallFleet) -> None:
        """A cut between entry and sidecar leaves no gap in the response."""
        thread, results = run_in_background(
            lambda: fleet.chat(
                stream=True, max_tokens=200, metadata={'tokens': '200'}
            )
        )
        time.sleep(0.7)
        fleet.set_proxy_fault('peer:*', 'cut')
        time.sleep(0.3)
        fleet.set_proxy_fault('peer:*', 'none')
        thread.join()
        words = [f'w{number}' for number in range(1, 201)]
        assert read_words(results[0]) == words
        assert results[0].body.endswith(b'data: [DONE]\n\n')

    def test_concurrent_requests_over_slow_links(
        self, fleet: SmallFleet
    ) -> None:
        """No responses are mixed up if each link adds its own delay."""
        fleet.set_proxy_fault('*', 'delay', 0.05)
        with ThreadPoolExecutor(12) as workers:
            answers = list(
                workers.map(
                    lambda number: (
                        number,
                        fleet.chat(
                            ('e1', 'e2')[number % 2],
                            stream=bool(number % 2),
                            max_tokens=5 + number,
                            metadata={'tokens': str(5 + number)},
                        ),
                    ),
                    range(24),
                )
            )
        for number, answer in answers:
            assert answer.status == 200, answer.body
            words = [f'w{index}' for index in range(1, 6 + number)]
            assert read_words(answer) == words

    def test_sidecar_killed_mid_answer(self, fleet: SmallFleet) -> None:
        """A stream that can't be resumed ends with an error event."""
        thread, results = run_in_background(
            lambda: fleet.chat(
                model='large@1',
                stream=True,
                max_tokens=400,
                metadata={'tokens': '400'},
            )
        )
        busy_sidecar = wait_until(
            lambda: find_busy_sidecar(fleet), 10, 'a running stream'
        )
        time.sleep(0.5)
        fleet.daemons[busy_sidecar].kill()
        thread.join()
        last = results[0].body.rstrip().rpartition(b'\n\n')[2]
        assert b'"outcome": "unknown"' in last
        assert not results[0].body.endswith(b'[DONE]\n\n')

    def test_sidecar_killed_before_first_byte(self, fleet: SmallFleet) -> None:
        """A request without a first byte is retried at another endpoint."""
        for address in fleet.engines.values():
            call(address, 'POST', '/fault', {'token_delay': 0.4})
        thread, results = run_in_background(lambda: fleet.chat(max_tokens=2))
        busy_sidecar = wait_until(
            lambda: find_busy_sidecar(fleet), 10, 'a running request'
        )
        fleet.daemons[busy_sidecar].kill()
        for address in fleet.engines.values():
            call(address, 'POST', '/fault', {'token_delay': 0.0})
        thread.join()
        assert results[0].status == 200, results[0].body


def find_busy_sidecar(fleet: SmallFleet) -> str:
    """Return the sidecar whose model server runs a request, or ''."""
    for name, address in fleet.engines.items():
        rows = fleet.journal(address)
        if any(row.get('state') == 'running' for row in rows):
            return name
    return ''


def read_words(answer: Response) -> list[str]:
    """Return the words of a response, streamed or not."""
    if 'event-stream' not in answer.headers['content-type']:
        text = answer.json()['choices'][0]['message']['content']
    else:
        text = ''.join(
            choice['delta'].get('content', '')
            for line in answer.body.split(b'\n\n')
            if line.startswith(b'data: {')
            for choice in json.loads(line[6:])['choices']
        )
    return [word for word in text.split() if word.startswith('w')]
