"""Hedged attempts of one request; the first to start a response wins."""

from typing import Final

from ..errors import CourseError, EndpointError
from .attempts import Attempt
from .exchange import RoutedAttempt

#: Wait per attempt while several are polled in turn.
POLL_SECONDS: Final = 0.01
RETRYABLE_STATUS: Final = frozenset((429, 500, 502, 503, 504))


class Failure(CourseError):
    """One of the attempts ended without a response."""

    def __init__(self, routed: RoutedAttempt, cause: CourseError) -> None:
        """Create a failure of one attempt with the error that ended it."""
        super().__init__(cause.text)
        self.routed = routed
        self.cause = cause


class HedgedAttempts:
    """One attempt, and a second at another endpoint if the first is slow."""

    def __init__(self, first: RoutedAttempt) -> None:
        """Track a first attempt that was started already."""
        self._started = [first]
        self._running = [first]

    def may_have_run(self) -> bool:
        """Return False if no endpoint received the whole request."""
        return any(routed.attempt.may_have_run() for routed in self._started)

    @property
    def running(self) -> tuple[RoutedAttempt, ...]:
        """The attempts that have not failed."""
        return tuple(self._running)

    def add(self, routed: RoutedAttempt) -> None:
        """Track an additional attempt."""
        self._started.append(routed)
        self._running.append(routed)

    def wait(self, seconds: float) -> RoutedAttempt | None:
        """Return an attempt whose response started, or None after a timeout.

        Raises Failure for an attempt that ended without a response, and stops
        tracking it.
        """
        alone = len(self._running) == 1
        for routed in self.running:
            timeout = seconds if alone else POLL_SECONDS
            if not routed.attempt.wait_head(timeout):
                continue
            try:
                _check_head(routed.attempt)
            except CourseError as error:
                self._running.remove(routed)
                raise Failure(routed, error) from error
            return routed
        return None

    def cancel(self, winner: RoutedAttempt | None = None) -> None:
        """Cancel all running attempts except the winner."""
        for routed in self.running:
            if routed is not winner:
                routed.link.cancel(routed.attempt)


def _check_head(attempt: Attempt) -> None:
    """Raise an error unless the response has an acceptable status."""
    if attempt.head is None:
        attempt.check()
        raise EndpointError('the endpoint sent an empty response')
    if attempt.head.status in RETRYABLE_STATUS:
        raise EndpointError(
            f'the model server returned status {attempt.head.status}'
        )
