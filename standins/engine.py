"""Emulates a model server with continuous batching and a prefix cache."""

import itertools
import json
import socket
import threading
import time
from collections import OrderedDict, deque
from typing import Any

from .completions import CHARS_PER_TOKEN, Completion
from .serving import Journal, Request, parse_port, serve

#: Time for which a completion whose client disconnected can be resumed.
RESUME_SECONDS = 2.0
#: Capacity of the prefix cache, in prompts.
CACHE_ENTRIES = 64
#: Length of the start of a prompt that is cached, in characters.
PREFIX_CHARS = 2000


class Engine:
    """Generates one token of each running completion per step."""

    def __init__(self, options: Any) -> None:
        """Create an engine; it is cold for the first `cold_seconds`."""
        self.options = options
        self._lock = threading.RLock()
        self._journal = Journal()
        self._numbers = itertools.count(1)
        self._running: list[Completion] = []
        self._waiting: list[Completion] = []
        self._by_id: OrderedDict[str, Completion] = OrderedDict()
        self._cache: OrderedDict[str, bool] = OrderedDict()
        self._versions = [name for name in options.versions.split(',') if name]
        self._quality = json.loads(options.quality)
        self._fence = 0
        self._cold_until = time.monotonic() + options.cold_seconds
        self._down_until = 0.0
        self._reports: deque[tuple[float, dict]] = deque(maxlen=500)
        self._break_after = 0
        self._token_delay = 0.0
        self._error_status = 0
        #: Requests answered with the status of a fault.
        self.refused = 0
        #: Largest number of concurrent requests, also while cold.
        self.max_running = 0
        self.max_cold = 0

    def run(self) -> None:
        """Run steps until the process ends."""
        step = self.options.step_ms / 1000
        due = time.monotonic()
        while True:
            due += step + self._token_delay
            self._step()
            pause = due - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            else:
                due = time.monotonic()

    def route(self, request: Request) -> None:
        """Handle an API request or a control request of a test."""
        if request.path == '/journal':
            request.reply(self._describe_journal())
        elif request.path == '/fault':
            self._set_fault(request)
        elif request.path == '/load':
            request.reply(self._get_delayed_load())
        elif request.path == '/orders':
            self._apply_order(request)
        elif time.monotonic() < self._down_until:
            request.drop()
        elif request.path == '/v1/chat/completions':
            self._complete(request)
        elif request.path.startswith('/v1/streams/'):
            self._resume_stream(request)
        else:
            request.reply({'error': 'not found'}, 404)

    def is_cold(self) -> bool:
        """Return True while the engine crashes above `cold_limit` requests."""
        return time.monotonic() < self._cold_until

    def _complete(self, request: Request) -> None:
        body = request.json()
        version = body.get('model')
        if self._error_status:
            self.refused += 1
            request.reply({'error': {'message': 'fault'}}, self._error_status)
            return
        if version not in self._versions:
            request.reply({'error': {'message': f'no version {version}'}}, 404)
            return
        metadata = body.get('metadata') or {}
        kind = str(metadata.get('kind', ''))
        journal_row = self._journal.add(
            version=version,
            kind=kind,
            mark=str(metadata.get('mark', '')),
            quality=self._find_quality(version, kind),
            request=request.handler.headers.get('X-Request-Id', ''),
            state='running',
            cold=self.is_cold(),
        )
        completion = Completion(next(self._numbers), body, journal_row)
        completion.priority = int(
            request.handler.headers.get('X-Priority') or 0
        )
        if not self._admit(completion):
            request.drop()
            return
        if completion.is_streamed:
            self._send_stream(request, completion, 0)
        else:
            self._send_whole(request, completion)

    def _admit(self, completion: Completion) -> bool:
        """Queue a completion; return False if a cold engine crashed instead."""
        with self._lock:
            concurrency = len(self._running) + len(self._waiting) + 1
            self.max_running = max(self.max_running, concurrency)
            if self.is_cold():
                self.max_cold = max(self.max_cold, concurrency)
                if concurrency > self.options.cold_limit:
                    self._crash(completion)
                    return False
            self._by_id[completion.identifier] = completion
            while len(self._by_id) > 5000:
                self._by_id.popitem(last=False)
            completion.prefill_end = time.monotonic() + self._prefill(
                completion
            )
            self._waiting.append(completion)
            self._waiting.sort(key=lambda waiting: -waiting.priority)
        return True

    def _prefill(self, completion: Completion) -> float:
        """Return the prefill time in seconds and update the prefix cache.

        A cold engine needs ten times as long.
        """
        text = json.dumps(completion.body.get('messages', ''))[:PREFIX_CHARS]
        if text in self._cache:
            self._cache.move_to_end(text)
            completion.cached_tokens = min(
                completion.prompt_tokens, PREFIX_CHARS // CHARS_PER_TOKEN
            )
        self._cache[text] = True
        if len(self._cache) > CACHE_ENTRIES:
            self._cache.popitem(last=False)
        uncached_tokens = completion.prompt_tokens - completion.cached_tokens
        seconds = uncached_tokens / self.options.prefill_rate
        return seconds * (10 if self.is_cold() else 1)

    def _crash(self, completion: Completion) -> None:
        """Drop all completions, be unreachable for a while and restart cold."""
        self._journal.add(state='fell', version=completion.body.get('model'))
        completion.journal_row['state'] = 'dropped'
        self._down_until = time.monotonic() + self.options.fall_seconds
        self._cold_until = self._down_until + self.options.cold_seconds
        for dropped in self._running + self._waiting:
            dropped.journal_row['state'] = 'dropped'
            self._close_connection(dropped)
            dropped.finished.set()
        self._running = []
        self._waiting = []
        self._by_id.clear()

    def _step(self) -> None:
        now = time.monotonic()
        with self._lock:
            self._start_waiting(now)
            batch = list(self._running)
            if self.is_cold():
                batch = batch[: self.options.cold_limit]
            for completion in batch:
                self._advance(completion, now)
            self._reports.append((now, self._measure_load()))

    def _start_waiting(self, now: float) -> None:
        for completion in list(self._waiting):
            if len(self._running) >= self.options.slots:
                return
            if completion.prefill_end <= now:
                self._waiting.remove(completion)
                self._running.append(completion)

    def _advance(self, completion: Completion, now: float) -> None:
        if (
            completion.disconnected_at
            and now - completion.disconnected_at > RESUME_SECONDS
        ):
            self._finish(completion, 'cancelled')
            return
        completion.tokens += 1
        completion.events.append(completion.make_event())
        if completion.tokens >= completion.target_tokens:
            completion.events.extend(completion.make_final_events())
            self._flush(completion)
            self._finish(completion, 'done')
            return
        self._flush(completion)
        if self._break_after and completion.tokens == self._break_after:
            self._break_after = 0
            self._close_connection(completion)

    def _finish(self, completion: Completion, state: str) -> None:
        completion.journal_row['state'] = state
        completion.journal_row['tokens'] = completion.tokens
        completion.journal_row['prompt_tokens'] = completion.prompt_tokens
        if completion in self._running:
            self._running.remove(completion)
        if completion in self._waiting:
            self._waiting.remove(completion)
        completion.finished.set()

    def _flush(self, completion: Completion) -> None:
        client_socket = completion.client_socket
        if client_socket is None:
            return
        data = b''.join(completion.events[completion.sent_events :])
        completion.sent_events = len(completion.events)
        if not data:
            return
        try:
            client_socket.sendall(b'%x\r\n%b\r\n' % (len(data), data))
        except OSError:
            completion.client_socket = None
            completion.disconnected_at = time.monotonic()

    def _close_connection(self, completion: Completion) -> None:
        client_socket = completion.client_socket
        completion.client_socket = None
        completion.disconnected_at = time.monotonic()
        if client_socket is None:
            return
        try:
            client_socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _send_stream(
        self, request: Request, completion: Completion, start: int
    ) -> None:
        handler = request.handler
        handler.send_response(200)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.send_header('X-Stream-Id', completion.identifier)
        handler.end_headers()
        handler.wfile.flush()
        with self._lock:
            completion.sent_events = start
            completion.disconnected_at = None
            completion.client_socket = handler.connection
            self._flush(completion)
        while not completion.finished.wait(0.2):
            if completion.client_socket is not handler.connection:
                break
            if _is_closed(handler.connection):
                with self._lock:
                    if completion.client_socket is handler.connection:
                        completion.client_socket = None
                        completion.disconnected_at = time.monotonic()
                break
        with self._lock:
            is_connected = completion.client_socket is handler.connection
            if is_connected:
                self._flush(completion)
        if is_connected and completion.journal_row['state'] == 'done':
            handler.wfile.write(b'0\r\n\r\n')
        else:
            request.drop()

    def _send_whole(self, request: Request, completion: Completion) -> None:
        while not completion.finished.wait(0.2):
            if _is_closed(request.handler.connection):
                with self._lock:
                    if not completion.finished.is_set():
                        self._finish(completion, 'cancelled')
        if completion.journal_row['state'] != 'done':
            request.drop()
            return
        request.reply(
            {
                'id': completion.identifier,
                'object': 'chat.completion',
                'created': 0,
                'model': completion.body['model'],
                'choices': [completion.make_choice(completion.text())],
                'usage': completion.make_usage(),
            }
        )

    def _resume_stream(self, request: Request) -> None:
        identifier = request.path.rsplit('/', 1)[1]
        completion = self._by_id.get(identifier)
        if completion is None or completion.journal_row['state'] in {
            'cancelled',
            'dropped',
        }:
            request.reply({'error': 'gone'}, 410)
        elif request.method == 'DELETE':
            with self._lock:
                if not completion.finished.is_set():
                    self._finish(completion, 'cancelled')
            request.reply({})
        else:
            self._send_stream(
                request, completion, int(request.query.get('from', 0))
            )

    def _find_quality(self, version: str, kind: str) -> float:
        """Return the quality configured for "version/kind" or the version."""
        quality = self._quality.get(
            f'{version}/{kind}', self._quality.get(version, 0.8)
        )
        return float(quality)

    def _measure_load(self) -> dict[str, Any]:
        return {
            'versions': list(self._versions),
            'cold': self.is_cold(),
            'running': len(self._running),
            'waiting': len(self._waiting),
        }

    def _get_delayed_load(self) -> dict[str, Any]:
        limit = time.monotonic() - self.options.load_lag
        with self._lock:
            visible = [report for at, report in self._reports if at <= limit]
            return visible[-1] if visible else self._measure_load()

    def _describe_journal(self) -> dict[str, Any]:
        return {
            'rows': self._journal.rows(),
            'max_running': self.max_running,
            'max_cold': self.max_cold,
            'refused': self.refused,
        }

    def _apply_order(self, request: Request) -> None:
        order = request.json()
        with self._lock:
            is_stale = order['fence'] < self._fence
            if is_stale and self.options.checks_fence:
                request.reply({'error': 'old fence', 'fence': self._fence}, 409)
                return
            self._fence = max(self._fence, order['fence'])
            version = order['version']
            if order['action'] == 'load' and version not in self._versions:
                self._versions.append(version)
            elif order['action'] == 'unload' and version in self._versions:
                self._versions.remove(version)
            self._journal.add(state='order', **order)
        request.reply({'fence': self._fence})

    def _set_fault(self, request: Request) -> None:
        fault = request.json()
        with self._lock:
            now = time.monotonic()
            if 'cold_seconds' in fault:
                self._cold_until = now + fault['cold_seconds']
            if 'down_seconds' in fault:
                self._down_until = now + fault['down_seconds']
            self._break_after = fault.get('break_after', self._break_after)
            self._token_delay = fault.get('token_delay', self._token_delay)
            self._error_status = fault.get('status', self._error_status)
            self._quality.update(fault.get('quality', {}))
        request.reply({})


def _is_closed(connection: socket.socket) -> bool:
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return connection.recv(1, flags) == b''
    except BlockingIOError:
        return False
    except OSError:
        return True


def main() -> None:
    """Run the engine."""
    options = parse_port(
        'A model engine.',
        versions='',
        quality='{}',
        slots=16,
        step_ms=10.0,
        prefill_rate=20000.0,
        cold_seconds=0.0,
        cold_limit=1,
        fall_seconds=1.0,
        load_lag=0.5,
        checks_fence=1,
    )
    engine = Engine(options)
    serve(options.port, engine.route)
    engine.run()


if __name__ == '__main__':
    main()
