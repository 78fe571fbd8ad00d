"""Scenarios of the experiment: users, load, faults and operator actions."""

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from standins.calls import call, hash_token
from standins.fleet import Fleet, flatten_objects
from standins.nodes import Node

from .load import RequestProfile

API_KEY: Final = 'experiment-key'
CUSTOMER: Final = 'user'
TARGET_QUALITY: Final = 0.85
SLOTS: Final = 4
STEP_MS: Final = 25.0
#: Load before the measured part, during which the concurrency windows grow.
WARMUP_SECONDS: Final = 5.0
MEASURED_SECONDS: Final = 20.0
#: Start and end of the event, from the start of the measured part.
EVENT_START_SECONDS: Final = 5.0
EVENT_END_SECONDS: Final = 13.0
COLD_SECONDS: Final = 4.0
BAD_QUALITY: Final = 0.4
FAILED_ZONE: Final = 'zone-b'

SMALL: Final = {
    'state': 'live',
    'prompt_price': 40,
    'completion_price': 120,
    'quality': {'*': 0.9, 'rewind-sheet': 0.55, 'care-plan': 0.6},
}
LARGE: Final = {
    'state': 'live',
    'prompt_price': 400,
    'completion_price': 1200,
    'quality': {'*': 0.93},
}
VERSIONS: Final[dict[str, dict[str, Any]]] = {
    'small@1': SMALL,
    'small@2': SMALL,
    'large@1': LARGE,
    'large@2': LARGE,
}
#: True quality by "version/kind" or "version"; equal to the published one.
QUALITY: Final[dict[str, float]] = {
    version if kind == '*' else f'{version}/{kind}': quality
    for version, body in VERSIONS.items()
    for kind, quality in body['quality'].items()
}


class UserProfile(NamedTuple):
    """Fleet size and request mix that a user stated."""

    name: str
    replicas: int
    mix: tuple[RequestProfile, ...]
    #: Requests per second that use 60% of the capacity of the replicas.
    rate: float
    #: Settings of the user's contract beyond those common to all users.
    contract_overrides: Mapping[str, Any]


CHIKUGO: Final = UserProfile(
    'chikugo',
    10,
    (
        RequestProfile('bench-question', 0.45, 7, 40, 16),
        RequestProfile('nameplate', 0.3, 5, 150, 24),
        RequestProfile('rewind-sheet', 0.25, 2, 1500, 48),
    ),
    36.0,
    {},
)
GARMI: Final = UserProfile(
    'garmi',
    5,
    (
        RequestProfile('gas-question', 0.45, 8, 40, 16),
        RequestProfile('lighting', 0.35, 9, 120, 16),
        RequestProfile('care-plan', 0.2, 2, 1200, 40),
    ),
    20.0,
    {'hedge_seconds': 0.4},
)
ZONES: Final = ('zone-a', 'zone-b', 'zone-c', 'zone-d')


class Deployment(ABC):
    """One of the two routers with its own fleet of engines."""

    def __init__(self, user: UserProfile, seed: int) -> None:
        """Create a fleet without engines; start() adds them and the router."""
        self.user = user
        self.seed = seed
        self.fleet = Fleet()
        self.zones: dict[str, str] = {}

    @abstractmethod
    def start(self) -> list[str]:
        """Start engines and router; return the addresses for callers."""

    @abstractmethod
    def disable_zone(self, zone: str) -> None:
        """Take a zone out of service by the means that an operator has."""

    @abstractmethod
    def enable_zone(self, zone: str) -> None:
        """Bring a zone back into service."""

    @abstractmethod
    def roll_out(self, model: str, percent: int) -> None:
        """Serve version 2 of a model with a share of its traffic."""

    @abstractmethod
    def count_attempts(self) -> int:
        """Return the requests that reached engines so far."""

    def close(self) -> None:
        """Stop all processes."""
        self.fleet.close()

    def list_zone_nodes(self, zone: str) -> list[Node]:
        """Return the processes of a zone's engines and their sidecars."""
        return [
            node
            for name, engine_zone in self.zones.items()
            if engine_zone == zone
            for node in self._list_engine_nodes(name)
        ]

    def set_fault(self, names: list[str], **fault: Any) -> None:
        """Inject a fault into the named engines."""
        for name in names:
            call(self.fleet.engines[name], 'POST', '/fault', fault)

    def list_zone_engines(self, zone: str) -> list[str]:
        """Return the names of a zone's engines."""
        return [
            name
            for name, engine_zone in self.zones.items()
            if engine_zone == zone
        ]

    def fetch_journals(self) -> list[dict[str, Any]]:
        """Return the journal of each engine."""
        return [
            dict(call(address, 'GET', '/journal').json())
            for address in self.fleet.engines.values()
        ]

    def _assign_zones(self) -> list[tuple[str, str]]:
        """Assign the engines to zones; return name and zone of each."""
        self.zones = {
            f'm{number}': ZONES[number % len(ZONES)]
            for number in range(self.user.replicas)
        }
        return list(self.zones.items())

    def _list_engine_nodes(self, name: str) -> list[Node]:
        nodes = [self.fleet.nodes[f'engine-{name}']]
        if name in self.fleet.nodes:
            nodes.append(self.fleet.nodes[name])
        return nodes


