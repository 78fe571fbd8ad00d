"""Emulates an endpoint on the users' platform."""

import hashlib
import json
import random
import threading
import time
from collections.abc import Callable
from io import BytesIO
from typing import Any

from .calls import find_port
from .serving import Journal, Request, serve

SIGNATURE = 'test-signature'
#: How much of a response is kept, to send it once more.
MAX_KEPT_BYTES = 65_536
#: Dotted parts of a signature that names its answer, and their length.
SIGNATURE_PARTS = 6
SIGNATURE_PART_DIGITS = 4
EVENT_STREAM_HEAD = b'Content-Type: text/event-stream\r\n\r\n'
#: Fault -> bytes after the first headers, bytes that are repeated without end,
#: and the pause between them in seconds.
ENDLESS = {
    'drip_head': (b'X-Filler: ', b'x', 0.05),
    'endless_head': (b'', b'X-Filler: ' + b'x' * 4000 + b'\r\n', 0),
    'endless_body': (b'Connection: close\r\n\r\n', b'x' * 65536, 0),
    'drip_event': (EVENT_STREAM_HEAD + b'data: ', b'x', 0.05),
    'endless_event': (EVENT_STREAM_HEAD + b'data: ', b'x' * 65536, 0),
}


#: All faults of responses, as Replica.fault describes them.
FAULTS = (
    'shed',
    'error',
    'cut',
    'extra',
    'garbage',
    'silent',
    'text',
    'not_found',
    'unframed_empty',
    'unsigned',
    'crossed',
    'close',
    'break_off',
    'restart',
    'restart_failed',
    'refuse_and_run',
    'copy',
    'copy_failed',
    'twice',
    'repeat',
    'repeat_unnamed',
    *ENDLESS,
)


#: Faults that break a response off and write one from the start.
RESTARTS = frozenset(('restart', 'restart_failed'))
#: Faults that first send the start of the answer to the request before.
COPIES = frozenset(('copy', 'copy_failed'))
#: Those of responses that only the end of the connection ends.
UNFRAMED_FAULTS = frozenset(('unframed_empty', *ENDLESS))


def make_record(port: int, **changes: Any) -> bytes:
    """Return the record of an endpoint on a port for the platform's store."""
    record = {
        'service': 'desk',
        'address': f'127.0.0.1:{port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': 1,
    }
    return json.dumps({**record, **changes}).encode()


def make_signature(identifier: str, call: str) -> str:
    """Return the signature of an endpoint's answer to a request."""
    digest = hashlib.sha256(f'{identifier} {call}'.encode()).hexdigest()
    length = SIGNATURE_PART_DIGITS
    return '.'.join(
        digest[number * length : (number + 1) * length]
        for number in range(SIGNATURE_PARTS)
    )


def make_event(number: int, call: str = '') -> bytes:
    """Return an event of a stream, which may name its request."""
    suffix = f' of {call}' if call else ''
    return f'id: {number}\ndata: piece {number}{suffix}\n\n'.encode()


class _BrokenOffError(Exception):
    """The response was broken off and is to be written from its start."""


class _ResponseWriter(BytesIO):
    """Passes on a response, or its first bytes, and keeps its start."""

    def __init__(self, output: Any) -> None:
        """Write to a connection."""
        super().__init__()
        self.output = output
        #: Bytes to pass on before the response breaks off; None for all.
        self.left: int | None = None
        #: Raised once it is broken off.
        self.error: type[Exception] = ConnectionAbortedError

    def write(self, content: Any, /) -> int:
        """Pass bytes on; raises `error` once broken off."""
        if self.tell() < MAX_KEPT_BYTES:
            super().write(content)
        if self.left is None:
            self.output.write(content)
            return len(content)
        self.output.write(content[: self.left])
        self.output.flush()
        is_broken = len(content) > self.left
        self.left = max(0, self.left - len(content))
        if is_broken:
            raise self.error('broken off')
        return len(content)

    def flush(self) -> None:
        """Send what was written."""
        self.output.flush()


