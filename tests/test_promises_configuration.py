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

from .fleet import VERSIONS, SmallFleet, make_contract

#: Time in which an accepted change must be in force everywhere.
IN_FORCE_SECONDS = 5.0


def read_health(fleet: SmallFleet, name: str) -> dict[str, Any]:
    """Return what a daemon says at /readyz, or that it does not answer."""
    try:
        answer = call(fleet.daemons[name].health, 'GET', '/readyz')
    except OSError:
        return {'offset': 0, 'digest': f'{name} does not answer'}
    return dict(answer.json())


def digests(fleet: SmallFleet) -> set[tuple[int, str]]:
    """Return offset and digest of all daemons."""
    return {
        (health['offset'], health['digest'])
        for health in (read_health(fleet, name) for name in fleet.daemons)
    }


def wait_agreed(fleet: SmallFleet) -> None:
    """Wait until all daemons have folded the same records."""
    wait_until(lambda: len(digests(fleet)) == 1, 15, 'equal digests')


class Flow:
    """Chat requests at both entries, going on until stopped."""

    def __init__(self, fleet: SmallFleet) -> None:
        """Start the callers."""
        self._fleet = fleet
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
            answer = self._fleet.chat(
                entry, model='large@1', max_tokens=2, headers=headers
            )
            self.statuses[answer.status] += 1
            time.sleep(0.01)


def withdraw(fleet: SmallFleet, entry: str, version: str) -> float:
    """Withdraw a version; return the time at which it was accepted."""
    body = {**VERSIONS[version], 'state': 'withdrawn'}
    answer = fleet.put(entry, f'version/{version}', body, 0, force=True)
    assert answer.status == 200, answer.body
    return time.time()


def restore(fleet: SmallFleet, entry: str, version: str) -> None:
    """Bring a version back."""
    fleet.apply(entry, f'version/{version}', VERSIONS[version])


def started_after(fleet: SmallFleet, version: str, moment: float) -> list[Any]:
    """Return the engines' rows of a version begun after a moment."""
    return [
        row
        for address in fleet.engines.values()
        for row in fleet.journal(address)
        if row.get('version') == version and row['at'] > moment
    ]


@pytest.fixture(scope='module')
def fleet() -> Iterator[SmallFleet]:
    """Return a fleet whose links all run through the fault proxy."""
    settings = {'snapshot_records': 40}
    with SmallFleet(('e1', 'e2'), proxy=True, configuration=settings) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def healed(fleet: SmallFleet) -> Iterator[None]:
    """Let each test end without faults."""
    yield
    fleet.clear_faults()


class TestRaces:
    """Operators race; the log's order decides."""

    def test_200_changes_by_three(self, fleet: SmallFleet) -> None:
        """Each revision has one winner and all daemons agree."""
        name = 'contract/garmi'
        before = fleet.admin('e1', 'GET', f'/objects/{name}').json()

        def change(number: int) -> int:
            entry = ('e1', 'e2')[number % 2]
            base = fleet.admin(entry, 'GET', f'/objects/{name}').json()
            body = make_contract('garmi-key', concurrent=number + 1)
            answer = fleet.admin(
                entry,
                'PUT',
                f'/objects/{name}',
                {'base': base['revision'], 'body': body},
            )
            return answer.status

        with ThreadPoolExecutor(3) as workers:
            statuses = Counter(workers.map(change, range(200)))
        assert set(statuses) <= {200, 409}
        wait_agreed(fleet)
        rows = fleet.admin('e1', 'GET', f'/history/{name}').json()['changes']
        won = [row for row in rows if row['code'] == 'accepted']
        first = before['revision']
        bases = [row['base'] for row in won if row['base'] >= first]
        assert len(bases) == len(set(bases)) == statuses[200]
        assert statuses[409] > 0

    def test_append_answer_lost(self, fleet: SmallFleet) -> None:
        """The operator is told what the log holds, once."""
        fleet.fault(lose_answers=1)
        body = make_contract('garmi-key', concurrent=77)
        answer = fleet.put('e1', 'contract/garmi', body)
        assert answer.json()['code'] == 'accepted'
        assert answer.json()['in_force']
        found = fleet.admin('e2', 'GET', '/objects/contract/garmi').json()
        assert found['body']['concurrent'] == 77
        assert found['revision'] == answer.json()['revision']

    def test_damaged_and_unknown_records(self, fleet: SmallFleet) -> None:
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
            call(fleet.platform, 'POST', '/streams/config', {'body': record})
        answer = fleet.put('e1', 'zone/east', {'out': False})
        assert answer.json()['in_force']
        wait_agreed(fleet)
        state = fleet.admin('e1', 'GET', '/objects/zone/east').json()
        assert state['body'] == {'out': False}


