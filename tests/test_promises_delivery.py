"""Promises on single requests, kept while processes and links fail."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.calls import Answer, call, wait_until

from .world import World

NOT_RUN = 'not_run'


@pytest.fixture(scope='module')
def world() -> Iterator[World]:
    """Return a fleet whose links all run through the fault proxy."""
    with World(('e1', 'e2'), proxy=True, log={'level': 'INFO'}) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def healed(world: World) -> Iterator[None]:
    """Let each test start and end without faults."""
    yield
    world.heal()


def outcome(answer: Answer) -> str:
    """Return 'done' or the outcome of an error."""
    if answer.status < 300:
        return 'done'
    return str(answer.json()['error']['outcome'])


def count_bookings(world: World) -> Counter[str]:
    """Return how often each booking's body was executed."""
    return Counter(row['body'] for row in world.service_rows())


def executed(world: World, body: object) -> int:
    """Return how often a booking was executed."""
    return count_bookings(world)[json.dumps(body)]


def in_background(action: Any) -> tuple[threading.Thread, list[Any]]:
    """Run an action in a thread; its result comes in the list."""
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
    """A refused model request says truly whether an engine had it."""

    def test_failed_then_unreachable(self, world: World) -> None:
        """The second try did not run, but the first one did."""
        engine = world.engines['m1']
        call(engine, 'POST', '/fault', {'status': 500})
        world.set_fault('engine:m2', 'refuse')
        before = call(engine, 'GET', '/journal').json()['refused']
        answer = world.chat(headers={'X-Deadline-Ms': '2500'})
        after = call(engine, 'GET', '/journal').json()['refused']
        call(engine, 'POST', '/fault', {'status': 0})
        assert answer.status >= 500
        assert after > before
        assert outcome(answer) == 'unknown'

    def test_deadline_while_running(self, world: World) -> None:
        """The deadline passed while an engine worked on it."""
        for name in ('m1', 'm2'):
            fault = {'token_delay': 1.0}
            call(world.engines[name], 'POST', '/fault', fault)
        time.sleep(0.1)
        answer = world.chat(headers={'X-Deadline-Ms': '500'})
        for name in ('m1', 'm2'):
            call(world.engines[name], 'POST', '/fault', {'token_delay': 0.0})
        assert answer.json()['error']['code'] == 'deadline_exceeded'
        assert outcome(answer) == 'unknown'

    def test_unreachable_everywhere(self, world: World) -> None:
        """No engine could be reached: not run."""
        world.set_fault('engine:*', 'refuse')
        answer = world.chat(headers={'X-Deadline-Ms': '1500'})
        assert outcome(answer) == NOT_RUN


