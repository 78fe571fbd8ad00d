"""Promises on the configuration, kept while operators race and links fail."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.calls import call, wait_until

from .world import VERSIONS, World, make_contract

#: Time in which an accepted change must be in force everywhere.
IN_FORCE_SECONDS = 5.0


def read_health(world: World, name: str) -> dict[str, Any]:
    """Return what a daemon says at /readyz, or that it does not answer."""
    try:
        answer = call(world.daemons[name].health, 'GET', '/readyz')
    except OSError:
        return {'offset': 0, 'digest': f'{name} does not answer'}
    return dict(answer.json())


def digests(world: World) -> set[tuple[int, str]]:
    """Return offset and digest of all daemons."""
    return {
        (health['offset'], health['digest'])
        for health in (read_health(world, name) for name in world.daemons)
    }


def wait_agreed(world: World) -> None:
    """Wait until all daemons have folded the same records."""
    wait_until(lambda: len(digests(world)) == 1, 15, 'equal digests')


class Flow:
    """Chat requests at both entries, going on until stopped."""

    def __init__(self, world: World) -> None:
        """Start the callers."""
        self._world = world
        self._stop = threading.Event()
        self.statuses: Counter[int] = Counter()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in ('e1', 'e2') * 2
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry: str) -> None:
        while not self._stop.is_set():
            headers = {'X-Deadline-Ms': '2000'}
            answer = self._world.chat(
                entry, model='large@1', max_tokens=2, headers=headers
            )
            self.statuses[answer.status] += 1
            time.sleep(0.01)


def withdraw(world: World, entry: str, version: str) -> float:
    """Withdraw a version; return the time at which it was accepted."""
    body = {**VERSIONS[version], 'state': 'withdrawn'}
    answer = world.put(entry, f'version/{version}', body, 0, force=True)
    assert answer.status == 200, answer.body
    return time.time()


def restore(world: World, entry: str, version: str) -> None:
    """Bring a version back."""
    world.apply(entry, f'version/{version}', VERSIONS[version])


def started_after(world: World, version: str, moment: float) -> list[Any]:
    """Return the engines' rows of a version begun after a moment."""
    return [
        row
        for address in world.engines.values()
        for row in world.journal(address)
        if row.get('version') == version and row['at'] > moment
    ]


@pytest.fixture(scope='module')
def world() -> Iterator[World]:
    """Return a fleet whose links all run through the fault proxy."""
    settings = {'snapshot_records': 40}
    with World(('e1', 'e2'), proxy=True, configuration=settings) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def healed(world: World) -> Iterator[None]:
    """Let each test end without faults."""
    yield
    world.heal()


class TestRaces:
    """Operators race; the log's order decides."""

    def test_200_changes_by_three(self, world: World) -> None:
        """Each revision has one winner and all daemons agree."""
        name = 'contract/garmi'
        before = world.admin('e1', 'GET', f'/objects/{name}').json()

        def change(number: int) -> int:
            entry = ('e1', 'e2')[number % 2]
            base = world.admin(entry, 'GET', f'/objects/{name}').json()
            body = make_contract('garmi-key', concurrent=number + 1)
            answer = world.admin(
                entry,
                'PUT',
                f'/objects/{name}',
                {'base': base['revision'], 'body': body},
            )
            return answer.status

        with ThreadPoolExecutor(3) as workers:
            statuses = Counter(workers.map(change, range(200)))
        assert set(statuses) <= {200, 409}
        wait_agreed(world)
        rows = world.admin('e1', 'GET', f'/history/{name}').json()['changes']
        won = [row for row in rows if row['code'] == 'accepted']
        first = before['revision']
        bases = [row['base'] for row in won if row['base'] >= first]
        assert len(bases) == len(set(bases)) == statuses[200]
        assert statuses[409] > 0

    def test_append_answer_lost(self, world: World) -> None:
        """The operator is told what the log holds, once."""
        world.fault(lose_answers=1)
        body = make_contract('garmi-key', concurrent=77)
        answer = world.put('e1', 'contract/garmi', body)
        assert answer.json()['code'] == 'accepted'
        assert answer.json()['in_force']
        found = world.admin('e2', 'GET', '/objects/contract/garmi').json()
        assert found['body']['concurrent'] == 77
        assert found['revision'] == answer.json()['revision']

    def test_damaged_and_unknown_records(self, world: World) -> None:
        """What can't be read is skipped alike by all."""
        unknown = {'kind': 'later', 'body': 1}
        newer = {
            'kind': 'change',
            'change_id': 'x',
            'name': 'zone/east',
            'base': 0,
            'operator': 'o',
            'body': {'out': True},
            'format': 9,
        }
        records = ['{broken', '[]', json.dumps(unknown), json.dumps(newer)]
        records += ['{"kind":"change","name":3}', '[' * 5000, '""']
        for record in records:
            call(world.platform, 'POST', '/streams/config', {'body': record})
        answer = world.put('e1', 'zone/east', {'out': False})
        assert answer.json()['in_force']
        wait_agreed(world)
        state = world.admin('e1', 'GET', '/objects/zone/east').json()
        assert state['body'] == {'out': False}


