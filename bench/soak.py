"""Injects random faults around entries and checks the service guarantees.

Entries run as separate processes on a stand-in for the users' platform; its
keyed store, the endpoints and the fault-injecting TCP proxies run in this
process. The seed fixes the faults and their order. Exits 1 if a guarantee was
violated.

    python -m bench.soak --seed 7
    python -m bench.soak --seeds 50 --jobs 4
    python -m bench.soak --kept        # seeds that failed before
    python -m bench.soak --scenario stops --seeds 20
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
from standins.replica import FAULTS, UNFRAMED_FAULTS, Replica, make_event

FAILED_SEEDS_FILE: Final = Path(__file__).parent / 'soak_seeds.txt'
ENTRY_COUNT: Final = 2
REPLICA_COUNT: Final = 3
CALLER_COUNT: Final = 6
#: Mean pause between the requests of a caller.
CALLER_PAUSE_SECONDS: Final = 0.015
FAULT_SECONDS: Final = 9.0
#: The same for kills, which must exceed a window of the retry budget.
KILLS_SECONDS: Final = 18.0
#: Time limit for the graceful shutdown of an entry.
SHUTDOWN_GRACE_SECONDS: Final = 4
#: Upper bound on the duration of one fault.
MAX_FAULT_SECONDS: Final = 6.1
#: Time in which all entries must serve again after the last fault.
RECOVERY_TIMEOUT_SECONDS: Final = 15.0
EVENTS_PER_STREAM: Final = 12
EVENT_END: Final = b'\n\n'
#: API keys of the callers; the second one is revoked by a fault.
API_KEYS: Final = ('key-kept', 'key-taken')
ROUTE_HOST: Final = 'desk.example'
#: What a seed injects: 'mixed' faults everywhere, faults of 'endpoints' only,
#: these beside their 'crashes' or 'restarts' of entries, planned 'stops' of
#: entries only, 'kills' of all entries while all endpoints fail, 'stutters' of
#: endpoints that break answers off and send them once more, 'restores' of the
#: store from older copies, or 'overload': slow endpoints, an account that sends
#: many times its usual, and entries that lag.
SCENARIOS: Final = (
    'mixed',
    'endpoints',
    'crashes',
    'restarts',
    'stops',
    'kills',
    'stutters',
    'restores',
    'overload',
)
#: Scenarios in which entries are calm, and those in which the retries at
#: endpoints are compared with the budget.
CALM_SCENARIOS: Final = frozenset(
    ('endpoints', 'crashes', 'stutters', 'restores', 'overload')
)
BUDGET_SCENARIOS: Final = frozenset(
    ('endpoints', 'crashes', 'restarts', 'kills', 'stutters')
)
#: Scenarios that do not draw from all faults of responses.
CHOSEN_FAULT_SCENARIOS: Final = frozenset(
    ('stops', 'kills', 'stutters', 'restores', 'overload')
)
#: Longest time that the store is away, and after which operators and endpoints
#: write again what it lost.
STORE_AWAY_SECONDS: Final = 1.0
#: Time in which a change that was written applies at all entries.
APPLY_SECONDS: Final = 2.0
#: Faults of endpoints that stutter.
STUTTERS: Final = (
    'break_off',
    'restart',
    'restart_failed',
    'copy',
    'copy_failed',
    'twice',
    'repeat',
    'extra',
)
#: Length of a body then, and bytes that are fewer than a whole response has.
STUTTER_BODY_BYTES: Final = 800
STUTTER_BREAK_OFF_BYTES: Final = 1300
#: Range of the pause of an endpoint that stutters late.
STUTTER_SECONDS: Final = (0.02, 0.3)
#: Callers of the account in excess, which pause for no longer than this.
EXCESS_CALLERS: Final = 18
EXCESS_PAUSE_SECONDS: Final = 0.002
#: Times that an endpoint takes for a request, and for which an entry stands
#: still, in an overload.
OVERLOAD_WORK_SECONDS: Final = (0.0, 0.05, 0.4, 1.5)
LAG_SECONDS: Final = (0.05, 0.6)
#: Pause between kills of all entries, and between requests of a caller then:
#: with few requests, most of the budget is its fixed part.
KILL_PAUSE_SECONDS: Final = 2.2
FEW_REQUESTS_PAUSE_SECONDS: Final = 0.7
#: Responses break off after fewer bytes; a stream has more.
MAX_BREAK_OFF_BYTES: Final = 500
#: Retries that all entries may send in a window of so many seconds: a fixed
#: number and a share of the requests.
RETRY_EXTRA: Final = 10
RETRY_SHARE: Final = 0.2
RETRY_WINDOW_SECONDS: Final = 10.0
#: Fault modes of the proxies.
LINK_FAULTS: Final = ('cut', 'refuse', 'freeze', 'lose_replies', 'delay')
#: Statuses that promise that the request was not executed.
NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))


class CallerResponse(NamedTuple):
    """The response to one request, as its caller received it."""

    attempt_id: str
    path: str
    api_key: str
    #: time.time() at which the request was sent.
    sent_at: float
    #: Time from then to the end of the response or of the connection.
    seconds: float
    #: 0 if no response arrived.
    status: int
    #: Names are in lower case.
    headers: dict[str, str]
    body: bytes
    #: False if the connection broke before the end of the response.
    is_complete: bool
    #: True if the connection had served other requests.
    is_reused: bool


class SoakFleet:
    """A store, endpoints and entries, with a TCP proxy on every link."""

    def __init__(
        self, seed: int, folder: Path, scenario: str = 'mixed'
    ) -> None:
        """Start everything and wait until all entries serve."""
        self.scenario = scenario
        #: True once no process may be started any more.
        self.is_closed = False
        self.rng = random.Random(seed)
        #: Draws the faults of responses, so that `rng` draws as it did for
        #: seeds that failed before.
        self.response_rng = random.Random(f'responses of {seed}')
        self.store = KeyedStore()
        self.replicas = [
            Replica(f'i-{number}') for number in range(REPLICA_COUNT)
        ]
        self.proxies: dict[str, Route] = {}
        #: Responses to the readiness probes.
        self.probe_responses: list[CallerResponse] = []
        for replica in self.replicas:
            replica.events = EVENTS_PER_STREAM
            replica.names_calls = True
            if scenario == 'stutters':
                replica.body_bytes = STUTTER_BODY_BYTES
            self.add_proxy(replica.identifier, replica.port)
        self.revision = 0
        #: time.time() after the store accepted the revocation of the key.
        self.revoked_at = float('inf')
        self.publish_configuration(API_KEYS)
        for replica in self.replicas:
            self.register_endpoint(replica)
        self.entries = [
            self._make_entry(seed, number, folder)
            for number in range(ENTRY_COUNT)
        ]
        for entry in self.entries:
            entry.start()
        try:
            wait_until(self.ensure_ready, RECOVERY_TIMEOUT_SECONDS, 'readiness')
        except TimeoutError as error:
            description = self._describe_start()
            self.close()
            raise TimeoutError(f'{error}\n{description}') from error

    def add_proxy(self, name: str, port: int) -> int:
        """Start a proxy to a port of this process; return its port."""
        listen = find_port()
        self.proxies[name] = Route(listen, f'127.0.0.1:{port}', len(name))
        return listen

    def publish_configuration(self, keys: tuple[str, ...]) -> None:
        """Write a routing table with one tenant for each API key."""
        self.revision += 1
        routes = [
            {
                'name': name,
                'host': ROUTE_HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 4000,
                'targetLatencyMs': 800,
                'service': 'desk',
                'maxAttempts': max_attempts,
                'streamResumption': True,
            }
            for name, kind, max_attempts in (
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

    def revoke_key(self) -> None:
        """Revoke the second API key permanently."""
        self.publish_configuration(API_KEYS[:1])
        self.revoked_at = min(self.revoked_at, time.time())

    def register_endpoint(self, replica: Replica, **changes: Any) -> None:
        """Write an endpoint's record with the address of its proxy."""
        port = self.proxies[replica.identifier].port
        record = replica.record(address=f'127.0.0.1:{port}', **changes)
        self.store.put('keyed.servers', replica.identifier, record)

    def ensure_ready(self) -> bool:
        """Restart entries that exited; return True if all entries serve."""
        for entry in self.entries:
            if not entry.is_running():
                entry.start()
        return all(
            self.probe(number, 'look', API_KEYS[0]).status == 200
            for number in range(ENTRY_COUNT)
        )

    def probe(self, number: int, kind: str, key: str) -> CallerResponse:
        """Send a request to an entry on a new connection."""
        host, port = self.get_entry_address(number)
        response = send(HTTPConnection(host, port, timeout=6), kind, key)
        self.probe_responses.append(response)
        return response

    def get_entry_address(self, number: int) -> tuple[str, int]:
        """Return the host and port of an entry's proxy."""
        proxy = self.proxies[f'entry-{number}']
        return '127.0.0.1', proxy.port

    def clear_faults(self) -> None:
        """Clear all faults and restart entries that exited."""
        self.store.error_status = 0
        self.store.is_silent = False
        for replica in self.replicas:
            replica.fault = ''
            replica.cut_at = 0
            replica.work_seconds = 0.0
            replica.is_framed = True
            self.register_endpoint(replica, state='ready')
        for proxy in self.proxies.values():
            proxy.set_fault('none', 0)
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            if not entry.is_running():
                entry.start()

    def close(self) -> None:
        """Stop all processes and servers."""
        self.is_closed = True
        for entry in self.entries:
            entry.kill()
        self.store.close()
        for replica in self.replicas:
            replica.close()

    def _describe_start(self) -> str:
        """Return the probes' responses and the logs of the entries."""
        started_at = min(probe.sent_at for probe in self.probe_responses)
        probes = [
            f'probe at {probe.sent_at - started_at:.2f} s: {probe.status}'
            f' {probe.body[-MAX_BREAK_OFF_BYTES:]!r}'
            for probe in self.probe_responses
        ]
        logs = [
            f'{entry.name}, running: {entry.is_running()}\n{entry.log_text()}'
            for entry in self.entries
        ]
        return '\n'.join((*probes, *logs))

    def _make_entry(self, seed: int, number: int, folder: Path) -> Node:
        name = f'entry-{number}'
        # Each entry has its own IP address, as on separate machines.
        host = f'127.{10 + seed % 200}.{seed // 200 % 250}.{number + 2}'
        port = find_port()
        store_port = self.add_proxy(f'store-{number}', self.store.port)
        self.proxies[name] = Route(find_port(), f'{host}:{port}', number)
        path = folder / f'{name}.toml'
        boot = BootSettings(
            name,
            host,
            port,
            find_port(),
            find_port(),
            f'127.0.0.1:{store_port}',
            SHUTDOWN_GRACE_SECONDS,
        )
        write_boot_file(path, boot)
        command = [sys.executable, '-m', 'toucancourse.daemon', str(path)]
        return Node(name, command, folder / f'{name}.log')


