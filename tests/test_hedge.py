"""Hedged requests: a second endpoint is asked when the first is slow."""

import time
from collections.abc import Iterator

import pytest

from standins.calls import call, wait_until

from .fleet import CHIKUGO_KEY, SmallFleet, make_contract

HEDGE_SECONDS = 0.3
SLOW_SECONDS = 3.0


@pytest.fixture
def fleet() -> Iterator[SmallFleet]:
    """Return a fleet with a contract that enables hedging."""
    with SmallFleet(('e1',)) as fleet:
        contract = make_contract(CHIKUGO_KEY, hedge_seconds=HEDGE_SECONDS)
        fleet.apply('e1', 'contract/chikugo', contract)
        fleet.warm_up()
        yield fleet


def set_token_delay(fleet: SmallFleet, seconds: float, *engines: str) -> None:
    """Set the delay per token of some model servers."""
    for name in engines:
        fault = {'token_delay': seconds}
        call(fleet.engines[name], 'POST', '/fault', fault)


class TestHedge:
    """The endpoint with the first token wins; one response is billed."""

    def test_slow_endpoint(self, fleet: SmallFleet) -> None:
        """The other endpoint responds, and the request is billed once."""
        count = fleet.wait_billed(40)['requests']
        set_token_delay(fleet, SLOW_SECONDS, 'm1')
        time.sleep(0.1)
        answer = fleet.chat(stream=True, max_tokens=2)
        assert answer.headers['x-served-by'] == 'm2'
        assert answer.body.endswith(b'data: [DONE]\n\n')
        fleet.wait_billed(count + 1)
        set_token_delay(fleet, 0, 'm1')
        time.sleep(SLOW_SECONDS + 2)
        assert fleet.bill()['requests'] == count + 1

    def test_both_slow(self, fleet: SmallFleet) -> None:
        """Two slow endpoints still give one complete response."""
        set_token_delay(fleet, 0.5, 'm1', 'm2')
        answer = fleet.chat(stream=True, max_tokens=2)
        assert answer.status == 200
        assert answer.body.endswith(b'data: [DONE]\n\n')

    def test_loser_is_cancelled(self, fleet: SmallFleet) -> None:
        """The request is cancelled at the slow endpoint."""
        set_token_delay(fleet, SLOW_SECONDS, 'm1')
        time.sleep(0.1)
        fleet.chat(stream=True, max_tokens=2)
        set_token_delay(fleet, 0, 'm1')
        wait_until(
            lambda: (
                'running'
                not in {
                    row['state'] for row in fleet.journal(fleet.engines['m1'])
                }
            ),
            SLOW_SECONDS + 5,
            'end of all requests at m1',
        )
