"""Rig of the review's scripts: entries as processes, stand-ins on loopback.

Entries run the command of the deploy file. The store and the replicas are the
project's own stand-ins, and live in the script's process.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from standins.calls import find_port  # noqa: E402
from standins.keyedstore import KeyedStore  # noqa: E402
from standins.replica import Replica  # noqa: E402

__all__ = ['KeyedStore', 'Replica']

#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: False if the script runs without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
#: Port of the metrics in the deploy file; it must be free at an address.
METRICS_PORT = 9464
START_SECONDS = 20.0
#: A script ends by itself before the limit of 120 seconds.
LIMIT_SECONDS = 110
#: Settings of a front of chikugo-coop, in the format of the deploy page.
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "frontend"
servedRoles = ["frontend"]
ipAddress = "{host}"
zone = "kurume"
region = "kyushu"
internalPortRange = [{peers}, {peers}]
seedNodes = []
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[zones]
kurume = "kyushu"
[listenAddresses]
frontend = "{host}:{port}"
ready = "{host}:{ready}"
[limits]
cpuFraction = 0.817
cpuCores = 1
memoryMb = {memory_mb}
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machineFailures = 1
zones = 1
regionFailures = 0
[bounds]
seedPropagationS = 3
addressReuseS = 2
contactTimeoutMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossToleranceMs = 200
configApplyMs = 2000
rollbackToleranceMs = 250
partitionExtensionMs = 5000
strictRevocation = true
revocationMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retryBudgetExtra = 52
exposureFraction = 0.15
exposureTolerance = 30
rollbackMs = 5000
coldOverrun = 1.5
coldTolerance = 5
evacuationMs = 5000
recoveryS = 12
eventDelayMs = 120
retryAfterS = 8.1
sessionTtlS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""


class NotRunError(Exception):
    """The case could not run on this machine."""


def make_route(name: str, kind: str, **options: Any) -> dict[str, Any]:
    """Return a route of the service "desk" in the operator's format."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 2500,
        'targetLatencyMs': 200,
        'priority': 1,
        'service': 'desk',
        'maxAttempts': 1,
        'anonymous': False,
        **options,
    }


def make_config(
    version: int,
    routes: list[dict[str, Any]],
    keys: tuple[str, ...] = (KEY,),
    services: tuple[str, ...] = ('desk',),
) -> bytes:
    """Return a configuration in the operator's format."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'healthPath': '/health',
                    'connectionLimit': 610,
                    'protocol': 'h1',
                    'tls': False,
                    'coldStartS': 0.0,
                    'coldPerS': 0.0,
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [
                {'name': TENANT, 'apiKeys': list(keys), 'priority': 1}
            ],
        }
    ).encode()


def register(store: KeyedStore, replica: Replica, slots: int = 6) -> None:
    """Write a replica's entry in the store, as the replica does."""
    store.put('keyed.servers', replica.identifier, replica.record(slots=slots))


def _find_host(number: int) -> str:
    """Return a loopback address whose metrics port is free."""
    for last in range(2 + number, 250, 8):
        host = f'127.0.0.{last}'
        try:
            socket.create_server((host, METRICS_PORT)).close()
        except OSError:
            continue
        return host
    raise NotRunError(f'no loopback address with port {METRICS_PORT} free')


class Entry:
    """One process of the project, with its settings file."""

    def __init__(self, rig: 'Rig', number: int) -> None:
        self.name = f'frontend-kurume-{number + 1}'
        self.host = _find_host(number)
        self.port = find_port()
        self.ready = find_port()
        self._rig = rig
        self._path = rig.folder / f'{self.name}.toml'
        self._log = rig.folder / f'{self.name}.log'
        self._peers = find_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._is_first = True

    def _write_settings(self, *, bootstrap: bool) -> None:
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                port=self.port,
                ready=self.ready,
                peers=self._peers,
                store=self._rig.store.address,
                memory_mb=self._rig.memory_mb,
                bootstrap=str(bootstrap).lower(),
            )
        )

    def start(self) -> None:
        """Write the settings and start the process, as the platform does."""
        self._write_settings(bootstrap=self._is_first)
        self._is_first = False
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'TOUCANCOURSE_SETTINGS': str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return True while the process lives."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it lives."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def stop(self, seconds: float = 10) -> None:
        """Send SIGTERM, then SIGKILL after some seconds, and wait."""
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self) -> None:
        """Send SIGKILL and wait."""
        if self.process is not None and self.is_running():
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return True if the readiness check succeeds."""
        connection = HTTPConnection(self.host, self.ready, timeout=1)
        try:
            connection.request('GET', '/readiness')
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Wait until the process is ready; raise NotRunError if it isn't."""
        until = time.monotonic() + START_SECONDS
        while not self.is_ready():
            if time.monotonic() > until or not self.is_running():
                raise NotRunError(f'{self.name} was not ready: {self.tail()}')
            time.sleep(0.05)

    def tail(self, size: int = 1500) -> str:
        """Return the end of what the process wrote."""
        return self._log.read_text(errors='replace')[-size:]

    def read_rss_mb(self) -> float:
        """Return the resident memory of the process in MB (2**20 bytes)."""
        assert self.process is not None
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        raise NotRunError('no resident size')


