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

    def may_execute(self, route: Route) -> bool:
        """Return True if an endpoint may execute the request now."""
        if self.executions and not route.is_repeatable():
            return False
        return self.executions < route.max_executions

    def may_retry(self, route: Route) -> bool:
        """Return True if the request may be sent again after a failure."""
        return self.may_execute(route) and self.attempts < MAX_ATTEMPTS
