"""Log lines of forwarded requests."""

import time
from typing import NamedTuple

from loguru import logger

from ..errors import CourseError
from .admission import AdmittedRequest, EndpointChoice
from .context import RelayContext
from .objects import Call


class RequestResult(NamedTuple):
    """How a request ended."""

    #: Status of the forwarded response, or 0.
    status: int
    #: All attempts, and those that an endpoint may have executed.
    attempts: int
    executions: int
    #: Seconds from the request to the first event of a stream.
    first_event: float | None


def log_attempt(
    call: Call, choice: EndpointChoice, model: str, number: int
) -> None:
    """Log that an attempt of a number, counted from 1, is sent."""
    endpoint = choice.endpoint
    logger.debug(
        'request sent',
        call=call.identifier,
        session=call.session,
        endpoint=endpoint.record.identifier,
        version=endpoint.record.version,
        model=model,
        rank=choice.rank,
        number=number,
        running=endpoint.backlog.running,
        others=round(endpoint.backlog.estimate_peer_requests(), 1),
        fresh_tokens=choice.scored.uncached_tokens,
        predicted=round(choice.scored.score, 3),
        latency=round(choice.scored.latency, 3),
        stream_seconds=round(choice.scored.stream_seconds, 3),
        left=round(call.deadline - time.monotonic(), 3),
    )


def log_result(
    context: RelayContext,
    call: Call,
    admitted: AdmittedRequest | None,
    result: RequestResult,
    error: CourseError | None,
) -> None:
    """Log a request's result and update the metrics; no error is success."""
    route = admitted.route.name if admitted else ''
    code = error.code if error else 'ok'
    seconds = time.monotonic() - call.received
    context.metrics.record_request(route, code, seconds, result.first_event)
    logger.info(
        'request ended',
        call=call.identifier,
        route=route,
        account=admitted.account.name if admitted else '',
        code=code,
        status=result.status or getattr(error, 'status', 0),
        why=getattr(error, 'text', ''),
        sends=result.attempts,
        runs=result.executions,
        seconds=round(seconds, 4),
        first=result.first_event,
        proof_age=round(context.find_proof_age(), 2),
    )
