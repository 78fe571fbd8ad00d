"""Starts entries with the command of the deploy file, and their store."""

import json
import os
import shlex
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from standins.calls import find_port
from standins.keyedstore import KeyedStore

ROOT = Path(__file__).resolve().parent.parent.parent
DEPS = ROOT / 'target' / 'deps'
HOST = 'desk.example'
KEY = 'key-of-a'
TENANT = 'tenant-a'
START_SECONDS = 30.0
#: Bounds of the smallest deployment of the pages.
BOUNDS = {
    'contactTimeoutMs': 3000,
    'drainTimeoutMs': 2000,
    'gracePeriodS': 8,
    'lossToleranceMs': 200,
    'configApplyMs': 2000,
    'revocationMs': 5000,
    'retryBudgetRatio': 0.9,
    'retryWindowS': 10,
    'retryBudgetExtra': 52,
    'coldOverrun': 1.5,
    'coldTolerance': 5,
    'sessionTtlS': 5,
}
MEMORY_MB = 300
_SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "frontend"
servedRoles = ["frontend"]
ipAddress = "{host}"
zone = "zone-a"
region = "region-a"
internalPortRange = [{peers}, {peers}]
discovery = "platform"
heartbeatIntervalMs = 1200
[listenAddresses]
frontend = "{host}:{callers}"
ready = "{host}:{ready}"
[limits]
cpuFraction = 0.817
cpuCores = 1
memoryMb = {memory}
fileDescriptors = 4200
linkMbps = 1000.0
[bounds]
{bounds}
strictRevocation = true
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
"""


class CannotRunError(Exception):
    """The case could not run."""


def make_route(name: str, kind: str, attempts: int, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': 'desk',
        'timeoutMs': 10000,
        'targetLatencyMs': 2000,
        'priority': 1,
        'maxAttempts': attempts,
        'anonymous': False,
        **more,
    }


def make_config(routes: list[dict[str, Any]], version: int = 1) -> bytes:
    """Return an operator's configuration."""
    config = {
        'version': version,
        'routes': routes,
        'services': [{'name': 'desk', 'connectionLimit': 610}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }
    return json.dumps(config).encode()


class Entry:
    """One process of the project, on a loopback address of its own."""

    def __init__(self, number: int, store: str, folder: Path) -> None:
        """Write the settings file; start() runs the process."""
        self.name = f'entry-{number}'
        # Each entry listens on the port of its metrics, so needs an address.
        self.host = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{number + 2}'
        self.callers = find_port()
        self.ready = find_port()
        self.log = folder / f'{self.name}.log'
        self.path = folder / f'{self.name}.toml'
        self.process: subprocess.Popen[bytes] | None = None
        self.path.write_text(
            _SETTINGS.format(
                name=self.name,
                host=self.host,
                peers=find_port(),
                callers=self.callers,
                ready=self.ready,
                memory=MEMORY_MB,
                bounds='\n'.join(f'{name} = {value}' for name, value in BOUNDS.items()),
                store=store,
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(DEPS)
        environment['TOUCANCOURSE_SETTINGS'] = str(self.path)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Return True if the readiness probe gets 200."""
        connection = HTTPConnection(self.host, self.ready, timeout=1)
        try:
            connection.request('GET', '/readiness')
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def read_rss_mb(self) -> float:
        """Return the resident memory of the process in MB, or 0."""
        assert self.process is not None
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store and entries; ends all processes that it started."""

    def __init__(self, entries: int, routes: list[dict[str, Any]]) -> None:
        """Start the store; start() starts the entries."""
        if not DEPS.is_dir():
            raise CannotRunError('target/deps is missing: build first')
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = KeyedStore()
        self.store.put('keyed.op', 'config', make_config(routes))
        self.entries = [
            Entry(number, self.store.address, self.folder)
            for number in range(entries)
        ]
        self.journal = self.folder / 'journal.txt'
        self.journal.touch()
        self.replicas: list[ReplicaProcess] = []

    def start(self) -> None:
        """Start the entries and wait until they are ready."""
        for entry in self.entries:
            entry.start()
        end = time.monotonic() + START_SECONDS
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end:
                raise CannotRunError('the entries are not ready')
            time.sleep(0.1)
        # An entry uses its share of the retry budget some seconds later.
        time.sleep(5)

    def read_journal(self) -> list[dict[str, Any]]:
        """Return what the replicas wrote, in order."""
        rows = [json.loads(line) for line in self.journal.read_text().splitlines()]
        return sorted(rows, key=lambda row: row['at'])

    def close(self) -> None:
        """End all processes and remove the folder."""
        for replica in self.replicas:
            replica.kill()
        for entry in self.entries:
            entry.kill()
        self.store.close()
        self._folder.cleanup()


class ReplicaProcess:
    """A replica in a process of its own, which registers at the store.

    A replica that crashed starts again after some seconds, with a new
    identifier, as the pages say.
    """

    def __init__(self, fleet: Fleet, number: int, options: dict[str, Any]) -> None:
        """Create it; start() runs the process."""
        self.number = number
        self._fleet = fleet
        self._options = options
        self.port = find_port()
        self.starts = 0
        self.state = 'ready'
        #: Reports to the store so far, and Unix millisecond of the start.
        self.beats = 1
        self.born = 0
        self.crashes: list[float] = []
        self._closed = threading.Event()
        self._process: subprocess.Popen[bytes] | None = None
        fleet.replicas.append(self)

    @property
    def identifier(self) -> str:
        """Return the identifier of the newest incarnation."""
        return f'i-{self.number}-{self.starts}'

    def record(self, **changes: Any) -> bytes:
        """Return its record for the store."""
        return json.dumps({**self.fields(), **changes}).encode()

    def fields(self) -> dict[str, Any]:
        """Return the fields of its record."""
        return {
            'service': 'desk',
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 128,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.beats,
            'born': self.born,
        }

    def beat(self) -> None:
        """Report to the store, which keeps what differs in more than sequence."""
        self.beats += 1
        newest = self._fleet.store.newest('keyed.servers').get(self.identifier)
        known = json.loads(newest or b'{}')
        if {**known, 'sequence': 0} != {**self.fields(), 'sequence': 0}:
            self._fleet.store.put('keyed.servers', self.identifier, self.record())

    def leave(self) -> float:
        """Report draining, say so in all answers; return when it was acked."""
        self.state = 'draining'
        assert self._process is not None
        self._process.send_signal(signal.SIGUSR1)
        self.beat()
        return time.time()

    def start(self) -> None:
        """Start the process, register it and watch it."""
        self.starts += 1
        self.state = 'ready'
        self.beats = 1
        self.born = int(time.time() * 1000)
        options = {
            'identifier': self.identifier,
            'port': self.port,
            'journal': str(self._fleet.journal),
            **self._options,
        }
        self._process = subprocess.Popen(
            ['python3', '-m', 'review.lib.replica', json.dumps(options)],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
        end = time.monotonic() + START_SECONDS
        while not self._answers():
            if time.monotonic() > end:
                raise CannotRunError('a replica does not start')
            time.sleep(0.05)
        self._fleet.store.put('keyed.servers', self.identifier, self.record())
        threading.Thread(target=self._watch, daemon=True).start()

    def kill(self) -> None:
        """End the process for good."""
        self._closed.set()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _answers(self) -> bool:
        connection = HTTPConnection('127.0.0.1', self.port, timeout=1)
        try:
            connection.request('GET', '/health')
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def _watch(self) -> None:
        assert self._process is not None
        identifier = self.identifier
        self._process.wait()
        if self._closed.is_set():
            return
        self.crashes.append(time.time())
        down = self._options.get('down_s', 3.0)
        # The entry is removed after three heartbeat intervals of silence.
        self._closed.wait(down)
        if self._closed.is_set():
            return
        try:
            self.start()
        except CannotRunError:
            return
        self._closed.wait(max(0.0, 3.6 - down))
        self._fleet.store.put('keyed.servers', identifier, None)
