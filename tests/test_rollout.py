"""Bad versions are found during a roll-out, good ones are not."""

import json
import random
import time

import pytest

from standins.calls import call, wait_until
from toucancourse.contract.state import State, Stored
from toucancourse.rollout.watch import compare_versions
from toucancourse.routing.quality import QualityBook, Ratings

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
    """Return a state with both versions."""
    body = VERSIONS['small@1']
    return State(
        2,
        {
            'version/small@1': Stored(1, 'a', body),
            'version/small@2': Stored(2, 'b', body),
        },
    )


def rate(
    book: QualityBook,
    version: str,
    quality: float,
    count: int,
    source: random.Random,
) -> None:
    """Fold some ratings of a version."""
    for _ in range(count):
        rating = source.gauss(quality, DEVIATION)
        book.apply(Ratings(version, 'k', 1, rating, rating**2))


class TestCompareVersions:
    """The test of a target against its source."""

    @pytest.mark.parametrize('quality', [0.5, 0.6, 0.64])
    def test_finds_bad(self, quality: float) -> None:
        """A clear loss is found within 60 ratings of the target."""
        book = QualityBook()
        source = random.Random(1)
        rate(book, 'small@1', 0.7, 200, source)
        rate(book, 'small@2', quality, 60, source)
        findings = list(compare_versions(make_state(), book, ROLLOUT))
        assert [row.is_bad() for row in findings] == [True]

    def test_false_alarms(self) -> None:
        """Of 300 equal roll-outs with 20 looks each, none is stopped."""
        source = random.Random(2)
        alarms = 0
        for _ in range(300):
            book = QualityBook()
            rate(book, 'small@1', 0.7, 100, source)
            for _ in range(20):
                rate(book, 'small@2', 0.7, 5, source)
                findings = compare_versions(make_state(), book, ROLLOUT)
                alarms += any(row.is_bad() for row in findings)
        assert alarms == 0


class TestBadVersion:
    """A running fleet turns a bad roll-out back by itself."""

    def test_turned_back(self) -> None:
        """At 10% few requests see a bad version before it is gone."""
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
                found = fleet.admin('e1', 'GET', '/objects/rollout/small')
                return bool(found.json()['body']['state'] == 'back')

            wait_until(is_back, 60, 'the turn back')
            time.sleep(1)
            served = {
                fleet.chat(max_tokens=2).headers['x-served-version']
                for _ in range(20)
            }
            assert served == {'small@1'}
