"""What happens to a fleet during one run of the experiment."""

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from standins.calls import call, hash_token
from standins.fleet import Fleet, flatten_objects
from standins.nodes import Node

from .load import RequestProfile

KEY: Final = 'experiment-key'
CUSTOMER: Final = 'user'
TARGET_QUALITY: Final = 0.85
SLOTS: Final = 4
STEP_MS: Final = 25.0
#: Seconds of load before the measured part, in which windows open.
WARM_SECONDS: Final = 5.0
MEASURED_SECONDS: Final = 20.0
#: Seconds of the measured part at which the event begins and ends.
BEGIN: Final = 5.0
END: Final = 13.0
COLD_SECONDS: Final = 4.0
BAD_QUALITY: Final = 0.4
LOST_ZONE: Final = 'zone-b'

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
#: True quality by "version/kind" or version: what is published holds.
QUALITY: Final[dict[str, float]] = {
    version if kind == '*' else f'{version}/{kind}': quality
    for version, body in VERSIONS.items()
    for kind, quality in body['quality'].items()
}


class User(NamedTuple):
    """A user's size and mix, from the brief."""

    name: str
    replicas: int
    mix: tuple[RequestProfile, ...]
    #: Requests a second at 60% of what the replicas bear.
    rate: float
    #: Further keys of the user's contract.
    extra: Mapping[str, Any]