class TestNonIdempotent:
    """A booking or a refund runs at most once."""

    def test_reply_lost_after_it_ran(self, world: World) -> None:
        """The service ran it and its answer was lost: outcome unknown."""
        service = world.services['b1']
        call(service, 'POST', '/fault', {'lose_replies': 1})
        answer = world.book(body={'lost': 1})
        assert outcome(answer) == 'unknown'
        assert executed(world, {'lost': 1}) == 1

    def test_endpoint_unreachable(self, world: World) -> None:
        """No byte reached the service: the refusal says so and is true."""
        world.set_fault('service:b1', 'refuse')
        answer = world.book(body={'cut': 1})
        assert outcome(answer) == NOT_RUN
        assert executed(world, {'cut': 1}) == 0

    def test_peer_stream_cut_while_running(self, world: World) -> None:
        """The entry takes the answer over a new stream; it runs once."""
        service = world.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 1.0})
        thread, results = in_background(
            lambda: world.book(key='cut-1', body={'stream': 'cut'})
        )
        wait_until(lambda: executed(world, {'stream': 'cut'}), 10, 'the run')
        world.set_fault('peer:*:b1', 'cut')
        time.sleep(0.2)
        world.set_fault('peer:*:b1', 'none')
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        assert results[0].status == 201
        assert executed(world, {'stream': 'cut'}) == 1

    def test_frozen_sidecar_wakes_up(self, world: World) -> None:
        """A call given up on while the sidecar was paused says unknown."""
        sidecar = world.daemons['b1']
        sidecar.freeze()
        answer = world.book(body={'frozen': 1}, deadline_ms=1500)
        assert outcome(answer) in {'unknown', NOT_RUN}
        sidecar.thaw()
        world.wait_ready('b1')
        time.sleep(1.5)
        limit = 0 if outcome(answer) == NOT_RUN else 1
        assert executed(world, {'frozen': 1}) <= limit

    def test_same_key_everywhere_at_once(self, world: World) -> None:
        """Twenty equal requests on two entries run once, answer alike."""
        with ThreadPoolExecutor(20) as workers:
            answers = list(
                workers.map(
                    lambda number: world.book(
                        ('e1', 'e2')[number % 2], key='same', body={'same': 1}
                    ),
                    range(20),
                )
            )
        assert {row.status for row in answers} == {201}
        assert len({row.body for row in answers}) == 1
        assert executed(world, {'same': 1}) == 1

    def test_key_with_another_body(self, world: World) -> None:
        """A key used for something else is a conflict."""
        assert world.book(key='reused', body={'a': 1}).status == 201
        answer = world.book('e2', key='reused', body={'a': 2})
        assert answer.status == 409
        assert answer.json()['error']['code'] == 'idempotency_conflict'
        assert executed(world, {'a': 2}) == 0

    def test_key_during_and_after_log_outage(self, world: World) -> None:
        """Keyed calls are refused in an outage, unkeyed ones go on."""
        world.fault(log_down_seconds=4)
        keyed = world.book(key='outage', body={'outage': 'keyed'})
        unkeyed = world.book(body={'outage': 'unkeyed'})
        assert outcome(keyed) == NOT_RUN
        assert executed(world, {'outage': 'keyed'}) == 0
        assert unkeyed.status == 201
        world.fault(log_down_seconds=0)
        again = world.book('e2', key='outage', body={'outage': 'keyed'})
        assert again.status == 201
        assert executed(world, {'outage': 'keyed'}) == 1

    def test_claim_answer_lost(self, world: World) -> None:
        """A claim whose append answer was lost runs once all the same."""
        world.fault(lose_answers=1)
        answer = world.book(key='lost-claim', body={'claim': 'lost'})
        again = world.book('e2', key='lost-claim', body={'claim': 'lost'})
        assert (answer.status, again.status) == (201, 201)
        assert answer.body == again.body
        assert executed(world, {'claim': 'lost'}) == 1

    def test_owner_killed_after_dispatch(self, world: World) -> None:
        """Another entry finds out the answer from the sidecar."""
        service = world.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 1.0})
        thread, _ = in_background(
            lambda: world.book('e1', key='owner', body={'owner': 'killed'})
        )
        wait_until(lambda: executed(world, {'owner': 'killed'}), 10, 'the run')
        world.daemons['e1'].kill()
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        answer = world.book('e2', key='owner', body={'owner': 'killed'})
        assert answer.status == 201
        assert answer.headers['idempotent-replayed'] == 'true'
        assert executed(world, {'owner': 'killed'}) == 1

    def test_owner_and_sidecar_killed(self, world: World) -> None:
        """With both gone nobody knows; it is never run again."""
        service = world.services['b1']
        call(service, 'POST', '/fault', {'delay_seconds': 2.0})
        thread, _ = in_background(
            lambda: world.book('e1', key='both', body={'both': 'killed'})
        )
        wait_until(lambda: executed(world, {'both': 'killed'}), 10, 'the run')
        world.daemons['e1'].kill()
        world.daemons['b1'].kill()
        thread.join()
        call(service, 'POST', '/fault', {'delay_seconds': 0.0})
        world.daemons['b1'].start()
        world.wait_ready('b1')
        wait_until(
            lambda: world.status('e2')['instances'][2]['connected'], 15, 'link'
        )
        answer = world.book('e2', key='both', body={'both': 'killed'})
        assert outcome(answer) == 'unknown'
        assert executed(world, {'both': 'killed'}) == 1

    def test_key_after_all_entries_replaced(self, world: World) -> None:
        """New entries know the key from the log."""
        first = world.book(key='old', body={'old': 1})
        for name in ('e1', 'e2'):
            world.daemons[name].kill()
            world.daemons[name].start()
        world.wait_ready()
        again = world.book('e2', key='old', body={'old': 1})
        assert (again.status, again.body) == (201, first.body)
        assert executed(world, {'old': 1}) == 1


