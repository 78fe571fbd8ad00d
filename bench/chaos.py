"""Injects two random faults at a time into a fleet and checks all guarantees.

The seed fixes which faults come in which order and what callers and operators
do; their timing depends on the machine. Exits 1 if a guarantee was violated.
"""

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from standins.calls import call, hash_token, wait_until
from standins.fleet import Fleet, flatten_objects

from .traffic import API_KEY, DONE, NOT_RUN, RequestRecord, Traffic

ZONES: Final = ('east', 'west')
ENTRIES: Final = ('e1', 'e2', 'e3')
ENGINES: Final = ('m1', 'm2', 'm3', 'm4')
CALLER_THREADS: Final = 8
#: Time in which an accepted change must be in effect on every daemon.
MAX_PROPAGATION_SECONDS: Final = 5.0
#: Another entry must adopt the bills of a killed entry before the next kill.
KILL_INTERVAL_SECONDS: Final = 15.0
#: Longest wait for the statement to include the bills of all requests.
BILLING_TIMEOUT_SECONDS: Final = 40.0
#: Version that the operators withdraw and restore.
LARGE_VERSION: Final = 'large@1'

VERSIONS: Final[dict[str, dict[str, Any]]] = {
    'small@1': {
        'state': 'live',
        'prompt_price': 10,
        'completion_price': 20,
        'quality': {'*': 0.7},
    },
    LARGE_VERSION: {
        'state': 'live',
        'prompt_price': 100,
        'completion_price': 200,
        'quality': {'*': 0.92},
    },
}


class Fault(NamedTuple):
    """A fault and the actions that inject and clear it."""

    name: str
    inject: Callable[[], object]
    clear: Callable[[], object]


class RestrictionPeriod(NamedTuple):
    """Unix times between which a withdrawal or zone outage must hold."""

    #: Time after which the change that began it was accepted.
    accepted_at: float
    #: Time just before the first attempt to undo it.
    lift_started_at: float


class ChaosFleet(Fleet):
    """Three entries, four engines and two booking services in two zones."""

    def __init__(self) -> None:
        """Start all daemons, with the fault-injecting proxy between them."""
        super().__init__(
            configuration={'snapshot_records': 40},
            entry={'collect_entries': 1},
        )
        try:
            self._build()
        except BaseException:
            self.close()
            raise

    def _build(self) -> None:
        self.start_proxy()
        for number, name in enumerate(ENGINES):
            zone = ZONES[number % len(ZONES)]
            self.add_engine(name, zone, tuple(VERSIONS))
        for number, zone in enumerate(ZONES):
            self.add_service(f'b{number + 1}', zone, 'booking')
        for number, name in enumerate(ENTRIES):
            self.add_entry(name, ZONES[number % len(ZONES)])
        contract = {
            'versions': ['small@1', LARGE_VERSION],
            'services': ['booking'],
            'quality': 0.6,
            'spend': 10**14,
            'requests_per_second': 10**4,
            'concurrent': 10**4,
            'max_output_tokens': 1000,
            'priority': 5,
            'keys': [hash_token(API_KEY)],
            'hedge_seconds': 0.5,
        }
        objects = flatten_objects(
            zone={zone: {'out': False} for zone in ZONES},
            version=VERSIONS,
            service={'booking': {'repeatable': []}},
            contract={'user': contract},
        )
        self.apply_all('e1', objects)
        self.wait_connected()

    def clear_faults(self) -> None:
        """Clear all faults and wait until all entries are connected."""
        self.set_proxy_fault('*', 'none')
        self.set_platform_fault(log_down_seconds=0, lose_answers=0)
        for daemon in self.daemons.values():
            daemon.resume()
            if not daemon.is_running():
                daemon.start()
        wait_until(self._is_connected, 60, 'connections of all entries')

    def _is_connected(self) -> bool:
        try:
            return self.all_connected()
        except (OSError, KeyError, ValueError):
            return False


