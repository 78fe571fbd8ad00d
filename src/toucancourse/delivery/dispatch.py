"""Forwards requests to the endpoint beside this sidecar."""

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
from ..web.messages import encode_json
from .endpoint import EndpointCall, EventStreamParser, ResponseHead, read_usage
from .executions import Execution

#: Longest wait for a free slot at the endpoint.
MAX_QUEUE_SECONDS: Final = 2.0
HTTP_OVERLOADED: Final = 503
HTTP_TOO_MANY: Final = 429
EVENT_STREAM: Final = 'text/event-stream'
#: How often a broken stream is resumed before the request fails.
MAX_STREAM_RESUMES: Final = 3
#: Longest time from the last check to the last byte of an idempotent request.
MAX_PAUSE_SECONDS: Final = 1.0


class EndpointSettings(NamedTuple):
    """URL, service name and timeout in seconds of the endpoint."""

    url: str
    service: str
    endpoint_seconds: float


class Dispatcher:
    """Runs accepted attempts: admission check, slot, endpoint call."""

    def __init__(
        self,
        settings: EndpointSettings,
        gate: Gate,
        window: Window,
        offers: Callable[[], tuple[str, ...]],
    ) -> None:
        """Create a dispatcher.

        offers() returns the versions or services that the endpoint serves.
        """
        self._settings = settings
        self._gate = gate
        self._window = window
        self._offers = offers
        self._active_lock = threading.Lock()
        self._active = 0

    @property
    def active(self) -> int:
        """Return the number of attempts that are running or queued."""
        return self._active

    def run(self, execution: Execution) -> None:
        """Run one attempt until its last frame is sent; never raises."""
        with self._active_lock:
            self._active += 1
        try:
            self._run(execution)
        except CourseError as error:
            self._log_failure(execution, error)
            execution.send_end(error)
        except Exception as error:  # noqa: BLE001 - the caller must get an answer
            logger.exception('attempt failed')
            error_class = (
                UnknownOutcomeError if execution.dispatched else CourseError
            )
            execution.send_end(error_class(f'internal error: {error!r}'))
        finally:
            with self._active_lock:
                self._active -= 1

    def _run(self, execution: Execution) -> None:
        request = execution.request
        self._gate.check(request)
        self._check_offer(request)
        remaining = execution.deadline - time.monotonic()
        self._window.acquire(
            min(MAX_QUEUE_SECONDS, max(0, remaining)), request.priority
        )
        try:
            self._call_endpoint(execution)
        finally:
            self._window.release(id(execution))

    def _check_offer(self, request: peer_pb2.Open) -> None:
        offer = request.version or self._settings.service
        if offer not in self._offers():
            raise ForbiddenError(f'the endpoint does not serve "{offer}"')

    def _call_endpoint(self, execution: Execution) -> None:
        request = execution.request
        remaining = execution.deadline - time.monotonic()
        if remaining <= 0 or execution.cancelled:
            raise DeadlineError(
                'the deadline passed while the request was queued'
            )
        timeout = min(remaining, self._settings.endpoint_seconds)
        call = EndpointCall(self._settings.url, timeout)
        execution.call = call
        try:
            if request.version:
                self._relay_model(execution, call)
            else:
                self._relay_service(execution, call)
        except (UnknownOutcomeError, EndpointError):
            # Cancelling breaks the connection; this is no endpoint failure.
            if not execution.cancelled:
                self._window.record_failure()
            raise
        finally:
            call.close()

    def _send_request(
        self,
        execution: Execution,
        call: EndpointCall,
        body: bytes,
        headers: dict[str, str],
    ) -> ResponseHead:
        """Send a request and return the response head.

        The admission check is repeated just before the last byte: the wait
        for a slot or for the connection may have been long, and the process
        may be paused at any line.
        """
        request = execution.request
        try:
            call.connect()
            call.start_request(request.method, request.path, body, headers)
        except UnavailableError:
            self._window.record_failure()
            raise
        checked = self._recheck(request)
        if execution.cancelled:
            raise DeadlineError('the request was cancelled before it was sent')
        execution.dispatched = True
        call.finish_request()
        paused = time.monotonic() - checked
        if request.idempotent and paused > MAX_PAUSE_SECONDS:
            raise UnknownOutcomeError(
                f'the process was paused for {paused:.1f} s while sending'
            )
        return call.receive_head()

    def _recheck(self, request: peer_pb2.Open) -> float:
        """Repeat the check until it passes quickly; return its start time."""
        while True:
            started = time.monotonic()
            self._gate.check(request)
            if time.monotonic() - started < MAX_PAUSE_SECONDS:
                return started

    def _relay_service(self, execution: Execution, call: EndpointCall) -> None:
        request = execution.request
        started = time.monotonic()
        headers = {'Content-Type': request.content_type}
        response = self._send_request(execution, call, request.body, headers)
        body = call.read_body()
        self._window.record_first_token(time.monotonic() - started)
        execution.send_head(response)
        execution.send_data(body)
        execution.send_end()

    def _relay_model(self, execution: Execution, call: EndpointCall) -> None:
        request = execution.request
        body, keep_usage = _prepare_body(request)
        headers = {
            'Content-Type': 'application/json',
            'X-Priority': str(request.priority),
            'X-Request-Id': request.request,
        }
        started = time.monotonic()
        response = self._send_request(execution, call, body, headers)
        if response.status in {HTTP_OVERLOADED, HTTP_TOO_MANY}:
            self._window.record_failure()
        if request.stream and response.content_type.startswith(EVENT_STREAM):
            self._relay_events(execution, call, response, keep_usage, started)
            return
        whole_body = call.read_body()
        execution.usage = read_usage(whole_body)
        execution.send_head(response)
        execution.send_data(whole_body)
        execution.send_end()

    def _relay_events(
        self,
        execution: Execution,
        call: EndpointCall,
        response: ResponseHead,
        keep_usage: bool,
        started: float,
    ) -> None:
        parser = EventStreamParser(keep_usage=keep_usage)
        source = call
        for attempt in range(MAX_STREAM_RESUMES + 1):
            try:
                self._forward_events(
                    execution, source, response, parser, started
                )
            except EndpointError:
                if execution.cancelled or not response.stream_id:
                    raise
            if parser.done:
                break
            if attempt == MAX_STREAM_RESUMES or not response.stream_id:
                raise EndpointError('the stream ended without its last event')
            parser.drop_incomplete()
            source = self._resume_stream(
                execution, response, parser.event_count
            )
        execution.usage = parser.usage
        execution.send_end()

    def _forward_events(
        self,
        execution: Execution,
        call: EndpointCall,
        response: ResponseHead,
        parser: EventStreamParser,
        started: float,
    ) -> None:
        for data in call.read_chunks():
            complete = parser.feed(data)
            if execution.head is None:
                self._window.record_first_token(time.monotonic() - started)
                execution.send_head(response)
            if complete:
                self._window.record_token(id(execution))
                execution.send_data(complete)

    def _resume_stream(
        self,
        execution: Execution,
        response: ResponseHead,
        event_count: int,
    ) -> EndpointCall:
        """Return a call that continues the stream after the received events."""
        path = f'/v1/streams/{response.stream_id}?from={event_count}'
        call = EndpointCall(self._settings.url, self._settings.endpoint_seconds)
        execution.call = call
        try:
            call.connect()
            call.start_request('GET', path, b'', {})
        except CourseError as error:
            raise EndpointError(f'stream not resumed: {error.text}') from error
        call.finish_request()
        resumed = call.receive_head()
        if resumed.status // 100 != 2:
            raise EndpointError(f'stream not resumed: {resumed.status}')
        return call

    def _log_failure(self, execution: Execution, error: CourseError) -> None:
        logger.bind(
            request=execution.request.request,
            customer=execution.request.customer,
            attempt=execution.request.attempt,
        ).info('attempt ended: {} {}', error.code, error.text)


def _prepare_body(request: peer_pb2.Open) -> tuple[bytes, bool]:
    """Return the body for the engine and whether to forward its usage event.

    Streams always ask the engine for usage, since it is billed.
    """
    body: dict[str, Any] = json.loads(request.body)
    body['model'] = request.version
    if not request.stream:
        return encode_json(body), True
    options = dict(body.get('stream_options') or {})
    keep_usage = bool(options.get('include_usage'))
    options['include_usage'] = True
    body['stream_options'] = options
    return encode_json(body), keep_usage