class TestOutage:
    """The log is down or has lost its oldest records."""

    def test_change_is_refused_not_queued(self, world: World) -> None:
        """In an outage the old revision stays and a change fails."""
        assert {world.chat(name).status for name in ('e1', 'e2')} == {200}
        world.fault(log_down_seconds=30)
        answer = world.admin(
            'e1',
            'PUT',
            '/objects/zone/west',
            {'base': 0, 'body': {'out': True}},
        )
        assert answer.status == 503
        time.sleep(6)
        assert world.chat('e1').status == 200
        assert world.chat('e2').status == 200
        world.fault(log_down_seconds=0)
        time.sleep(1)
        state = world.admin('e1', 'GET', '/objects/zone/west').json()
        assert state['body'] == {'out': False}

    def test_restart_of_all_but_one(self, world: World) -> None:
        """New daemons take the state from the one that has it."""
        before = digests(world)
        world.fault(log_down_seconds=60)
        kept = 'm1'
        for name, daemon in world.daemons.items():
            if name != kept:
                daemon.kill()
                daemon.start()
        wait_until(lambda: digests(world) == before, 30, 'equal digests')

    def test_retention_past_a_frozen_daemon(self, world: World) -> None:
        """A daemon that missed dropped records goes on from a snapshot."""
        world.daemons['m2'].freeze()
        for number in range(60):
            body = make_contract('garmi-key', concurrent=number + 1)
            world.put('e1', 'contract/garmi', body, 0)

        def has_snapshot() -> bool:
            dump = call(world.platform, 'GET', '/dump/config').json()
            return any('"snapshot"' in row for row in dump['records'][-40:])

        wait_until(has_snapshot, 10, 'a snapshot')
        world.fault(retain=['config', 40])
        world.daemons['m2'].thaw()
        world.daemons['e2'].kill()
        world.daemons['e2'].start()
        world.wait_ready()
        wait_agreed(world)


class TestPartition:
    """Daemons that are cut off stop before they do harm."""

    def test_version_withdrawn_behind_a_partition(self, world: World) -> None:
        """A cut-off zone runs nothing of the version after the bound."""
        flow = Flow(world)
        time.sleep(1)
        for route in ('platform:e2', 'platform:m2', 'peer:e1:m2'):
            world.set_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            world.set_fault(f'peer:e2:{sidecar}', 'freeze')
        moment = withdraw(world, 'e1', 'large@1')
        time.sleep(IN_FORCE_SECONDS + 3)
        flow.stop()
        late = started_after(world, 'large@1', moment + IN_FORCE_SECONDS)
        assert flow.statuses[200] > 10
        assert not late
        world.set_fault('*', 'none')
        wait_agreed(world)
        restore(world, 'e1', 'large@1')

    def test_withdrawn_without_faults(self, world: World) -> None:
        """All engines stop well within the bound."""
        flow = Flow(world)
        time.sleep(1)
        moment = withdraw(world, 'e2', 'large@1')
        time.sleep(3)
        flow.stop()
        assert not started_after(world, 'large@1', moment + 1.0)
        restore(world, 'e1', 'large@1')

    def test_frozen_sidecar_wakes_up(self, world: World) -> None:
        """A sidecar paused over a withdrawal starts nothing of it."""
        flow = Flow(world)
        time.sleep(1)
        world.daemons['m1'].freeze()
        moment = withdraw(world, 'e2', 'large@1')
        time.sleep(20)
        world.daemons['m1'].thaw()
        time.sleep(2)
        flow.stop()
        assert not started_after(world, 'large@1', moment + IN_FORCE_SECONDS)
        restore(world, 'e1', 'large@1')

    def test_zone_out_while_cut_off(self, world: World) -> None:
        """A zone taken out gets no new work, though it can't hear of it."""
        flow = Flow(world)
        time.sleep(1)
        for route in ('platform:m2', 'platform:e2', 'peer:e1:m2'):
            world.set_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            world.set_fault(f'peer:e2:{sidecar}', 'freeze')
        answer = world.put('e1', 'zone/west', {'out': True}, 0)
        moment = time.time()
        assert answer.status == 200
        time.sleep(IN_FORCE_SECONDS + 3)
        flow.stop()
        late = [
            row
            for row in world.journal(world.engines['m2'])
            if row['at'] > moment + IN_FORCE_SECONDS
        ]
        assert not late
        world.set_fault('*', 'none')
        world.apply('e1', 'zone/west', {'out': False})