CHIKUGO: Final = User(
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
GARMI: Final = User(
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


class Side(ABC):
    """One of the two routers with its fleet of engines."""

    def __init__(self, user: User, seed: int) -> None:
        """Start the engines."""
        self.user = user
        self.seed = seed
        self.fleet = Fleet()
        self.zones: dict[str, str] = {}

    @abstractmethod
    def start(self) -> list[str]:
        """Start the router and return the addresses for callers."""

    @abstractmethod
    def take_out(self, zone: str) -> None:
        """Take a zone out of service, as operators do."""

    @abstractmethod
    def take_back(self, zone: str) -> None:
        """Bring a zone back into service."""

    @abstractmethod
    def roll_out(self, model: str, percent: int) -> None:
        """Serve version 2 of a model with a share of its traffic."""

    @abstractmethod
    def count_tries(self) -> int:
        """Return the requests that reached engines so far."""

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()

    def nodes_of(self, zone: str) -> list[Node]:
        """Return the processes of a zone's endpoints."""
        return [
            node
            for name, placed in self.zones.items()
            if placed == zone
            for node in self._nodes(name)
        ]

    def set_fault(self, names: list[str], **fault: Any) -> None:
        """Set a fault of some engines."""
        for name in names:
            call(self.fleet.engines[name], 'POST', '/fault', fault)

    def names_in(self, zone: str) -> list[str]:
        """Return a zone's engines."""
        return [name for name, placed in self.zones.items() if placed == zone]

    def journals(self) -> list[dict[str, Any]]:
        """Return every engine's journal."""
        return [
            dict(call(address, 'GET', '/journal').json())
            for address in self.fleet.engines.values()
        ]

    def _place(self) -> list[tuple[str, str]]:
        """Return name and zone of each engine."""
        self.zones = {
            f'm{number}': ZONES[number % len(ZONES)]
            for number in range(self.user.replicas)
        }
        return list(self.zones.items())

    def _nodes(self, name: str) -> list[Node]:
        nodes = [self.fleet.nodes[f'engine-{name}']]
        if name in self.fleet.nodes:
            nodes.append(self.fleet.nodes[name])
        return nodes


ENGINE: Final[Mapping[str, Any]] = {'slots': SLOTS, 'step_ms': STEP_MS}


class OurSide(Side):
    """Two entries and a sidecar beside each engine."""

    def start(self) -> list[str]:
        """Start the daemons and publish the configuration."""
        fleet = self.fleet
        for name, zone in self._place():
            fleet.add_engine(
                name,
                zone,
                tuple(VERSIONS),
                quality=json.dumps(QUALITY),
                sidecar={'slots': SLOTS},
                **ENGINE,
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
            'keys': [hash_token(KEY)],
            **self.user.extra,
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

    def take_out(self, zone: str) -> None:
        """Take a zone out of service."""
        self.fleet.put('e1', f'zone/{zone}', {'out': True}, 0)

    def take_back(self, zone: str) -> None:
        """Bring a zone back into service."""
        self.fleet.put('e1', f'zone/{zone}', {'out': False}, 0)

    def roll_out(self, model: str, percent: int) -> None:
        """Set the stage of a roll-out that goes back if it turns bad."""
        body = _make_rollout(model, percent)
        self.fleet.put('e1', f'rollout/{model}', body, 0)

    def count_tries(self) -> int:
        """Return the requests that reached engines so far."""
        return sum(row['refused'] + len(row['rows']) for row in self.journals())


class NaiveSide(Side):
    """The naive router in front of the engines."""

    def start(self) -> list[str]:
        """Start engines and router."""
        for name, _ in self._place():
            self.fleet.engines[name] = self.fleet.run_standin(
                f'engine-{name}',
                'engine',
                '/load',
                versions=','.join(VERSIONS),
                quality=json.dumps(QUALITY),
                **ENGINE,
            )
        self._router = self.fleet.run_program(
            'router', 'bench.router', '/counts', seed=self.seed
        )
        self._shares = {'large@1': 100}
        self._set_routes(list(self.fleet.engines))
        return [self._router]

    def take_out(self, zone: str) -> None:
        """Edit the zone's engines out of the list."""
        gone = self.names_in(zone)
        self._set_routes([name for name in self.zones if name not in gone])

    def take_back(self, zone: str) -> None:
        """Edit the zone's engines into the list."""
        self._set_routes(list(self.zones))

    def roll_out(self, model: str, percent: int) -> None:
        """Give a share to the second version of the model it uses."""
        self._shares = {'large@2': percent, 'large@1': 100 - percent}
        self._set_routes(list(self.zones))

    def count_tries(self) -> int:
        """Return the router's tries."""
        return int(call(self._router, 'GET', '/counts').json()['tries'])

    def _set_routes(self, names: list[str]) -> None:
        body = {
            'engines': [self.fleet.engines[name] for name in names],
            'shares': self._shares,
        }
        call(self._router, 'POST', '/routes', body)


def _make_rollout(model: str, percent: int) -> dict[str, Any]:
    return {
        'source': f'{model}@1',
        'target': f'{model}@2',
        'percent': percent,
        'state': 'running',
        'on_bad': 'back',
    }


Event = Callable[[Side], None]


class Scenario(NamedTuple):
    """A run's user, load and events."""

    name: str
    user: User
    #: Load as a multiple of the user's usual rate.
    factor: float
    #: Events and the second of the measured part at which each happens.
    events: tuple[tuple[float, Event], ...] = ()


def play(scenario: Scenario, side: Side, began: float) -> None:
    """Make the events happen at their times; began is time.monotonic()."""
    for at, event in scenario.events:
        time.sleep(max(0.0, began + at - time.monotonic()))
        event(side)


def _turn_bad(percent: int) -> Event:
    def event(side: Side) -> None:
        bad = {
            f'{model}@2{kind}': BAD_QUALITY
            for model in ('small', 'large')
            for kind in ('', '/rewind-sheet', '/care-plan')
        }
        side.set_fault(list(side.fleet.engines), quality=bad)
        for model in ('small', 'large'):
            side.roll_out(model, percent)

    return event


def _stop_rater(side: Side) -> None:
    side.fleet.set_platform_fault(rater_down=True)


def _freeze(side: Side) -> None:
    for node in side.nodes_of(LOST_ZONE):
        node.pause()


def _thaw(side: Side) -> None:
    for node in side.nodes_of(LOST_ZONE):
        node.resume()
    side.set_fault(side.names_in(LOST_ZONE), cold_seconds=COLD_SECONDS)


def _take_out(side: Side) -> None:
    side.take_out(LOST_ZONE)


def _take_back(side: Side) -> None:
    side.take_back(LOST_ZONE)


def _turn_cold(side: Side) -> None:
    names = list(side.fleet.engines)[::3]
    side.set_fault(names, cold_seconds=COLD_SECONDS)


def _fail(side: Side) -> None:
    names = list(side.fleet.engines)[::2]
    side.set_fault(names, status=500)


def _mend(side: Side) -> None:
    side.set_fault(list(side.fleet.engines), status=0)


SCENARIOS: Final = (
    Scenario('steady', CHIKUGO, 1.0),
    Scenario('steady-garmi', GARMI, 1.0),
    Scenario('peak', GARMI, 3.3),
    Scenario('bad-10', CHIKUGO, 1.0, ((0.0, _turn_bad(10)),)),
    Scenario('bad-100', CHIKUGO, 1.0, ((0.0, _turn_bad(100)),)),
    Scenario(
        'bad-10-rater-down',
        CHIKUGO,
        1.0,
        ((0.0, _stop_rater), (0.0, _turn_bad(10))),
    ),
    Scenario('cold', GARMI, 1.0, ((BEGIN, _turn_cold),)),
    Scenario(
        'zone-notice',
        GARMI,
        1.0,
        (
            (BEGIN, _take_out),
            (BEGIN + 1, _freeze),
            (END, _thaw),
            (END + 1, _take_back),
        ),
    ),
    Scenario(
        'zone-lost',
        GARMI,
        1.0,
        (
            (BEGIN, _freeze),
            (BEGIN + 4, _take_out),
            (END, _thaw),
            (END + 1, _take_back),
        ),
    ),
    Scenario('failing-half', GARMI, 1.0, ((BEGIN, _fail), (END, _mend))),
)
