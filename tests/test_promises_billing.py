"""Guarantees on bills and spend while entries are killed and replaced."""

import json
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import Any

import pytest

from standins.calls import wait_until

from .fleet import CHIKUGO_KEY, SmallFleet, make_contract


@pytest.fixture
def fleet() -> Iterator[SmallFleet]:
    """Return a new fleet, in which no request has been billed yet."""
    with SmallFleet(('e1', 'e2')) as fleet:
        yield fleet


class Callers:
    """Sends chat requests to some entries until stopped."""

    def __init__(
        self, fleet: SmallFleet, *entries: str, tokens: int = 6
    ) -> None:
        """Start two threads for each entry: one with streams, one without."""
        self._fleet = fleet
        self._stop = threading.Event()
        self._tokens = tokens
        self.lost = 0
        self.errors: list[bytes] = []
        self.done = 0
        self._threads = [
            threading.Thread(target=self._run, args=(entry, number))
            for entry in entries
            for number in range(2)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for their last requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry: str, number: int) -> None:
        while not self._stop.is_set():
            try:
                answer = self._fleet.chat(
                    entry, stream=bool(number), max_tokens=self._tokens
                )
            except (OSError, HTTPException):
                self.lost += 1
                time.sleep(0.05)
                continue
            whole = not number or answer.body.endswith(b'data: [DONE]\n\n')
            if answer.status == 200 and whole:
                self.done += 1
            else:
                self.errors.append(answer.body)


def find_completed_requests(fleet: SmallFleet) -> dict[str, Any]:
    """Return the engines' complete answers by request id.

    If the first attempt is abandoned before its first byte, two engines may
    answer the request completely; it counts as one request.
    """
    return {row['request']: row for row in fleet.completed_rows()}


def count_executed(fleet: SmallFleet) -> int:
    """Return the number of requests that engines and services executed."""
    return len(find_completed_requests(fleet)) + len(fleet.service_rows())


def count_billed(fleet: SmallFleet, entry: str) -> int:
    """Return the number of requests on today's bill."""
    return int(fleet.bill(entry=entry)['requests'])


def assert_billed(fleet: SmallFleet, entry: str) -> None:
    """Check that the bill equals the journals of engines and services."""
    try:
        wait_until(
            lambda: count_billed(fleet, entry) == count_executed(fleet),
            20,
            'billing',
        )
    except TimeoutError:
        pass
    rows = find_completed_requests(fleet).values()
    bill = fleet.bill(entry=entry)
    assert bill['requests'] == count_executed(fleet)
    tokens = sum(line['completion_tokens'] for line in bill['lines'])
    assert tokens == sum(row['tokens'] for row in rows)
    prompts = sum(line['prompt_tokens'] for line in bill['lines'])
    assert prompts == sum(row['prompt_tokens'] for row in rows)


class TestBilledOnce:
    """Each executed request is billed exactly once."""

    def test_entry_killed_under_load(self, fleet: SmallFleet) -> None:
        """Another entry bills the requests of a killed one.

        Sidecars send it their copies of the bills.
        """
        callers = Callers(fleet, 'e1', 'e2')
        time.sleep(1.5)
        fleet.daemons['e1'].kill()
        time.sleep(0.5)
        callers.stop()
        assert callers.done > 20
        # The sidecars first wait for the killed entry to return.
        time.sleep(6)
        assert_billed(fleet, 'e2')

    def test_paused_entry_bills_after_adoption(self, fleet: SmallFleet) -> None:
        """A paused entry doesn't bill again what another one has billed."""
        callers = Callers(fleet, 'e1')
        time.sleep(1.0)
        fleet.daemons['e1'].pause()
        time.sleep(12)
        fleet.daemons['e1'].resume()
        time.sleep(1)
        callers.stop()
        assert_billed(fleet, 'e2')

    def test_log_outage(self, fleet: SmallFleet) -> None:
        """Requests that run during an outage of the log are billed after it."""
        for name in ('e1', 'e2'):
            fleet.chat(name)
        fleet.set_platform_fault(log_down_seconds=3)
        callers = Callers(fleet, 'e1', 'e2')
        time.sleep(3.5)
        callers.stop()
        assert callers.done > 10
        assert_billed(fleet, 'e1')

    def test_lost_append_answers(self, fleet: SmallFleet) -> None:
        """A bill that is appended twice counts once."""
        callers = Callers(fleet, 'e1', 'e2')
        for _ in range(6):
            fleet.set_platform_fault(lose_answers=1)
            time.sleep(0.3)
        callers.stop()
        assert_billed(fleet, 'e1')


class TestRollingRestart:
    """Daemons are restarted under load without a lost or failed request."""

    def test_sidecars_restart_without_errors(self, fleet: SmallFleet) -> None:
        """No caller sees an error while the sidecars restart in turn."""
        callers = Callers(fleet, 'e1', tokens=20)
        time.sleep(0.5)
        for name in ('m1', 'm2', 'b1'):
            assert fleet.daemons[name].stop() == 0
            fleet.daemons[name].start()
            fleet.wait_ready(name)
            wait_until(fleet.all_connected, 20, 'links')
        callers.stop()
        assert not callers.errors
        assert callers.lost == 0
        assert callers.done > 10
        assert_billed(fleet, 'e1')

    def test_entry_drains(self, fleet: SmallFleet) -> None:
        """A draining entry finishes its streams and bills them."""
        with ThreadPoolExecutor(6) as workers:
            answers = [
                workers.submit(
                    fleet.chat,
                    'e1',
                    stream=True,
                    max_tokens=150,
                    metadata={'tokens': '150'},
                )
                for _ in range(4)
            ]
            time.sleep(0.5)
            assert fleet.daemons['e1'].stop() == 0
        for answer in answers:
            assert answer.result().body.endswith(b'data: [DONE]\n\n')
        assert_billed(fleet, 'e2')
        held = fleet.bill(entry='e2')['open_allowances']
        assert not held


