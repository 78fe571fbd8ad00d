"""A sidecar passes on no response that broke off and began again."""

from collections.abc import Iterator

import pytest

from standins.rawserver import RawServer
from toucancourse.admission.window import Window
from toucancourse.delivery.dispatch import Dispatcher, EndpointSettings
from toucancourse.delivery.executions import Execution
from toucancourse.protocol import peer_pb2

from .test_dispatch import ScriptedGate

VERSION = 'small@1'
JSON_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
EVENT_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
FAILED = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}'
EVENTS = (
    b'data: {"text": "one"}\n\n',
    b'data: {"text": "%b"}\n\n' % (b'x' * 150),
    b'data: {"usage": {"prompt_tokens": 3}}\n\n',
    b'data: [DONE]\n\n',
)
STREAM = EVENTS[0] + EVENTS[1] + EVENTS[3]
BODY = b'{"text": "%b", "usage": {"prompt_tokens": 3}}' % (b'x' * 150)


def encode_chunks(*pieces: bytes) -> bytes:
    """Return a chunked body."""
    chunks = [b'%x\r\n%b\r\n' % (len(piece), piece) for piece in pieces]
    return b''.join(chunks) + b'0\r\n\r\n'


def list_framings(head: bytes, *pieces: bytes) -> tuple[bytes, ...]:
    """Return a response with a length, in chunks, in one chunk, unframed."""
    body = b''.join(pieces)
    return (
        head + b'Content-Length: %d\r\n\r\n' % len(body) + body,
        head + CHUNKED + encode_chunks(*pieces),
        head + CHUNKED + encode_chunks(body),
        head + b'\r\n' + body,
    )


class DispatchHarness:
    """A dispatcher for an endpoint that sends given bytes."""

    def __init__(self) -> None:
        """Start the endpoint."""
        self.server = RawServer()
        self.data = b''
        self.head: peer_pb2.Head | None = None

    def run(self, *, version: str = VERSION, stream: bool) -> peer_pb2.End:
        """Run a request; return its last frame, and keep the others."""
        request = peer_pb2.Open(
            attempt=1,
            method='POST',
            path='/x',
            body=b'{}',
            version=version,
            stream=stream,
            deadline_ms=5_000,
        )
        frames: list[peer_pb2.Frame] = []
        execution = Execution(request, frames.append, lambda _: None)
        Dispatcher(
            EndpointSettings(f'http://{self.server.address}', 'booking', 5),
            ScriptedGate(),
            Window(1, 1, 1),
            lambda: (version or 'booking',),
        ).run(execution)
        self.data = b''.join(frame.data for frame in frames)
        self.head = frames[0].head if frames[0].HasField('head') else None
        return frames[-1].end


@pytest.fixture
def harness() -> Iterator[DispatchHarness]:
    """Return a dispatcher with a running endpoint."""
    harness = DispatchHarness()
    yield harness
    harness.server.close()


def list_restarts(response: bytes) -> Iterator[bytes]:
    """Yield a response that begins again, or fails, after each byte."""
    for size in range(1, len(response)):
        for again in (response, FAILED):
            yield response[:size] + again


class TestBodies:
    """Bodies that a sidecar reads as a whole."""

    # Guards against a body that holds the head of a second response.
    @pytest.mark.parametrize('response', list_framings(JSON_HEAD, BODY))
    @pytest.mark.parametrize('version', [VERSION, ''])
    def test_restarted_body_is_no_success(
        self, harness: DispatchHarness, version: str, response: bytes
    ) -> None:
        wrong = []
        for content in list_restarts(response):
            harness.server.content = content
            end = harness.run(version=version, stream=False)
            if not end.code and harness.data != BODY:
                wrong.append(content)
        assert not wrong[:1]

    # Guards against refusing sound answers that quote a status line.
    @pytest.mark.parametrize(
        ('head', 'body'),
        [
            (JSON_HEAD, b'"HTTP/1.1 200 OK\\r\\n"\r\n'),
            (b'HTTP/1.1 200 OK\r\n', b'It sent HTTP/1.1 200 OK\r\n\r\n'),
        ],
    )
    def test_quoted_status_line_is_passed_on(
        self, harness: DispatchHarness, head: bytes, body: bytes
    ) -> None:
        for response in list_framings(head, body):
            harness.server.content = response
            assert not harness.run(version='', stream=False).code
            assert harness.data == body


class TestStreams:
    """Events that a sidecar passes on as they arrive."""

    # Guards against events that hold the head of a second response.
    @pytest.mark.parametrize('response', list_framings(EVENT_HEAD, *EVENTS))
    def test_restarted_stream_is_no_mixture(
        self, harness: DispatchHarness, response: bytes
    ) -> None:
        wrong = []
        for content in list_restarts(response):
            harness.server.content = content
            end = harness.run(stream=True)
            is_whole = harness.data == STREAM and end.usage.prompt_tokens == 3
            if not STREAM.startswith(harness.data) or not (
                end.code or is_whole
            ):
                wrong.append((content, harness.data, end))
        assert not wrong[:1]

    # Guards against events after the last one, those of a second response.
    def test_data_after_the_last_event_are_dropped(
        self, harness: DispatchHarness
    ) -> None:
        content = EVENT_HEAD + b'\r\n' + b''.join(EVENTS)
        harness.server.content = content + EVENTS[0]
        assert not harness.run(stream=True).code
        assert harness.data == STREAM

    # Guards against an event that begins with the half of itself.
    @pytest.mark.parametrize('size', range(0, len(EVENTS[1]), 10))
    def test_stream_that_broke_within_an_event_is_resumed_whole(
        self, harness: DispatchHarness, size: int
    ) -> None:
        head = EVENT_HEAD + b'X-Stream-Id: 7\r\n' + CHUNKED
        due = len(EVENTS[0]) + len(EVENTS[1])
        cut = head + b'%x\r\n%b' % (due, EVENTS[0] + EVENTS[1][:size])
        rest = EVENT_HEAD + CHUNKED + encode_chunks(*EVENTS[1:])
        harness.server.script = [[cut, 0.02, None], [rest]]
        assert not harness.run(stream=True).code
        assert harness.data == STREAM
