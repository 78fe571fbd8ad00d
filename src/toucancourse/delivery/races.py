"""Attempts of one request, of which the first to begin its answer counts."""

from typing import Final

from ..errors import CourseError, EndpointError
from .attempts import Attempt
from .exchange import Served

#: How long to look at each of several attempts at a time.
POLL_SECONDS: Final = 0.01
RETRYABLE_STATUS: Final = frozenset((429, 500, 502, 503, 504))


class Failure(CourseError):
    """An attempt ended without an answer while another one goes on."""

    def __init__(self, served: Served, cause: CourseError) -> None:
        """Keep the attempt and its error."""
        super().__init__(cause.text)
        self.served = served
        self.cause = cause


class Race:
    """One attempt, and perhaps a second at another endpoint."""

    def __init__(self, first: Served) -> None:
        """Start with one attempt."""
        self._all = [first]
        self._running = [first]

    def may_have_run(self) -> bool:
        """Return False if no endpoint ever had the whole request."""
        return any(served.attempt.may_have_run() for served in self._all)

    @property
    def running(self) -> tuple[Served, ...]:
        """Return the attempts that have not failed."""
        return tuple(self._running)

    def add(self, served: Served) -> None:
        """Add an attempt."""
        self._all.append(served)
        self._running.append(served)

    def wait(self, seconds: float) -> Served | None:
        """Return an attempt whose answer began, or None after a while.

        Raises Failure for an attempt that ended without an answer; it is no
        longer part of the race.
        """
        alone = len(self._running) == 1
        for served in self.running:
            pause = seconds if alone else POLL_SECONDS
            if not served.attempt.wait_head(pause):
                continue
            try:
                _check_head(served.attempt)
            except CourseError as error:
                self._running.remove(served)
                raise Failure(served, error) from error
            return served
        return None

    def cancel(self, winner: Served | None = None) -> None:
        """Stop all attempts but the winner."""
        for served in self.running:
            if served is not winner:
                served.link.cancel(served.attempt)


def _check_head(attempt: Attempt) -> None:
    """Raise the error of an attempt whose answer did not begin well."""
    if attempt.head is None:
        attempt.check()
        raise EndpointError('the endpoint gave an empty answer')
    if attempt.head.status in RETRYABLE_STATUS:
        raise EndpointError(f'the engine answered {attempt.head.status}')
