"""Tries of one chat request, over versions and endpoints."""

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
    EntryParts,
    Step,
    list_passes,
    log_try,
    make_open,
    remaining_seconds,
)
from .exchange import PATH, CallerGoneError, Exchange, Served
from .links import Link
from .outcomes import Outcomes
from .races import Failure, Race

#: Most tries of one request, over all versions and endpoints.
MAX_TRIES: Final = 6
#: How often a waiting request looks whether its caller is still there.
CALLER_CHECK_SECONDS: Final = 0.25


class Tries:
    """Finds an endpoint that begins an answer."""

    def __init__(
        self,
        parts: EntryParts,
        metrics: ChatMetrics,
        outcomes: Outcomes,
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._metrics = metrics
        self._outcomes = outcomes

    def run(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        steps: list[Step],
    ) -> Served:
        """Return the first attempt that gives an answer.

        Raises the last refusal if none does. Its outcome is "unknown" if an
        earlier attempt may have run, whatever became of the last one.
        """
        try:
            return self._run(exchange, candidates, steps)
        except CourseError as error:
            ran = any(step.may_have_run for step in steps)
            if ran and error.outcome is Outcome.not_run:
                error.outcome = Outcome.unknown
            raise

    def _run(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
        steps: list[Step],
    ) -> Served:
        last: CourseError = UnavailableError('no endpoint serves the version')
        for candidate, link in self._list_tries(exchange, candidates):
            if steps and not self._may_retry():
                break
            if remaining_seconds(exchange.demand) <= 0:
                raise DeadlineError('the deadline passed')
            try:
                return self._try_one(exchange, candidate.version, link, steps)
            except CallerGoneError:
                raise
            except CourseError as error:
                last = error
                log_try(exchange.request_id, exchange.caller, link, error)
        raise last

    def _list_tries(
        self,
        exchange: Exchange,
        candidates: list[Candidate],
    ) -> Iterator[tuple[Candidate, Link]]:
        tries = itertools.count(1)
        prefix = exchange.find_prefix()
        for _ in list_passes(exchange.demand):
            for candidate, link in self._list_once(candidates, prefix):
                if next(tries) > MAX_TRIES:
                    return
                yield candidate, link

    def _list_once(
        self,
        candidates: list[Candidate],
        prefix: str,
    ) -> Iterator[tuple[Candidate, Link]]:
        for candidate in candidates:
            for link in self._parts.order_links(candidate.version, prefix):
                yield candidate, link

    def _may_retry(self) -> bool:
        self._metrics.retries.inc()
        return self._parts.budget.spend()

    def _try_one(
        self,
        exchange: Exchange,
        version: str,
        link: Link,
        steps: list[Step],
    ) -> Served:
        began = time.monotonic()
        race = Race(self._open(exchange, version, link))
        code = 'ok'
        try:
            winner = self._await_winner(exchange, race)
        except CourseError as error:
            code = error.code
            for served in race.running:
                self._note_failure(served, error)
            race.cancel()
            raise
        finally:
            seconds = time.monotonic() - began
            steps.append(
                Step(
                    version,
                    link.instance.name,
                    code,
                    seconds,
                    race.may_have_run(),
                )
            )
        race.cancel(winner)
        self._parts.note_attempt(winner.link, failed=False)
        return winner

    def _open(self, exchange: Exchange, version: str, link: Link) -> Served:
        opened = make_open(
            self._parts, exchange.request_id, exchange.caller, exchange.demand
        )
        opened.version = version
        opened.method = 'POST'
        opened.path = PATH
        opened.body = exchange.encode_body()
        opened.content_type = 'application/json'
        opened.idempotent = True
        opened.stream = exchange.is_stream()
        return Served(link.open(opened), link, version)

    def _await_winner(self, exchange: Exchange, race: Race) -> Served:
        """Return the attempt whose answer begins first.

        Raises the last error if all fail.
        """
        hedge_at = _find_hedge_time(exchange)
        while True:
            until_hedge = max(0, hedge_at - time.monotonic())
            try:
                winner = race.wait(min(CALLER_CHECK_SECONDS, until_hedge))
            except Failure as failure:
                self._note_failure(failure.served, failure.cause)
                if not race.running:
                    raise failure.cause from failure
                continue
            if winner is not None:
                return winner
            _check_waiting(exchange)
            if time.monotonic() >= hedge_at:
                hedge_at = float('inf')
                self._hedge(exchange, race)

    def _hedge(self, exchange: Exchange, race: Race) -> None:
        """Ask a second endpoint as well, if retries may be spent on it."""
        first = race.running[0]
        for link in self._parts.order_links(first.version, ''):
            if link is not first.link and self._parts.budget.spend():
                self._metrics.hedges.inc()
                race.add(self._open(exchange, first.version, link))
                return

    def _note_failure(self, served: Served, error: CourseError) -> None:
        failed = error.outcome is not Outcome.not_run
        self._parts.note_attempt(served.link, failed=failed)
        if failed and not isinstance(error, CallerGoneError):
            self._outcomes.note_version(served.version, good=False)


def _find_hedge_time(exchange: Exchange) -> float:
    """Return the time.monotonic() at which a second endpoint is asked.

    Only streams tell early that an answer has begun.
    """
    seconds = exchange.caller.contract.get('hedge_seconds')
    if seconds is None or not exchange.is_stream():
        return float('inf')
    return time.monotonic() + seconds


def _check_waiting(exchange: Exchange) -> None:
    """Raise unless the caller still waits."""
    if remaining_seconds(exchange.demand) <= 0:
        raise DeadlineError('no answer began before the deadline')
    if is_disconnected(exchange.request.environ):
        raise CallerGoneError('the caller closed its connection')
