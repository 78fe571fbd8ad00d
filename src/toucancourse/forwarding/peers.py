"""Registry of the entries that share the limits of a fleet."""

import time
from typing import Final

from loguru import logger

from ..errors import LogDownError
from ..membership.directory import rank_by_hash
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic

KEY_PREFIX: Final = 'entry/'
#: Attempts to append or remove the registration.
MAX_ATTEMPTS: Final = 20
RETRY_SECONDS: Final = 0.25
#: Registered by an entry that other entries can't connect to.
NO_ADDRESS: Final = '-'


class EntryRegistry(Listener):
    """Registered entries; a killed one stays until it starts again.

    Limits are divided among them, so a stale registration only makes the
    shares smaller.
    """

    def __init__(self, name: str, address: str) -> None:
        """Create an empty registry for an entry with a name.

        The address is the "host:port" for other entries, or ''.
        """
        self._name = name
        self._address = address or NO_ADDRESS
        #: Key -> "host:port" of the entry.
        self._entries: dict[str, str] = {}
        self._is_deregistering = False

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply an entry's registration or its removal."""
        if not key.startswith(KEY_PREFIX):
            return
        if content is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = content.decode('utf-8', 'replace')
        logger.info(
            'registered entries changed',
            entries=len(self._entries),
            changed=key,
        )

    def count(self) -> int:
        """Return the number of registered entries, at least one."""
        return max(1, len(self._entries))

    def compute_share(self, limit: float, key: str) -> float:
        """Return this entry's share of a limit that all entries share.

        If the limit is less than one per entry, rendezvous hashing of the
        key selects the entries that get one; the others get none.
        """
        if limit >= self.count():
            return limit / self.count()
        first = rank_by_hash(key, tuple(self._entries))[: int(limit)]
        return float(KEY_PREFIX + self._name in first)

    def is_registered(self) -> bool:
        """Return True if this entry's registration was read from the store."""
        return self._entries.get(KEY_PREFIX + self._name) == self._address

    def list_others(self) -> set[str]:
        """Return the addresses of the other entries that listen."""
        return {
            address
            for address in tuple(self._entries.values())
            if ':' in address and address != self._address
        }

    def register(self, topic: Topic, feed: Feed) -> None:
        """Register this entry; retry until it is read from the store."""
        for _ in range(MAX_ATTEMPTS):
            if self._is_deregistering or self.is_registered():
                return
            self._append(topic, feed, self._address.encode())
            time.sleep(RETRY_SECONDS)

    def deregister(self, topic: Topic, feed: Feed) -> None:
        """Remove the registration, also one that was not read back yet."""
        self._is_deregistering = True
        for _ in range(MAX_ATTEMPTS):
            if self._append(topic, feed, None):
                return
            time.sleep(RETRY_SECONDS)

    def _append(
        self,
        topic: Topic,
        feed: Feed,
        content: bytes | None,
    ) -> bool:
        """Append a record unless the topic has unread ones before it.

        Returns True if it was appended.
        """
        end = feed.find_next_offset()
        if end is None:
            return False
        try:
            return topic.append(KEY_PREFIX + self._name, content, end)
        except LogDownError as error:
            logger.debug('registration append failed', why=error.text)
            return False


class ListenerGroup(Listener):
    """Listener that passes each record to several others."""

    def __init__(self, *listeners: Listener) -> None:
        """Create a group of listeners, called in this order."""
        self._listeners = listeners

    def apply(self, key: str, content: bytes | None) -> None:
        """Pass the newest content of a key to all listeners."""
        for listener in self._listeners:
            listener.apply(key, content)
