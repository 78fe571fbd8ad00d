"""Retries that one request may use of the budget of its service."""

from .context import RelayContext


class RetryAllowance:
    """Charges a request's retries to the budget of its newest service."""

    def __init__(self, context: RelayContext) -> None:
        """Create it for a request that has no service yet."""
        self._context = context
        self._service = ''

    def record_request(self, service: str) -> None:
        """Count the request once in the budget of its service."""
        if service != self._service:
            self._service = service
            self._context.find_retry_budget(service).record_request()

    def are_left(self) -> bool:
        """Return True if spend() would use a retry now."""
        budget = self._context.find_retry_budget(self._service)
        return budget.is_left(self._context.find_fleet_share())

    def spend(self) -> bool:
        """Use one retry; return False if this entry's share is used up."""
        budget = self._context.find_retry_budget(self._service)
        is_allowed = budget.spend(self._context.find_fleet_share())
        self._context.metrics.retries.labels(str(is_allowed)).inc()
        return is_allowed