def send(connection: HTTPConnection, kind: str, key: str) -> CallerResponse:
    """Send one request and return its response.

    A connection that broke is closed; http.client opens it again on next use.
    """
    attempt_id = os.urandom(8).hex()
    path = f'/{kind}/x'
    headers = {
        'Host': ROUTE_HOST,
        'X-Attempt-Id': attempt_id,
        'X-Key': key,
        'X-Deadline-Ms': '4000',
    }
    if kind == 'draft':
        headers.update({'Accept': 'text/event-stream', 'X-Model': 'm'})
    sent_at = time.time()
    is_reused = connection.sock is not None
    status, received, body, is_complete = 0, {}, b'', False
    try:
        connection.request('POST', path, b'{}', headers)
        response = connection.getresponse()
        status = response.status
        received = _join_headers(response.getheaders())
        body = response.read()
        is_complete = True
    except (OSError, HTTPException) as error:
        body = getattr(error, 'partial', body)
        connection.close()
    return CallerResponse(
        attempt_id,
        path,
        key,
        sent_at,
        time.time() - sent_at,
        status,
        received,
        body,
        is_complete,
        is_reused,
    )


def _join_headers(headers: list[tuple[str, str]]) -> dict[str, str]:
    """Return headers by name in lower case; repeated ones are joined."""
    joined: dict[str, str] = {}
    for name, text in headers:
        key = name.lower()
        joined[key] = f'{joined[key]}, {text}' if key in joined else text
    return joined


