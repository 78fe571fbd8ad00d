"""Retries of one chat request over versions and endpoints."""

import itertools
import time
from collections.abc import Iterator
from typing import Final

from ..errors import (
    CourseError,
    DeadlineError,
    Outcome,
    UnavailableError,
)
from ..report.metrics import ChatMetrics
from ..routing.versions import Candidate
from ..web.server import is_disconnected
from .entry import (
    EntryContext,
    Step,
    iterate_with_backoff,
    log_failed_attempt,
    make_open_message,
    remaining_seconds,
)
from .exchange import PATH, CallerGoneError, Exchange, RoutedAttempt
from .hedging import Failure, HedgedAttempts
from .links import Link
from .outcomes import OutcomeRecorder

#: Maximum attempts per request, over all versions and endpoints.
MAX_ATTEMPTS: Final = 6
#: Interval at which a waiting request checks its caller's connection.
CALLER_CHECK_SECONDS: Final = 0.25


class RetryLoop:
    """Tries endpoints until one of them starts a response."""

    def __init__(
        self,
        context: EntryContext,
        metrics: ChatMetrics,
        recorder: OutcomeRecorder,
    ) -> None:
        """Create a loop that reports attempts to the metrics and recorder."""
        self._context = context
        self._metrics = metrics
        self._recorder = recorder

    def run(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        steps: list[Step],
    ) -> RoutedAttempt:
        """Return the first attempt that starts a response.

        Adds a step for each attempt to steps. Raises the last attempt's
        error if none succeeds; its outcome is "unknown" if an earlier
        attempt may have run, however the last one ended.
        """
        try:
            return self._retry(exchange, candidates, steps)
        except CourseError as error:
            may_have_run = any(step.may_have_run for step in steps)
            if may_have_run and error.outcome is Outcome.not_run:
                error.outcome = Outcome.unknown
            raise

    def _retry(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        steps: list[Step],
    ) -> RoutedAttempt:
        last_error: CourseError = UnavailableError(
            'no endpoint serves the version'
        )
        for candidate, link in self._list_attempts(exchange, candidates):
            if steps and not self._may_retry():
                break
            if remaining_seconds(exchange.options) <= 0:
                raise DeadlineError(
                    'the deadline passed before an attempt could start'
                )
            try:
                return self._attempt(exchange, candidate.version, link, steps)
            except CourseError as error:
                if error.is_final:
                    raise
                last_error = error
                log_failed_attempt(
                    exchange.request_id, exchange.caller, link, error
                )
        raise last_error

    def _list_attempts(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> Iterator[tuple[Candidate, Link]]:
        """Yield endpoints in order of preference, again after each delay."""
        numbers = itertools.count(1)
        prefix = exchange.make_prefix_key()
        for _ in iterate_with_backoff(exchange.options):
            for candidate, link in self._list_links(candidates, prefix):
                if next(numbers) > MAX_ATTEMPTS:
                    return
                yield candidate, link

    def _list_links(
        self,
        candidates: list[Candidate],
        prefix: str,
    ) -> Iterator[tuple[Candidate, Link]]:
        for candidate in candidates:
            for link in self._context.order_links(candidate.version, prefix):
                yield candidate, link

    def _may_retry(self) -> bool:
        """Return True if the retry budget allows one more attempt."""
        self._metrics.retries.inc()
        return self._context.budget.spend()

    def _attempt(
        self,
        exchange: Exchange,
        version: str,
        link: Link,
        steps: list[Step],
    ) -> RoutedAttempt:
        started_at = time.monotonic()
        hedged = HedgedAttempts(self._open_attempt(exchange, version, link))
        code = 'ok'
        try:
            winner = self._await_winner(exchange, hedged)
        except CourseError as error:
            code = error.code
            for routed in hedged.running:
                self._record_failure(routed, error)
            hedged.cancel()
            raise
        finally:
            seconds = time.monotonic() - started_at
            steps.append(
                Step(
                    version,
                    link.instance.name,
                    code,
                    seconds,
                    hedged.may_have_run(),
                )
            )
        hedged.cancel(winner)
        self._context.record_attempt(winner.link, failed=False)
        return winner

    def _open_attempt(
        self, exchange: Exchange, version: str, link: Link
    ) -> RoutedAttempt:
        message = make_open_message(
            self._context,
            exchange.request_id,
            exchange.caller,
            exchange.options,
        )
        message.version = version
        message.method = 'POST'
        message.path = PATH
        message.body = exchange.encode_body()
        message.content_type = 'application/json'
        message.idempotent = True
        message.stream = exchange.is_stream()
        return RoutedAttempt(link.open(message), link, version)

    def _await_winner(
        self, exchange: Exchange, hedged: HedgedAttempts
    ) -> RoutedAttempt:
        """Return the attempt whose response starts first.

        Starts a hedged attempt once the first one is slow. Raises the last
        error if all fail.
        """
        hedge_at = _find_hedge_time(exchange)
        while True:
            until_hedge = max(0, hedge_at - time.monotonic())
            try:
                winner = hedged.wait(min(CALLER_CHECK_SECONDS, until_hedge))
            except Failure as failure:
                self._record_failure(failure.routed, failure.cause)
                if not hedged.running:
                    raise failure.cause from failure
                continue
            if winner is not None:
                return winner
            _check_caller(exchange)
            if time.monotonic() >= hedge_at:
                hedge_at = float('inf')
                self._hedge(exchange, hedged)

    def _hedge(self, exchange: Exchange, hedged: HedgedAttempts) -> None:
        """Start a second attempt elsewhere if the retry budget allows it."""
        first = hedged.running[0]
        for link in self._context.order_links(first.version, ''):
            if link is not first.link and self._context.budget.spend():
                self._metrics.hedges.inc()
                hedged.add(self._open_attempt(exchange, first.version, link))
                return

    def _record_failure(
        self, routed: RoutedAttempt, error: CourseError
    ) -> None:
        failed = error.outcome is not Outcome.not_run
        self._context.record_attempt(routed.link, failed=failed)
        if failed and not isinstance(error, CallerGoneError):
            self._recorder.record_canary_result(routed.version, good=False)


def _find_hedge_time(exchange: Exchange) -> float:
    """Return the time.monotonic() at which to start a hedged attempt.

    Only streams are hedged, as only they show early that a response has
    started.
    """
    seconds = exchange.caller.contract.get('hedge_seconds')
    if seconds is None or not exchange.is_stream():
        return float('inf')
    return time.monotonic() + seconds


def _check_caller(exchange: Exchange) -> None:
    """Raise an error if the request can't be answered any more.

    That is a DeadlineError after the deadline, or a CallerGoneError if the
    caller closed its connection.
    """
    if remaining_seconds(exchange.options) <= 0:
        raise DeadlineError('no response started before the deadline')
    if is_disconnected(exchange.request.environ):
        raise CallerGoneError('the caller closed its connection')
