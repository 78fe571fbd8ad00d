"""The entries that share a fleet's limits, as they register in the store."""

import time
from typing import Final

from loguru import logger

from ..errors import LogDownError
from ..membership.directory import rank_by_hash
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic

PREFIX: Final = 'entry/'
#: Tries to register or leave before it is given up.
MAX_TRIES: Final = 20
PAUSE_SECONDS: Final = 0.25
#: Registered by an entry that has no address for others.
NO_ADDRESS: Final = '-'


class EntryBook(Listener):
    """Registered entries; one that was killed stays until it starts again.

    Limits are divided among them, so one too many only makes shares smaller.
    """

    def __init__(self, name: str, address: str) -> None:
        """Keep this entry's name and "host:port" for the others, or ''."""
        self._name = name
        self._address = address or NO_ADDRESS
        #: Key -> "host:port" of the entry.
        self._entries: dict[str, str] = {}
        self._is_leaving = False

    def apply(self, key: str, content: bytes | None) -> None:
        """Take an entry's registration or its end."""
        if not key.startswith(PREFIX):
            return
        if content is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = content.decode('utf-8', 'replace')
        logger.info('entries known', entries=len(self._entries), changed=key)

    def count(self) -> int:
        """Return the registered entries, at least one."""
        return max(1, len(self._entries))

    def divide(self, limit: float, key: str) -> float:
        """Return this entry's share of a limit that all entries keep.

        Where it is less than one for each entry, some entries have one and
        the others none; which ones they are differs by key.
        """
        if limit >= self.count():
            return limit / self.count()
        first = rank_by_hash(key, tuple(self._entries))[: int(limit)]
        return float(PREFIX + self._name in first)

    def is_registered(self) -> bool:
        """Return True if this entry's registration was read back."""
        return self._entries.get(PREFIX + self._name) == self._address

    def list_others(self) -> set[str]:
        """Return the addresses of the other entries that have one."""
        return {
            address
            for address in tuple(self._entries.values())
            if ':' in address and address != self._address
        }

    def register(self, topic: Topic, feed: Feed) -> None:
        """Register this entry, unless that was read back before."""
        for _ in range(MAX_TRIES):
            if self._is_leaving or self.is_registered():
                return
            self._append(topic, feed, self._address.encode())
            time.sleep(PAUSE_SECONDS)

    def leave(self, topic: Topic, feed: Feed) -> None:
        """Withdraw the registration, also one that was not read back yet."""
        self._is_leaving = True
        for _ in range(MAX_TRIES):
            if self._append(topic, feed, None):
                return
            time.sleep(PAUSE_SECONDS)

    def _append(
        self,
        topic: Topic,
        feed: Feed,
        content: bytes | None,
    ) -> bool:
        """Append if all before is known here; return True if it was."""
        end = feed.find_next_offset()
        if end is None:
            return False
        try:
            return topic.append(PREFIX + self._name, content, end)
        except LogDownError as error:
            logger.debug('registration not written', why=error.text)
            return False


class Listeners(Listener):
    """Several listeners of one topic."""

    def __init__(self, *listeners: Listener) -> None:
        """Keep them."""
        self._listeners = listeners

    def apply(self, key: str, content: bytes | None) -> None:
        """Tell all of them."""
        for listener in self._listeners:
            listener.apply(key, content)