class TestSpend:
    """The spend limit of a contract is never exceeded."""

    def test_entries_share_a_small_limit(self, fleet: SmallFleet) -> None:
        """Two entries under load stop at the limit, though one is killed."""
        limit = 60
        contract = make_contract(CHIKUGO_KEY, spend=limit, max_output_tokens=8)
        fleet.apply('e1', 'contract/chikugo', contract)
        statuses: dict[int, int] = {}
        codes: set[str] = set()

        def ask(number: int) -> None:
            if number == 40:
                fleet.daemons['e2'].kill()
                fleet.daemons['e2'].start()
                fleet.wait_ready('e2')
            try:
                answer = fleet.chat(('e1', 'e2')[number % 2])
            except (OSError, HTTPException):
                return
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            if answer.status != 200:
                codes.add(answer.json()['error']['code'])
                assert answer.json()['error']['outcome'] == 'not_run'

        with ThreadPoolExecutor(6) as workers:
            list(workers.map(ask, range(150)))
        assert statuses[200] > 5
        assert 'spend_exhausted' in codes
        time.sleep(7)
        bill = fleet.bill()
        assert 0 < bill['cost'] <= limit
        assert bill['requests'] == count_executed(fleet)

    def test_rate_limit(self, fleet: SmallFleet) -> None:
        """Two entries together keep to the contract's rate."""
        contract = make_contract(CHIKUGO_KEY, requests_per_second=10)
        fleet.apply('e1', 'contract/chikugo', contract)
        began = time.monotonic()
        served = 0
        while time.monotonic() - began < 3:
            for name in ('e1', 'e2'):
                answer = fleet.chat(name, max_tokens=1)
                served += answer.status == 200
                if answer.status == 429:
                    code = answer.json()['error']['code']
                    assert code == 'rate_limited'
                    assert int(answer.headers['retry-after']) >= 1
        seconds = time.monotonic() - began
        # Each entry allows a burst of two seconds' worth of its share.
        assert served <= 10 * (seconds + 2) + 2


class TestConversation:
    """A conversation stays on its version."""

    def test_during_a_rollout(self, fleet: SmallFleet) -> None:
        """Conversations with signed and chosen ids stay on the old version."""
        body = {
            'state': 'live',
            'prompt_price': 10,
            'completion_price': 20,
            'quality': {'*': 0.7},
        }
        fleet.apply('e1', 'version/small@2', body)
        # No engine has loaded small@2, so small@1 serves all the time.
        first = fleet.chat()
        signed = first.headers['x-conversation-id']
        chosen = {'X-Conversation-Id': 'my-own-id'}
        assert fleet.chat(headers=chosen).status == 200
        rollout = {
            'source': 'small@1',
            'target': 'small@2',
            'percent': 100,
            'state': 'running',
            'on_bad': 'hold',
        }
        fleet.apply('e1', 'rollout/small', rollout)
        for entry in ('e1', 'e2'):
            for identifier in (signed, 'my-own-id'):
                headers = {'X-Conversation-Id': identifier}
                answer = fleet.chat(entry, headers=headers)
                assert answer.headers['x-served-version'] == 'small@1'

    def test_withdrawn(self, fleet: SmallFleet) -> None:
        """A conversation on a withdrawn version gets an error that says so."""
        signed = fleet.chat(model='large@1').headers['x-conversation-id']
        stored = fleet.admin('e1', 'GET', '/objects/version/large@1').json()
        withdrawn = {**stored['body'], 'state': 'withdrawn'}
        fleet.apply('e1', 'version/large@1', withdrawn)
        answer = fleet.chat('e2', headers={'X-Conversation-Id': signed})
        error = answer.json()['error']
        assert answer.status == 409
        assert error['code'] == 'version_withdrawn'
        assert error['outcome'] == 'not_run'

    def test_same_chosen_id_at_once(self, fleet: SmallFleet) -> None:
        """Concurrent first requests with one chosen id get the same version."""
        contract = make_contract(CHIKUGO_KEY, quality=0.1)
        fleet.apply('e1', 'contract/chikugo', contract)
        headers = {'X-Conversation-Id': 'raced'}

        def ask(number: int) -> str:
            model = ('small', 'large')[number % 2]
            entry = ('e1', 'e2')[number // 2 % 2]
            answer = fleet.chat(entry, model=model, headers=headers)
            return answer.headers.get('x-served-version', '')

        with ThreadPoolExecutor(8) as workers:
            versions = set(workers.map(ask, range(8)))
        assert len(versions - {''}) == 1

    def test_key_rotation(self, fleet: SmallFleet) -> None:
        """Ids signed with the old key stay valid while a new key signs."""
        old = fleet.chat().headers['x-conversation-id']
        secret = {'secret': 'ab' * 32, 'state': 'signing'}
        fleet.apply('e1', 'key/next', secret)
        new = fleet.chat('e2').headers['x-conversation-id']
        assert new.startswith('tcv1.next.')
        for identifier in (old, new):
            answer = fleet.chat(headers={'X-Conversation-Id': identifier})
            assert answer.status == 200
        forged = old[:-2] + ('aa' if old[-2:] != 'aa' else 'bb')
        answer = fleet.chat(headers={'X-Conversation-Id': forged})
        assert answer.status == 400
        assert json.loads(answer.body)['error']['code'] == 'bad_request'
