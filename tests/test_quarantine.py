"""Prompt parts that crash endpoints are refused; sound requests are not."""

from collections.abc import Iterator

import pytest

from .forwarding import RecordedResponse, RelayHarness

#: Requests with a crashing part that may reach endpoints after the fifth crash.
ALLOWED_AFTER = 3
CRASHING = 'deadly'


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay in front of endpoints that crash on a prompt part."""
    relay = RelayHarness(replicas=8)
    for replica in relay.replicas:
        replica.crashing_part = CRASHING
    yield relay
    relay.close()


def send(relay: RelayHarness, *parts: str) -> RecordedResponse:
    """Send a stream request whose prompt has these parts."""
    prompt = ','.join(f'{part}:10' for part in parts)
    return relay.send('/draft/x', X_Prompt_Prefix=prompt, X_Token_Usage='40,9')


def count_runs(relay: RelayHarness, part: str) -> int:
    """Return how many executed requests had a prompt part."""
    return sum(
        f'{part}:' in run['headers']['X-Prompt-Prefix'] for run in relay.runs()
    )


class TestCrashingPart:
    """A part on which endpoints crash soon reaches no endpoint."""

    # Guards against requests of one kind crashing one endpoint after another.
    def test_later_requests_with_the_part_reach_no_endpoint(
        self, relay: RelayHarness
    ) -> None:
        for number in range(20):
            send(relay, 'rules', f'topic-{number}', CRASHING, f'own-{number}')
        assert count_runs(relay, CRASHING) <= 5 + ALLOWED_AFTER