class Replica:
    """An endpoint that executes requests or fails as a test configures."""

    def __init__(self, identifier: str, service: str = 'desk') -> None:
        """Serve on a free port."""
        self.identifier = identifier
        self.service = service
        self.port = find_port()
        self.journal = Journal()
        #: Requests that arrived, also those that were rejected.
        self.arrivals = Journal()
        #: Fault of the next requests:
        #: '' - none,
        #: 'shed' - rejected as overloaded and not executed,
        #: 'error' - status 500,
        #: 'cut' - connection closed in the middle of the body,
        #: 'extra' - a second, unrequested response,
        #: 'garbage' - no HTTP,
        #: 'silent' - no response, connection closed after 1.5 s,
        #: 'text' - a plain text instead of a stream,
        #: 'not_found' - status 404,
        #: 'unframed_empty' - a stream that ends with its connection at once,
        #: 'unsigned' - response without the signature header,
        #: 'crossed' - response with the id of another attempt,
        #: 'close' - connection closed without a response,
        #: 'break_off' - connection closed after break_off_at bytes,
        #: 'restart' - broken off there, and written again from its start,
        #: 'restart_failed' - the same, but status 500 is written then,
        #: 'refuse_and_run' - a refusal that breaks off within its body, then
        #:     the request is executed and answered,
        #: 'copy' - that many bytes of the earlier response on a kept
        #:     connection, then the response,
        #: 'copy_failed' - the same, but the response has status 500,
        #: 'twice' - the response, and all of it once more,
        #: 'repeat' - an earlier refusal before the response,
        #: 'repeat_unnamed' - the same without the attempt's id,
        #: 'drip_head' - a header line that never ends, byte by byte,
        #: 'endless_head' - header lines without end,
        #: 'endless_body' - a body without length or end,
        #: 'drip_event' - a stream whose first event never ends, byte by byte,
        #: 'endless_event' - a stream whose first event never ends.
        self.fault = ''
        #: Number of requests that the fault still applies to; -1 for all.
        self.faults_left = -1
        #: Bytes of a response that leave the endpoint before it breaks off.
        self.break_off_at = 0
        #: Pause before a response is written again, or the response after a
        #: copy, in seconds.
        self.restart_seconds = 0.0
        #: True to close the connection after a response was written again.
        self.closes_restarted = False
        #: If set, each response breaks off after fewer bytes than this.
        self.break_off_within = 0
        #: Value of the routing confidence header; None for no header.
        self.confidence: int | None = None
        #: Confidence by model; takes precedence over `confidence`.
        self.model_confidence: dict[str, int] = {}
        #: Delay before the response of a model, in seconds.
        self.model_delays: dict[str, float] = {}
        #: Fault of each response of a model.
        self.model_faults: dict[str, str] = {}
        #: Rejections as overloaded so far.
        self.refusals = 0
        #: True to announce in all responses that it is leaving.
        self.is_leaving = False
        #: Retry-After of rejections in seconds, or ''.
        self.retry_after = ''
        #: True to name the request in signatures, bodies and events.
        self.names_calls = False
        #: Number of events in a stream.
        self.events = 4
        #: False to end streams with their connections, without chunks.
        self.is_framed = True
        #: Called when a stream is cut off.
        self.on_cut: Callable[[], object] = int
        #: Delay before each event, in seconds.
        self.event_delay = 0.005
        #: Number of the event before which it preempts a stream, or 0, and for
        #: how long, in seconds.
        self.preempt_at = 0
        self.preempt_seconds = 0.0
        #: Delay between an event and the end of its chunk, in seconds.
        self.chunk_end_delay = 0.0
        #: Part of a prompt on which the endpoint crashes as it begins to write
        #: a stream.
        self.crashing_part = ''
        #: What has left the endpoint before it crashes: 'nothing', 'head' or
        #: 'event'.
        self.crashes_after = 'head'
        #: How long nothing listens after a crash, in seconds; 0 to close only
        #: the connection of the request.
        self.down_seconds = 0.0
        #: Crashes so far.
        self.crashes = 0
        #: Number of the event in which a stream is cut off, or 0.
        self.cut_at = 0
        #: Delay before each response that is no stream, in seconds.
        self.work_seconds = 0.0
        #: Length of the body of these responses; 0 for a short one.
        self.body_bytes = 0
        #: Their body; None for one that names the endpoint.
        self.body: bytes | None = None
        #: Delay before a request's body is read, in seconds.
        self.body_delay = 0.0
        #: Released for each stream whose client disconnected.
        self.disconnects = threading.Semaphore(0)
        self._is_closed = False
        #: Free while it listens.
        self._listening = threading.Lock()
        self._server = serve(self.port, self._route, self._delay_body)

    def record(self, **changes: Any) -> bytes:
        """Return the endpoint's record for the platform's store."""
        return make_record(self.port, service=self.service, **changes)

    def runs(self) -> list[dict[str, Any]]:
        """Return the journal rows of the requests that began to execute."""
        return self.journal.rows()

    def close(self) -> None:
        """Stop serving."""
        self._is_closed = True
        self._server.shutdown()
        self._server.server_close()

    def _delay_body(self) -> None:
        time.sleep(self.body_delay)

    def _route(self, request: Request) -> None:
        headers = request.handler.headers
        if headers.get('X-Expected-Instance') not in {None, self.identifier}:
            self._refuse(request, 421)
            return
        self.arrivals.add(call=headers.get('X-Attempt-Id'))
        model = headers.get('X-Model', '')
        fault = self._next_fault() or self.model_faults.get(model, '')
        if fault == 'shed':
            self.refusals += 1
            self._refuse(request, 503)
            return
        earlier = getattr(request.handler, 'earlier', b'')
        if not earlier and (fault in COPIES or fault.startswith('repeat')):
            # Nothing was sent before on a new connection.
            fault = ''
        if fault == 'repeat':
            self._refuse(request, 503, 'earlier')
        elif fault == 'repeat_unnamed':
            self._refuse(request, 503, '')
        call = headers.get('X-Attempt-Id', '')
        self.journal.add(
            call=headers.get('X-Attempt-Id'),
            fault=fault,
            signature=self._sign(call),
            answer=self._make_body(call),
            method=request.method,
            path=request.handler.path,
            body=request.body,
            headers=dict(headers.items()),
        )
        if fault in ENDLESS:
            self._send_forever(request, *ENDLESS[fault])
            return
        if fault == 'refuse_and_run':
            self._break_off_refusal(request)
            fault = ''
        time.sleep(self.model_delays.get(model, 0))
        if fault in COPIES:
            request.handler.wfile.write(earlier[: self._draw_break()])
            request.handler.wfile.flush()
            time.sleep(self.restart_seconds)
            fault = 'error' if fault == 'copy_failed' else ''
        output = request.handler.wfile
        writer = _ResponseWriter(output)
        request.handler.wfile = writer
        try:
            self._answer_breaking(request, fault, writer)
        finally:
            request.handler.wfile = output
            request.handler.earlier = writer.getvalue()  # type: ignore[attr-defined]
        if fault == 'twice':
            output.flush()
            time.sleep(self.restart_seconds)
            output.write(writer.getvalue())

    def _answer_breaking(
        self, request: Request, fault: str, writer: _ResponseWriter
    ) -> None:
        """Answer a request; break off and start again if the fault says so."""
        if fault not in {'break_off', *RESTARTS}:
            self._answer(request, fault)
            return
        writer.left = self._draw_break()
        if fault in RESTARTS:
            writer.error = _BrokenOffError
        try:
            self._answer(request, fault)
        except _BrokenOffError:
            # Headers that were not sent would be sent with the next ones.
            request.handler._headers_buffer = []  # type: ignore[attr-defined]
            time.sleep(self.restart_seconds)
            writer.left = None
            self._answer(request, 'error' if fault == 'restart_failed' else '')
            if self.closes_restarted:
                request.drop()

    def _answer(self, request: Request, fault: str) -> None:
        headers = request.handler.headers
        if fault in {'silent', 'close'}:
            time.sleep(0 if fault == 'close' else 1.5)
            request.drop()
        elif headers.get('Accept') == 'text/event-stream':
            self._stream(request, fault)
        else:
            self._respond(request, fault)

    def _refuse(
        self, request: Request, status: int, identifier: str | None = None
    ) -> None:
        """Reject a request, or repeat the rejection of another attempt."""
        if identifier is None:
            identifier = request.handler.headers.get('X-Attempt-Id', '')
        headers = {'X-Not-Executed': '1'}
        if identifier:
            headers['X-Attempt-Id'] = identifier
        if self.retry_after:
            headers['Retry-After'] = self.retry_after
        self._send(request, status, headers, b'')

    def _break_off_refusal(self, request: Request) -> None:
        identifier = request.handler.headers.get('X-Attempt-Id', '')
        request.handler.wfile.write(
            b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Attempt-Id: '
            + identifier.encode()
            + b'\r\nContent-Length: 9\r\n\r\nbu'
        )
        request.handler.wfile.flush()
        time.sleep(self.restart_seconds)

    def _send_forever(
        self, request: Request, start: bytes, repeated: bytes, pause: float
    ) -> None:
        """Send bytes until the client closes the connection."""
        head = b'HTTP/1.1 200 OK\r\n'
        for name, text in self._make_headers(request, '').items():
            head += f'{name}: {text}\r\n'.encode()
        try:
            request.handler.wfile.write(head + start)
            while True:
                request.handler.wfile.write(repeated)
                request.handler.wfile.flush()
                time.sleep(pause)
        except OSError:
            self.disconnects.release()
            request.drop()

    def _draw_break(self) -> int:
        if self.break_off_within:
            return random.randrange(self.break_off_within)
        return self.break_off_at

    def _next_fault(self) -> str:
        if not self.fault or not self.faults_left:
            return ''
        self.faults_left -= 1
        return self.fault

    def _sign(self, call: str) -> str:
        if self.names_calls:
            return make_signature(self.identifier, call)
        return SIGNATURE

    def _make_body(self, call: str) -> bytes:
        body = self.body
        if body is None:
            suffix = f' to {call}' if self.names_calls else ''
            body = f'answer of {self.identifier}{suffix}'.encode()
        return body.ljust(self.body_bytes, b'.')

    def _respond(self, request: Request, fault: str) -> None:
        time.sleep(self.work_seconds)
        body = self._make_body(request.handler.headers.get('X-Attempt-Id', ''))
        if fault == 'error':
            self._send(
                request, 500, self._make_headers(request, fault), b'failed'
            )
            return
        if fault == 'garbage':
            request.handler.wfile.write(b'\x00\x01 no answer\r\n\r\n')
            request.drop()
            return
        if fault == 'cut':
            request.handler.send_response(200)
            for name, text in self._make_headers(request, fault).items():
                request.handler.send_header(name, text)
            request.handler.send_header('Content-Length', str(len(body) + 9))
            request.handler.end_headers()
            request.handler.wfile.write(body)
            request.drop()
            return
        self._send(request, 200, self._make_headers(request, fault), body)
        if fault == 'extra':
            request.handler.wfile.write(b'HTTP/1.1 200 OK\r\n\r\n')

    def _stream(self, request: Request, fault: str) -> None:
        handler = request.handler
        other_answers = {
            'error': (500, b'failed'),
            'not_found': (404, b'missing'),
            'text': (200, b'no stream'),
        }
        if fault in other_answers:
            status, body = other_answers[fault]
            self._send(
                request, status, self._make_headers(request, fault), body
            )
            return
        if fault == 'garbage':
            handler.wfile.write(b'\x00\x01 no answer\r\n\r\n')
            request.drop()
            return
        crashes = self._crashes_on(handler.headers.get('X-Prompt-Prefix', ''))
        if crashes and self.crashes_after == 'nothing':
            self._crash(request)
            return
        is_framed = self.is_framed and fault != 'unframed_empty'
        handler.send_response(200)
        for name, text in self._make_headers(request, fault).items():
            handler.send_header(name, text)
        handler.send_header('Content-Type', 'text/event-stream')
        if is_framed:
            handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        if fault == 'unframed_empty':
            request.drop()
            return
        if crashes and self.crashes_after == 'head':
            handler.wfile.flush()
            self._crash(request)
            return
        first = int(handler.headers.get('Last-Event-Id') or 0) + 1
        # A soak changes it while the stream is written.
        cut_at = self.cut_at
        call = handler.headers.get('X-Attempt-Id', '')
        try:
            for number in range(first, self.events + 1):
                time.sleep(self.event_delay)
                if number == self.preempt_at:
                    time.sleep(self.preempt_seconds)
                event = make_event(number, call if self.names_calls else '')
                if number == cut_at:
                    event = event[:8]
                if is_framed:
                    handler.wfile.write(b'%x\r\n' % len(event))
                    event += b'\r\n'
                if is_framed and self.chunk_end_delay:
                    handler.wfile.write(event[:-2])
                    handler.wfile.flush()
                    time.sleep(self.chunk_end_delay)
                    event = event[-2:]
                handler.wfile.write(event)
                handler.wfile.flush()
                if number == cut_at:
                    self.on_cut()
                    request.drop()
                    return
                if crashes:
                    self._crash(request)
                    return
            if is_framed:
                handler.wfile.write(b'0\r\n\r\n')
            else:
                request.drop()
        except OSError:
            self.disconnects.release()
            request.drop()

    def _crash(self, request: Request) -> None:
        request.drop()
        self.crash(self.down_seconds)

    def crash(self, seconds: float) -> None:
        """End like a killed process, and be back after some seconds.

        With 0 seconds, only the crash is counted.
        """
        self.crashes += 1
        if seconds and self._listening.acquire(blocking=False):
            self._server.crash()
            threading.Timer(seconds, self._restart).start()

    def _restart(self) -> None:
        if not self._is_closed:
            self._server = serve(self.port, self._route, self._delay_body)
            self._listening.release()

    def _crashes_on(self, prompt: str) -> bool:
        parts = [part.partition(':')[0] for part in prompt.split(',')]
        return bool(self.crashing_part) and self.crashing_part in parts[:-1]

    def _make_headers(self, request: Request, fault: str) -> dict[str, str]:
        request_headers = request.handler.headers
        identifier = request_headers.get('X-Attempt-Id', '')
        headers = {
            'X-Attempt-Id': 'another' if fault == 'crossed' else identifier,
            'X-Server-Signature': self._sign(identifier),
            'X-Server-Load': '1,0,8',
        }
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        if fault == 'unsigned':
            headers.pop('X-Server-Signature')
        confidence = self.model_confidence.get(
            request_headers.get('X-Model', ''), self.confidence or 0
        )
        if self.confidence is not None or self.model_confidence:
            headers['X-Routing-Confidence'] = str(confidence)
        return headers

    def _send(
        self,
        request: Request,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request.handler.send_response(status)
        for name, text in headers.items():
            request.handler.send_header(name, text)
        request.handler.send_header('Content-Length', str(len(body)))
        request.handler.end_headers()
        request.handler.wfile.write(body)
