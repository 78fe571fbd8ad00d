"""Random faults around entries on the users' platform, and what must hold.

Entries run as processes; a store, endpoints and loopback proxies run here. The
seed fixes the faults and their order. Exits 1 if a promise was broken.

    python -m bench.soak --seed 7
    python -m bench.soak --seeds 50 --jobs 4
    python -m bench.soak --kept        # seeds that failed once
"""

import argparse
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from http.client import HTTPConnection, HTTPException
from multiprocessing import get_context
from pathlib import Path
from typing import Any, Final, NamedTuple

from standins.boot import REVOCATION_SECONDS, BootSettings, write_boot_file
from standins.calls import find_port, wait_until
from standins.keyedstore import KeyedStore
from standins.nodes import Node
from standins.proxy import Route
from standins.replica import SIGNATURE, Replica

KEPT: Final = Path(__file__).parent / 'soak_seeds.txt'
ENTRIES: Final = 2
REPLICAS: Final = 3
CALLERS: Final = 6
FAULT_SECONDS: Final = 9.0
#: Time that an entry has to end, in seconds.
GRACE_SECONDS: Final = 4
#: Longest time that one fault lasts, in seconds.
LONGEST_FAULT: Final = 6.1
#: Time for the service to come back once all faults are over.
RECOVERY_SECONDS: Final = 15.0
EVENTS: Final = 12
KEYS: Final = ('key-kept', 'key-taken')
HOST: Final = 'desk.example'
MODES: Final = ('cut', 'refuse', 'freeze', 'lose_replies', 'delay')
REFUSALS: Final = frozenset((408, 421, 429, 503))


class Told(NamedTuple):
    """What a caller was told of one request."""

    identifier: str
    path: str
    key: str
    #: time.time() at which it was sent.
    sent: float
    status: int
    headers: dict[str, str]
    body: bytes
    #: False if the answer was cut off.
    is_whole: bool


class World:
    """A store, endpoints and entries, with a proxy on every link."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Start all."""
        self.random = random.Random(seed)
        self.store = KeyedStore()
        self.replicas = [Replica(f'i-{row}') for row in range(REPLICAS)]
        self.routes: dict[str, Route] = {}
        #: Answers to requests that are not the callers'.
        self.asked: list[Told] = []
        for replica in self.replicas:
            replica.events = EVENTS
            self.add_route(replica.identifier, replica.port)
        self.revision = 0
        #: time.time() at which the store had the key's withdrawal.
        self.taken_at = float('inf')
        self.publish(KEYS)
        for replica in self.replicas:
            self.register(replica)
        self.entries = [
            self._make_entry(seed, number, folder) for number in range(ENTRIES)
        ]
        for entry in self.entries:
            entry.start()
        wait_until(self.all_ready, RECOVERY_SECONDS, 'readiness')

    def add_route(self, name: str, port: int) -> int:
        """Put a proxy before a port of this process; return its port."""
        listen = find_port()
        self.routes[name] = Route(listen, f'127.0.0.1:{port}', len(name))
        return listen

    def publish(self, keys: tuple[str, ...]) -> None:
        """Put a configuration in force."""
        self.revision += 1
        routes = [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 4000,
                'targetLatencyMs': 800,
                'service': 'desk',
                'maxAttempts': runs,
                'streamResumption': True,
            }
            for name, kind, runs in (
                ('book', 'unsafe', 2),
                ('look', 'safe', 2),
                ('draft', 'streaming', 3),
            )
        ]
        table = {
            'version': self.revision,
            'routes': routes,
            'services': [{'name': 'desk', 'connectionLimit': 90}],
            'tenants': [{'name': key, 'apiKeys': [key]} for key in keys],
        }
        self.store.put('keyed.op', 'config', json.dumps(table).encode())

    def take_key(self) -> None:
        """Withdraw the second key for good."""
        self.publish(KEYS[:1])
        self.taken_at = min(self.taken_at, time.time())

    def register(self, replica: Replica, **changes: Any) -> None:
        """Write an endpoint's entry, which leads through its proxy."""
        port = self.routes[replica.identifier].port
        record = replica.record(address=f'127.0.0.1:{port}', **changes)
        self.store.put('keyed.servers', replica.identifier, record)

    def all_ready(self) -> bool:
        """Return True if every entry serves; start those that ended."""
        for entry in self.entries:
            if not entry.is_running():
                entry.start()
        return all(
            self.ask(number, 'look', KEYS[0]).status == 200
            for number in range(ENTRIES)
        )

    def ask(self, number: int, kind: str, key: str) -> Told:
        """Return what an entry answers on a new connection."""
        host, port = self.addresses(number)
        told = send(HTTPConnection(host, port, timeout=6), kind, key)
        self.asked.append(told)
        return told

    def addresses(self, number: int) -> tuple[str, int]:
        """Return where callers reach an entry, through its proxy."""
        route = self.routes[f'entry-{number}']
        return '127.0.0.1', route.port

    def heal(self) -> None:
        """End all faults."""
        self.store.error_status = 0
        self.store.is_silent = False
        for replica in self.replicas:
            replica.fault = ''
            replica.cut_at = 0
            self.register(replica, state='ready')
        for route in self.routes.values():
            route.set_fault('none', 0)
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            if not entry.is_running():
                entry.start()

    def close(self) -> None:
        """End all."""
        for entry in self.entries:
            entry.kill()
        self.store.close()
        for replica in self.replicas:
            replica.close()

    def _make_entry(self, seed: int, number: int, folder: Path) -> Node:
        name = f'entry-{number}'
        # Each entry has an address of its own, as on machines of its own.
        host = f'127.{10 + seed % 200}.{seed // 200 % 250}.{number + 2}'
        port = find_port()
        store = self.add_route(f'store-{number}', self.store.port)
        self.routes[name] = Route(find_port(), f'{host}:{port}', number)
        path = folder / f'{name}.toml'
        boot = BootSettings(
            name,
            host,
            port,
            find_port(),
            find_port(),
            f'127.0.0.1:{store}',
            GRACE_SECONDS,
        )
        write_boot_file(path, boot)
        command = [sys.executable, '-m', 'toucancourse.daemon', str(path)]
        return Node(name, command, folder / f'{name}.log')


