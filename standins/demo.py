"""Demo of the workload, a roll-out, a zone outage and billing.

Exits with 0 only if every check passed.
"""

import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .calls import Response, wait_until
from .fleet import OPERATOR_TOKEN
from .platformdemo import check_platform_entry
from .users import KEYS, UserFleet, load_workload

ENTRIES = ('entry-1', 'entry-2')
#: Limit of the time from accepting a change to its being in force.
IN_FORCE_SECONDS = 5.0


class CheckReport:
    """Prints the result of each check and counts the failed ones."""

    def __init__(self) -> None:
        """Create a report without checks."""
        self.failed = 0

    def check(self, holds: object, text: str) -> None:
        """Print whether a check passed."""
        self.failed += not holds
        sys.stdout.write(f'{"held  " if holds else "BROKEN"} {text}\n')


class BackgroundLoad:
    """Four callers that repeat the workload until they are stopped."""

    def __init__(self, fleet: UserFleet) -> None:
        """Start the callers in threads."""
        self._fleet = fleet
        self.responses: list[Response] = []
        self._stop = threading.Event()
        self._cases = load_workload()
        self._workers = ThreadPoolExecutor(4)
        self._tasks = [
            self._workers.submit(self._run, number) for number in range(4)
        ]

    def stop(self) -> list[Response]:
        """Stop the callers and return all responses."""
        self._stop.set()
        for task in self._tasks:
            task.result()
        return self.responses

    def _run(self, number: int) -> None:
        names = sorted(self._cases)
        turn = number
        while not self._stop.is_set():
            case = dict(self._cases[names[turn % len(names)]])
            headers = dict(case['headers'])
            if 'Idempotency-Key' in headers:
                headers['Idempotency-Key'] = f'load-{number}-{turn}'
            case['headers'] = headers
            self.responses += self._fleet.send_case(ENTRIES[turn % 2], case)
            turn += 1


def check_workload(fleet: UserFleet, checks: CheckReport) -> None:
    """Check that every request of the workload succeeds on one version.

    The requests go to the entries in turn.
    """
    for number, (name, case) in enumerate(load_workload().items()):
        responses = fleet.send_case(ENTRIES[number % 2], case)
        succeeded = all(response.status in {200, 201} for response in responses)
        versions = {
            response.headers.get('x-served-version') for response in responses
        }
        checks.check(
            succeeded and len(versions) == 1,
            f'{name}: {[item.status for item in responses]} on {versions}',
        )


def check_idempotency(fleet: UserFleet, checks: CheckReport) -> None:
    """Check that a refund that is sent 8 times with one key executes once."""
    case = load_workload()['garmi-deposit-refund']
    case['headers'] = {'Idempotency-Key': 'refund-again'}
    case['body'] = {'rental': 'R-200', 'amount': 900}
    with ThreadPoolExecutor(8) as workers:
        responses = list(
            workers.map(
                lambda number: fleet.send_case(ENTRIES[number % 2], case)[0],
                range(8),
            )
        )
    executions = [row for row in fleet.service_rows() if 'R-200' in row['body']]
    checks.check(
        len(executions) == 1
        and len({response.body for response in responses}) == 1,
        f'8 equal refunds to 2 entries executed {len(executions)} time(s)',
    )


def check_rollout(fleet: UserFleet, checks: CheckReport) -> None:
    """Check a roll-out of large@2 and the withdrawal of large@1."""
    body = {
        'source': 'large@1',
        'target': 'large@2',
        'percent': 20,
        'state': 'running',
        'on_bad': 'back',
    }
    for percent in (20, 100):
        stage = {**body, 'percent': percent}
        response = fleet.put('entry-1', 'rollout/large', stage)
        result = response.json()
        checks.check(
            result.get('in_force') and result['seconds'] < IN_FORCE_SECONDS,
            f'roll-out at {percent}% in force after {result.get("seconds")} s',
        )
    version = fleet.admin('entry-2', 'GET', '/objects/version/large@1').json()
    response = fleet.put(
        'entry-2', 'version/large@1', {**version['body'], 'state': 'withdrawn'}
    )
    applied_at = time.time()
    checks.check(
        response.json().get('in_force'),
        f'large@1 withdrawn after {response.json().get("seconds")} s',
    )
    time.sleep(2)
    late = [
        row
        for address in fleet.engines.values()
        for row in fleet.journal(address)
        if row.get('version') == 'large@1' and row['at'] > applied_at
    ]
    checks.check(
        not late, f'{len(late)} requests on large@1 after its withdrawal'
    )


