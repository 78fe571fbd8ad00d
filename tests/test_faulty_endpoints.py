"""Endpoints that send refusals twice, or bytes without end."""

import resource
import time

import pytest

from toucancourse.errors import EndpointError, Outcome
from toucancourse.forwarding.buffers import GUARANTEED_BYTES, ResponseBuffers

from .forwarding import RelayHarness

#: Timeout of the configured routes, and the time to notice it, in seconds.
ROUTE_SECONDS = 2.0
NOTICE_SECONDS = 0.5
#: Memory that one response and its request may occupy, in KiB.
MAX_GROWTH_KIB = 65_536


def start_fault(relay: RelayHarness, fault: str) -> None:
    """Open a connection to the endpoint, then make it fail."""
    assert relay.send('/look/x').status == 200
    relay.replicas[0].fault = fault


class TestRepeatedRefusals:
    """A refusal is only believed of the attempt that it belongs to."""

    @pytest.mark.parametrize('fault', ['repeat', 'repeat_unnamed'])
    def test_executed_request_is_not_reported_as_not_executed(
        self, relay: RelayHarness, fault: str
    ) -> None:
        start_fault(relay, fault)
        response = relay.send('/book/x')
        assert response.error is not None
        assert response.error.outcome is not Outcome.not_run
        assert response.error.status == 502
        assert len(relay.runs()) == 2

    @pytest.mark.parametrize('fault', ['repeat', 'repeat_unnamed'])
    def test_refusal_does_not_start_a_second_execution(
        self, fault: str
    ) -> None:
        relay = RelayHarness(replicas=2)
        for path in ('/look/x', '/look/y', '/look/z'):
            relay.send(path)
        for replica in relay.replicas:
            replica.fault = fault
        before = len(relay.runs())
        relay.send('/book/x')
        assert len(relay.runs()) == before + 1
        relay.close()

    # Guards against a refusal that breaks off before the request is run.
    @pytest.mark.parametrize('pause', [0.0, 0.05, 0.4])
    def test_refusal_that_broke_off_is_not_believed(self, pause: float) -> None:
        relay = RelayHarness(replicas=2)
        for replica in relay.replicas:
            replica.fault = 'refuse_and_run'
            replica.restart_seconds = pause
        response = relay.send('/book/x')
        assert len(relay.runs()) == 1
        assert response.error is not None
        assert response.error.outcome is not Outcome.not_run
        relay.close()

    def test_own_refusal_is_reported(self, relay: RelayHarness) -> None:
        start_fault(relay, 'shed')
        response = relay.send('/book/x')
        assert response.error is not None
        assert response.error.outcome is Outcome.not_run
        assert len(relay.runs()) == 1


class TestResponseBuffers:
    """The memory of responses is shared, and given back at their end."""

    # Guards against sound responses that find no memory left.
    def test_sound_responses_are_served_beside_them(self) -> None:
        buffers = ResponseBuffers(4 * GUARANTEED_BYTES)
        held = [0] * 40
        for _ in range(50):
            for number, size in enumerate(held):
                try:
                    buffers.resize(size, size + 8192)
                except EndpointError:
                    buffers.resize(size, 0)
                    held[number] = 0
                else:
                    held[number] += 8192
        assert buffers.used == sum(held)
        buffers.resize(0, GUARANTEED_BYTES)

    # Guards against memory that responses keep after their end.
    def test_memory_is_released(self, relay: RelayHarness) -> None:
        buffers = ResponseBuffers()
        relay.connections._buffers = buffers
        for fault in ('', 'endless_body', 'cut', 'error', 'silent'):
            relay.replicas[0].fault = fault
            relay.send('/look/x')
            relay.send('/draft/x')
        assert buffers.used == 0


class TestBytesWithoutEnd:
    """Bytes that are no response end with the request's time."""

    @pytest.mark.parametrize(
        ('fault', 'path'),
        [
            ('drip_head', '/book/x'),
            ('endless_head', '/book/x'),
            ('endless_body', '/book/x'),
            ('endless_event', '/draft/x'),
        ],
    )
    def test_request_ends_and_the_connection_is_closed(
        self, relay: RelayHarness, fault: str, path: str
    ) -> None:
        relay.replicas[0].fault = fault
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started_at = time.monotonic()
        response = relay.send(path, deadline_ms=5000)
        assert time.monotonic() - started_at < ROUTE_SECONDS + NOTICE_SECONDS
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert after - before < MAX_GROWTH_KIB
        assert response.error is not None
        assert response.error.outcome is not Outcome.not_run
        assert relay.replicas[0].disconnects.acquire(timeout=2)
