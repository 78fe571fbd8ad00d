"""Stand-in for an endpoint of the users' platform."""

import json
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any

from .calls import find_port
from .serving import Call, Journal, serve

SIGNATURE = 'test-signature'


class Replica:
    """Answers requests, or fails in the way that a test sets."""

    def __init__(self, identifier: str, service: str = 'desk') -> None:
        """Serve on a free port."""
        self.identifier = identifier
        self.service = service
        self.port = find_port()
        self.journal = Journal()
        #: Fault of the next requests: '', 'shed', 'error', 'cut', 'extra',
        #: 'garbage', 'silent', 'unsigned', 'crossed' or 'close'.
        self.fault = ''
        #: Requests that the fault hits before it is over; -1 for all.
        self.faults_left = -1
        self.confidence: int | None = None
        #: Model -> confidence; goes before `confidence`.
        self.opinions: dict[str, int] = {}
        self.events = 4
        #: Pause before each event in seconds.
        self.pace = 0.005
        #: Event at which a stream is cut off, or 0.
        self.cut_at = 0
        #: Pause before a request's body is read, in seconds.
        self.read_pause = 0.0
        #: Requests that broke off because their caller left.
        self.left = threading.Semaphore(0)
        self._server: ThreadingHTTPServer = serve(
            self.port, self._route, self._await_body
        )

    def record(self, **changes: Any) -> bytes:
        """Return the replica's entry in the store."""
        row = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1,
        }
        return json.dumps({**row, **changes}).encode()

    def runs(self) -> list[dict[str, Any]]:
        """Return the requests that began to run."""
        return self.journal.rows()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _await_body(self) -> None:
        time.sleep(self.read_pause)

    def _route(self, call: Call) -> None:
        headers = call.handler.headers
        if headers.get('X-Expected-Instance') not in {None, self.identifier}:
            self._send(call, 421, {'X-Not-Executed': '1'}, b'')
            return
        fault = self._take_fault()
        if fault == 'shed':
            self._send(call, 503, {'X-Not-Executed': '1'}, b'')
            return
        self.journal.add(
            call=headers.get('X-Attempt-Id'),
            method=call.method,
            path=call.handler.path,
            body=call.raw,
            headers=dict(headers.items()),
        )
        if fault in {'silent', 'close'}:
            time.sleep(0 if fault == 'close' else 1.5)
            call.drop()
        elif headers.get('Accept') == 'text/event-stream':
            self._stream(call, fault)
        else:
            self._answer(call, fault)

    def _take_fault(self) -> str:
        if not self.fault or not self.faults_left:
            return ''
        self.faults_left -= 1
        return self.fault

    def _answer(self, call: Call, fault: str) -> None:
        body = f'answer of {self.identifier}'.encode()
        if fault == 'error':
            self._send(call, 500, self._make_headers(call, fault), b'failed')
            return
        if fault == 'garbage':
            call.handler.wfile.write(b'\x00\x01 no answer\r\n\r\n')
            call.drop()
            return
        if fault == 'cut':
            call.handler.send_response(200)
            for name, text in self._make_headers(call, fault).items():
                call.handler.send_header(name, text)
            call.handler.send_header('Content-Length', str(len(body) + 9))
            call.handler.end_headers()
            call.handler.wfile.write(body)
            call.drop()
            return
        self._send(call, 200, self._make_headers(call, fault), body)
        if fault == 'extra':
            call.handler.wfile.write(b'HTTP/1.1 200 OK\r\n\r\n')

    def _stream(self, call: Call, fault: str) -> None:
        handler = call.handler
        if fault == 'error':
            self._send(call, 500, self._make_headers(call, fault), b'failed')
            return
        handler.send_response(200)
        for name, text in self._make_headers(call, fault).items():
            handler.send_header(name, text)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        first = int(handler.headers.get('Last-Event-Id') or 0) + 1
        try:
            for number in range(first, self.events + 1):
                time.sleep(self.pace)
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                if number == self.cut_at:
                    event = event[:8]
                handler.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
                handler.wfile.flush()
                if number == self.cut_at:
                    call.drop()
                    return
            handler.wfile.write(b'0\r\n\r\n')
        except OSError:
            self.left.release()
            call.drop()

    def _make_headers(self, call: Call, fault: str) -> dict[str, str]:
        asked = call.handler.headers
        identifier = asked.get('X-Attempt-Id', '')
        headers = {
            'X-Attempt-Id': 'another' if fault == 'crossed' else identifier,
            'X-Server-Signature': SIGNATURE,
            'X-Server-Load': '1,0,8',
        }
        if fault == 'unsigned':
            headers.pop('X-Server-Signature')
        opinion = self.opinions.get(
            asked.get('X-Model', ''), self.confidence or 0
        )
        if self.confidence is not None or self.opinions:
            headers['X-Routing-Confidence'] = str(opinion)
        return headers

    def _send(
        self,
        call: Call,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        call.handler.send_response(status)
        for name, text in headers.items():
            call.handler.send_header(name, text)
        call.handler.send_header('Content-Length', str(len(body)))
        call.handler.end_headers()
        call.handler.wfile.write(body)