class TestOutage:
    """The log is down or has lost its oldest records."""

    def test_change_is_refused_not_queued(self, fleet: SmallFleet) -> None:
        """In an outage the old revision stays and a change fails."""
        assert {fleet.chat(name).status for name in ('e1', 'e2')} == {200}
        fleet.fault(log_down_seconds=30)
        answer = fleet.admin(
            'e1',
            'PUT',
            '/objects/zone/west',
            {'base': 0, 'body': {'out': True}},
        )
        assert answer.status == 503
        time.sleep(6)
        assert fleet.chat('e1').status == 200
        assert fleet.chat('e2').status == 200
        fleet.fault(log_down_seconds=0)
        time.sleep(1)
        state = fleet.admin('e1', 'GET', '/objects/zone/west').json()
        assert state['body'] == {'out': False}

    def test_restart_of_all_but_one(self, fleet: SmallFleet) -> None:
        """New daemons take the state from the one that has it."""
        before = digests(fleet)
        fleet.fault(log_down_seconds=60)
        kept = 'm1'
        for name, daemon in fleet.daemons.items():
            if name != kept:
                daemon.kill()
                daemon.start()
        wait_until(lambda: digests(fleet) == before, 30, 'equal digests')

    def test_retention_past_a_frozen_daemon(self, fleet: SmallFleet) -> None:
        """A daemon that missed dropped records goes on from a snapshot."""
        fleet.daemons['m2'].freeze()
        for number in range(60):
            body = make_contract('garmi-key', concurrent=number + 1)
            fleet.put('e1', 'contract/garmi', body, 0)

        def has_snapshot() -> bool:
            dump = call(fleet.platform, 'GET', '/dump/config').json()
            return any('"snapshot"' in row for row in dump['records'][-40:])

        wait_until(has_snapshot, 10, 'a snapshot')
        fleet.fault(retain=['config', 40])
        fleet.daemons['m2'].thaw()
        fleet.daemons['e2'].kill()
        fleet.daemons['e2'].start()
        fleet.wait_ready()
        wait_agreed(fleet)


class TestPartition:
    """Daemons that are cut off stop before they do harm."""

    def test_version_withdrawn_behind_a_partition(
        self, fleet: SmallFleet
    ) -> None:
        """A cut-off zone runs nothing of the version after the bound."""
        flow = Flow(fleet)
        time.sleep(1)
        for route in ('platform:e2', 'platform:m2', 'peer:e1:m2'):
            fleet.set_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            fleet.set_fault(f'peer:e2:{sidecar}', 'freeze')
        moment = withdraw(fleet, 'e1', 'large@1')
        time.sleep(IN_FORCE_SECONDS + 3)
        flow.stop()
        late = started_after(fleet, 'large@1', moment + IN_FORCE_SECONDS)
        assert flow.statuses[200] > 10
        assert not late
        fleet.set_fault('*', 'none')
        wait_agreed(fleet)
        restore(fleet, 'e1', 'large@1')

    def test_withdrawn_without_faults(self, fleet: SmallFleet) -> None:
        """All engines stop well within the bound."""
        flow = Flow(fleet)
        time.sleep(1)
        moment = withdraw(fleet, 'e2', 'large@1')
        time.sleep(3)
        flow.stop()
        assert not started_after(fleet, 'large@1', moment + 1.0)
        restore(fleet, 'e1', 'large@1')

    def test_frozen_sidecar_wakes_up(self, fleet: SmallFleet) -> None:
        """A sidecar paused over a withdrawal starts nothing of it."""
        flow = Flow(fleet)
        time.sleep(1)
        fleet.daemons['m1'].freeze()
        moment = withdraw(fleet, 'e2', 'large@1')
        time.sleep(20)
        fleet.daemons['m1'].thaw()
        time.sleep(2)
        flow.stop()
        assert not started_after(fleet, 'large@1', moment + IN_FORCE_SECONDS)
        restore(fleet, 'e1', 'large@1')

    def test_zone_out_while_cut_off(self, fleet: SmallFleet) -> None:
        """A zone taken out gets no new work, though it can't hear of it."""
        flow = Flow(fleet)
        time.sleep(1)
        for route in ('platform:m2', 'platform:e2', 'peer:e1:m2'):
            fleet.set_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            fleet.set_fault(f'peer:e2:{sidecar}', 'freeze')
        answer = fleet.put('e1', 'zone/west', {'out': True}, 0)
        moment = time.time()
        assert answer.status == 200
        time.sleep(IN_FORCE_SECONDS + 3)
        flow.stop()
        late = [
            row
            for row in fleet.journal(fleet.engines['m2'])
            if row['at'] > moment + IN_FORCE_SECONDS
        ]
        assert not late
        fleet.set_fault('*', 'none')
        fleet.apply('e1', 'zone/west', {'out': False})
