"""Guarantees of the configuration while operators race and links fail."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from standins.calls import Response, call, wait_until

from .fleet import VERSIONS, SmallFleet, make_contract

#: Time within which an accepted change must be in force everywhere.
IN_FORCE_SECONDS = 5.0
#: Repeats of 200 changes that the emulated log did not respond to in time.
MAX_REPEATS = 10


def read_health(fleet: SmallFleet, name: str) -> dict[str, Any]:
    """Return a daemon's /readyz response, or one that matches no other's."""
    try:
        response = call(fleet.daemons[name].health, 'GET', '/readyz')
    except OSError:
        return {'offset': 0, 'digest': f'{name} does not answer'}
    return dict(response.json())


def read_digests(fleet: SmallFleet) -> set[tuple[int, str]]:
    """Return the different offset and digest pairs of all daemons."""
    return {
        (health['offset'], health['digest'])
        for health in (read_health(fleet, name) for name in fleet.daemons)
    }


def wait_agreed(fleet: SmallFleet) -> None:
    """Wait until all daemons have applied the same records."""
    wait_until(lambda: len(read_digests(fleet)) == 1, 15, 'equal digests')


def is_not_run(response: Response) -> bool:
    """Return True if a change was not run since the log did not respond."""
    if response.status != 503:
        return False
    error = response.json()['error']
    return (error['code'], error['outcome']) == ('log_unavailable', 'not_run')


class ChatLoad:
    """Continuous chat requests to both entries until stop() is called."""

    def __init__(self, fleet: SmallFleet) -> None:
        """Start two caller threads per entry."""
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
        """Stop the callers and wait for their last responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry: str) -> None:
        while not self._stop.is_set():
            headers = {'X-Deadline-Ms': '2000'}
            response = self._fleet.chat(
                entry, model='large@1', max_tokens=2, headers=headers
            )
            self.statuses[response.status] += 1
            time.sleep(0.01)


def withdraw(fleet: SmallFleet, entry: str, version: str) -> float:
    """Withdraw a version; return the time after it was accepted."""
    body = {**VERSIONS[version], 'state': 'withdrawn'}
    response = fleet.put(entry, f'version/{version}', body, 0, force=True)
    assert response.status == 200, response.body
    return time.time()


def restore(fleet: SmallFleet, entry: str, version: str) -> None:
    """Make a withdrawn version live again."""
    fleet.apply(entry, f'version/{version}', VERSIONS[version])


def find_started_after(
    fleet: SmallFleet, version: str, since: float
) -> list[Any]:
    """Return the engines' requests of a version that started after a time."""
    return [
        request
        for address in fleet.engines.values()
        for request in fleet.journal(address)
        if request.get('version') == version and request['at'] > since
    ]


@pytest.fixture(scope='module')
def fleet() -> Iterator[SmallFleet]:
    """Return a fleet whose links all pass through the fault proxy."""
    settings = {'snapshot_records': 40}
    with SmallFleet(
        ('e1', 'e2'), proxy=True, configuration=settings
    ) as small_fleet:
        yield small_fleet


@pytest.fixture(autouse=True)
def heal_after_test(fleet: SmallFleet) -> Iterator[None]:
    """Remove all injected faults after each test."""
    yield
    fleet.clear_faults()


