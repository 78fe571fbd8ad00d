"""Relays an answer that has begun to its caller."""

import json
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final

from loguru import logger

from ..billing.ledger import SpendHold
from ..errors import CourseError, EndpointError
from ..web.messages import Response, make_error_body, send
from ..web.server import is_disconnected
from ..web.writers import make_writer
from . import conversations
from .entry import EntryParts, remaining_seconds
from .exchange import DONE, Answer, CallerGoneError, Exchange, Served
from .outcomes import Outcomes
from .tries import CALLER_CHECK_SECONDS

#: A failed write tells of a caller that left a stream before this does.
STREAM_CHECK_SECONDS: Final = 2.0


class Answers:
    """Relays whole and streamed answers."""

    def __init__(
        self,
        parts: EntryParts,
        outcomes: Outcomes,
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._outcomes = outcomes

    def relay(
        self,
        exchange: Exchange,
        served: Served,
        hold: SpendHold,
    ) -> Answer:
        """Return how the answer ended and the body left for WSGI.

        Raises CourseError if nothing was sent to the caller.
        """
        self._outcomes.note_first_token(exchange)
        if exchange.is_stream():
            return self._answer_stream(exchange, served, hold)
        return self._answer_whole(exchange, served, hold)

    def _answer_whole(
        self,
        exchange: Exchange,
        served: Served,
        hold: SpendHold,
    ) -> Answer:
        self._await_end(exchange, served)
        end = served.attempt.check()
        head = served.attempt.head
        assert head is not None
        body = served.attempt.body()
        rated = self._outcomes.is_rated(exchange, served)
        self._outcomes.bill(exchange, served, hold, end, body if rated else b'')
        response = Response(
            head.status,
            body,
            head.content_type,
            tuple(self._headers(exchange, served)),
        )
        return Answer(DONE, send(response, exchange.start_response))

    def _answer_stream(
        self,
        exchange: Exchange,
        served: Served,
        hold: SpendHold,
    ) -> Answer:
        head = served.attempt.head
        assert head is not None
        write = exchange.start_response(
            f'{head.status} {HTTPStatus(head.status).phrase}',
            [
                ('Content-Type', head.content_type),
                ('Cache-Control', 'no-cache'),
                *self._headers(exchange, served),
            ],
        )
        writer = make_writer(exchange.request.environ, write)
        sample: list[bytes] | None = None
        if self._outcomes.is_rated(exchange, served):
            sample = []
            writer = _tee(writer, sample)
        served.attempt.write_to(writer)
        try:
            self._await_end(exchange, served)
            end = served.attempt.check()
        except CourseError as error:
            if not isinstance(error, CallerGoneError):
                self._outcomes.note_version(served.version, good=False)
            _write_error(write, error)
            self._outcomes.count(exchange, served, error.code)
            return Answer(error.code, [])
        self._outcomes.bill(exchange, served, hold, end, b''.join(sample or ()))
        return Answer(DONE, [])

    def _await_end(self, exchange: Exchange, served: Served) -> None:
        attempt = served.attempt
        # A failed write tells of a caller that left a stream, so its thread
        # need not wake up often.
        period = CALLER_CHECK_SECONDS
        if exchange.is_stream():
            period = STREAM_CHECK_SECONDS
        while not attempt.wait_end_or_leave(period):
            gone = attempt.caller_gone or is_disconnected(
                exchange.request.environ
            )
            if gone:
                served.link.cancel(attempt)
                # The engine may have finished all the same; then it is billed.
                attempt.wait_end(CALLER_CHECK_SECONDS * 4)
                if attempt.end is None or attempt.end.code:
                    raise CallerGoneError('the caller closed its connection')
                return
            if remaining_seconds(exchange.demand) <= 0:
                served.link.cancel(attempt)
                raise EndpointError('the answer did not end in time')

    def _headers(
        self,
        exchange: Exchange,
        served: Served,
    ) -> Iterator[tuple[str, str]]:
        yield 'X-Request-Id', exchange.request_id
        yield 'X-Served-Version', served.version
        yield 'X-Served-By', served.link.instance.name
        identifier: str | None = exchange.demand.conversation
        if not identifier:
            keys = self._parts.configuration.state.keys()
            identifier = conversations.make_id(
                keys, exchange.caller.customer, served.version
            )
        if identifier:
            yield 'X-Conversation-Id', identifier


def _tee(
    writer: Callable[[bytes], object],
    copies: list[bytes],
) -> Callable[[bytes], object]:
    def write(data: bytes) -> object:
        copies.append(data)
        return writer(data)

    return write


def _write_error(write: Callable[[bytes], object], error: CourseError) -> None:
    event = json.dumps(make_error_body(error))
    try:
        write(f'data: {event}\n\n'.encode())
    except Exception:  # noqa: BLE001 - the caller is gone as well
        logger.debug('error event not written')