class FaultInjector:
    """Injects and clears random faults, two at a time."""

    def __init__(self, fleet: ChaosFleet, rng: random.Random) -> None:
        """Create an injector; the generator fixes the order of faults."""
        self._fleet = fleet
        self._rng = rng
        #: time.monotonic() of the last kill.
        self._last_kill_at = 0.0
        #: Fault name -> number of injections.
        self.counts: Counter[str] = Counter()

    def run(self, stop: threading.Event) -> None:
        """Inject faults until the event is set."""
        while not stop.is_set():
            chosen = [self._choose_fault(), self._choose_fault()]
            for fault in chosen:
                self.counts[fault.name] += 1
                fault.inject()
                stop.wait(self._rng.uniform(0, 0.5))
            stop.wait(self._rng.uniform(0.5, 6))
            for fault in chosen:
                fault.clear()
            stop.wait(self._rng.uniform(0, 2))

    def _choose_fault(self) -> Fault:
        fault_makers = (
            self._pause_process,
            self._pause_process,
            self._kill_process,
            self._break_peer_links,
            self._break_platform_link,
            self._make_log_unavailable,
            self._lose_log_responses,
            self._break_streams,
            self._return_engine_errors,
            self._lose_service_response,
        )
        return self._rng.choice(fault_makers)()

    def _pause_process(self) -> Fault:
        daemon = self._rng.choice(list(self._fleet.daemons.values()))
        return Fault('process paused', daemon.pause, daemon.resume)

    def _kill_process(self) -> Fault:
        if time.monotonic() - self._last_kill_at < KILL_INTERVAL_SECONDS:
            return self._pause_process()
        self._last_kill_at = time.monotonic()
        daemon = self._rng.choice(list(self._fleet.daemons.values()))
        return Fault('process killed', daemon.kill, daemon.start)

    def _break_peer_links(self) -> Fault:
        entry = self._rng.choice((*ENTRIES, '*'))
        sidecar = self._rng.choice((*ENGINES, 'b1', 'b2', '*'))
        mode = self._rng.choice(('cut', 'freeze', 'lose_replies'))
        return self._make_link_fault(f'peer:{entry}:{sidecar}', mode)

    def _break_platform_link(self) -> Fault:
        daemon = self._rng.choice(list(self._fleet.daemons))
        mode = self._rng.choice(('refuse', 'freeze', 'lose_replies'))
        return self._make_link_fault(f'platform:{daemon}', mode)

    def _make_link_fault(self, route: str, mode: str) -> Fault:
        fleet = self._fleet
        return Fault(
            f'links: {mode}',
            lambda: fleet.set_proxy_fault(route, mode),
            lambda: fleet.set_proxy_fault(route, 'none'),
        )

    def _make_log_unavailable(self) -> Fault:
        seconds = self._rng.uniform(1, 8)
        return Fault(
            'log unavailable',
            lambda: self._fleet.set_platform_fault(log_down_seconds=seconds),
            lambda: None,
        )

    def _lose_log_responses(self) -> Fault:
        return Fault(
            'log responses lost',
            lambda: self._fleet.set_platform_fault(lose_answers=3),
            lambda: self._fleet.set_platform_fault(lose_answers=0),
        )

    def _break_streams(self) -> Fault:
        return self._make_engine_fault('streams broken', {'break_after': 3}, {})

    def _return_engine_errors(self) -> Fault:
        return self._make_engine_fault(
            'engine errors', {'status': 500}, {'status': 0}
        )

    def _make_engine_fault(
        self, name: str, fault: dict[str, Any], cleared: dict[str, Any]
    ) -> Fault:
        address = self._fleet.engines[self._rng.choice(ENGINES)]
        return Fault(
            name,
            lambda: call(address, 'POST', '/fault', fault),
            lambda: call(address, 'POST', '/fault', cleared),
        )

    def _lose_service_response(self) -> Fault:
        service = self._rng.choice(list(self._fleet.services.values()))
        return Fault(
            'service response lost',
            lambda: call(service, 'POST', '/fault', {'lose_replies': 1}),
            lambda: call(service, 'POST', '/fault', {'lose_replies': 0}),
        )


