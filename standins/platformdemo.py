"""Demo of an entry that forwards raw requests on the users' platform."""

import os
import sys
import tempfile
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path

from .boot import BootSettings, write_boot_file
from .calls import Response, call, find_port, wait_until
from .keyedstore import KeyedStore
from .nodes import Node
from .operator_config import HOST, KEY, make_operator_config
from .replica import Replica

ADDRESS = '127.0.0.1'
#: Limit of the time until a configuration change is in force, in seconds.
IN_FORCE_SECONDS = 2.0
START_SECONDS = 15.0
#: How long a new entry sends nothing to endpoints that may be cold: the other
#: entries have to learn first that they share the limit with one more.
SETTLE_SECONDS = 4.0
#: Streams of which one is escalated: the retry budget of a new entry is a
#: share of its requests.
MAX_STREAMS = 10
Check = Callable[[object, str], None]


class PlatformFleet:
    """A keyed store, two endpoints and an entry."""

    def __init__(self, folder: Path) -> None:
        """Start everything and wait until the entry is ready."""
        self.store = KeyedStore()
        self.replicas = [Replica('i-1'), Replica('i-2')]
        self.store.put('keyed.op', 'config', make_operator_config())
        for replica in self.replicas:
            name = replica.identifier
            self.store.put('keyed.servers', name, replica.record())
        self._callers = find_port()
        self._ready = find_port()
        path = folder / 'boot.toml'
        boot = BootSettings(
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
        """Return True if the entry's readiness check succeeds."""
        address = f'{ADDRESS}:{self._ready}'
        try:
            return call(address, 'GET', '/readiness', timeout=2).status == 200
        except (OSError, HTTPException):
            return False

    def send(self, path: str) -> Response:
        """Send a request to the entry and return the response."""
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

    def count_executed(self) -> int:
        """Return the number of requests that the endpoints executed."""
        return sum(len(replica.runs()) for replica in self.replicas)

    def close(self) -> None:
        """Kill the entry and stop the store and the endpoints."""
        self.entry.kill()
        self.store.close()
        for replica in self.replicas:
            replica.close()


def check_platform_entry(check: Check) -> None:
    """Check serving, escalation, a zone outage, key withdrawal and drain."""
    with tempfile.TemporaryDirectory() as name:
        fleet = PlatformFleet(Path(name))
        try:
            _run_checks(fleet, check)
        finally:
            fleet.close()


def _run_checks(fleet: PlatformFleet, check: Check) -> None:
    for path in ('/book/x', '/look/x', '/open/x'):
        check(fleet.send(path).status == 200, f'platform: {path} is served')
    for replica in fleet.replicas:
        replica.model_confidence = {'small': 10, 'large': 90}
    streams = [fleet.send('/auto/x') for _ in range(MAX_STREAMS)]
    models = [
        run['headers'].get('X-Model')
        for replica in fleet.replicas
        for run in replica.runs()
    ]
    check(
        all(stream.body.count(b'id:') == 4 for stream in streams),
        'platform: every stream is complete',
    )
    check(
        'large' in models,
        'platform: a low-confidence response escalated to the largest model',
    )
    fleet.store.put('keyed.op', 'evacuate/zone-a', b'{}')
    wait_until(
        lambda: fleet.send('/look/x').status == 503,
        IN_FORCE_SECONDS,
        'the zone to be out of service',
    )
    executed_before = fleet.count_executed()
    fleet.send('/look/x')
    check(
        fleet.count_executed() == executed_before,
        'platform: a zone that is out of service gets no requests',
    )
    fleet.store.put('keyed.op', 'evacuate/zone-a', None)
    wait_until(
        lambda: fleet.send('/look/x').status == 200,
        SETTLE_SECONDS + IN_FORCE_SECONDS,
        'the zone to be back in service',
    )
    tenants = [{'name': 'account-a', 'apiKeys': []}]
    fleet.store.put(
        'keyed.op', 'config', make_operator_config(2, tenants=tenants)
    )
    wait_until(
        lambda: fleet.send('/look/x').status == 401,
        IN_FORCE_SECONDS,
        'the key to be withdrawn',
    )
    check(True, 'platform: a withdrawn key is rejected')
    check(fleet.entry.stop(10) == 0, 'platform: the entry drained and stopped')