class TestWholeAnswer:
    """A caller gets the whole answer to its own request."""

    def test_engine_stream_breaks(self, world: World) -> None:
        """A stream that breaks at the engine is resumed without a gap."""
        for address in world.engines.values():
            call(address, 'POST', '/fault', {'break_after': 5})
        answer = world.chat(
            stream=True, max_tokens=30, metadata={'tokens': '30'}
        )
        for address in world.engines.values():
            call(address, 'POST', '/fault', {'break_after': 0})
        assert read_words(answer) == [f'w{number}' for number in range(1, 31)]
        assert answer.body.endswith(b'data: [DONE]\n\n')

    def test_peer_stream_cut_mid_answer(self, world: World) -> None:
        """A cut between entry and sidecar leaves no gap in the answer."""
        thread, results = in_background(
            lambda: world.chat(
                stream=True, max_tokens=200, metadata={'tokens': '200'}
            )
        )
        time.sleep(0.7)
        world.set_fault('peer:*', 'cut')
        time.sleep(0.3)
        world.set_fault('peer:*', 'none')
        thread.join()
        words = [f'w{number}' for number in range(1, 201)]
        assert read_words(results[0]) == words
        assert results[0].body.endswith(b'data: [DONE]\n\n')

    def test_crossed_and_late(self, world: World) -> None:
        """With delays of its own on each link, nobody gets another's words."""
        world.set_fault('*', 'delay', 0.05)
        with ThreadPoolExecutor(12) as workers:
            answers = list(
                workers.map(
                    lambda number: (
                        number,
                        world.chat(
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
            words = [f'w{place}' for place in range(1, 6 + number)]
            assert read_words(answer) == words

    def test_sidecar_killed_mid_answer(self, world: World) -> None:
        """A stream that can't go on ends with an error event."""
        thread, results = in_background(
            lambda: world.chat(
                model='large@1',
                stream=True,
                max_tokens=400,
                metadata={'tokens': '400'},
            )
        )
        busy = wait_until(lambda: find_busy(world), 10, 'a running stream')
        time.sleep(0.5)
        world.daemons[busy].kill()
        thread.join()
        last = results[0].body.rstrip().rpartition(b'\n\n')[2]
        assert b'"outcome": "unknown"' in last
        assert not results[0].body.endswith(b'[DONE]\n\n')

    def test_sidecar_killed_before_first_byte(self, world: World) -> None:
        """A request without a first byte is served elsewhere."""
        for address in world.engines.values():
            call(address, 'POST', '/fault', {'token_delay': 0.4})
        thread, results = in_background(lambda: world.chat(max_tokens=2))
        busy = wait_until(lambda: find_busy(world), 10, 'a running request')
        world.daemons[busy].kill()
        for address in world.engines.values():
            call(address, 'POST', '/fault', {'token_delay': 0.0})
        thread.join()
        assert results[0].status == 200, results[0].body


def find_busy(world: World) -> str:
    """Return the sidecar whose engine runs a request, or ''."""
    for name, address in world.engines.items():
        rows = world.journal(address)
        if any(row.get('state') == 'running' for row in rows):
            return name
    return ''


def read_words(answer: Answer) -> list[str]:
    """Return the words of a whole or a streamed answer."""
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