class Operators:
    """Withdraws and restores a version, and takes a zone out of service."""

    def __init__(self, fleet: ChaosFleet, rng: random.Random) -> None:
        """Create the operators; the generator fixes the order of changes."""
        self._fleet = fleet
        self._rng = rng
        self.withdrawals: list[RestrictionPeriod] = []
        self.zone_outages: list[RestrictionPeriod] = []
        #: Changes that were rejected or got no valid response.
        self.failed_changes = 0

    def run(self, stop: threading.Event) -> None:
        """Change the configuration until the event is set."""
        withdrawn_version = {**VERSIONS[LARGE_VERSION], 'state': 'withdrawn'}
        choices = (
            (
                f'version/{LARGE_VERSION}',
                withdrawn_version,
                VERSIONS[LARGE_VERSION],
                self.withdrawals,
            ),
            ('zone/west', {'out': True}, {'out': False}, self.zone_outages),
        )
        while not stop.is_set():
            stop.wait(self._rng.uniform(1, 4))
            name, restricted, restored, periods = self._rng.choice(choices)
            if not self._put(name, restricted):
                continue
            accepted_at = time.time()
            stop.wait(self._rng.uniform(6, 12))
            lift_started_at = time.time()
            while not self._put(name, restored):
                time.sleep(0.5)
            periods.append(RestrictionPeriod(accepted_at, lift_started_at))

    def _put(self, name: str, body: dict[str, Any]) -> bool:
        entry = self._rng.choice(ENTRIES)
        try:
            response = self._fleet.put(entry, name, body, 0, force=True)
        except (OSError, ValueError, KeyError):
            self.failed_changes += 1
            return False
        self.failed_changes += response.status != 200
        return response.status == 200


def list_violations(
    fleet: ChaosFleet, responses: list[RequestRecord], operators: Operators
) -> Iterator[str]:
    """Yield one line for each violated guarantee."""
    executions_by_engine = {
        name: fleet.journal(address) for name, address in fleet.engines.items()
    }
    model_executions = [
        row for journal in executions_by_engine.values() for row in journal
    ]
    bookings = Counter(
        json.loads(row['body'])['mark'] for row in fleet.service_rows()
    )
    yield from _list_wrong_outcomes(responses, model_executions, bookings)
    yield from _list_version_changes(responses)
    for period in operators.withdrawals:
        for row in model_executions:
            if row.get('version') == LARGE_VERSION and _is_late(row, period):
                yield f'withdrawn version was executed: {row}'
    for period in operators.zone_outages:
        for name in ('m2', 'm4'):
            for row in executions_by_engine[name]:
                if _is_late(row, period):
                    yield f'zone out of service, executed at "{name}": {row}'
    yield from _list_billing_errors(
        fleet, responses, model_executions, bookings
    )


def _is_late(row: dict[str, Any], period: RestrictionPeriod) -> bool:
    return (
        period.accepted_at + MAX_PROPAGATION_SECONDS
        < row['at']
        < period.lift_started_at
    )


def _list_wrong_outcomes(
    responses: list[RequestRecord],
    model_executions: list[dict[str, Any]],
    bookings: Counter[str],
) -> Iterator[str]:
    executions = Counter(row.get('mark') for row in model_executions)
    executions.update(bookings)
    completed = Counter(
        row['mark'] for row in model_executions if row['state'] == DONE
    )
    completed.update(bookings)
    by_mark: dict[str, list[RequestRecord]] = {}
    for response in responses:
        by_mark.setdefault(response.mark, []).append(response)
    for mark, count in bookings.items():
        if count > 1:
            yield f'booking {mark} was executed {count} times: {by_mark[mark]}'
    for mark, attempts in by_mark.items():
        outcomes = {attempt.outcome for attempt in attempts}
        if DONE in outcomes and not completed[mark]:
            yield f'{mark} was answered but not executed: {attempts}'
        if outcomes == {NOT_RUN} and executions[mark]:
            yield f'{mark} was reported as not run but executed: {attempts}'
        if any(attempt.code == 'cut_without_error' for attempt in attempts):
            yield f'{mark} ended without an error event: {attempts}'