class Callers:
    """Threads that send random requests on persistent connections."""

    def __init__(self, fleet: SoakFleet, count: int = CALLER_COUNT) -> None:
        """Start one thread for each caller."""
        self._fleet = fleet
        self.responses: list[CallerResponse] = []
        self.stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Stop the threads and wait for them."""
        self.stop.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        host, port = self._fleet.get_entry_address(number % ENTRY_COUNT)
        connection = HTTPConnection(host, port, timeout=6)
        kinds, pause = ('book', 'look', 'draft'), CALLER_PAUSE_SECONDS
        keys = API_KEYS
        if self._fleet.scenario == 'kills':
            kinds, pause = ('look',), FEW_REQUESTS_PAUSE_SECONDS
        if number >= CALLER_COUNT:
            keys, pause = API_KEYS[1:], EXCESS_PAUSE_SECONDS
        while not self.stop.is_set():
            kind = rng.choice(kinds)
            key = rng.choice(keys)
            self.responses.append(send(connection, kind, key))
            time.sleep(rng.uniform(0, 2 * pause))


def list_faults(fleet: SoakFleet) -> list[Callable[[], None]]:
    """Return the actions from which the seed chooses."""
    rng = fleet.rng

    def inject_link_fault() -> None:
        name = rng.choice(sorted(fleet.proxies))
        proxy = fleet.proxies[name]
        proxy.set_fault(rng.choice(LINK_FAULTS), 0.2)
        longest = 6 if name.startswith('store') else 2
        seconds = rng.uniform(0.3, longest)
        threading.Timer(seconds, proxy.set_fault, ('none', 0)).start()

    def signal_entry() -> None:
        entry = rng.choice(fleet.entries)
        signal_number = rng.choice(
            (signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
        )
        entry.send_signal(signal_number)
        threading.Timer(rng.uniform(0.3, 2), resume_entry, (entry,)).start()

    def resume_entry(entry: Node) -> None:
        entry.send_signal(signal.SIGCONT)
        if not entry.is_running() and not fleet.is_closed:
            entry.start()

    def inject_endpoint_fault() -> None:
        replica = rng.choice(fleet.replicas)
        replica.fault = rng.choice(
            ('shed', 'error', 'cut', 'extra', 'garbage', 'close', 'crossed')
        )
        replica.faults_left = rng.randint(1, 12)
        replica.cut_at = rng.choice((0, 0, 3, 7))

    def inject_store_fault() -> None:
        if rng.random() < 0.3:
            fleet.store.compact('keyed.op')
        else:
            fleet.store.error_status = rng.choice((503, 429))
            # The upper bound exceeds the time for which an entry may accept a
            # revoked key while it cannot read the store.
            threading.Timer(rng.uniform(0.5, 6), clear_store_fault).start()

    def clear_store_fault() -> None:
        fleet.store.error_status = 0

    def change_registration() -> None:
        replica = rng.choice(fleet.replicas)
        state = rng.choice(('draining', 'ready'))
        fleet.register_endpoint(replica, state=state, born=rng.randint(1, 3))

    def stop_entry() -> None:
        entry = rng.choice(fleet.entries)
        entry.send_signal(signal.SIGTERM)
        seconds = SHUTDOWN_GRACE_SECONDS + rng.uniform(0, 1)
        threading.Timer(seconds, resume_entry, (entry,)).start()
        for replica in fleet.replicas:
            replica.work_seconds = rng.choice((0, 0.1, 0.8, 2.5))

    def restart_entry() -> None:
        entry = rng.choice(fleet.entries)
        entry.send_signal(rng.choice((signal.SIGKILL, signal.SIGTERM)))
        threading.Timer(rng.uniform(0.2, 1), resume_entry, (entry,)).start()

    def kill_entries() -> None:
        for replica in fleet.replicas:
            replica.fault = 'error'
        time.sleep(KILL_PAUSE_SECONDS)
        for entry in fleet.entries:
            entry.kill()
            entry.start()

    def crash_endpoint() -> None:
        rng.choice(fleet.replicas).crash(rng.uniform(0.3, 2))

    def inject_stutter() -> None:
        replica = rng.choice(fleet.replicas)
        start_stutter(
            replica,
            rng.choice(STUTTERS),
            rng.choice((0, rng.uniform(*STUTTER_SECONDS))),
            is_framed=rng.random() < 0.7,
        )
        replica.faults_left = rng.choice((4, 12, 40))

    copies = [fleet.store.copy()]

    def restore_store() -> None:
        copies.append(fleet.store.copy())
        time.sleep(rng.uniform(0, 0.5))
        fleet.publish_configuration(API_KEYS)
        for replica in fleet.replicas:
            fleet.register_endpoint(replica)
        time.sleep(rng.uniform(0, 0.5))
        fleet.store.error_status = 503
        time.sleep(rng.uniform(0, STORE_AWAY_SECONDS))
        fleet.store.restore(rng.choice(copies[-3:]))
        fleet.store.error_status = 0
        time.sleep(rng.uniform(0, STORE_AWAY_SECONDS))
        fleet.publish_configuration(API_KEYS)
        for replica in fleet.replicas:
            fleet.register_endpoint(replica)

    def slow_endpoint() -> None:
        replica = rng.choice(fleet.replicas)
        replica.work_seconds = rng.choice(OVERLOAD_WORK_SECONDS)

    def lag_entry() -> None:
        entry = rng.choice(fleet.entries)
        entry.send_signal(signal.SIGSTOP)
        threading.Timer(
            rng.uniform(*LAG_SECONDS), resume_entry, (entry,)
        ).start()

    if fleet.scenario == 'overload':
        return [slow_endpoint, lag_entry]
    if fleet.scenario == 'restores':
        return [restore_store]
    if fleet.scenario == 'stutters':
        return [inject_stutter]
    if fleet.scenario == 'endpoints':
        return [inject_endpoint_fault]
    if fleet.scenario == 'crashes':
        return [inject_endpoint_fault, crash_endpoint]
    if fleet.scenario == 'restarts':
        return [inject_endpoint_fault, restart_entry]
    if fleet.scenario == 'stops':
        return [stop_entry]
    if fleet.scenario == 'kills':
        return [kill_entries]
    faults = [
        inject_link_fault,
        inject_link_fault,
        signal_entry,
        inject_endpoint_fault,
        inject_store_fault,
        change_registration,
    ]
    if rng.random() < 0.7:
        faults.extend([fleet.revoke_key, inject_store_fault])
    return faults


def start_stutter(
    replica: Replica, fault: str, pause: float, *, is_framed: bool
) -> None:
    """Let an endpoint break responses off or repeat them."""
    replica.fault = fault
    replica.restart_seconds = pause
    replica.break_off_within = STUTTER_BREAK_OFF_BYTES
    # Without a frame, a stream that breaks off between events looks whole.
    replica.is_framed = fault == 'break_off' or is_framed


def inject_response_fault(fleet: SoakFleet) -> None:
    """Let an endpoint fail in any way that the stand-in knows."""
    rng = fleet.response_rng
    replica = rng.choice(fleet.replicas)
    replica.fault = rng.choice((*FAULTS, *['break_off'] * len(FAULTS)))
    # Where a cut link or a crash may end a connection, a body without a length
    # looks whole, as the platform allows.
    needs_frame = fleet.scenario in {'mixed', 'crashes'}
    if needs_frame and replica.fault in UNFRAMED_FAULTS:
        replica.fault = 'break_off'
    replica.faults_left = rng.choice((1, 4, 12, 40))
    replica.break_off_within = MAX_BREAK_OFF_BYTES
    # Without a frame, a stream that breaks off between events looks whole.
    is_framed = rng.random() < 0.7 or needs_frame
    replica.is_framed = replica.fault == 'break_off' or is_framed


def list_violations(
    fleet: SoakFleet, responses: list[CallerResponse]
) -> list[str]:
    """Return one line for each violated guarantee."""
    executions: dict[str, list[dict[str, Any]]] = {}
    for replica in fleet.replicas:
        for execution in replica.runs():
            executions.setdefault(execution['call'], []).append(execution)
    violations = _list_unanswered(fleet, responses, executions)
    responses = [*responses, *fleet.probe_responses]
    for response in responses:
        executed = executions.get(response.attempt_id, [])
        violations.extend(_check_response(fleet, response, executed))
    if fleet.scenario in BUDGET_SCENARIOS:
        violations.extend(_check_retries(fleet, responses))
    known = {response.attempt_id for response in responses}
    violations.extend(
        f'{name} was executed but never sent'
        for name in executions
        if name not in known
    )
    return violations


def _list_unanswered(
    fleet: SoakFleet,
    responses: list[CallerResponse],
    executions: dict[str, list[dict[str, Any]]],
) -> list[str]:
    """Return a line for each request that only lost its connection.

    In planned stops, new connections may be refused. Callers pause for less
    time than an entry leaves a connection open that it did not announce to
    close.
    """
    if fleet.scenario not in {*CALM_SCENARIOS, 'stops'}:
        return []
    return [
        f'{response.attempt_id} ended without a response'
        f' after {response.seconds:.1f} s'
        for response in responses
        if not response.status
        and (
            fleet.scenario != 'stops'
            or response.is_reused
            or response.attempt_id in executions
        )
    ]


def _check_retries(
    fleet: SoakFleet, responses: list[CallerResponse]
) -> list[str]:
    """Compare the arrivals at endpoints with the budget of all entries."""
    arrivals = sorted(
        (row['at'], row['call'])
        for replica in fleet.replicas
        for row in replica.arrivals.rows()
    )
    seen: set[str] = set()
    retries = [at for at, call in arrivals if call in seen or seen.add(call)]
    sent = [response.sent_at for response in responses]
    for number, start in enumerate(retries):
        end = start + RETRY_WINDOW_SECONDS
        count = sum(at < end for at in retries[number:])
        requests = max(
            sum(start - early <= at < end - early for at in sent)
            for early in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
        )
        if count > RETRY_SHARE * requests + RETRY_EXTRA:
            return [f'{count} retries for {requests} requests in a window']
    return []


def _check_response(
    fleet: SoakFleet,
    response: CallerResponse,
    executions: list[dict[str, Any]],
) -> list[str]:
    violations = []
    is_unsafe = response.path.startswith('/book')
    if is_unsafe and len(executions) > 1:
        violations.append(
            f'{response.attempt_id} was executed {len(executions)} times'
        )
    if is_unsafe and response.status in NOT_EXECUTED_STATUSES and executions:
        violations.append(
            f'{response.attempt_id} got {response.status} but was executed'
        )
    is_late = response.sent_at > fleet.revoked_at + REVOCATION_SECONDS
    if executions and is_late and response.api_key == API_KEYS[1]:
        violations.append(
            f'{response.attempt_id} was executed with a revoked key'
        )
    if any(
        execution['headers'].get('X-Tenant') != response.api_key
        for execution in executions
    ):
        violations.append(
            f'{response.attempt_id} was executed for another account'
        )
    if response.status == 200 and response.is_complete:
        signatures = {execution['signature'] for execution in executions}
        if response.headers.get('x-server-signature') not in signatures:
            violations.append(
                f'{response.attempt_id} got a success without signature'
            )
        if response.headers.get('x-attempt-id') != response.attempt_id:
            violations.append(
                f'{response.attempt_id} got the response of another request'
            )
    if response.status == 200:
        violations.extend(_check_body(response, executions))
    return violations


def _check_body(
    response: CallerResponse, executions: list[dict[str, Any]]
) -> list[str]:
    """Compare a body with those that the endpoints sent."""
    if response.path.startswith('/draft'):
        return _check_stream(response)
    answers = [execution['answer'] for execution in executions]
    if response.is_complete and response.body not in answers:
        return [f'{response.attempt_id} got {response.body[:40]!r} as whole']
    return []


def _check_stream(response: CallerResponse) -> list[str]:
    if response.body == b'no stream':
        return []
    events = make_events(response.attempt_id)
    if not events.startswith(response.body):
        return [f'{response.attempt_id} got events {response.body!r}']
    if response.is_complete and response.body != events:
        count = response.body.count(EVENT_END)
        return [f'{response.attempt_id} ended normally after {count} events']
    return []


def make_events(attempt_id: str) -> bytes:
    """Return the stream that answers a request."""
    numbers = range(1, EVENTS_PER_STREAM + 1)
    return b''.join(make_event(number, attempt_id) for number in numbers)


def run_seed(seed: int, scenario: str = 'mixed') -> list[str]:
    """Run one seed of a scenario and return its violations."""
    with tempfile.TemporaryDirectory() as name:
        fleet = SoakFleet(seed, Path(name), scenario)
        try:
            return _run_with_faults(fleet, Path(name), seed)
        finally:
            fleet.close()


def _run_with_faults(fleet: SoakFleet, folder: Path, seed: int) -> list[str]:
    is_overload = fleet.scenario == 'overload'
    callers = Callers(
        fleet, CALLER_COUNT + (EXCESS_CALLERS if is_overload else 0)
    )
    faults = list_faults(fleet)
    is_kills = fleet.scenario == 'kills'
    end = time.monotonic() + (KILLS_SECONDS if is_kills else FAULT_SECONDS)
    while time.monotonic() < end:
        for _ in range(fleet.rng.choice((1, 1, 2, 3))):
            fleet.rng.choice(faults)()
        if (
            fleet.scenario not in CHOSEN_FAULT_SCENARIOS
            and fleet.response_rng.random() < 0.7
        ):
            inject_response_fault(fleet)
        time.sleep(fleet.rng.uniform(0.1, 0.8))
    callers.join()
    # Timers that clear faults may still be pending.
    time.sleep(MAX_FAULT_SECONDS)
    fleet.clear_faults()
    responses = callers.responses
    violations = list_violations(fleet, responses)
    if fleet.scenario == 'restores':
        violations.extend(_check_restored(fleet))
    try:
        wait_until(fleet.ensure_ready, RECOVERY_TIMEOUT_SECONDS, 'recovery')
    except TimeoutError as error:
        violations.append(str(error))
    if not is_kills:
        violations.extend(_list_unserved(fleet, responses))
    if violations:
        report = Path(f'soak-{seed}.log')
        logs = [path.read_text() for path in sorted(folder.glob('*.log'))]
        report.write_text('\n'.join((*violations, *logs)))
    return violations


def _list_unserved(
    fleet: SoakFleet, responses: list[CallerResponse]
) -> list[str]:
    """Return a line for each account of whose requests none succeeded.

    Not for one whose key was revoked.
    """
    served = {
        response.api_key for response in responses if response.status == 200
    }
    is_revoked = fleet.revoked_at < float('inf')
    keys = API_KEYS[:1] if is_revoked else API_KEYS
    return [
        f'no request with {key} succeeded' for key in keys if key not in served
    ]


def _check_restored(fleet: SoakFleet) -> list[str]:
    """Check that a change applies, and that all entries are registered."""
    fleet.revoke_key()
    time.sleep(APPLY_SECONDS)
    registered = fleet.store.newest('keyed.status')
    violations = [
        f'{entry.name} is not registered'
        for entry in fleet.entries
        if f'entry/{entry.name}' not in registered
    ]
    violations.extend(
        f'entry-{number} serves a key that was withdrawn'
        for number in range(ENTRY_COUNT)
        if fleet.probe(number, 'look', API_KEYS[1]).status != 401
    )
    return violations


def read_failed_seeds() -> list[int]:
    """Return the seeds that failed in earlier runs."""
    lines = FAILED_SEEDS_FILE.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def main() -> None:
    """Run the seeds, print their violations and exit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, help='run only this seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument(
        '--jobs', type=int, default=2, help='seeds to run in parallel'
    )
    parser.add_argument('--scenario', choices=SCENARIOS, default='mixed')
    parser.add_argument(
        '--kept', action='store_true', help='run the seeds that failed before'
    )
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    if options.seed is not None:
        seeds = [options.seed]
    if options.kept:
        seeds = read_failed_seeds()
    failed = 0
    # Forked workers would inherit the port counter and choose the same ports.
    spawn = get_context('spawn')
    with ProcessPoolExecutor(options.jobs, spawn) as pool:
        for seed, violations in zip(
            seeds,
            pool.map(run_seed, seeds, [options.scenario] * len(seeds)),
            strict=True,
        ):
            failed += bool(violations)
            print(f'seed {seed}: {"; ".join(violations[:4]) or "passed"}')
    print(f'{len(seeds) - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