class Answer:
    """What a client saw of one request."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.sent_at = time.time()
        self.seconds = 0.0
        #: Status, or 0 without an answer.
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        #: Why there is no complete answer, or ''.
        self.error = ''
        #: True if earlier requests were answered on the connection.
        self.is_kept = False
        #: The client's port.
        self.port = 0


class Client:
    """A client that keeps its connection open, one request at a time."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._connection: HTTPConnection | None = None
        #: Answers on the connection so far.
        self.answered = 0

    def send(
        self,
        path: str,
        deadline: float = 2.5,
        key: str = KEY,
        headers: dict[str, str] | None = None,
        patience: float = 0.5,
    ) -> Answer:
        """Send a request and wait for the answer, or until the deadline.

        The connection is kept for `patience` seconds beyond the deadline.
        """
        answer = Answer(os.urandom(8).hex())
        began = time.monotonic()
        fields = {
            'Host': HOST,
            'X-Attempt-Id': answer.attempt,
            'X-Key': key,
            'X-Deadline-Ms': str(int(deadline * 1000)),
            **(headers or {}),
        }
        try:
            connection = self._connection
            if connection is None:
                connection = HTTPConnection(
                    self._entry.host, self._entry.port, timeout=1
                )
                connection.connect()
                self._connection = connection
                self.answered = 0
            answer.is_kept = self.answered > 0
            answer.port = connection.sock.getsockname()[1]
            connection.sock.settimeout(deadline + patience)
            connection.request('POST', path, b'{}', fields)
            response = connection.getresponse()
            answer.status = response.status
            answer.headers = {
                name.lower(): text for name, text in response.getheaders()
            }
            answer.body = response.read()
            if response.will_close:
                self.close()
            self.answered += 1
        except (OSError, HTTPException) as error:
            answer.error = repr(error)
            self.close()
        answer.seconds = time.monotonic() - began
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Rig:
    """The store, the replicas, the entries and the record of a case."""

    def __init__(self, case: str) -> None:
        self._began = time.time()
        self._lock = threading.Lock()
        self._record = (Path(case).resolve().parent / 'record.txt').open('w')
        self._scratch = tempfile.TemporaryDirectory()
        self.folder = Path(self._scratch.name)
        self._paths = (
            (str(ROOT), '.'),
            (sys.base_prefix, 'PYTHON'),
            (str(self.folder), 'FOLDER'),
        )
        self.store = KeyedStore()
        #: Memory of each entry in its settings.
        self.memory_mb = 300
        self.replicas: list[Replica] = []
        self.entries: list[Entry] = []

    def write(self, text: str) -> None:
        """Add a line to the record."""
        # Paths of this machine say nothing about the case.
        for path, name in self._paths:
            text = text.replace(path, name)
        with self._lock:
            if self._record.closed:
                return
            seconds = time.time() - self._began
            self._record.write(f'{seconds:8.3f} s  {text}\n')

    def write_answer(self, answer: Answer, what: str) -> None:
        """Add what a client sent and got to the record."""
        sent = answer.sent_at - self._began
        self.write(
            f'{what}: request {answer.attempt} sent at {sent:.3f} s, '
            f'after {answer.seconds:.3f} s: '
            f'{answer.status or "no answer"} {answer.error}'
        )

    def add_replicas(
        self, count: int, service: str = 'desk', slots: int = 6
    ) -> list[Replica]:
        """Start replicas and write their entries."""
        added = [Replica(os.urandom(4).hex(), service) for _ in range(count)]
        for replica in added:
            register(self.store, replica, slots)
        self.replicas += added
        return added

    def add_entry(self) -> Entry:
        """Start an entry and wait until it is ready."""
        entry = Entry(self, len(self.entries))
        self.entries.append(entry)
        entry.start()
        entry.wait_ready()
        self.write(f'{entry.name} is ready at {entry.host}:{entry.port}')
        return entry

    def count_runs(self) -> dict[str, int]:
        """Return how often replicas ran each request."""
        runs: dict[str, int] = {}
        for replica in self.replicas:
            for row in replica.runs():
                runs[row['call']] = runs.get(row['call'], 0) + 1
        return runs

    def write_runs(self) -> None:
        """Add what replicas ran to the record."""
        for replica in self.replicas:
            for row in replica.runs():
                model = row['headers'].get('X-Model', '')
                at = row['at'] - self._began
                self.write(
                    f'replica {replica.identifier} ran {row["call"]} '
                    f'at {at:.3f} s {model}'
                )

    def close(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.kill()
        self._record.close()
        self._scratch.cleanup()


def run_case(case: str, play: Callable[[Rig], bool]) -> None:
    """Play a case and exit: play() returns True if the rule was broken."""
    if not (ROOT / 'target/deps/toucancourse').is_dir():
        sys.stderr.write('not built: run the build of deploy/system.toml\n')
        sys.exit(NOT_RUN)
    rig = Rig(case)

    def give_up(*_: object) -> None:
        raise NotRunError(f'not done after {LIMIT_SECONDS} s')

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LIMIT_SECONDS)
    try:
        is_broken = play(rig)
        code = BROKEN if is_broken else HELD
        rig.write('the rule was broken' if is_broken else 'the rule held')
    except Exception as error:  # noqa: BLE001 - any failure: it couldn't run
        rig.write(f'not run: {error!r}')
        sys.stderr.write(f'not run: {error!r}\n')
        code = NOT_RUN
    finally:
        signal.alarm(0)
        rig.close()
    # Threads of stand-ins and clients don't hold the script up.
    os._exit(code)
