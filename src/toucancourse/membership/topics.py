"""Interface of keyed topics, in which a key's newest record is its value."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from ..errors import CourseError


class ExpiredError(CourseError):
    """The records from an offset on are no longer kept."""

    code = 'records_expired'

    def __init__(self, text: str, first: int) -> None:
        """Create an error with the offset of the first record that is kept."""
        super().__init__(text)
        self.first = first


class Record(NamedTuple):
    """One record of a keyed topic."""

    key: str
    #: None deletes the key.
    content: bytes | None
    offset: int


class Records(NamedTuple):
    """A page of records and the offset after the topic's last one."""

    records: tuple[Record, ...]
    end: int
    #: Age in seconds, at the start of the read, of the proof that these are all
    #: records. None if an empty page waited for as long as it was asked to.
    proof_age: float | None = None
    #: Address of the other entry that the page is from, or '', and how often
    #: that entry saw the store recover.
    source: str = ''
    recoveries: int = 0
    #: Rises when the store comes back from an older copy: the offsets of two
    #: eras don't compare. 0 if the store doesn't tell it.
    era: int = 0


class Topic(ABC):
    """A keyed topic; all methods raise LogDownError if the store fails."""

    @abstractmethod
    def fetch_newest(self) -> Records:
        """Return the newest record of each key.

        Pages of keys are fetched one after another, so a record may be newer
        than the end that is returned.
        """

    @abstractmethod
    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on, waiting if there are none.

        Raises ExpiredError if they are no longer kept.
        """

    @abstractmethod
    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record; with `at`, only if the topic ends at that offset.

        Returns False if it does not.
        """

    @abstractmethod
    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append a record for each key, or none if the topic ends elsewhere.

        Returns False in that case.
        """
