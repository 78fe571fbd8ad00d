"""The last check of a request, made before its last byte is sent."""

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
    Limits,
)
from toucancourse.delivery.endpoint import EndpointCall
from toucancourse.delivery.running import Running
from toucancourse.errors import VersionWithdrawnError
from toucancourse.membership.configuration import Configuration
from toucancourse.membership.freshness import Freshness
from toucancourse.protocol import peer_pb2

PAUSE_SECONDS: Final = MAX_PAUSE_SECONDS + 0.2
VERSION: Final = 'small@1'


class ScriptedGate(Gate):
    """Takes one step of a script at each check."""

    def __init__(self, *steps: Callable[[], None]) -> None:
        """Keep the steps; checks after the last step pass."""
        configuration = Configuration()
        configuration.install_state(State())
        freshness = Freshness('east', 1)
        super().__init__(configuration, freshness, _pass, ('east', 'm1'))
        self._steps = list(steps)

    def check(self, request: peer_pb2.Open) -> None:
        """Take the next step."""
        if self._steps:
            self._steps.pop(0)()


class Bench:
    """A dispatcher before an endpoint that journals what it runs."""

    def __init__(self) -> None:
        """Start the endpoint."""
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
        """Return the last frame of a request for a plain service."""
        request = peer_pb2.Open(
            attempt=1,
            method=method,
            path='/bookings',
            body=body,
            idempotent=idempotent,
            deadline_ms=10_000,
        )
        frames: list[peer_pb2.Frame] = []
        running = Running(request, frames.append, _ignore)
        dispatcher = Dispatcher(
            Limits(self.url, 'booking', 10),
            ScriptedGate(*steps),
            Window(1, 1, 1),
            lambda: ('booking',),
        )
        dispatcher.run(running)
        return frames[-1].end

    def _answer(self, call: Call) -> None:
        self.journal.add(method=call.method, body=call.raw.decode())
        call.reply({})


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a running endpoint."""
    built = Bench()
    yield built
    built.server.shutdown()
    built.server.server_close()


def _pass() -> None:
    """Let a check pass."""


def _ignore(running: Running) -> None:
    """Take the end of an attempt."""


def _pause() -> None:
    time.sleep(PAUSE_SECONDS)


def _refuse() -> None:
    raise VersionWithdrawnError(f'version "{VERSION}" is withdrawn')


def _pause_finish(monkeypatch: pytest.MonkeyPatch) -> None:
    """Pause the process between the last check and the last byte."""
    finish = EndpointCall.finish

    def finish_late(call: EndpointCall) -> None:
        _pause()
        finish(call)

    monkeypatch.setattr(EndpointCall, 'finish', finish_late)


class TestLastCheck:
    """Whatever changes until the last byte is still obeyed."""

    @pytest.mark.parametrize(
        ('method', 'body'), [('POST', b'{}'), ('POST', b''), ('GET', b'')]
    )
    def test_whole_request(
        self, bench: Bench, method: str, body: bytes
    ) -> None:
        """A request arrives whole, with a body or without."""
        end = bench.run(method=method, body=body)
        assert not end.code
        [row] = bench.journal.rows()
        assert (row['method'], row['body']) == (method, body.decode())

    @pytest.mark.parametrize(
        ('method', 'body'), [('POST', b'{}'), ('POST', b''), ('GET', b'')]
    )
    def test_refused_at_last_byte(
        self, bench: Bench, method: str, body: bytes
    ) -> None:
        """Nothing runs of a request that is refused at its last byte."""
        end = bench.run(_pass, _refuse, method=method, body=body)
        assert (end.code, end.outcome) == ('version_withdrawn', 'not_run')
        time.sleep(0.1)
        assert not bench.journal.rows()

    def test_slow_check_is_repeated(self, bench: Bench) -> None:
        """A check that took long does not count."""
        end = bench.run(_pass, _pause, _refuse)
        assert end.code == 'version_withdrawn'
        assert not bench.journal.rows()

    def test_late_byte_is_given_up(
        self, bench: Bench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A model's request sent long after its check is abandoned."""
        _pause_finish(monkeypatch)
        end = bench.run()
        assert end.outcome == 'unknown'
        assert 'paused' in end.text

    def test_late_byte_of_a_booking(
        self, bench: Bench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A call that can't be repeated is seen to its end."""
        _pause_finish(monkeypatch)
        end = bench.run(idempotent=False)
        assert not end.code
        assert len(bench.journal.rows()) == 1