class TestRaces:
    """Concurrent changes are ordered by the log."""

    def test_200_changes_by_three_operators(self, fleet: SmallFleet) -> None:
        """One change per revision is accepted, and all daemons agree on it."""
        name = 'contract/garmi'
        before = fleet.admin('e1', 'GET', f'/objects/{name}').json()

        def put_contract(number: int) -> list[Response]:
            entry = ('e1', 'e2')[number % 2]
            body = make_contract('garmi-key', concurrent=number + 1)
            responses: list[Response] = []
            for _ in range(MAX_REPEATS + 1):
                base = fleet.admin(entry, 'GET', f'/objects/{name}').json()
                change = {'base': base['revision'], 'body': body}
                responses.append(
                    fleet.admin(entry, 'PUT', f'/objects/{name}', change)
                )
                if not is_not_run(responses[-1]):
                    break
            return responses

        with ThreadPoolExecutor(3) as workers:
            attempts = list(workers.map(put_contract, range(200)))
        unexpected = [
            responses[-1].body
            for responses in attempts
            if responses[-1].status not in {200, 409}
        ]
        assert not unexpected
        repeats = sum(len(responses) - 1 for responses in attempts)
        assert repeats <= MAX_REPEATS
        statuses = Counter(responses[-1].status for responses in attempts)
        wait_agreed(fleet)
        changes = fleet.admin('e1', 'GET', f'/history/{name}').json()['changes']
        accepted = [
            change for change in changes if change['code'] == 'accepted'
        ]
        first = before['revision']
        bases = [
            change['base'] for change in accepted if change['base'] >= first
        ]
        assert len(bases) == len(set(bases)) == statuses[200]
        assert statuses[409] > 0

    def test_lost_append_response(self, fleet: SmallFleet) -> None:
        """A change whose append response is lost is reported as accepted.

        The record is in the log, and the change must be applied only once.
        """
        fleet.set_platform_fault(lose_answers=1)
        body = make_contract('garmi-key', concurrent=77)
        response = fleet.put('e1', 'contract/garmi', body)
        assert response.json()['code'] == 'accepted'
        assert response.json()['in_force']
        stored = fleet.admin('e2', 'GET', '/objects/contract/garmi').json()
        assert stored['body']['concurrent'] == 77
        assert stored['revision'] == response.json()['revision']

    def test_damaged_and_unknown_records(self, fleet: SmallFleet) -> None:
        """All daemons skip records that they can't decode."""
        unknown_kind = {'kind': 'later', 'body': 1}
        newer_format = {
            'kind': 'change',
            'change_id': 'x',
            'name': 'zone/east',
            'base': 0,
            'operator': 'o',
            'body': {'out': True},
            'format': 9,
        }
        records = [
            '{broken',
            '[]',
            json.dumps(unknown_kind),
            json.dumps(newer_format),
        ]
        records += ['{"kind":"change","name":3}', '[' * 5000, '""']
        for record in records:
            call(fleet.platform, 'POST', '/streams/config', {'body': record})
        response = fleet.put('e1', 'zone/east', {'out': False})
        assert response.json()['in_force']
        wait_agreed(fleet)
        state = fleet.admin('e1', 'GET', '/objects/zone/east').json()
        assert state['body'] == {'out': False}


class TestOutage:
    """The log is down or has dropped its oldest records."""

    def test_change_is_rejected_not_queued(self, fleet: SmallFleet) -> None:
        """In a log outage requests are served and changes are rejected.

        A rejected change must not take effect after the outage.
        """
        assert {fleet.chat(name).status for name in ('e1', 'e2')} == {200}
        fleet.set_platform_fault(log_down_seconds=30)
        response = fleet.admin(
            'e1',
            'PUT',
            '/objects/zone/west',
            {'base': 0, 'body': {'out': True}},
        )
        assert response.status == 503
        time.sleep(6)
        assert fleet.chat('e1').status == 200
        assert fleet.chat('e2').status == 200
        fleet.set_platform_fault(log_down_seconds=0)
        time.sleep(1)
        state = fleet.admin('e1', 'GET', '/objects/zone/west').json()
        assert state['body'] == {'out': False}

    def test_restart_of_all_but_one(self, fleet: SmallFleet) -> None:
        """Restarted daemons get the state from a peer while the log is down."""
        before = read_digests(fleet)
        fleet.set_platform_fault(log_down_seconds=60)
        running = 'm1'
        for name, daemon in fleet.daemons.items():
            if name != running:
                daemon.kill()
                daemon.start()
        wait_until(lambda: read_digests(fleet) == before, 30, 'equal digests')

    def test_retention_past_a_frozen_daemon(self, fleet: SmallFleet) -> None:
        """A daemon that missed expired records continues from a snapshot."""
        fleet.daemons['m2'].pause()
        for number in range(60):
            body = make_contract('garmi-key', concurrent=number + 1)
            fleet.put('e1', 'contract/garmi', body, 0)

        def has_snapshot() -> bool:
            dump = call(fleet.platform, 'GET', '/dump/config').json()
            return any(
                '"snapshot"' in record for record in dump['records'][-40:]
            )

        wait_until(has_snapshot, 10, 'a snapshot')
        fleet.set_platform_fault(retain=['config', 40])
        fleet.daemons['m2'].resume()
        fleet.daemons['e2'].kill()
        fleet.daemons['e2'].start()
        fleet.wait_ready()
        wait_agreed(fleet)


