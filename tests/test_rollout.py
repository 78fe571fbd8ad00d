"""Canary analysis of roll-outs finds regressions without false alarms."""

import json
import random
import time

import pytest

from standins.calls import call, wait_until
from toucancourse.contract.state import State, Stored
from toucancourse.rollout.monitor import compare_versions
from toucancourse.routing.quality import QualityState, Ratings

from .fleet import CHIKUGO_KEY, VERSIONS, SmallFleet, make_contract

ROLLOUT = {
    'source': 'small@1',
    'target': 'small@2',
    'percent': 10,
    'state': 'running',
    'on_bad': 'back',
}
DEVIATION = 0.05


def make_state() -> State:
    """Return a configuration state with both versions."""
    body = VERSIONS['small@1']
    return State(
        2,
        {
            'version/small@1': Stored(1, 'a', body),
            'version/small@2': Stored(2, 'b', body),
        },
    )


def add_ratings(
    ratings: QualityState,
    version: str,
    quality: float,
    count: int,
    generator: random.Random,
) -> None:
    """Add normally distributed ratings of a version."""
    for _ in range(count):
        rating = generator.gauss(quality, DEVIATION)
        ratings.apply(Ratings(version, 'k', 1, rating, rating**2))


class TestCompareVersions:
    """The significance test of a target's ratings against its source's."""

    @pytest.mark.parametrize('quality', [0.5, 0.6, 0.64])
    def test_finds_regression(self, quality: float) -> None:
        """A clear loss of quality is found within 60 ratings of the target."""
        ratings = QualityState()
        generator = random.Random(1)
        add_ratings(ratings, 'small@1', 0.7, 200, generator)
        add_ratings(ratings, 'small@2', quality, 60, generator)
        comparisons = list(compare_versions(make_state(), ratings, ROLLOUT))
        assert [comparison.is_regression() for comparison in comparisons] == [
            True
        ]

    def test_false_alarms(self) -> None:
        """None of 300 roll-outs of equal quality with 20 checks is an alarm."""
        generator = random.Random(2)
        alarms = 0
        for _ in range(300):
            ratings = QualityState()
            add_ratings(ratings, 'small@1', 0.7, 100, generator)
            for _ in range(20):
                add_ratings(ratings, 'small@2', 0.7, 5, generator)
                comparisons = compare_versions(make_state(), ratings, ROLLOUT)
                alarms += any(
                    comparison.is_regression() for comparison in comparisons
                )
        assert alarms == 0


class TestRegression:
    """A running fleet rolls a regression back without an operator."""

    def test_rolled_back(self) -> None:
        """A target of low quality is rolled back and serves no requests."""
        with SmallFleet(('e1',), entry={'rating_share': 1.0}) as fleet:
            fleet.apply('e1', 'version/small@2', VERSIONS['small@1'])
            for name in ('m1', 'm2'):
                order = {'action': 'load', 'version': 'small@2', 'fence': 1}
                call(fleet.engines[name], 'POST', '/orders', order)
                fault = {'quality': {'small@2': 0.3}}
                call(fleet.engines[name], 'POST', '/fault', fault)
            contract = make_contract(CHIKUGO_KEY, versions=['small@*'])
            fleet.apply('e1', 'contract/chikugo', contract)
            wait_until(
                lambda: 'small@2' in json.dumps(fleet.status('e1')), 10, 'load'
            )
            fleet.apply('e1', 'rollout/small', {**ROLLOUT, 'percent': 30})

            def is_back() -> bool:
                fleet.chat(max_tokens=2)
                answer = fleet.admin('e1', 'GET', '/objects/rollout/small')
                return bool(answer.json()['body']['state'] == 'back')

            wait_until(is_back, 60, 'the roll-back')
            time.sleep(1)
            served = {
                fleet.chat(max_tokens=2).headers['x-served-version']
                for _ in range(20)
            }
            assert served == {'small@1'}
