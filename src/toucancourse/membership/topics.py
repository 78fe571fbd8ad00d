"""Keyed topics of a store, of which each key's newest record counts."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..errors import CourseError


class ExpiredError(CourseError):
    """The records from an offset on are no longer kept."""

    code = 'records_expired'


class Record(NamedTuple):
    """One record of a keyed topic."""

    key: str
    #: None drops the key.
    content: bytes | None
    offset: int


class Records(NamedTuple):
    """Some records and the offset after the topic's last one."""

    records: tuple[Record, ...]
    end: int


class Topic(ABC):
    """A keyed topic; all calls raise LogDownError if the store fails."""

    @abstractmethod
    def fetch_newest(self) -> Records:
        """Return the newest record of each key.

        Pages are read one after the other, so a record may be newer than
        the end that is returned.
        """

    @abstractmethod
    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on, waiting if there are none.

        Raises ExpiredError.
        """

    @abstractmethod
    def append(self, key: str, content: bytes | None, at: int) -> bool:
        """Append a record if the topic ends at an offset; return success."""
