"""A response that broke off and started again never passes as whole."""

import socket
from types import SimpleNamespace

import pytest

from standins.replica import SIGNATURE
from toucancourse.interfaces import responses

from .forwarding import RecordedResponse, RelayHarness, break_off

BODY = b'answer of i-0'
EVENTS = b''.join(
    f'id: {number}\ndata: piece {number}\n\n'.encode() for number in range(1, 5)
)
#: Longer than any head of the stand-in, so that a whole second head fits into
#: what is due of the first body.
LONG_BODY = 700
#: More bytes than any response to a short request has.
MAX_BYTES = 300
#: Pause before a response is written again, in seconds.
PAUSES = (0.0, 0.02)
#: Bodies that look as if a response began in them.
QUOTES = (
    b'H',
    b'The server sent HTTP/1.1 200 OK',
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n\r\nbody',
    b'a status line such as HTTP/1.',
    b'replied with HTTP/1.1 200',
    b'GET /a -> HTTP/1.1 404\n',
    b'HTTP/1.1 200 OK\r\n{"request": "id-of-the-request"}',
    b'HTTP/1.1 200 OK and then to id-of-the-request: more',
)


def is_whole(response: RecordedResponse, body: bytes) -> bool:
    """Return True for the endpoint's own successful response."""
    return (
        response.status == 200
        and response.body == body
        and response.headers['X-Server-Signature'] == SIGNATURE
    )


def list_sizes(limit: int, pause: float) -> range:
    """Return after how many bytes responses break off, fewer for late ones."""
    return range(1, limit, 7 if pause else 1)


def check_sizes(
    relay: RelayHarness, path: str, fault: str, body: bytes, sizes: range
) -> None:
    """Check that only whole responses pass, whatever had been sent before."""
    wrong = []
    for size in sizes:
        response = break_off(relay, path, size, fault)
        if response.is_finished and not is_whole(response, body):
            wrong.append((size, response.status, response.body))
    assert not wrong


@pytest.mark.parametrize('pause', PAUSES)
class TestRestarts:
    """Responses that start again, the same or a failure, at once or late."""

    # Guards against a 200 that has the body of a 500 which follows it.
    @pytest.mark.parametrize('path', ['/book/x', '/look/x'])
    @pytest.mark.parametrize('fault', ['restart', 'restart_failed'])
    def test_plain_response_is_no_mixture(
        self, relay: RelayHarness, path: str, fault: str, pause: float
    ) -> None:
        relay.replicas[0].restart_seconds = pause
        # A failure that follows a whole response belongs to no request.
        sizes = list_sizes(MAX_BYTES, pause)
        check_sizes(relay, path, fault, BODY, sizes)

    # Guards against a body whose rest is the head of a second response.
    @pytest.mark.parametrize('fault', ['restart', 'restart_failed'])
    def test_long_body_is_no_mixture(
        self, relay: RelayHarness, fault: str, pause: float
    ) -> None:
        relay.replicas[0].restart_seconds = pause
        relay.replicas[0].body_bytes = LONG_BODY
        # A failure may be too short for what is due, which only time would end.
        relay.replicas[0].closes_restarted = fault == 'restart_failed'
        body = BODY.ljust(LONG_BODY, b'.')
        sizes = range(1, LONG_BODY + 260, 11)
        check_sizes(relay, '/book/x', fault, body, sizes)

    # Guards against events that hold the head of a second response.
    @pytest.mark.parametrize('is_framed', [True, False])
    @pytest.mark.parametrize('fault', ['restart', 'restart_failed'])
    def test_stream_is_no_mixture(
        self, relay: RelayHarness, fault: str, is_framed: bool, pause: float
    ) -> None:
        replica = relay.replicas[0]
        replica.restart_seconds = pause
        replica.event_delay = 0.0
        replica.is_framed = is_framed
        replica.closes_restarted = fault == 'restart_failed'
        wrong = []
        for size in list_sizes(MAX_BYTES + 60, pause):
            response = break_off(relay, '/draft/x', size, fault)
            if not EVENTS.startswith(response.body) or (
                response.is_finished and response.body != EVENTS
            ):
                wrong.append((size, response.status, response.body))
        assert not wrong


class TestCopies:
    """The start of an earlier response arrives before the response."""

    # Guards against a 200 that was made of an earlier head and a 500.
    @pytest.mark.parametrize('pause', PAUSES)
    @pytest.mark.parametrize('path', ['/book/x', '/draft/x'])
    def test_cut_copy_before_a_failure_is_no_success(
        self, relay: RelayHarness, path: str, pause: float
    ) -> None:
        replica = relay.replicas[0]
        replica.restart_seconds = pause
        for size in list_sizes(230, pause):
            replica.fault = ''
            assert relay.send('/book/x').status == 200
            replica.break_off_at = size
            replica.fault = 'copy_failed'
            assert not relay.send(path).is_finished


class TestQuotes:
    """Sound bodies may hold what looks like the start of a response."""

    # Guards against refusing answers that quote a status line.
    @pytest.mark.parametrize('quote', QUOTES)
    def test_quoted_status_line_is_passed_on(
        self, relay: RelayHarness, quote: bytes
    ) -> None:
        relay.replicas[0].body = quote
        response = relay.send('/book/x', X_Attempt_Id='id-of-the-request')
        assert is_whole(response, quote)

    # Guards against refusing whole answers that another response follows.
    @pytest.mark.parametrize('body', [BODY, b'it ends with H'])
    def test_response_after_a_whole_one_is_ignored(
        self, relay: RelayHarness, body: bytes
    ) -> None:
        relay.replicas[0].body = body
        relay.replicas[0].fault = 'extra'
        assert is_whole(relay.send('/book/x'), body)


class Clock:
    """A clock that only waits for data advance."""

    POLLIN = 1

    def __init__(self) -> None:
        """Start at any time."""
        self.now = 100.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def register(self, *arguments: object) -> None:
        """Wait for whatever is registered."""

    def poll(self, milliseconds: float) -> None:
        """Wait in vain."""
        self.now += milliseconds / 1000


class TestWaits:
    """A body that may go on as another response is waited for in time."""

    # Guards against whole answers that are lost since the look at what follows
    # lasts beyond the request's deadline.
    @pytest.mark.parametrize(
        ('left', 'waited'), [(0.06, 0.03), (1.0, responses.RESTART_SECONDS)]
    )
    def test_wait_ends_before_the_deadline(
        self, monkeypatch: pytest.MonkeyPatch, left: float, waited: float
    ) -> None:
        clock = Clock()
        select = SimpleNamespace(poll=lambda: clock, POLLIN=clock.POLLIN)
        near, far = socket.socketpair()
        with near, far:
            far.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nH')
            response = responses.CheckedResponse(near)
            response.begin()
            response._raw.until = clock.now + left
            monkeypatch.setattr(responses, 'time', clock)
            monkeypatch.setattr(responses, 'select', select)
            assert response.read() == b'H'
        assert clock.now == pytest.approx(100.0 + waited)
