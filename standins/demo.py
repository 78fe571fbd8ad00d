"""Shows both users' work, a roll-out and a zone out and back.

Exits 0 only if every promise that it shows held.
"""

import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .calls import Answer, wait_until
from .fleet import OPERATOR_TOKEN
from .platformdemo import show_platform
from .users import KEYS, UserFleet, load_workload

ENTRIES = ('entry-1', 'entry-2')
#: Longest time from an accepted change to its being in force.
IN_FORCE_SECONDS = 5.0


class Checks:
    """Prints each check and remembers whether one failed."""

    def __init__(self) -> None:
        """Start with none failed."""
        self.failed = 0

    def check(self, holds: object, text: str) -> None:
        """Print one check."""
        self.failed += not holds
        sys.stdout.write(f'{"held  " if holds else "BROKEN"} {text}\n')


class Load:
    """Callers of both users, going on until stopped."""

    def __init__(self, fleet: UserFleet) -> None:
        """Start the callers."""
        self._fleet = fleet
        self.answers: list[Answer] = []
        self._stop = threading.Event()
        self._cases = load_workload()
        self._workers = ThreadPoolExecutor(4)
        self._tasks = [
            self._workers.submit(self._run, number) for number in range(4)
        ]

    def stop(self) -> list[Answer]:
        """Stop the callers and return all answers."""
        self._stop.set()
        for task in self._tasks:
            task.result()
        return self.answers

    def _run(self, number: int) -> None:
        names = sorted(self._cases)
        turn = number
        while not self._stop.is_set():
            case = dict(self._cases[names[turn % len(names)]])
            headers = dict(case['headers'])
            if 'Idempotency-Key' in headers:
                headers['Idempotency-Key'] = f'load-{number}-{turn}'
            case['headers'] = headers
            self.answers += self._fleet.ask(ENTRIES[turn % 2], case)
            turn += 1


def show_workload(fleet: UserFleet, checks: Checks) -> None:
    """Send every request of the workload once, to each entry in turn."""
    for number, (name, case) in enumerate(load_workload().items()):
        answers = fleet.ask(ENTRIES[number % 2], case)
        good = all(answer.status in {200, 201} for answer in answers)
        versions = {row.headers.get('x-served-version') for row in answers}
        checks.check(
            good and len(versions) == 1,
            f'{name}: {[row.status for row in answers]} on {versions}',
        )


def show_repeat(fleet: UserFleet, checks: Checks) -> None:
    """Send a refund with one key to all entries at once."""
    case = load_workload()['garmi-deposit-refund']
    case['headers'] = {'Idempotency-Key': 'refund-again'}
    case['body'] = {'rental': 'R-200', 'amount': 900}
    with ThreadPoolExecutor(8) as workers:
        answers = list(
            workers.map(
                lambda number: fleet.ask(ENTRIES[number % 2], case)[0], range(8)
            )
        )
    runs = [row for row in fleet.service_rows() if 'R-200' in row['body']]
    checks.check(
        len(runs) == 1 and len({row.body for row in answers}) == 1,
        f'8 equal refunds to 2 entries ran {len(runs)} time(s)',
    )


def show_rollout(fleet: UserFleet, checks: Checks) -> None:
    """Roll large@1 over to large@2, then withdraw large@1."""
    body = {
        'source': 'large@1',
        'target': 'large@2',
        'percent': 20,
        'state': 'running',
        'on_bad': 'back',
    }
    for percent in (20, 100):
        stage = {**body, 'percent': percent}
        answer = fleet.put('entry-1', 'rollout/large', stage)
        told = answer.json()
        checks.check(
            told.get('in_force') and told['seconds'] < IN_FORCE_SECONDS,
            f'roll-out at {percent}% in force after {told.get("seconds")} s',
        )
    version = fleet.admin('entry-2', 'GET', '/objects/version/large@1').json()
    answer = fleet.put(
        'entry-2', 'version/large@1', {**version['body'], 'state': 'withdrawn'}
    )
    moment = time.time()
    checks.check(
        answer.json().get('in_force'),
        f'large@1 withdrawn after {answer.json().get("seconds")} s',
    )
    time.sleep(2)
    late = [
        row
        for address in fleet.engines.values()
        for row in fleet.journal(address)
        if row.get('version') == 'large@1' and row['at'] > moment
    ]
    checks.check(not late, f'{len(late)} requests on large@1 after that')


