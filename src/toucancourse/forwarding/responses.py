"""Interface that writes the response to a caller."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..errors import CourseError, Outcome
from .objects import Headers


class CallerGoneError(CourseError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    outcome = Outcome.unknown


class ResponseWriter(ABC):
    """Writes the response to one request.

    Methods that write raise CallerGoneError.
    """

    @abstractmethod
    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""

    @abstractmethod
    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a response of unknown length."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Write part of the body without buffering."""

    @abstractmethod
    def finish(self) -> None:
        """Mark the end of a complete body."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection, so the caller sees a truncated response."""

    @abstractmethod
    def is_disconnected(self) -> bool:
        """Return True if the caller closed its connection."""

    @abstractmethod
    def watch_disconnect(
        self, on_disconnect: Callable[[], None] | None
    ) -> None:
        """Set the callback for a closed connection, or None to remove it."""
