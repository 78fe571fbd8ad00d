"""Engines load the versions of their placement, with or without fencing."""

import time

import pytest

from standins.calls import call, wait_until
from standins.fleet import Fleet
from toucancourse.contract.state import State, Stored
from toucancourse.rollout.placement import Order, list_orders

from .fleet import VERSIONS, SmallFleet

BODY = VERSIONS['small@1']


class TestListOrders:
    """Orders are the difference of the placement and the loaded versions."""

    def test_difference(self) -> None:
        """Loads come first, and a withdrawn version is unloaded.

        The fencing token is the revision of the placement.
        """
        withdrawn = {**BODY, 'state': 'withdrawn'}
        state = State(
            9,
            {
                'version/a@1': Stored(1, 'a', BODY),
                'version/a@2': Stored(2, 'b', withdrawn),
                'placement/m1': Stored(7, 'c', {'versions': ['a@1', 'a@2']}),
            },
        )
        orders = list(list_orders(state, 'm1', ('a@2', 'b@1')))
        assert orders == [
            Order('load', 'a@1', 7),
            Order('unload', 'a@2', 7),
            Order('unload', 'b@1', 7),
        ]
        assert not list(list_orders(state, 'm2', ('b@1',)))


class TestOrders:
    """Engine processes that check fencing tokens or ignore them."""

    @pytest.mark.parametrize('checks_fence', [1, 0])
    def test_placement_is_restored(self, checks_fence: int) -> None:
        """An order of an older placement has no lasting effect.

        An engine that checks fencing tokens rejects it; for another one the
        sidecar corrects it.
        """
        with SmallFleet(
            ('e1',), engine={'checks_fence': checks_fence}
        ) as fleet:
            placement = {'versions': ['small@1', 'large@1']}
            fleet.apply('e1', 'placement/m1', placement)
            fleet.apply('e1', 'placement/m1', {'versions': ['large@1']})
            engine = fleet.engines['m1']

            def loaded() -> list[str]:
                return sorted(call(engine, 'GET', '/load').json()['versions'])

            wait_until(lambda: loaded() == ['large@1'], 15, 'the placement')
            order = {'action': 'load', 'version': 'small@1', 'fence': 1}
            answer = call(engine, 'POST', '/orders', order)
            assert (answer.status == 409) == bool(checks_fence)
            if not checks_fence:
                wait_until(lambda: 'small@1' in loaded(), 10, 'the old order')
            wait_until(lambda: loaded() == ['large@1'], 15, 'restored')

    def test_weight_downloads_are_spaced(self) -> None:
        """All engines of a zone together keep to one download per second."""
        with SmallFleet(('e1',)) as fleet:
            for name in ('m1', 'm2'):
                fleet.apply('e1', f'placement/{name}', {'versions': []})
            wait_until(lambda: not read_loaded(fleet), 20, 'empty engines')
            for name in ('m1', 'm2'):
                body = {'versions': ['small@1']}
                fleet.apply('e1', f'placement/{name}', body)
            wait_until(lambda: count_loads(fleet) >= 2, 20, 'both loads')
            rows = fleet.journal(fleet.platform)
            times = [row['at'] for row in rows if 'weights' in row]
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            assert all(gap >= 0.99 for gap in gaps)
            time.sleep(1)


def read_loaded(fleet: Fleet) -> list[str]:
    """Return the versions that the engines have loaded."""
    return [
        version
        for address in fleet.engines.values()
        for version in call(address, 'GET', '/load').json()['versions']
    ]


def count_loads(fleet: Fleet) -> int:
    """Return the number of load orders that the engines executed."""
    return sum(
        row.get('action') == 'load'
        for address in fleet.engines.values()
        for row in fleet.journal(address)
    )