def show_zone(fleet: UserFleet, checks: Checks) -> None:
    """Take a zone out and back while requests flow."""
    answer = fleet.put('entry-1', 'zone/zone-b', {'out': True})
    moment = time.time()
    checks.check(
        answer.json().get('in_force'),
        f'zone-b out after {answer.json().get("seconds")} s',
    )
    time.sleep(2)
    inside = {
        name for name, row in fleet.daemons.items() if row.zone == 'zone-b'
    }
    late = [
        row
        for name, address in {**fleet.engines, **fleet.services}.items()
        for row in fleet.journal(address)
        if name in inside and row['at'] > moment
    ]
    checks.check(not late, f'{len(late)} requests in zone-b while out')
    answer = fleet.put('entry-2', 'zone/zone-b', {'out': False})
    checks.check(answer.json().get('in_force'), 'zone-b back in service')


def read_bill(fleet: UserFleet, customer: str) -> dict[str, Any]:
    """Return a customer's statement of today."""
    answer = fleet.admin('entry-1', 'GET', f'/bills/{customer}')
    return dict(answer.json())


def show_bills(fleet: UserFleet, checks: Checks) -> None:
    """Compare the statements with what engines and services did."""
    done = len(fleet.done_requests()) + len(fleet.service_rows())

    def count() -> int:
        return sum(read_bill(fleet, customer)['requests'] for customer in KEYS)

    try:
        wait_until(lambda: count() == done, 15, 'billing')
    except TimeoutError:
        pass
    billed = count()
    checks.check(billed == done, f'{billed} requests billed, {done} executed')
    for customer in KEYS:
        bill = read_bill(fleet, customer)
        sys.stdout.write(
            f'       {customer}: {bill["requests"]} requests, '
            f'{bill["cost"]} micro-units\n'
        )


def read_burn(fleet: UserFleet) -> list[dict[str, Any]]:
    """Return the rows of the burn report."""
    rows = fleet.admin('entry-1', 'GET', '/burn').json()['rows']
    return list(rows)


def show_burn(fleet: UserFleet) -> None:
    """Print the burn report once the entries have shared their counts."""
    wait_until(
        lambda: any(row['requests'] for row in read_burn(fleet)),
        40,
        'shared counts',
    )
    for row in read_burn(fleet):
        if row['window'] == '1h':
            sys.stdout.write(
                f'       {row["customer"]} {row["objective"]}: '
                f'{row["bad"]} of {row["requests"]} bad, '
                f'burn {row["burn"]}\n'
            )


def run_demo(fleet: UserFleet) -> int:
    """Return the exit code of the demo."""
    checks = Checks()
    show_workload(fleet, checks)
    show_repeat(fleet, checks)
    load = Load(fleet)
    show_rollout(fleet, checks)
    show_zone(fleet, checks)
    answers = load.stop()
    bad = [row for row in answers if row.status not in {200, 201}]
    whole = [
        row
        for row in answers
        if 'event-stream' not in row.headers['content-type']
        or row.body.endswith(b'data: [DONE]\n\n')
    ]
    checks.check(
        not bad, f'{len(answers)} requests meanwhile, {len(bad)} refused'
    )
    checks.check(len(whole) == len(answers), 'every streamed answer was whole')
    show_bills(fleet, checks)
    show_burn(fleet)
    show_platform(checks.check)
    for name in ENTRIES:
        code = fleet.daemons[name].stop()
        checks.check(code == 0, f'{name} drained and stopped')
    sys.stdout.write(
        'all promises shown held\n'
        if not checks.failed
        else f'{checks.failed} checks failed\n'
    )
    return int(bool(checks.failed))


def keep(fleet: UserFleet) -> None:
    """Print where everything is and wait to be interrupted."""
    callers = ','.join(
        f'http://{fleet.daemons[name].caller_address}' for name in ENTRIES
    )
    admin = ','.join(fleet.daemons[name].address for name in ENTRIES)
    standins = ','.join(
        f'http://{address}'
        for address in (
            fleet.platform,
            *fleet.engines.values(),
            *fleet.services.values(),
        )
    )
    sys.stdout.write(
        f'ready callers={callers} admin={admin} standins={standins}\n'
        f'operator token: {OPERATOR_TOKEN}; caller keys: {KEYS}\n'
    )
    sys.stdout.flush()
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        sys.stdout.write('stopping\n')


def main() -> None:
    """Run the demo, or keep its fleet with --keep."""
    with UserFleet() as fleet:
        if '--keep' in sys.argv:
            keep(fleet)
            return
        code = run_demo(fleet)
    sys.exit(code)


if __name__ == '__main__':
    main()
