"""Tests of the admission check just before a request's last byte is sent."""

import time
from collections.abc import Callable, Iterator
from typing import Final

import pytest

from standins.calls import HOST, find_port
from standins.serving import Call, Journal, serve
from toucancourse.admission.gate import Gate
from toucancourse.admission.window import Window
from toucancourse.contract.state import State
from toucancourse.delivery.dispatch import (
    MAX_PAUSE_SECONDS,
    Dispatcher,
    EndpointSettings,
)
from toucancourse.delivery.endpoint import EndpointCall
from toucancourse.delivery.executions import Execution
from toucancourse.errors import VersionWithdrawnError
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.protocol import peer_pb2

PAUSE_SECONDS: Final = MAX_PAUSE_SECONDS + 0.2
VERSION: Final = 'small@1'


class ScriptedGate(Gate):
    """A gate that runs one scripted step at each check."""

    def __init__(self, *steps: Callable[[], None]) -> None:
        """Create a gate; checks after the last step pass."""
        configuration = Configuration()
        configuration.install_state(State())
        freshness = Freshness('east', 1)
        super().__init__(configuration, freshness, _pass, ('east', 'm1'))
        self._steps = list(steps)

    def check(self, request: peer_pb2.Open) -> None:
        """Run the next step, which may raise."""
        if self._steps:
            self._steps.pop(0)()


class DispatchHarness:
    """A dispatcher for a fake endpoint that records the requests it runs."""

    def __init__(self) -> None:
        """Start the endpoint on a free port."""
        self.journal = Journal()
        port = find_port()
        self.server = serve(port, self._answer)
        self.url = f'http://{HOST}:{port}'

    def run(
        self,
        *steps: Callable[[], None],
        idempotent: bool = True,
        method: str = 'POST',
        body: bytes = b'{}',
    ) -> peer_pb2.End:
        """Run a request for a plain service; return its last frame."""
        request = peer_pb2.Open(
            attempt=1,
            method=method,
            path='/bookings',
            body=body,
            idempotent=idempotent,
            deadline_ms=10_000,
        )
        frames: list[peer_pb2.Frame] = []
        execution = Execution(request, frames.append, _ignore)
        dispatcher = Dispatcher(
            EndpointSettings(self.url, 'booking', 10),
            ScriptedGate(*steps),
            Window(1, 1, 1),
            lambda: ('booking',),
        )
        dispatcher.run(execution)
        return frames[-1].end

    def _answer(self, call: Call) -> None:
        self.journal.add(method=call.method, body=call.raw.decode())
        call.reply({})


@pytest.fixture
def harness() -> Iterator[DispatchHarness]:
    """Return a dispatcher with a running endpoint."""
    created = DispatchHarness()
    yield created
    created.server.shutdown()
    created.server.server_close()


def _pass() -> None:
    """Make a check pass."""


def _ignore(execution: Execution) -> None:
    """Do nothing at the end of an attempt."""


def _pause() -> None:
    time.sleep(PAUSE_SECONDS)


def _refuse() -> None:
    raise VersionWithdrawnError(f'version "{VERSION}" is withdrawn')


def _pause_before_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    """Simulate a paused process between the last check and the last byte."""
    finish_request = EndpointCall.finish_request

    def finish_after_pause(call: EndpointCall) -> None:
        _pause()
        finish_request(call)

    monkeypatch.setattr(EndpointCall, 'finish_request', finish_after_pause)


class TestLastCheck:
    """A change that comes before the last byte still stops the request."""

    @pytest.mark.parametrize(
        ('method', 'body'), [('POST', b'{}'), ('POST', b''), ('GET', b'')]
    )
    def test_whole_request(
        self, harness: DispatchHarness, method: str, body: bytes
    ) -> None:
        """A complete request arrives, with a body or without."""
        end = harness.run(method=method, body=body)
        assert not end.code
        [request] = harness.journal.rows()
        assert (request['method'], request['body']) == (method, body.decode())

    @pytest.mark.parametrize(
        ('method', 'body'), [('POST', b'{}'), ('POST', b''), ('GET', b'')]
    )
    def test_refused_at_last_byte(
        self, harness: DispatchHarness, method: str, body: bytes
    ) -> None:
        """The endpoint does not run a request refused before its last byte."""
        end = harness.run(_pass, _refuse, method=method, body=body)
        assert (end.code, end.outcome) == ('version_withdrawn', 'not_run')
        time.sleep(0.1)
        assert not harness.journal.rows()

    def test_slow_check_is_repeated(self, harness: DispatchHarness) -> None:
        """A check that took too long is stale and is repeated."""
        end = harness.run(_pass, _pause, _refuse)
        assert end.code == 'version_withdrawn'
        assert not harness.journal.rows()

    def test_late_byte_has_unknown_outcome(
        self, harness: DispatchHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An idempotent request sent long after its check is abandoned."""
        _pause_before_last_byte(monkeypatch)
        end = harness.run()
        assert end.outcome == 'unknown'
        assert 'paused' in end.text

    def test_late_byte_not_idempotent(
        self, harness: DispatchHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A request that is not idempotent is completed all the same."""
        _pause_before_last_byte(monkeypatch)
        end = harness.run(idempotent=False)
        assert not end.code
        assert len(harness.journal.rows()) == 1
