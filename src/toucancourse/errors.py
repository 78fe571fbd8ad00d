"""Errors with a stable code, an HTTP status and a request outcome."""

from enum import StrEnum
from typing import Final

#: Exceptions raised when untrusted JSON does not have the expected shape.
DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
    OverflowError,
)


class Outcome(StrEnum):
    """Whether a failed request was executed."""

    done = 'done'
    not_run = 'not_run'
    unknown = 'unknown'


class ResponseDefect(StrEnum):
    """Why the response of an endpoint can't be used."""

    #: The connection ended before the first byte.
    absent = 'absent'
    head_truncated = 'head_truncated'
    head_malformed = 'head_malformed'
    #: Another response begins within the head.
    head_restarted = 'head_restarted'
    #: The response names another request.
    other_request = 'other_request'
    #: It names none, on a connection that served other requests before.
    no_request = 'no_request'
    unsigned = 'unsigned'
    body_truncated = 'body_truncated'
    #: Another response begins within the body, or within an event of it.
    body_restarted = 'body_restarted'
    #: Chunks without a valid size or end.
    framing_malformed = 'framing_malformed'


class CourseError(Exception):
    """Base class of all errors with a code."""

    code = 'internal'
    status = 500
    outcome = Outcome.not_run
    #: True if no other endpoint could serve the request either.
    is_final = False
    #: Seconds after which a retry may succeed, or None.
    retry_after: float | None = None

    def __init__(self, text: str, retry_after: float | None = None) -> None:
        """Create an error with the text shown to the caller or operator."""
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
    """No version with this name exists or the contract does not allow it."""

    code = 'model_not_found'


class VersionWithdrawnError(CourseError):
    """The conversation's version was withdrawn."""

    code = 'version_withdrawn'
    status = 409


class ConflictError(CourseError):
    """An idempotency key was reused with a different body."""

    code = 'idempotency_conflict'
    status = 409


class InProgressError(CourseError):
    """Another request with the same idempotency key is still running."""

    code = 'in_progress'
    status = 409
    outcome = Outcome.unknown
    retry_after = 2


class TooLargeError(CourseError):
    """The body is larger than the limit."""

    code = 'too_large'
    status = 413
    is_final = True


class SlowRequestError(CourseError):
    """The request didn't arrive in time."""

    code = 'request_timeout'
    status = 408


class LimitedError(CourseError):
    """A limit of the contract is reached."""

    code = 'rate_limited'
    status = 429
    retry_after = 1


class SpendError(CourseError):
    """The contract's spend limit is exhausted or can't be reserved."""

    code = 'spend_exhausted'
    status = 429
    retry_after = 60


class UnavailableError(CourseError):
    """No endpoint can accept the request now."""

    code = 'unavailable'
    status = 503
    retry_after = 1


class StaleError(UnavailableError):
    """The daemon has no recent proof that its configuration is current."""

    code = 'configuration_stale'


class LogDownError(UnavailableError):
    """The platform's log did not respond."""

    code = 'log_unavailable'
    retry_after = 5


class CrowdedError(UnavailableError):
    """Unfinished requests hold the memory that this one needs."""

    code = 'crowded'


class LeavingError(UnavailableError):
    """The daemon is shutting down."""

    code = 'leaving'


class DeadlineError(CourseError):
    """The deadline passed before a response began."""

    code = 'deadline_exceeded'
    status = 504


class UnknownOutcomeError(CourseError):
    """The request was dispatched and its response was lost."""

    code = 'outcome_unknown'
    status = 502
    outcome = Outcome.unknown


class EndpointError(CourseError):
    """The endpoint failed after it had received the request."""

    code = 'endpoint_failed'
    status = 502
    outcome = Outcome.unknown

    def __init__(self, text: str, defect: ResponseDefect | None = None) -> None:
        """Create an error; without a defect, the response was whole or late."""
        super().__init__(text)
        self.defect = defect


class StoppedError(EndpointError):
    """The daemon stopped before the endpoint responded."""

    code = 'instance_stopped'


class LateEndpointError(EndpointError):
    """The endpoint received the request and didn't respond in time."""

    code = 'deadline_exceeded'
    status = 504
