"""How often endpoints may execute one request."""

from typing import Final

from .objects import Route

#: Maximum attempts of a request, including those that did not execute it.
MAX_ATTEMPTS: Final = 4


class ExecutionLimit:
    """Counts a request's attempts and decides whether another one may follow.

    Every second execution is decided here, whatever it is wanted for: a retry,
    a successor of a silent endpoint, a resumed stream or a larger model.
    """

    def __init__(self) -> None:
        """Create it for a request that was not sent yet."""
        #: All attempts.
        self.attempts = 0
        #: Attempts that an endpoint executed or may have executed.
        self.executions = 0
        self._max_executions = 1
        self._is_repeatable = True

    def apply_route(self, route: Route) -> None:
        """Use a route, or a newer revision of it, from now on.

        A request that may be executed once by any revision that it met stays
        so: an endpoint may have executed it under that one.
        """
        self._max_executions = route.max_executions
        self._is_repeatable = self._is_repeatable and route.is_repeatable()

    def may_execute(self) -> bool:
        """Return True if an endpoint may execute the request now."""
        if self.executions and not self._is_repeatable:
            return False
        return self.executions < self._max_executions

    def may_retry(self) -> bool:
        """Return True if the request may be sent again after a failure."""
        return self.may_execute() and self.attempts < MAX_ATTEMPTS
