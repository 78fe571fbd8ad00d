"""Errors that carry a stable code, an HTTP status and an outcome."""

from enum import StrEnum
from typing import Final

#: What reading untrusted JSON values into typed ones may raise.
DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
)


class Outcome(StrEnum):
    """What is known of a request that did not end well."""

    done = 'done'
    not_run = 'not_run'
    unknown = 'unknown'


class CourseError(Exception):
    """Base of all errors with a code."""

    code = 'internal'
    status = 500
    outcome = Outcome.not_run
    #: Seconds after which a retry can help, or None.
    retry_after: float | None = None

    def __init__(self, text: str, retry_after: float | None = None) -> None:
        """Keep the text shown to the caller or operator."""
        super().__init__(text)
        self.text = text
        if retry_after is not None:
            self.retry_after = retry_after


class BadRequestError(CourseError):
    """The request is malformed."""

    code = 'bad_request'
    status = 400


class UnauthorizedError(CourseError):
    """The key or token is missing or unknown."""

    code = 'unauthorized'
    status = 401


class ForbiddenError(CourseError):
    """The key or token is known but does not allow this."""

    code = 'forbidden'
    status = 403


class NotFoundError(CourseError):
    """The named object does not exist."""

    code = 'not_found'
    status = 404


class ModelNotFoundError(NotFoundError):
    """No version with this name exists or is allowed."""

    code = 'model_not_found'


class VersionWithdrawnError(CourseError):
    """The conversation's version was withdrawn."""

    code = 'version_withdrawn'
    status = 409


class ConflictError(CourseError):
    """A key was reused with another body."""

    code = 'idempotency_conflict'
    status = 409


class InProgressError(CourseError):
    """Another request with the same key is still running."""

    code = 'in_progress'
    status = 409
    outcome = Outcome.unknown
    retry_after = 2


class TooLargeError(CourseError):
    """The body is larger than the limit."""

    code = 'too_large'
    status = 413


class LimitedError(CourseError):
    """A limit of the contract is reached."""

    code = 'rate_limited'
    status = 429
    retry_after = 1


class SpendError(CourseError):
    """The contract's spend is used up or can't be reserved."""

    code = 'spend_exhausted'
    status = 429
    retry_after = 60


class UnavailableError(CourseError):
    """No endpoint can take the request now."""

    code = 'unavailable'
    status = 503
    retry_after = 1


class StaleError(UnavailableError):
    """The daemon has no proof that its configuration is current."""

    code = 'configuration_stale'


class LogDownError(UnavailableError):
    """The platform's log did not answer."""

    code = 'log_unavailable'
    retry_after = 5


class LeavingError(UnavailableError):
    """The daemon is shutting down."""

    code = 'leaving'


class DeadlineError(CourseError):
    """The deadline passed before an answer began."""

    code = 'deadline_exceeded'
    status = 504


class UnknownOutcomeError(CourseError):
    """The request was dispatched and its answer was lost."""

    code = 'outcome_unknown'
    status = 502
    outcome = Outcome.unknown


class EndpointError(CourseError):
    """The endpoint failed after it had received the request."""

    code = 'endpoint_failed'
    status = 502
    outcome = Outcome.unknown
