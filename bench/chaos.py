"""Random double faults on a whole fleet, then every promise is checked.

The seed fixes which faults come in which order and what callers and operators
do; the moments depend on the machine. Exits 1 if a promise was broken.
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
from standins.fleet import Fleet, name_objects

from .traffic import API_KEY, DONE, NOT_RUN, RequestRecord, Traffic

ZONES: Final = ('east', 'west')
ENTRIES: Final = ('e1', 'e2', 'e3')
ENGINES: Final = ('m1', 'm2', 'm3', 'm4')
THREADS: Final = 8
#: Time in which an accepted change must be in force everywhere.
IN_FORCE_SECONDS: Final = 5.0
#: A killed entry's bills must change hands before the next kill.
KILL_PAUSE_SECONDS: Final = 15.0
SETTLE_SECONDS: Final = 40.0
VERSION: Final = 'large@1'

VERSIONS: Final[dict[str, dict[str, Any]]] = {
    'small@1': {
        'state': 'live',
        'prompt_price': 10,
        'completion_price': 20,
        'quality': {'*': 0.7},
    },
    VERSION: {
        'state': 'live',
        'prompt_price': 100,
        'completion_price': 200,
        'quality': {'*': 0.92},
    },
}


class Fault(NamedTuple):
    """Something that goes wrong for a while."""

    name: str
    begin: Callable[[], object]
    end: Callable[[], object]


class Span(NamedTuple):
    """Unix times at which a restriction was accepted and was lifted."""

    began: float
    ended: float


class ChaosFleet(Fleet):
    """Three entries, four engines and two booking services in two zones."""

    def __init__(self) -> None:
        """Start everything behind the fault proxy."""
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
            'versions': ['small@1', VERSION],
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
        objects = name_objects(
            zone={zone: {'out': False} for zone in ZONES},
            version=VERSIONS,
            service={'booking': {'repeatable': []}},
            contract={'user': contract},
        )
        self.apply_all('e1', objects)
        self.wait_linked()

    def heal(self) -> None:
        """End all faults and wait until every daemon is back."""
        self.set_fault('*', 'none')
        self.fault(log_down_seconds=0, lose_answers=0)
        for daemon in self.daemons.values():
            daemon.thaw()
            if not daemon.is_running():
                daemon.start()
        wait_until(self._is_linked, 60, 'links of all entries')

    def _is_linked(self) -> bool:
        try:
            return self.all_linked()
        except (OSError, KeyError, ValueError):
            return False


class Faults:
    """Begins and ends random faults, two at a time."""

    def __init__(self, fleet: ChaosFleet, source: random.Random) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._random = source
        self._killed = 0.0
        self.counts: Counter[str] = Counter()

    def run(self, stop: threading.Event) -> None:
        """Make faults until stopped."""
        while not stop.is_set():
            chosen = [self._draw(), self._draw()]
            for fault in chosen:
                self.counts[fault.name] += 1
                fault.begin()
                stop.wait(self._random.uniform(0, 0.5))
            stop.wait(self._random.uniform(0.5, 6))
            for fault in chosen:
                fault.end()
            stop.wait(self._random.uniform(0, 2))

    def _draw(self) -> Fault:
        makers = (
            self._freeze,
            self._freeze,
            self._kill,
            self._cut_peers,
            self._cut_platform,
            self._stop_log,
            self._lose_answers,
            self._break_engine,
            self._fail_engine,
            self._lose_reply,
        )
        return self._random.choice(makers)()

    def _freeze(self) -> Fault:
        daemon = self._random.choice(list(self._fleet.daemons.values()))
        return Fault('process paused', daemon.freeze, daemon.thaw)

    def _kill(self) -> Fault:
        if time.monotonic() - self._killed < KILL_PAUSE_SECONDS:
            return self._freeze()
        self._killed = time.monotonic()
        daemon = self._random.choice(list(self._fleet.daemons.values()))
        return Fault('process killed', daemon.kill, daemon.start)

    def _cut_peers(self) -> Fault:
        entry = self._random.choice((*ENTRIES, '*'))
        sidecar = self._random.choice((*ENGINES, 'b1', 'b2', '*'))
        mode = self._random.choice(('cut', 'freeze', 'lose_replies'))
        return self._route(f'peer:{entry}:{sidecar}', mode)

    def _cut_platform(self) -> Fault:
        daemon = self._random.choice(list(self._fleet.daemons))
        mode = self._random.choice(('refuse', 'freeze', 'lose_replies'))
        return self._route(f'platform:{daemon}', mode)

    def _route(self, route: str, mode: str) -> Fault:
        fleet = self._fleet
        return Fault(
            f'links {mode}',
            lambda: fleet.set_fault(route, mode),
            lambda: fleet.set_fault(route, 'none'),
        )

    def _stop_log(self) -> Fault:
        seconds = self._random.uniform(1, 8)
        return Fault(
            'log down',
            lambda: self._fleet.fault(log_down_seconds=seconds),
            lambda: None,
        )

    def _lose_answers(self) -> Fault:
        return Fault(
            'answers of the log lost',
            lambda: self._fleet.fault(lose_answers=3),
            lambda: self._fleet.fault(lose_answers=0),
        )

    def _break_engine(self) -> Fault:
        return self._engine('stream broken', {'break_after': 3}, {})

    def _fail_engine(self) -> Fault:
        return self._engine('engine fails', {'status': 500}, {'status': 0})

    def _engine(
        self, name: str, begin: dict[str, Any], end: dict[str, Any]
    ) -> Fault:
        address = self._fleet.engines[self._random.choice(ENGINES)]
        return Fault(
            name,
            lambda: call(address, 'POST', '/fault', begin),
            lambda: call(address, 'POST', '/fault', end),
        )

    def _lose_reply(self) -> Fault:
        service = self._random.choice(list(self._fleet.services.values()))
        return Fault(
            'reply of a service lost',
            lambda: call(service, 'POST', '/fault', {'lose_replies': 1}),
            lambda: call(service, 'POST', '/fault', {'lose_replies': 0}),
        )


class Operators:
    """Withdraw and restore a version; take a zone out and back."""

    def __init__(self, fleet: ChaosFleet, source: random.Random) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._random = source
        self.withdrawn: list[Span] = []
        self.out: list[Span] = []
        self.refused = 0

    def run(self, stop: threading.Event) -> None:
        """Change the configuration until stopped."""
        off = {**VERSIONS[VERSION], 'state': 'withdrawn'}
        choices = (
            (f'version/{VERSION}', off, VERSIONS[VERSION], self.withdrawn),
            ('zone/west', {'out': True}, {'out': False}, self.out),
        )
        while not stop.is_set():
            stop.wait(self._random.uniform(1, 4))
            name, begin, end, spans = self._random.choice(choices)
            if not self._put(name, begin):
                continue
            began = time.time()
            stop.wait(self._random.uniform(6, 12))
            ended = time.time()
            while not self._put(name, end):
                time.sleep(0.5)
            spans.append(Span(began, ended))

    def _put(self, name: str, body: dict[str, Any]) -> bool:
        entry = self._random.choice(ENTRIES)
        try:
            answer = self._fleet.put(entry, name, body, 0, force=True)
        except (OSError, ValueError, KeyError):
            self.refused += 1
            return False
        self.refused += answer.status != 200
        return answer.status == 200


def list_broken(
    fleet: ChaosFleet, told: list[RequestRecord], operators: Operators
) -> Iterator[str]:
    """Yield a line for each promise that was broken."""
    rows = {
        name: fleet.journal(address) for name, address in fleet.engines.items()
    }
    models = [row for journal in rows.values() for row in journal]
    bookings = Counter(
        json.loads(row['body'])['mark'] for row in fleet.service_rows()
    )
    yield from _list_false_outcomes(told, models, bookings)
    yield from _list_moved_conversations(told)
    for span in operators.withdrawn:
        for row in models:
            if row.get('version') == VERSION and _is_late(row, span):
                yield f'withdrawn version started: {row}'
    for span in operators.out:
        for name in ('m2', 'm4'):
            for row in rows[name]:
                if _is_late(row, span):
                    yield f'zone out, started at "{name}": {row}'
    yield from _list_wrong_bills(fleet, told, models, bookings)


def _is_late(row: dict[str, Any], span: Span) -> bool:
    return span.began + IN_FORCE_SECONDS < row['at'] < span.ended


def _list_false_outcomes(
    told: list[RequestRecord],
    models: list[dict[str, Any]],
    bookings: Counter[str],
) -> Iterator[str]:
    runs = Counter(row.get('mark') for row in models)
    runs.update(bookings)
    whole = Counter(row['mark'] for row in models if row['state'] == DONE)
    whole.update(bookings)
    by_mark: dict[str, list[RequestRecord]] = {}
    for row in told:
        by_mark.setdefault(row.mark, []).append(row)
    for mark, count in bookings.items():
        if count > 1:
            yield f'booking {mark} ran {count} times: {by_mark[mark]}'
    for mark, answers in by_mark.items():
        outcomes = {row.outcome for row in answers}
        if DONE in outcomes and not whole[mark]:
            yield f'{mark} was answered and did not run: {answers}'
        if outcomes == {NOT_RUN} and runs[mark]:
            yield f'{mark} ran in spite of "not run": {answers}'
        if any(row.code == 'cut_without_error' for row in answers):
            yield f'{mark} was cut without an error: {answers}'


def _list_moved_conversations(told: list[RequestRecord]) -> Iterator[str]:
    versions: dict[str, set[str]] = {}
    for row in told:
        if row.conversation and row.outcome == DONE:
            versions.setdefault(row.conversation, set()).add(row.version)
    for name, found in versions.items():
        if len(found) > 1:
            yield f'conversation {name} moved over {found}'


def _list_wrong_bills(
    fleet: ChaosFleet,
    told: list[RequestRecord],
    models: list[dict[str, Any]],
    bookings: Counter[str],
) -> Iterator[str]:
    """Yield faults of the statement.

    An answer that was lost on its way from the endpoint is not billed, so
    the statement lies between what callers received and what ran.
    """
    done = {row.mark for row in told if row.outcome == DONE}
    ran = {row['request'] for row in models if row['state'] == DONE}
    limit = len(ran) + sum(bookings.values())
    deadline = time.monotonic() + SETTLE_SECONDS
    while True:
        billed = fleet.admin('e1', 'GET', '/bills/user').json()['requests']
        if len(done) <= billed <= limit or time.monotonic() > deadline:
            break
        time.sleep(1)
    if billed < len(done):
        yield f'{billed} billed, {len(done)} answered'
    if billed > limit:
        yield f'{billed} billed, {limit} executed'


def run(seed: int, seconds: float) -> int:
    """Return the number of broken promises."""
    stop = threading.Event()
    with ChaosFleet() as fleet:
        traffic = Traffic(fleet, list(ENTRIES), seed)
        faults = Faults(fleet, random.Random(seed))
        operators = Operators(fleet, random.Random(seed + 1))
        traffic.start(THREADS)
        threads = [
            threading.Thread(target=actor.run, args=(stop,))
            for actor in (faults, operators)
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        stop.set()
        threads[0].join()
        fleet.heal()
        threads[1].join()
        traffic.stop()
        time.sleep(IN_FORCE_SECONDS * 2)
        broken = list(list_broken(fleet, traffic.records, operators))
        if broken:
            _keep_logs(fleet, seed)
    outcomes = Counter((row.kind, row.outcome) for row in traffic.records)
    sys.stdout.write(
        f'seed {seed}, {seconds:g} s\n'
        f'faults: {dict(faults.counts)}\n'
        f'told: { {" ".join(key): n for key, n in sorted(outcomes.items())} }\n'
        f'changes: {len(operators.withdrawn)} withdrawals, '
        f'{len(operators.out)} zones out, {operators.refused} refused\n'
        f'broken: {len(broken)}\n'
    )
    for line in broken:
        sys.stdout.write(f'  {line}\n')
    return len(broken)


def _keep_logs(fleet: ChaosFleet, seed: int) -> None:
    """Copy the daemons' logs for a look at what was broken."""
    for name, daemon in fleet.daemons.items():
        with open(f'chaos-{seed}-{name}.log', 'w') as copy:
            copy.write(daemon.log_text())


def main() -> None:
    """Run the chaos and exit 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=600)
    options = parser.parse_args()
    sys.exit(bool(run(options.seed, options.seconds)))


if __name__ == '__main__':
    main()
