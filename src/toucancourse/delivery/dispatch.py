"""Runs requests on the endpoint beside this sidecar."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from loguru import logger

from ..admission.gate import Gate
from ..admission.window import Window
from ..errors import (
    CourseError,
    DeadlineError,
    EndpointError,
    ForbiddenError,
    UnavailableError,
    UnknownOutcomeError,
)
from ..protocol import peer_pb2
from .endpoint import EndpointCall, EventStream, Reply, read_usage
from .running import Running

#: Longest wait for a place at the endpoint.
QUEUE_SECONDS: Final = 2.0
HTTP_OVERLOADED: Final = 503
HTTP_TOO_MANY: Final = 429
EVENT_STREAM: Final = 'text/event-stream'
#: Times a broken stream is resumed.
MAX_RESUMES: Final = 3
#: Longest time from the last check to the last byte of a model's request.
MAX_PAUSE_SECONDS: Final = 1.0


class Limits(NamedTuple):
    """Times and place of the endpoint."""

    url: str
    service: str
    endpoint_seconds: float


class Dispatcher:
    """Takes accepted attempts through gate, window and endpoint."""

    def __init__(
        self,
        limits: Limits,
        gate: Gate,
        window: Window,
        offers: Callable[[], tuple[str, ...]],
    ) -> None:
        """Keep the parts; offers returns what the endpoint can serve."""
        self._limits = limits
        self._gate = gate
        self._window = window
        self._offers = offers
        self._count = threading.Lock()
        self._active = 0

    @property
    def active(self) -> int:
        """Return the attempts now in hand."""
        return self._active

    def run(self, running: Running) -> None:
        """Carry one attempt to its last frame; never raises."""
        with self._count:
            self._active += 1
        try:
            self._run(running)
        except CourseError as error:
            self._log_refusal(running, error)
            running.send_end(error)
        except Exception as error:  # noqa: BLE001 - the caller must hear of it
            logger.exception('attempt failed')
            kind = UnknownOutcomeError if running.dispatched else CourseError
            running.send_end(kind(f'internal error: {error!r}'))
        finally:
            with self._count:
                self._active -= 1

    def _run(self, running: Running) -> None:
        request = running.request
        self._gate.check(request)
        self._check_offer(request)
        remaining = running.deadline - time.monotonic()
        self._window.acquire(
            min(QUEUE_SECONDS, max(0, remaining)), request.priority
        )
        try:
            self._exchange(running)
        finally:
            self._window.release(id(running))

    def _check_offer(self, request: peer_pb2.Open) -> None:
        wanted = request.version or self._limits.service
        if wanted not in self._offers():
            raise ForbiddenError(f'the endpoint does not serve "{wanted}"')

    def _exchange(self, running: Running) -> None:
        request = running.request
        remaining = running.deadline - time.monotonic()
        if remaining <= 0 or running.cancelled:
            raise DeadlineError('the deadline passed in the queue')
        timeout = min(remaining, self._limits.endpoint_seconds)
        call = EndpointCall(self._limits.url, timeout)
        running.call = call
        try:
            if request.version:
                self._relay_model(running, call)
            else:
                self._relay_service(running, call)
        except (UnknownOutcomeError, EndpointError):
            # A cancelled call breaks by our own doing.
            if not running.cancelled:
                self._window.record_failure()
            raise
        finally:
            call.close()

    def _send(
        self,
        running: Running,
        call: EndpointCall,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        """Return the head of the answer; check just before the last byte.

        The wait for a place or for the connection may have been long, and a
        process may be paused at any line.
        """
        request = running.request
        try:
            call.connect()
            call.begin(request.method, request.path, body, headers)
        except UnavailableError:
            self._window.record_failure()
            raise
        checked = self._check_again(request)
        if running.cancelled:
            raise DeadlineError('cancelled before dispatch')
        running.dispatched = True
        call.finish()
        paused = time.monotonic() - checked
        if request.idempotent and paused > MAX_PAUSE_SECONDS:
            raise UnknownOutcomeError(
                f'the process was paused for {paused:.1f} s while sending'
            )
        return call.receive()

    def _check_again(self, request: peer_pb2.Open) -> float:
        """Return the start of a check that passed, and passed quickly."""
        while True:
            began = time.monotonic()
            self._gate.check(request)
            if time.monotonic() - began < MAX_PAUSE_SECONDS:
                return began

    def _relay_service(self, running: Running, call: EndpointCall) -> None:
        request = running.request
        began = time.monotonic()
        headers = {'Content-Type': request.content_type}
        reply = self._send(running, call, request.body, headers)
        body = b''.join(call.chunks())
        self._window.record_first_token(time.monotonic() - began)
        running.send_head(reply)
        running.send_data(body)
        running.send_end()

    def _relay_model(self, running: Running, call: EndpointCall) -> None:
        request = running.request
        body, keep_usage = _prepare_body(request)
        headers = {
            'Content-Type': 'application/json',
            'X-Priority': str(request.priority),
            'X-Request-Id': request.request,
        }
        began = time.monotonic()
        reply = self._send(running, call, body, headers)
        if reply.status in {HTTP_OVERLOADED, HTTP_TOO_MANY}:
            self._window.record_failure()
        if request.stream and reply.content_type.startswith(EVENT_STREAM):
            self._relay_events(running, call, reply, keep_usage, began)
            return
        whole = b''.join(call.chunks())
        running.usage = read_usage(whole)
        running.send_head(reply)
        running.send_data(whole)
        running.send_end()

    def _relay_events(
        self,
        running: Running,
        call: EndpointCall,
        reply: Reply,
        keep_usage: bool,
        began: float,
    ) -> None:
        events = EventStream(keep_usage=keep_usage)
        source = call
        for attempt in range(MAX_RESUMES + 1):
            try:
                self._pump(running, source, reply, events, began)
            except EndpointError:
                if running.cancelled or not reply.stream_id:
                    raise
            if events.done:
                break
            if attempt == MAX_RESUMES or not reply.stream_id:
                raise EndpointError('the stream ended without its last event')
            source = self._resume(running, reply, events.events)
        running.usage = events.usage
        running.send_end()

    def _pump(
        self,
        running: Running,
        call: EndpointCall,
        reply: Reply,
        events: EventStream,
        began: float,
    ) -> None:
        for data in call.chunks():
            whole = events.feed(data)
            if running.head is None:
                self._window.record_first_token(time.monotonic() - began)
                running.send_head(reply)
            if whole:
                self._window.record_token(id(running))
                running.send_data(whole)

    def _resume(
        self,
        running: Running,
        reply: Reply,
        events: int,
    ) -> EndpointCall:
        """Return a new call that goes on after the events received."""
        path = f'/v1/streams/{reply.stream_id}?from={events}'
        call = EndpointCall(self._limits.url, self._limits.endpoint_seconds)
        running.call = call
        try:
            call.connect()
            call.begin('GET', path, b'', {})
        except CourseError as error:
            raise EndpointError(f'stream not resumed: {error.text}') from error
        call.finish()
        resumed = call.receive()
        if resumed.status // 100 != 2:
            raise EndpointError(f'stream not resumed: {resumed.status}')
        return call

    def _log_refusal(self, running: Running, error: CourseError) -> None:
        logger.bind(
            request=running.request.request,
            customer=running.request.customer,
            attempt=running.request.attempt,
        ).info('attempt ended: {} {}', error.code, error.text)


def _prepare_body(request: peer_pb2.Open) -> tuple[bytes, bool]:
    """Return the body for the engine and whether to keep its usage event."""
    body: dict[str, Any] = json.loads(request.body)
    body['model'] = request.version
    if not request.stream:
        return json.dumps(body).encode(), True
    options = dict(body.get('stream_options') or {})
    keep_usage = bool(options.get('include_usage'))
    options['include_usage'] = True
    body['stream_options'] = options
    return json.dumps(body).encode(), keep_usage
