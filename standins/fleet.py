"""Starts emulated systems and daemons as processes on loopback."""

import shutil
import sys
import tempfile
from collections.abc import Mapping
from http.client import HTTPException
from pathlib import Path
from typing import Any

from .calls import (
    HOST,
    Response,
    call,
    find_port,
    hash_token,
    is_serving,
    wait_until,
)
from .nodes import Daemon, Node

OPERATOR_TOKEN = 'first-operator-token'
START_SECONDS = 30


def flatten_objects(**kinds: Mapping[str, Any]) -> dict[str, Any]:
    """Return bodies by "kind/name", such as "zone/east"."""
    return {
        f'{kind}/{name}': body
        for kind, bodies in kinds.items()
        for name, body in bodies.items()
    }


class Fleet:
    """The emulated systems and daemons of a test, benchmark or demo."""

    def __init__(self, **overrides: dict[str, Any]) -> None:
        """Start the platform.

        Overrides are settings by section, for all daemons.
        """
        self.folder = Path(tempfile.mkdtemp(prefix='toucancourse-'))
        self.nodes: dict[str, Node] = {}
        self.daemons: dict[str, Daemon] = {}
        self.engines: dict[str, str] = {}
        self.services: dict[str, str] = {}
        self._overrides = overrides
        #: Proxied addresses by route name.
        self._proxied: dict[str, str] = {}
        #: Address of the fault proxy, or "" if there is none.
        self.proxy = ''
        #: Folder with INSTANCE.pem, INSTANCE.key and authority.pem, if any.
        self.tls_folder: Path | None = None
        self.platform = self.run_standin('platform', 'platform', '/journal')

    def __enter__(self) -> 'Fleet':
        """Return the fleet itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes and remove their files."""
        self.close()

    def close(self) -> None:
        """Kill all processes and remove their files."""
        for node in self.nodes.values():
            if node.process is not None:
                node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def run_standin(
        self,
        name: str,
        module: str,
        probe: str = '/journal',
        **options: Any,
    ) -> str:
        """Start a module of this package; return its address once it serves."""
        return self.run_program(name, f'standins.{module}', probe, **options)

    def run_program(
        self,
        name: str,
        module: str,
        probe: str,
        **options: Any,
    ) -> str:
        """Start a module that takes --port; return its address once it serves.

        It serves once the path `probe` responds with 200.
        """
        port = find_port()
        command = [sys.executable, '-m', module]
        command += ['--port', str(port)]
        for key, value in options.items():
            command += ['--' + key.replace('_', '-'), str(value)]
        node = Node(name, command, self.folder / f'{name}.log')
        self.nodes[name] = node
        node.start()
        address = f'{HOST}:{port}'
        wait_until(
            lambda: is_serving(address, probe),
            START_SECONDS,
            f'start of {name}',
        )
        return address

    def start_proxy(self) -> None:
        """Start the fault proxy, which routes to later daemons go through."""
        self.proxy = self.run_standin('proxy', 'proxy', '/counts')

    def add_proxy_route(self, name: str, target: str) -> str:
        """Return the target's address behind the proxy, if there is one."""
        if not self.proxy:
            return target
        port = find_port()
        body = {'name': name, 'listen': port, 'target': target}
        call(self.proxy, 'POST', '/routes', body)
        return f'{HOST}:{port}'

    def set_proxy_fault(self, name: str, mode: str, delay: float = 0) -> None:
        """Set the fault of all proxy routes whose names match a pattern.

        Route names are peer:ENTRY:SIDECAR, platform:DAEMON, engine:SIDECAR and
        service:SIDECAR.
        """
        body = {'name': name, 'mode': mode, 'delay': delay}
        call(self.proxy, 'POST', '/fault', body)

    def add_engine(
        self,
        name: str,
        zone: str,
        versions: tuple[str, ...],
        *,
        sidecar: dict[str, Any] | None = None,
        **options: Any,
    ) -> Daemon:
        """Start an engine and its sidecar."""
        address = self.run_standin(
            f'engine-{name}',
            'engine',
            '/load',
            versions=','.join(versions),
            **options,
        )
        self.engines[name] = address
        endpoint = self.add_proxy_route(f'engine:{name}', address)
        return self._add_sidecar(
            name, zone, endpoint, {'endpoint_kind': 'model', **(sidecar or {})}
        )

    def add_service(self, name: str, zone: str, service: str) -> Daemon:
        """Start a plain service and its sidecar."""
        address = self.run_standin(f'service-{name}', 'service')
        self.services[name] = address
        endpoint = self.add_proxy_route(f'service:{name}', address)
        return self._add_sidecar(
            name,
            zone,
            endpoint,
            {'endpoint_kind': 'service', 'service': service},
        )

    def add_entry(self, name: str, zone: str, **settings: Any) -> Daemon:
        """Start an entry."""
        sections = self._make_sections(name, 'entry', zone)
        sections['entry'] = {
            'caller_address': f'{HOST}:{find_port()}',
            'admin_address': f'{HOST}:{find_port()}',
            'operator_token_sha256': hash_token(OPERATOR_TOKEN),
            **self._overrides.get('entry', {}),
            **settings,
        }
        return self._add_daemon(Daemon(name, sections, self.folder))

    def publish(self) -> None:
        """Publish the current instance list."""
        instances = [
            daemon.instance_record() for daemon in self.daemons.values()
        ]
        call(self.platform, 'POST', '/instances', {'instances': instances})
        if self.proxy:
            for daemon in self.daemons.values():
                if daemon.role == 'entry':
                    self._publish_proxied(daemon.name, instances)

    def _publish_proxied(
        self, entry: str, instances: list[dict[str, str]]
    ) -> None:
        """Publish a list for an entry with the proxied sidecar addresses."""
        proxied = []
        for instance in instances:
            address = instance['address']
            if instance['role'] == 'sidecar':
                name = f'peer:{entry}:{instance["name"]}'
                if name not in self._proxied:
                    self._proxied[name] = self.add_proxy_route(name, address)
                address = self._proxied[name]
            proxied.append({**instance, 'address': address})
        body = {'reader': entry, 'instances': proxied}
        call(self.platform, 'POST', '/instances', body)

    def wait_ready(self, *names: str, timeout: float = START_SECONDS) -> None:
        """Wait until the named daemons are ready, or all if none is named."""
        for name in names or tuple(self.daemons):
            wait_until(
                self.daemons[name].is_ready, timeout, f'readiness of {name}'
            )

    def restart(self, name: str) -> None:
        """Start a stopped or killed daemon again."""
        self.daemons[name].start()

    def remove(self, name: str) -> None:
        """Remove a daemon from the instance list; its process goes on."""
        del self.daemons[name]
        self.publish()

    def admin(
        self,
        entry: str,
        method: str,
        path: str,
        body: object = None,
        token: str = OPERATOR_TOKEN,
    ) -> Response:
        """Send a request to an entry's administration API."""
        return call(
            self.daemons[entry].address,
            method,
            f'/admin/v1{path}',
            body,
            {'Authorization': f'Bearer {token}'},
        )

    def put(
        self,
        entry: str,
        name: str,
        body: object,
        wait: float = 10,
        **extra: Any,
    ) -> Response:
        """Replace an object's body at its current revision."""
        current = self.admin(entry, 'GET', f'/objects/{name}').json()
        change = {
            'base': current['revision'],
            'body': body,
            'wait_seconds': wait,
            **extra,
        }
        return self.admin(entry, 'PUT', f'/objects/{name}', change)

    def apply(self, entry: str, name: str, body: object, **extra: Any) -> int:
        """Replace an object's body and return the new revision.

        Raises RuntimeError if the change was rejected or is not in force.
        """
        response = self.put(entry, name, body, **extra)
        result = response.json()
        if response.status != 200 or not result['in_force']:
            raise RuntimeError(f'change of {name} failed: {response.body!r}')
        return int(result['revision'])

    def apply_all(self, entry: str, objects: dict[str, Any]) -> None:
        """Apply objects once the entry's administration API responds."""
        wait_until(
            lambda: self.admin_is_up(entry), START_SECONDS, f'start of {entry}'
        )
        for name, body in objects.items():
            self.apply(entry, name, body)

    def admin_is_up(self, entry: str) -> bool:
        """Return True if the API responds and the configuration is current."""
        try:
            return bool(self.status(entry)['current'])
        except (OSError, HTTPException):
            return False

    def status(self, entry: str) -> Any:
        """Return an entry's decoded status document."""
        return self.admin(entry, 'GET', '/status').json()

    def all_connected(self) -> bool:
        """Return True if every entry is connected to every sidecar."""
        entries = [
            name
            for name, daemon in self.daemons.items()
            if daemon.role == 'entry'
        ]
        return all(
            instance['connected'] or instance['role'] == 'entry'
            for entry in entries
            for instance in self.status(entry)['instances']
        )

    def wait_connected(self) -> None:
        """Wait until all daemons are ready and all entries connected."""
        self.wait_ready()
        wait_until(
            self.all_connected, START_SECONDS, 'connections of all entries'
        )

    def set_platform_fault(self, **fault: Any) -> None:
        """Set faults of the emulated platform."""
        call(self.platform, 'POST', '/fault', fault)

    def journal(self, address: str) -> list[dict[str, Any]]:
        """Return the journal rows of an emulated system."""
        rows = call(address, 'GET', '/journal').json()['rows']
        return list(rows)

    def completed_rows(self) -> list[dict[str, Any]]:
        """Return the engines' journal rows of completed requests."""
        return [
            row
            for address in self.engines.values()
            for row in self.journal(address)
            if row.get('state') == 'done'
        ]

    def service_rows(self) -> list[dict[str, Any]]:
        """Return the journal rows of all plain services."""
        return [
            row
            for address in self.services.values()
            for row in self.journal(address)
        ]

    def _add_sidecar(
        self,
        name: str,
        zone: str,
        endpoint: str,
        settings: dict[str, Any],
    ) -> Daemon:
        sections = self._make_sections(name, 'sidecar', zone)
        sections['sidecar'] = {
            'peer_address': f'{HOST}:{find_port()}',
            'endpoint_url': f'http://{endpoint}',
            **self._overrides.get('sidecar', {}),
            **settings,
        }
        daemon = Daemon(name, sections, self.folder)
        return self._add_daemon(daemon)

    def _add_daemon(self, daemon: Daemon) -> Daemon:
        self.nodes[daemon.name] = daemon
        self.daemons[daemon.name] = daemon
        self.publish()
        daemon.start()
        return daemon

    def _make_sections(
        self,
        name: str,
        role: str,
        zone: str,
    ) -> dict[str, dict[str, Any]]:
        platform = self.add_proxy_route(f'platform:{name}', self.platform)
        url = f'http://{platform}'
        return {
            'daemon': {
                'role': role,
                'instance': name,
                'zone': zone,
                'health_address': f'{HOST}:{find_port()}',
                **self._overrides.get('daemon', {}),
            },
            'log': {'format': 'json', **self._overrides.get('log', {})},
            'platform': {
                'log_url': url,
                'instances_url': f'{url}/for/{name}',
                'rater_url': url,
                'weights_url': url,
                **self._overrides.get('platform', {}),
            },
            'tls': self._make_tls_section(name),
            'configuration': {**self._overrides.get('configuration', {})},
        }

    def _make_tls_section(self, name: str) -> dict[str, Path]:
        if self.tls_folder is None:
            return {}
        return {
            'authority_file': self.tls_folder / 'authority.pem',
            'certificate_file': self.tls_folder / f'{name}.pem',
            'key_file': self.tls_folder / f'{name}.key',
        }