def send(connection: HTTPConnection, kind: str, key: str) -> Told:
    """Return what the other end says to one request."""
    identifier = os.urandom(8).hex()
    path = f'/{kind}/x'
    headers = {
        'Host': HOST,
        'X-Attempt-Id': identifier,
        'X-Key': key,
        'X-Deadline-Ms': '4000',
    }
    if kind == 'draft':
        headers.update({'Accept': 'text/event-stream', 'X-Model': 'm'})
    sent = time.time()
    status, found, body, is_whole = 0, {}, b'', False
    try:
        connection.request('POST', path, b'{}', headers)
        response = connection.getresponse()
        status = response.status
        found = {name.lower(): text for name, text in response.getheaders()}
        body = response.read()
        is_whole = True
    except (OSError, HTTPException) as error:
        body = getattr(error, 'partial', body)
        connection.close()
    return Told(identifier, path, key, sent, status, found, body, is_whole)


class Callers:
    """Send requests on kept connections until stopped."""

    def __init__(self, world: World) -> None:
        """Start the threads."""
        self._world = world
        self.told: list[Told] = []
        self.stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """End the threads."""
        self.stop.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self, number: int) -> None:
        source = random.Random(number)
        host, port = self._world.addresses(number % ENTRIES)
        connection = HTTPConnection(host, port, timeout=6)
        while not self.stop.is_set():
            kind = source.choice(('book', 'look', 'draft'))
            key = source.choice(KEYS)
            self.told.append(send(connection, kind, key))
            time.sleep(source.uniform(0, 0.03))