def _list_version_changes(responses: list[RequestRecord]) -> Iterator[str]:
    versions: dict[str, set[str]] = {}
    for response in responses:
        if response.conversation and response.outcome == DONE:
            versions.setdefault(response.conversation, set()).add(
                response.version
            )
    for name, served_by in versions.items():
        if len(served_by) > 1:
            yield f'conversation {name} changed versions: {served_by}'


def _list_billing_errors(
    fleet: ChaosFleet,
    responses: list[RequestRecord],
    model_executions: list[dict[str, Any]],
    bookings: Counter[str],
) -> Iterator[str]:
    """Yield a line if the statement has too few or too many requests.

    A response that was lost on its way from the endpoint is not billed, so the
    number billed is at least the number of requests that callers saw succeed
    and at most the number that endpoints executed.
    """
    answered = {
        response.mark for response in responses if response.outcome == DONE
    }
    executed = {
        row['request'] for row in model_executions if row['state'] == DONE
    }
    max_billed = len(executed) + sum(bookings.values())
    deadline = time.monotonic() + BILLING_TIMEOUT_SECONDS
    while True:
        billed = fleet.admin('e1', 'GET', '/bills/user').json()['requests']
        if len(answered) <= billed <= max_billed or time.monotonic() > deadline:
            break
        time.sleep(1)
    if billed < len(answered):
        yield f'{billed} requests billed, {len(answered)} answered'
    if billed > max_billed:
        yield f'{billed} requests billed, {max_billed} executed'


def run(seed: int, seconds: float) -> int:
    """Run one seed, print a summary and return the number of violations."""
    stop = threading.Event()
    with ChaosFleet() as fleet:
        traffic = Traffic(fleet, list(ENTRIES), seed)
        injector = FaultInjector(fleet, random.Random(seed))
        operators = Operators(fleet, random.Random(seed + 1))
        traffic.start(CALLER_THREADS)
        threads = [
            threading.Thread(target=actor.run, args=(stop,))
            for actor in (injector, operators)
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        stop.set()
        threads[0].join()
        fleet.clear_faults()
        threads[1].join()
        traffic.stop()
        time.sleep(MAX_PROPAGATION_SECONDS * 2)
        violations = list(list_violations(fleet, traffic.records, operators))
        if violations:
            _copy_logs(fleet, seed)
    outcomes = Counter((row.kind, row.outcome) for row in traffic.records)
    sys.stdout.write(
        f'seed {seed}, {seconds:g} s\n'
        f'faults: {dict(injector.counts)}\n'
        'outcomes: '
        f'{ {" ".join(key): n for key, n in sorted(outcomes.items())} }\n'
        f'changes: {len(operators.withdrawals)} withdrawals, '
        f'{len(operators.zone_outages)} zone outages, '
        f'{operators.failed_changes} failed\n'
        f'violations: {len(violations)}\n'
    )
    for line in violations:
        sys.stdout.write(f'  {line}\n')
    return len(violations)


def _copy_logs(fleet: ChaosFleet, seed: int) -> None:
    """Copy the daemons' logs to the working directory."""
    for name, daemon in fleet.daemons.items():
        with open(f'chaos-{seed}-{name}.log', 'w') as copy:
            copy.write(daemon.log_text())


def main() -> None:
    """Run one seed and exit 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=600)
    options = parser.parse_args()
    sys.exit(bool(run(options.seed, options.seconds)))


if __name__ == '__main__':
    main()