def check_zone_outage(fleet: UserFleet, checks: CheckReport) -> None:
    """Check that a zone that is out of service gets no requests."""
    response = fleet.put('entry-1', 'zone/zone-b', {'out': True})
    applied_at = time.time()
    checks.check(
        response.json().get('in_force'),
        f'zone-b out of service after {response.json().get("seconds")} s',
    )
    time.sleep(2)
    zone_members = {
        name
        for name, daemon in fleet.daemons.items()
        if daemon.zone == 'zone-b'
    }
    late = [
        row
        for name, address in {**fleet.engines, **fleet.services}.items()
        for row in fleet.journal(address)
        if name in zone_members and row['at'] > applied_at
    ]
    checks.check(
        not late, f'{len(late)} requests in zone-b while out of service'
    )
    response = fleet.put('entry-2', 'zone/zone-b', {'out': False})
    checks.check(response.json().get('in_force'), 'zone-b back in service')


def fetch_bill(fleet: UserFleet, customer: str) -> dict[str, Any]:
    """Return a customer's bill of today."""
    response = fleet.admin('entry-1', 'GET', f'/bills/{customer}')
    return dict(response.json())


def check_billing(fleet: UserFleet, checks: CheckReport) -> None:
    """Check that bills count each request executed by endpoints once."""
    executed = len(fleet.completed_rows()) + len(fleet.service_rows())

    def count_billed() -> int:
        return sum(fetch_bill(fleet, customer)['requests'] for customer in KEYS)

    try:
        wait_until(
            lambda: count_billed() == executed, 15, 'all requests to be billed'
        )
    except TimeoutError:
        pass
    billed = count_billed()
    checks.check(
        billed == executed,
        f'{billed} requests billed, {executed} executed',
    )
    for customer in KEYS:
        bill = fetch_bill(fleet, customer)
        sys.stdout.write(
            f'       {customer}: {bill["requests"]} requests, '
            f'{bill["cost"]} micro-units\n'
        )


def fetch_burn_rows(fleet: UserFleet) -> list[dict[str, Any]]:
    """Return the rows of the report on error budget burn rates."""
    rows = fleet.admin('entry-1', 'GET', '/burn').json()['rows']
    return list(rows)


def print_burn_rates(fleet: UserFleet) -> None:
    """Print burn rates once the entries have exchanged their counts."""
    wait_until(
        lambda: any(row['requests'] for row in fetch_burn_rows(fleet)),
        40,
        'exchanged request counts',
    )
    for row in fetch_burn_rows(fleet):
        if row['window'] == '1h':
            sys.stdout.write(
                f'       {row["customer"]} {row["objective"]}: '
                f'{row["bad"]} of {row["requests"]} bad, '
                f'burn {row["burn"]}\n'
            )


def run_demo(fleet: UserFleet) -> int:
    """Run all checks and return the exit code."""
    checks = CheckReport()
    check_workload(fleet, checks)
    check_idempotency(fleet, checks)
    load = BackgroundLoad(fleet)
    check_rollout(fleet, checks)
    check_zone_outage(fleet, checks)
    responses = load.stop()
    failed = [
        response for response in responses if response.status not in {200, 201}
    ]
    complete = [
        response
        for response in responses
        if 'event-stream' not in response.headers['content-type']
        or response.body.endswith(b'data: [DONE]\n\n')
    ]
    checks.check(
        not failed,
        f'{len(responses)} requests during the changes, {len(failed)} failed',
    )
    checks.check(
        len(complete) == len(responses),
        'every streamed response was complete',
    )
    check_billing(fleet, checks)
    print_burn_rates(fleet)
    check_platform_entry(checks.check)
    for name in ENTRIES:
        code = fleet.daemons[name].stop()
        checks.check(code == 0, f'{name} drained and stopped')
    sys.stdout.write(
        'all checks passed\n'
        if not checks.failed
        else f'{checks.failed} checks failed\n'
    )
    return int(bool(checks.failed))


def run_until_interrupted(fleet: UserFleet) -> None:
    """Print all addresses and wait for an interrupt."""
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
    """Run the demo, or with --keep run its fleet until interrupted."""
    with UserFleet() as fleet:
        if '--keep' in sys.argv:
            run_until_interrupted(fleet)
            return
        code = run_demo(fleet)
    sys.exit(code)


if __name__ == '__main__':
    main()