class TestPartition:
    """Partitioned daemons stop using an outdated configuration in time."""

    def test_version_withdrawn_behind_a_partition(
        self, fleet: SmallFleet
    ) -> None:
        """A partitioned zone stops serving the version in time.

        It can't learn of the withdrawal, so it must stop when its freshness
        proof expires.
        """
        load = ChatLoad(fleet)
        time.sleep(1)
        for route in ('platform:e2', 'platform:m2', 'peer:e1:m2'):
            fleet.set_proxy_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            fleet.set_proxy_fault(f'peer:e2:{sidecar}', 'freeze')
        withdrawn_at = withdraw(fleet, 'e1', 'large@1')
        time.sleep(IN_FORCE_SECONDS + 3)
        load.stop()
        late = find_started_after(
            fleet, 'large@1', withdrawn_at + IN_FORCE_SECONDS
        )
        assert load.statuses[200] > 10
        assert not late
        fleet.set_proxy_fault('*', 'none')
        wait_agreed(fleet)
        restore(fleet, 'e1', 'large@1')

    def test_version_withdrawn_without_faults(self, fleet: SmallFleet) -> None:
        """All engines stop serving the version within a second."""
        load = ChatLoad(fleet)
        time.sleep(1)
        withdrawn_at = withdraw(fleet, 'e2', 'large@1')
        time.sleep(3)
        load.stop()
        assert not find_started_after(fleet, 'large@1', withdrawn_at + 1.0)
        restore(fleet, 'e1', 'large@1')

    def test_sidecar_frozen_during_a_withdrawal(
        self, fleet: SmallFleet
    ) -> None:
        """A sidecar paused during a withdrawal doesn't serve the version.

        When it resumes, its last configuration still allows the version.
        """
        load = ChatLoad(fleet)
        time.sleep(1)
        fleet.daemons['m1'].pause()
        withdrawn_at = withdraw(fleet, 'e2', 'large@1')
        time.sleep(20)
        fleet.daemons['m1'].resume()
        time.sleep(2)
        load.stop()
        assert not find_started_after(
            fleet, 'large@1', withdrawn_at + IN_FORCE_SECONDS
        )
        restore(fleet, 'e1', 'large@1')

    def test_zone_out_behind_a_partition(self, fleet: SmallFleet) -> None:
        """A zone taken out of service runs no new requests.

        It is partitioned, so it doesn't learn of the change.
        """
        load = ChatLoad(fleet)
        time.sleep(1)
        for route in ('platform:m2', 'platform:e2', 'peer:e1:m2'):
            fleet.set_proxy_fault(route, 'freeze')
        for sidecar in ('m1', 'b1'):
            fleet.set_proxy_fault(f'peer:e2:{sidecar}', 'freeze')
        response = fleet.put('e1', 'zone/west', {'out': True}, 0)
        taken_out_at = time.time()
        assert response.status == 200
        time.sleep(IN_FORCE_SECONDS + 3)
        load.stop()
        late = [
            request
            for request in fleet.journal(fleet.engines['m2'])
            if request['at'] > taken_out_at + IN_FORCE_SECONDS
        ]
        assert not late
        fleet.set_proxy_fault('*', 'none')
        fleet.apply('e1', 'zone/west', {'out': False})
