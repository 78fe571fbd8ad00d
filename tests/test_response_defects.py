"""The log tells how the response of a failed attempt was defective."""

from collections.abc import Iterator
from typing import Any

import pytest

from .forwarding import RelayHarness

#: Fault of the endpoint, bytes of its response, path, and the defect.
DEFECTS = (
    ('close', 0, '/book/x', 'absent'),
    ('break_off', 0, '/book/x', 'absent'),
    ('break_off', 40, '/book/x', 'head_truncated'),
    ('garbage', 0, '/book/x', 'head_malformed'),
    ('repeat', 0, '/book/x', 'other_request'),
    ('repeat_unnamed', 0, '/book/x', 'no_request'),
    ('crossed', 0, '/book/x', 'other_request'),
    ('unsigned', 0, '/book/x', 'unsigned'),
    ('cut', 0, '/book/x', 'body_truncated'),
    ('error', 0, '/book/x', None),
)


@pytest.fixture
def relay() -> Iterator[RelayHarness]:
    """Return a relay with a kept connection to its only endpoint."""
    relay = RelayHarness(replicas=1)
    assert relay.send('/book/x').status == 200
    yield relay
    relay.close()


class TestAttemptFailed:
    """The line of a failed attempt distinguishes defects of responses."""

    # Guards against incidents whose logs have one code for all defects.
    @pytest.mark.parametrize(('fault', 'size', 'path', 'defect'), DEFECTS)
    def test_defect_is_logged(
        self,
        relay: RelayHarness,
        lines: list[dict[str, Any]],
        fault: str,
        size: int,
        path: str,
        defect: str | None,
    ) -> None:
        relay.replicas[0].fault = fault
        relay.replicas[0].break_off_at = size
        relay.send(path)
        failed = [line for line in lines if line['message'] == 'attempt failed']
        assert [line['defect'] for line in failed] == [defect]
        assert failed[0]['is_reused']
        assert (failed[0]['received'] > 0) == (defect != 'absent')


class TestTrailingData:
    """Data after a response close the connection, which is logged."""

    # Guards against late second answers that leave no trace in the log.
    def test_data_after_the_response_are_logged(
        self, relay: RelayHarness, lines: list[dict[str, Any]]
    ) -> None:
        relay.replicas[0].fault = 'extra'
        assert relay.send('/book/x').status == 200
        messages = [line['message'] for line in lines]
        assert messages.count('data after the response') == 1

    def test_sound_response_is_not_reported(
        self, relay: RelayHarness, lines: list[dict[str, Any]]
    ) -> None:
        assert relay.send('/book/x').status == 200
        messages = [line['message'] for line in lines]
        assert 'data after the response' not in messages
