"""The entries that share a fleet's limits, as they register in the store."""

import time
from typing import Final

from loguru import logger

from ..errors import LogDownError
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic

PREFIX: Final = 'entry/'
#: Tries to register or leave before it is given up.
MAX_TRIES: Final = 20
PAUSE_SECONDS: Final = 0.25


class EntryBook(Listener):
    """Registered entries; one that was killed stays until it starts again.

    Limits are divided among them, so one too many only makes shares smaller.
    """

    def __init__(self, name: str) -> None:
        """Keep this entry's name."""
        self._name = name
        self._entries: set[str] = set()
        self._is_leaving = False

    def apply(self, key: str, content: bytes | None) -> None:
        """Take an entry's registration or its end."""
        if not key.startswith(PREFIX):
            return
        if content is None:
            self._entries.discard(key)
        else:
            self._entries.add(key)
        logger.info('entries known', entries=len(self._entries), changed=key)

    def count(self) -> int:
        """Return the registered entries, at least one."""
        return max(1, len(self._entries))

    def is_registered(self) -> bool:
        """Return True if this entry's registration was read back."""
        return PREFIX + self._name in self._entries

    def register(self, topic: Topic, feed: Feed) -> None:
        """Register this entry, unless that was read back before."""
        self._write(topic, feed, b'1')

    def leave(self, topic: Topic, feed: Feed) -> None:
        """Withdraw the registration."""
        self._is_leaving = True
        self._write(topic, feed, None)

    def _write(self, topic: Topic, feed: Feed, content: bytes | None) -> None:
        wanted = content is not None
        for _ in range(MAX_TRIES):
            end = feed.find_end()
            is_outdated = wanted and self._is_leaving
            if is_outdated or self.is_registered() is wanted:
                return
            if end is not None:
                try:
                    topic.append(PREFIX + self._name, content, end)
                except LogDownError as error:
                    logger.debug('not registered', why=error.text)
            time.sleep(PAUSE_SECONDS)


class Listeners(Listener):
    """Several listeners of one topic."""

    def __init__(self, *listeners: Listener) -> None:
        """Keep them."""
        self._listeners = listeners

    def apply(self, key: str, content: bytes | None) -> None:
        """Tell all of them."""
        for listener in self._listeners:
            listener.apply(key, content)
