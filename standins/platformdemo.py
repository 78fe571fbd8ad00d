"""Shows an entry on the users' platform, for the demo."""

import os
import sys
import tempfile
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path

from .boot import Boot, write_boot_file
from .calls import Answer, call, find_port, wait_until
from .keyedstore import KeyedStore
from .nodes import Node
from .replica import Replica
from .tables import HOST, KEY, make_table

ADDRESS = '127.0.0.1'
#: Longest time until a change of the configuration is in force, in seconds.
IN_FORCE_SECONDS = 2.0
START_SECONDS = 15.0
Check = Callable[[object, str], None]


class PlatformFleet:
    """A store, two endpoints and one entry."""

    def __init__(self, folder: Path) -> None:
        """Start all."""
        self.store = KeyedStore()
        self.replicas = [Replica('i-1'), Replica('i-2')]
        self.store.put('keyed.op', 'config', make_table())
        for replica in self.replicas:
            name = replica.identifier
            self.store.put('keyed.servers', name, replica.record())
        self._callers = find_port()
        self._ready = find_port()
        path = folder / 'boot.toml'
        boot = Boot(
            'entry',
            ADDRESS,
            self._callers,
            self._ready,
            find_port(),
            self.store.address,
            6,
        )
        write_boot_file(path, boot)
        command = [sys.executable, '-m', 'toucancourse.daemon', str(path)]
        self.entry = Node('entry', command, folder / 'entry.log')
        self.entry.start()
        wait_until(self.is_ready, START_SECONDS, 'readiness')

    def is_ready(self) -> bool:
        """Return True if the entry says that it is ready."""
        address = f'{ADDRESS}:{self._ready}'
        try:
            return call(address, 'GET', '/readiness', timeout=2).status == 200
        except (OSError, HTTPException):
            return False

    def send(self, path: str) -> Answer:
        """Return the answer to a request."""
        headers = {
            'Host': HOST,
            'X-Attempt-Id': os.urandom(8).hex(),
            'X-Key': KEY,
            'X-Deadline-Ms': '2000',
            'X-Model': '*',
            'Accept': 'text/event-stream' if path == '/auto/x' else '*/*',
        }
        address = f'{ADDRESS}:{self._callers}'
        return call(address, 'POST', path, {}, headers, timeout=8)

    def count_runs(self) -> int:
        """Return the requests that endpoints ran."""
        return sum(len(replica.runs()) for replica in self.replicas)

    def close(self) -> None:
        """End all."""
        self.entry.kill()
        self.store.close()
        for replica in self.replicas:
            replica.close()


def show_platform(check: Check) -> None:
    """Serve, withdraw and drain on the platform, checking each step."""
    with tempfile.TemporaryDirectory() as name:
        fleet = PlatformFleet(Path(name))
        try:
            _show(fleet, check)
        finally:
            fleet.close()


def _show(fleet: PlatformFleet, check: Check) -> None:
    for path in ('/book/x', '/look/x', '/open/x'):
        check(fleet.send(path).status == 200, f'platform: {path} is served')
    for replica in fleet.replicas:
        replica.opinions = {'small': 10, 'large': 90}
    stream = fleet.send('/auto/x')
    models = [
        run['headers'].get('X-Model')
        for replica in fleet.replicas
        for run in replica.runs()
    ]
    check(
        stream.body.count(b'id:') == 4 and 'large' in models,
        'platform: a doubtful answer was asked of the largest model',
    )
    fleet.store.put('keyed.op', 'evacuate/zone-a', b'{}')
    wait_until(
        lambda: fleet.send('/look/x').status == 503,
        IN_FORCE_SECONDS,
        'the zone to be out',
    )
    before = fleet.count_runs()
    fleet.send('/look/x')
    check(fleet.count_runs() == before, 'platform: a zone out gets nothing')
    fleet.store.put('keyed.op', 'evacuate/zone-a', None)
    wait_until(
        lambda: fleet.send('/look/x').status == 200,
        IN_FORCE_SECONDS,
        'the zone to be back',
    )
    tenants = [{'name': 'account-a', 'apiKeys': []}]
    fleet.store.put('keyed.op', 'config', make_table(2, tenants=tenants))
    wait_until(
        lambda: fleet.send('/look/x').status == 401,
        IN_FORCE_SECONDS,
        'the key to be withdrawn',
    )
    check(True, 'platform: a withdrawn key is refused')
    check(fleet.entry.stop(10) == 0, 'platform: the entry drained and stopped')