ENGINE_OPTIONS: Final[Mapping[str, Any]] = {'slots': SLOTS, 'step_ms': STEP_MS}


class OurDeployment(Deployment):
    """Our router: two entries, and a sidecar beside each engine."""

    def start(self) -> list[str]:
        """Start the daemons and publish the configuration."""
        fleet = self.fleet
        for name, zone in self._assign_zones():
            fleet.add_engine(
                name,
                zone,
                tuple(VERSIONS),
                quality=json.dumps(QUALITY),
                sidecar={'slots': SLOTS},
                **ENGINE_OPTIONS,
            )
        for number in (0, 1):
            fleet.add_entry(f'e{number + 1}', ZONES[number], threads=300)
        contract = {
            'versions': ['small@1', 'large@1', 'small@2', 'large@2'],
            'services': [],
            'quality': TARGET_QUALITY,
            'spend': 10**14,
            'requests_per_second': 10**4,
            'concurrent': 10**4,
            'max_output_tokens': 1000,
            'priority': 5,
            'keys': [hash_token(API_KEY)],
            **self.user.contract_overrides,
        }
        objects = flatten_objects(
            zone={zone: {'out': False} for zone in ZONES},
            version=VERSIONS,
            contract={CUSTOMER: contract},
            rollout={
                model: _make_rollout(model, 0) for model in ('small', 'large')
            },
        )
        fleet.apply_all('e1', objects)
        fleet.wait_connected()
        return [fleet.daemons[name].caller_address for name in ('e1', 'e2')]

    def disable_zone(self, zone: str) -> None:
        """Take a zone out of service."""
        self.fleet.put('e1', f'zone/{zone}', {'out': True}, 0)

    def enable_zone(self, zone: str) -> None:
        """Bring a zone back into service."""
        self.fleet.put('e1', f'zone/{zone}', {'out': False}, 0)

    def roll_out(self, model: str, percent: int) -> None:
        """Set the share of a roll-out that is rolled back if it goes bad."""
        body = _make_rollout(model, percent)
        self.fleet.put('e1', f'rollout/{model}', body, 0)

    def count_attempts(self) -> int:
        """Return the requests that reached engines so far."""
        return sum(
            journal['refused'] + len(journal['rows'])
            for journal in self.fetch_journals()
        )


class NaiveDeployment(Deployment):
    """The naive router in front of the engines."""

    def start(self) -> list[str]:
        """Start engines and router."""
        for name, _ in self._assign_zones():
            self.fleet.engines[name] = self.fleet.run_standin(
                f'engine-{name}',
                'engine',
                '/load',
                versions=','.join(VERSIONS),
                quality=json.dumps(QUALITY),
                **ENGINE_OPTIONS,
            )
        self._router_address = self.fleet.run_program(
            'router', 'bench.router', '/counts', seed=self.seed
        )
        self._shares = {'large@1': 100}
        self._set_routes(list(self.fleet.engines))
        return [self._router_address]

    def disable_zone(self, zone: str) -> None:
        """Remove the zone's engines from the router's list."""
        excluded = self.list_zone_engines(zone)
        self._set_routes([name for name in self.zones if name not in excluded])

    def enable_zone(self, zone: str) -> None:
        """Put all engines into the router's list."""
        self._set_routes(list(self.zones))

    def roll_out(self, model: str, percent: int) -> None:
        """Route a share in percent to version 2 of the model that it uses."""
        self._shares = {'large@2': percent, 'large@1': 100 - percent}
        self._set_routes(list(self.zones))

    def count_attempts(self) -> int:
        """Return the attempts that the router counted."""
        return int(call(self._router_address, 'GET', '/counts').json()['tries'])

    def _set_routes(self, names: list[str]) -> None:
        body = {
            'engines': [self.fleet.engines[name] for name in names],
            'shares': self._shares,
        }
        call(self._router_address, 'POST', '/routes', body)