def list_faults(world: World) -> list[Callable[[], None]]:
    """Return the faults that a seed draws from."""
    source = world.random

    def disturb_link() -> None:
        name = source.choice(sorted(world.routes))
        route = world.routes[name]
        route.set_fault(source.choice(MODES), 0.2)
        longest = 6 if name.startswith('store') else 2
        seconds = source.uniform(0.3, longest)
        threading.Timer(seconds, route.set_fault, ('none', 0)).start()

    def signal_entry() -> None:
        entry = source.choice(world.entries)
        number = source.choice(
            (signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
        )
        entry.send_signal(number)
        threading.Timer(source.uniform(0.3, 2), revive, (entry,)).start()

    def revive(entry: Node) -> None:
        entry.send_signal(signal.SIGCONT)
        if not entry.is_running():
            entry.start()

    def spoil_endpoint() -> None:
        replica = source.choice(world.replicas)
        replica.fault = source.choice(
            ('shed', 'error', 'cut', 'extra', 'garbage', 'close', 'crossed')
        )
        replica.faults_left = source.randint(1, 12)
        replica.cut_at = source.choice((0, 0, 3, 7))

    def spoil_store() -> None:
        if source.random() < 0.3:
            world.store.compact('keyed.op')
        else:
            world.store.error_status = source.choice((503, 429))
            # Longer than a withdrawn key may be served without the store.
            threading.Timer(source.uniform(0.5, 6), calm_store).start()

    def calm_store() -> None:
        world.store.error_status = 0

    def move_endpoint() -> None:
        replica = source.choice(world.replicas)
        state = source.choice(('draining', 'ready'))
        world.register(replica, state=state, born=source.randint(1, 3))

    faults = [
        disturb_link,
        disturb_link,
        signal_entry,
        spoil_endpoint,
        spoil_store,
        move_endpoint,
    ]
    if source.random() < 0.7:
        faults.extend([world.take_key, spoil_store])
    return faults


def check(world: World, told: list[Told]) -> list[str]:
    """Return the promises that were broken."""
    runs: dict[str, list[dict[str, Any]]] = {}
    for replica in world.replicas:
        for row in replica.runs():
            runs.setdefault(row['call'], []).append(row)
    broken = []
    told = [*told, *world.asked]
    for row in told:
        found = runs.get(row.identifier, [])
        broken.extend(_check_one(world, row, found))
    known = {row.identifier for row in told}
    broken.extend(f'nobody sent {name}' for name in runs if name not in known)
    return broken


def _check_one(
    world: World, row: Told, runs: list[dict[str, Any]]
) -> list[str]:
    broken = []
    is_unsafe = row.path.startswith('/book')
    if is_unsafe and len(runs) > 1:
        broken.append(f'{row.identifier} ran {len(runs)} times')
    if is_unsafe and row.status in REFUSALS and runs:
        broken.append(f'{row.identifier} got {row.status} and ran')
    is_late = row.sent > world.taken_at + REVOCATION_SECONDS
    if runs and is_late and row.key == KEYS[1]:
        broken.append(f'{row.identifier} ran with a withdrawn key')
    if any(run['headers'].get('X-Tenant') != row.key for run in runs):
        broken.append(f'{row.identifier} ran for another account')
    if row.status == 200 and row.is_whole:
        if row.headers.get('x-server-signature') != SIGNATURE:
            broken.append(f'{row.identifier} has an unsigned success')
        if row.headers.get('x-attempt-id') != row.identifier:
            broken.append(f'{row.identifier} got the answer of another')
    if row.path.startswith('/draft') and row.status == 200:
        broken.extend(_check_stream(row))
    return broken


def _check_stream(row: Told) -> list[str]:
    ids = [
        int(line[3:])
        for line in row.body.split(b'\n')
        if line.startswith(b'id:')
    ]
    if ids != list(range(1, len(ids) + 1)):
        return [f'{row.identifier} has events {ids}']
    if row.is_whole and len(ids) != EVENTS:
        return [f'{row.identifier} ends as complete after {len(ids)}']
    return []


def run_seed(seed: int) -> list[str]:
    """Return what one seed breaks."""
    with tempfile.TemporaryDirectory() as name:
        world = World(seed, Path(name))
        try:
            return _run_world(world, Path(name), seed)
        finally:
            world.close()


def _run_world(world: World, folder: Path, seed: int) -> list[str]:
    callers = Callers(world)
    faults = list_faults(world)
    end = time.monotonic() + FAULT_SECONDS
    while time.monotonic() < end:
        for _ in range(world.random.choice((1, 1, 2, 3))):
            world.random.choice(faults)()
        time.sleep(world.random.uniform(0.1, 0.8))
    callers.join()
    # Timers that end faults may still be due.
    time.sleep(LONGEST_FAULT)
    world.heal()
    told = callers.told
    broken = check(world, told)
    try:
        wait_until(world.all_ready, RECOVERY_SECONDS, 'recovery')
    except TimeoutError as error:
        broken.append(str(error))
    if not any(row.status == 200 for row in told):
        broken.append('nothing was served')
    if broken:
        kept = Path(f'soak-{seed}.log')
        logs = [path.read_text() for path in sorted(folder.glob('*.log'))]
        kept.write_text('\n'.join((*broken, *logs)))
    return broken


def read_kept() -> list[int]:
    """Return the seeds that failed once."""
    lines = KEPT.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def main() -> None:
    """Run seeds and print what they break."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, help='run one seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--jobs', type=int, default=2, help='at a time')
    parser.add_argument('--kept', action='store_true', help='seeds kept')
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    if options.seed is not None:
        seeds = [options.seed]
    if options.kept:
        seeds = read_kept()
    failed = 0
    # Forked workers would hand out the same ports.
    spawn = get_context('spawn')
    with ProcessPoolExecutor(options.jobs, spawn) as pool:
        for seed, broken in zip(seeds, pool.map(run_seed, seeds), strict=True):
            failed += bool(broken)
            print(f'seed {seed}: {"; ".join(broken[:4]) or "clean"}')
    print(f'{len(seeds) - failed} clean, {failed} broken')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
