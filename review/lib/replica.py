"""A replica: a threaded HTTP server in a process of its own.

    python3 -m review.lib.replica '{"identifier": ..., "port": ..., ...}'

Writes one JSON line for each request that arrives, begins to run and ends.
"""

import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

OPTIONS: dict[str, Any] = {}
JOURNAL = -1
#: Set by SIGUSR1: the replica is leaving and says so in all its answers.
LEAVING = threading.Event()
#: Streams in memory; one may be preempted.
LOCK = threading.Lock()
RUNNING: list[str] = []
PREEMPTED = threading.Lock()


def write_row(**row: Any) -> None:
    """Append a line to the journal that all replicas share."""
    line = json.dumps({'at': time.time(), 'replica': OPTIONS['identifier'], **row})
    os.write(JOURNAL, (line + '\n').encode())


class Handler(BaseHTTPRequestHandler):
    """Answers one connection's requests, one after another."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_any(self) -> None:
        """Answer a request."""
        try:
            self._answer()
            self.wfile.flush()
        except (ConnectionError, ValueError):
            self.close_connection = True

    do_GET = do_POST = do_DELETE = do_any  # noqa: N815

    def log_message(self, *arguments: object) -> None:
        """Write no access log."""

    def _answer(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        self.rfile.read(length)
        if self.path == '/health':
            self._send(200, {'X-Instance-Id': OPTIONS['identifier']}, b'')
            return
        call = self.headers.get('X-Attempt-Id', '')
        own = {'X-Attempt-Id': call}
        if self.headers.get('X-Expected-Instance') not in {None, OPTIONS['identifier']}:
            self._send(421, {**own, 'X-Not-Executed': '1'}, b'')
            return
        write_row(event='arrives', call=call)
        own['X-Server-Signature'] = f'signature-{call}'
        parts = [part.partition(':')[0] for part in self.headers.get('X-Prompt-Prefix', '').split(',')]
        is_plain = self.headers.get('X-Prompt-Prefix') is None
        write_row(event='runs', call=call)
        time.sleep(OPTIONS.get('work_s' if is_plain else 'prefill_s', 0.05))
        if is_plain:
            body = b'answer ' + call.encode()
            self._send(200, own, body.ljust(OPTIONS.get('body_bytes', 0), b'.'))
            write_row(event='ends', call=call)
            return
        crashes = OPTIONS.get('crashing_part') in parts[:-1]
        if time.time() >= OPTIONS.get('endless_from', float('inf')):
            self._send_forever(own)
            return
        # The head is buffered until the first event, as by most frameworks.
        self.send_response(200)
        for name, text in own.items():
            self.send_header(name, text)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        first = int(self.headers.get('Last-Event-Id') or 0) + 1
        with LOCK:
            RUNNING.append(call)
        try:
            self._stream(call, first, crashes)
        finally:
            with LOCK:
                RUNNING.remove(call)

    def _is_newest_without_room(self) -> bool:
        """Return True if memory has run out; preempts one at a time."""
        with LOCK:
            is_full = len(RUNNING) > OPTIONS.get('room', 10_000)
        return is_full and PREEMPTED.acquire(blocking=False)

    def _stream(self, call: str, first: int, crashes: bool) -> None:
        for number in range(first, OPTIONS.get('events', 6) + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            self.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
            if crashes and number > OPTIONS.get('crash_after', 0):
                write_row(event='crashes', call=call)
                os.kill(os.getpid(), signal.SIGKILL)
            self.wfile.flush()
            pause = 0
            if number == first and self._is_newest_without_room():
                pause = OPTIONS['preempted_s']
                write_row(event='is preempted', call=call)
            time.sleep(pause or OPTIONS.get('event_s', 0.05))
            if pause:
                PREEMPTED.release()
        self.wfile.write(b'0\r\n\r\n')
        write_row(event='ends', call=call)

    def end_headers(self) -> None:
        """Add the header of a leaving replica."""
        if LEAVING.is_set():
            self.send_header('Server-Leaving', '1')
        super().end_headers()

    def _send(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, text in headers.items():
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _send_forever(self, headers: dict[str, str]) -> None:
        """Send a head or a body without end until the caller closes."""
        if OPTIONS.get('endless_head'):
            self._repeat(b'HTTP/1.1 100 Continue\r\n\r\n' * 1000)
            return
        self.send_response(200)
        for name, text in headers.items():
            self.send_header(name, text)
        self.send_header('Content-Type', OPTIONS.get('endless_type', 'text/plain'))
        self.send_header('Connection', 'close')
        self.end_headers()
        self.wfile.flush()
        self._repeat(b'x' * OPTIONS.get('endless_bytes', 65536))

    def _repeat(self, block: bytes) -> None:
        try:
            while True:
                self.wfile.write(block)
                self.wfile.flush()
                time.sleep(OPTIONS.get('endless_pause_s', 0.05))
        finally:
            write_row(event='cut', call=self.headers.get('X-Attempt-Id', ''))


class Server(ThreadingHTTPServer):
    """One thread for each connection."""

    request_queue_size = 1024
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, *arguments: object) -> None:
        """Ignore errors of connections that callers close."""


def main() -> None:
    """Serve until killed, or until the script that started this ends."""
    global JOURNAL
    OPTIONS.update(json.loads(sys.argv[1]))
    JOURNAL = os.open(OPTIONS['journal'], os.O_WRONLY | os.O_APPEND)
    signal.signal(signal.SIGUSR1, lambda *_: LEAVING.set())
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(0.5)
        os._exit(0)

    threading.Thread(target=watch, daemon=True).start()
    Server(('127.0.0.1', OPTIONS['port']), Handler).serve_forever(0.05)


if __name__ == '__main__':
    main()
