"""Reads of a topic that a few entries make for all others."""

import time
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Final

from loguru import logger

from .topics import Records, Topic

#: Longest wait of one read at another entry.
SHARED_WAIT_SECONDS: Final = 0.4
#: Age of a freshness proof from which the store is read instead: operators'
#: changes must apply within two seconds, also if the other entry is cut off.
MAX_PROOF_AGE_SECONDS: Final = 1.2
#: Pause before an entry that failed is asked again.
PENALTY_SECONDS: Final = 3.0


class TopicReader(ABC):
    """Another entry that reads topics of the store."""

    @abstractmethod
    def read(
        self, topic: str, start: int, wait_seconds: float
    ) -> Records | None:
        """Return a page with its proof age, or None if that failed."""

    @abstractmethod
    def describe(self) -> str:
        """Return the entry's address."""


class SharedTopic(Topic):
    """Reads a topic at other entries, or at the store if they fail."""

    def __init__(
        self,
        topic: Topic,
        name: str,
        max_proof_age: float = MAX_PROOF_AGE_SECONDS,
    ) -> None:
        """Wrap the store's topic of a name.

        max_proof_age is the age in seconds of another entry's freshness proof
        from which the store is read instead.
        """
        self._topic = topic
        self._name = name
        self._max_proof_age = max_proof_age
        #: The entries to ask, the preferred one first.
        self.readers: Sequence[TopicReader] = ()
        #: Address -> time.monotonic() until which it isn't asked.
        self._penalties: dict[str, float] = {}
        #: Newest era of the store that any page told.
        self._era = 0

    def fetch_newest(self) -> Records:
        """Return the newest record of each key, from the store."""
        page = self._topic.fetch_newest()
        self._era = max(self._era, page.era)
        return page

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on, waiting if there are none."""
        page = self._read_anywhere(start, wait_seconds)
        self._era = max(self._era, page.era)
        return page

    def _read_anywhere(self, start: int, wait_seconds: float) -> Records:
        now = time.monotonic()
        for reader in self.readers:
            address = reader.describe()
            if self._penalties.get(address, 0) > now:
                continue
            page = reader.read(self._name, start, SHARED_WAIT_SECONDS)
            if page is not None and self._is_usable(page):
                return page
            self._penalties[address] = time.monotonic() + PENALTY_SECONDS
            logger.info(
                'shared read failed; reading the store',
                topic=self._name,
                peer=address,
                proof_age=None if page is None else page.proof_age,
            )
            # The store may have records that the other entry missed.
            return self._topic.read(start, 0)._replace(proof_age=0.0)
        return self._topic.read(start, wait_seconds)

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record to the store."""
        return self._topic.append(key, content, at)

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append records to the store if the topic ends at an offset."""
        return self._topic.append_all(changes, at)

    def _is_usable(self, page: Records) -> bool:
        """Return True if a page is as new as the store's would be."""
        age = page.proof_age
        is_fresh = age is not None and age <= self._max_proof_age
        return is_fresh and page.era >= self._era
