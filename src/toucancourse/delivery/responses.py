"""Relays a response that has started to its caller."""

import json
from collections.abc import Callable, Iterator
from typing import Final

from loguru import logger

from ..billing.ledger import SpendHold
from ..errors import CourseError, EndpointError
from ..web.messages import (
    Response,
    make_error_body,
    make_status_line,
    send,
)
from ..web.server import is_disconnected
from ..web.writers import make_writer
from . import conversations
from .entry import EntryContext, remaining_seconds
from .exchange import (
    DONE,
    CallerGoneError,
    Exchange,
    RelayResult,
    RoutedAttempt,
)
from .outcomes import OutcomeRecorder
from .retries import CALLER_CHECK_SECONDS

#: Streams are checked rarely: a failed write usually reveals a disconnected
#: caller first.
STREAM_CHECK_SECONDS: Final = 2.0


class ResponseRelay:
    """Relays buffered and streamed responses."""

    def __init__(
        self,
        context: EntryContext,
        recorder: OutcomeRecorder,
    ) -> None:
        """Create a relay that bills and counts through the recorder."""
        self._context = context
        self._recorder = recorder

    def relay(
        self,
        exchange: Exchange,
        routed: RoutedAttempt,
        hold: SpendHold,
    ) -> RelayResult:
        """Return how the response ended and the body left for WSGI.

        Raises CourseError if nothing was sent to the caller.
        """
        self._recorder.record_first_token(exchange)
        if exchange.is_stream():
            return self._relay_stream(exchange, routed, hold)
        return self._relay_whole(exchange, routed, hold)

    def _relay_whole(
        self,
        exchange: Exchange,
        routed: RoutedAttempt,
        hold: SpendHold,
    ) -> RelayResult:
        self._await_end(exchange, routed)
        end = routed.attempt.check()
        head = routed.attempt.head
        assert head is not None
        body = routed.attempt.body()
        sampled = self._recorder.should_rate(exchange, routed)
        self._recorder.bill(
            exchange, routed, hold, end, body if sampled else b''
        )
        response = Response(
            head.status,
            body,
            head.content_type,
            tuple(self._make_headers(exchange, routed)),
        )
        return RelayResult(DONE, send(response, exchange.start_response))

    def _relay_stream(
        self,
        exchange: Exchange,
        routed: RoutedAttempt,
        hold: SpendHold,
    ) -> RelayResult:
        head = routed.attempt.head
        assert head is not None
        write = exchange.start_response(
            make_status_line(head.status),
            [
                ('Content-Type', head.content_type),
                ('Cache-Control', 'no-cache'),
                *self._make_headers(exchange, routed),
            ],
        )
        writer = make_writer(exchange.request.environ, write)
        sample: list[bytes] | None = None
        if self._recorder.should_rate(exchange, routed):
            sample = []
            writer = _tee(writer, sample)
        routed.attempt.write_to(writer)
        try:
            self._await_end(exchange, routed)
            end = routed.attempt.check()
        except CourseError as error:
            if not isinstance(error, CallerGoneError):
                self._recorder.record_canary_result(routed.version, good=False)
            _write_error(write, error)
            self._recorder.count_request(exchange, routed, error.code)
            return RelayResult(error.code, [])
        self._recorder.bill(exchange, routed, hold, end, b''.join(sample or ()))
        return RelayResult(DONE, [])

    def _await_end(self, exchange: Exchange, routed: RoutedAttempt) -> None:
        attempt = routed.attempt
        # A failed write reveals that the caller of a stream disconnected, so
        # this thread needn't wake up often.
        interval = CALLER_CHECK_SECONDS
        if exchange.is_stream():
            interval = STREAM_CHECK_SECONDS
        while not attempt.wait_end_or_disconnect(interval):
            disconnected = attempt.caller_disconnected or is_disconnected(
                exchange.request.environ
            )
            if disconnected:
                routed.link.cancel(attempt)
                # A response that the model server still finished is billed.
                attempt.wait_end(CALLER_CHECK_SECONDS * 4)
                if attempt.end is None or attempt.end.code:
                    raise CallerGoneError('the caller closed its connection')
                return
            if remaining_seconds(exchange.options) <= 0:
                routed.link.cancel(attempt)
                raise EndpointError(
                    'the response did not end before the deadline'
                )

    def _make_headers(
        self,
        exchange: Exchange,
        routed: RoutedAttempt,
    ) -> Iterator[tuple[str, str]]:
        yield 'X-Request-Id', exchange.request_id
        yield 'X-Served-Version', routed.version
        yield 'X-Served-By', routed.link.instance.name
        conversation: str | None = exchange.options.conversation
        if not conversation:
            keys = self._context.configuration.state.keys()
            conversation = conversations.make_id(
                keys, exchange.caller.customer, routed.version
            )
        if conversation:
            yield 'X-Conversation-Id', conversation


def _tee(
    writer: Callable[[bytes], object],
    copies: list[bytes],
) -> Callable[[bytes], object]:
    """Return a writer that also appends all data to copies."""

    def write(data: bytes) -> object:
        copies.append(data)
        return writer(data)

    return write


def _write_error(write: Callable[[bytes], object], error: CourseError) -> None:
    """Send an error as the last event of a stream."""
    event = json.dumps(make_error_body(error))
    try:
        write(f'data: {event}\n\n'.encode())
    except Exception:  # noqa: BLE001 - the caller has disconnected
        logger.debug('could not write the error event to the caller')
