"""The caller's side of a request."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..errors import CourseError, Outcome
from .objects import Headers


class CallerGoneError(CourseError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    outcome = Outcome.unknown


class Reply(ABC):
    """Takes the answer to one request.

    Methods that write raise CallerGoneError.
    """

    @abstractmethod
    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Send a part of the answer at once."""

    @abstractmethod
    def finish(self) -> None:
        """End the answer as a complete one."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the answer shows as cut off."""

    @abstractmethod
    def is_gone(self) -> bool:
        """Return True if the caller closed its connection."""

    @abstractmethod
    def watch(self, on_gone: Callable[[], None] | None) -> None:
        """Call a function when the caller closes its connection."""