def _make_rollout(model: str, percent: int) -> dict[str, Any]:
    return {
        'source': f'{model}@1',
        'target': f'{model}@2',
        'percent': percent,
        'state': 'running',
        'on_bad': 'back',
    }


Event = Callable[[Deployment], None]


class Scenario(NamedTuple):
    """User, load and events of a run."""

    name: str
    user: UserProfile
    #: Load as a multiple of the user's usual rate.
    load_factor: float
    #: Events, each with its second of the measured part.
    events: tuple[tuple[float, Event], ...] = ()


def run_events(
    scenario: Scenario, deployment: Deployment, started_at: float
) -> None:
    """Run each event at its time; started_at is from time.monotonic()."""
    for at, event in scenario.events:
        time.sleep(max(0.0, started_at + at - time.monotonic()))
        event(deployment)


def _start_bad_rollout(percent: int) -> Event:
    def event(deployment: Deployment) -> None:
        bad = {
            f'{model}@2{kind}': BAD_QUALITY
            for model in ('small', 'large')
            for kind in ('', '/rewind-sheet', '/care-plan')
        }
        deployment.set_fault(list(deployment.fleet.engines), quality=bad)
        for model in ('small', 'large'):
            deployment.roll_out(model, percent)

    return event


def _stop_rater(deployment: Deployment) -> None:
    deployment.fleet.set_platform_fault(rater_down=True)


def _freeze_zone(deployment: Deployment) -> None:
    for node in deployment.list_zone_nodes(FAILED_ZONE):
        node.pause()


def _resume_zone(deployment: Deployment) -> None:
    for node in deployment.list_zone_nodes(FAILED_ZONE):
        node.resume()
    deployment.set_fault(
        deployment.list_zone_engines(FAILED_ZONE), cold_seconds=COLD_SECONDS
    )


def _disable_zone(deployment: Deployment) -> None:
    deployment.disable_zone(FAILED_ZONE)


def _enable_zone(deployment: Deployment) -> None:
    deployment.enable_zone(FAILED_ZONE)


def _make_engines_cold(deployment: Deployment) -> None:
    names = list(deployment.fleet.engines)[::3]
    deployment.set_fault(names, cold_seconds=COLD_SECONDS)


def _fail_engines(deployment: Deployment) -> None:
    names = list(deployment.fleet.engines)[::2]
    deployment.set_fault(names, status=500)


def _clear_failures(deployment: Deployment) -> None:
    deployment.set_fault(list(deployment.fleet.engines), status=0)


SCENARIOS: Final = (
    Scenario('steady', CHIKUGO, 1.0),
    Scenario('steady-garmi', GARMI, 1.0),
    Scenario('peak', GARMI, 3.3),
    Scenario('bad-10', CHIKUGO, 1.0, ((0.0, _start_bad_rollout(10)),)),
    Scenario('bad-100', CHIKUGO, 1.0, ((0.0, _start_bad_rollout(100)),)),
    Scenario(
        'bad-10-rater-down',
        CHIKUGO,
        1.0,
        ((0.0, _stop_rater), (0.0, _start_bad_rollout(10))),
    ),
    Scenario('cold', GARMI, 1.0, ((EVENT_START_SECONDS, _make_engines_cold),)),
    Scenario(
        'zone-notice',
        GARMI,
        1.0,
        (
            (EVENT_START_SECONDS, _disable_zone),
            (EVENT_START_SECONDS + 1, _freeze_zone),
            (EVENT_END_SECONDS, _resume_zone),
            (EVENT_END_SECONDS + 1, _enable_zone),
        ),
    ),
    Scenario(
        'zone-lost',
        GARMI,
        1.0,
        (
            (EVENT_START_SECONDS, _freeze_zone),
            (EVENT_START_SECONDS + 4, _disable_zone),
            (EVENT_END_SECONDS, _resume_zone),
            (EVENT_END_SECONDS + 1, _enable_zone),
        ),
    ),
    Scenario(
        'failing-half',
        GARMI,
        1.0,
        (
            (EVENT_START_SECONDS, _fail_engines),
            (EVENT_END_SECONDS, _clear_failures),
        ),
    ),
)
