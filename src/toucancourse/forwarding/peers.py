"""Registry of the entries that share the limits of a fleet."""

import math
import time
from collections.abc import Callable, Collection
from typing import Final

from loguru import logger

from ..errors import LogDownError
from ..membership.clock import read_clock
from ..membership.directory import rank_by_hash
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic

KEY_PREFIX: Final = 'entry/'
#: Attempts to remove the registration, and the pause between them: the process
#: is about to exit.
MAX_ATTEMPTS: Final = 5
RETRY_SECONDS: Final = 0.1
#: Age of the freshness proof from which other entries may have registered that
#: this one doesn't know; a long poll usually renews it sooner.
MAX_PROOF_AGE_SECONDS: Final = 3.5
#: Time from its registration until an entry uses its share. The others know of
#: it by then, or have reduced their own.
SETTLE_SECONDS: Final = 4.0
#: Number of entries from which a few of them read the store for all, the least
#: number of those, and the number of entries that each may serve. They read
#: more often than an entry that reads for itself.
MIN_SHARING_ENTRIES: Final = 10
MIN_READERS: Final = 2
READER_ENTRIES: Final = 20
READER_SEED: Final = 'topic readers'
#: Factor of a share while others may be unknown: as many entries may be added.
STALE_SHARE: Final = 0.5
#: Registered by an entry that other entries can't connect to.
NO_ADDRESS: Final = '-'


def _always_fresh() -> float:
    """Return the proof age of a registry that needs no proof."""
    return 0.0


class EntryRegistry(Listener):
    """Registered entries; a killed one stays until it starts again.

    Limits are divided among them, so a stale registration only makes the
    shares smaller.
    """

    def __init__(
        self,
        name: str,
        address: str,
        find_proof_age: Callable[[], float] = _always_fresh,
    ) -> None:
        """Create an empty registry for an entry with a name.

        The address is the "host:port" for other entries, or ''. find_proof_age
        returns the age of the registry's freshness proof in seconds.
        """
        self._name = name
        self._address = address or NO_ADDRESS
        self._find_proof_age = find_proof_age
        #: Key -> "host:port" of the entry.
        self._entries: dict[str, str] = {}
        self._is_deregistering = False
        self._has_appended = False
        #: read_clock() from which this entry uses its share of the limits.
        self._shares_from = float('-inf')

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

    def record_restore(self, missing: Collection[str]) -> None:
        """Let this entry register once more: the store may have lost it."""
        self._has_appended = False

    def count(self) -> int:
        """Return the number of registered entries, at least one."""
        return max(1, len(self._entries))

    def find_fleet_share(self) -> float:
        """Return this entry's share of what all entries may use together.

        It is 0 until the others must know of this entry, since they divide
        the whole among those that they know. It is halved while this entry
        may not know of all others.
        """
        if not self.is_registered() or read_clock() < self._shares_from:
            return 0.0
        share = 1.0 / self.count()
        if self._find_proof_age() > MAX_PROOF_AGE_SECONDS:
            return STALE_SHARE * share
        return share

    def compute_share(self, limit: float, key: str) -> float:
        """Return this entry's share of a limit that all entries share.

        If the limit is less than one per entry, rendezvous hashing of the
        key selects the entries that get one; the others get none.
        """
        share = self.find_fleet_share() * limit
        if limit >= self.count() or not share:
            return share
        first = rank_by_hash(key, tuple(self._entries))[: int(limit)]
        return float(KEY_PREFIX + self._name in first)

    def find_turn(self, key: str) -> int:
        """Return this entry's place in the entries' order for a key.

        Rendezvous hashing gives the same order at all entries; 0 is the first.
        """
        own_key = KEY_PREFIX + self._name
        names = tuple(self._entries.keys() | {own_key})
        return rank_by_hash(key, names).index(own_key)

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

    def list_readers(self) -> tuple[str, ...]:
        """Return the addresses of the entries that read topics for this one.

        The preferred one is first. Returns () if this entry reads for itself:
        in a small fleet, or if it is one of those that read for others.
        """
        entries = {
            key: address
            for key, address in tuple(self._entries.items())
            if ':' in address
        }
        own_key = KEY_PREFIX + self._name
        if len(entries) < MIN_SHARING_ENTRIES or own_key not in entries:
            return ()
        count = max(MIN_READERS, math.ceil(len(entries) / READER_ENTRIES))
        readers = rank_by_hash(READER_SEED, tuple(entries))[:count]
        if own_key in readers:
            return ()
        preferred = rank_by_hash(own_key, readers)[:MIN_READERS]
        return tuple(entries[key] for key in preferred)

    def is_reader(self) -> bool:
        """Return True if this entry reads topics for others."""
        return (
            len(self._entries) >= MIN_SHARING_ENTRIES
            and self.is_registered()
            and not self.list_readers()
        )

    def ensure_registered(self, topic: Topic, feed: Feed) -> None:
        """Register this entry unless its registration was read.

        Must be called repeatedly: the registration may be lost, or be removed
        by a late call of an earlier process of the same name. Each process
        appends it once, since that voids such a call.
        """
        if self._is_deregistering or feed.find_next_offset() is None:
            return
        if self.is_registered():
            if self._has_appended:
                return
        else:
            self._shares_from = read_clock() + SETTLE_SECONDS
        try:
            topic.append(KEY_PREFIX + self._name, self._address.encode())
        except LogDownError as error:
            logger.debug('registration append failed', why=error.text)
            return
        self._has_appended = True

    def deregister(self, topic: Topic, feed: Feed) -> None:
        """Remove the registration, also one that was not read back yet."""
        self._is_deregistering = True
        for _ in range(MAX_ATTEMPTS):
            if self._remove(topic, feed):
                return
            time.sleep(RETRY_SECONDS)

    def _remove(self, topic: Topic, feed: Feed) -> bool:
        """Append the removal unless the topic has unread records before it.

        Without that condition, a call that got no response might remove the
        registration of the next process. Returns True if it was appended.
        """
        end = feed.find_next_offset()
        if end is None:
            return False
        try:
            return topic.append(KEY_PREFIX + self._name, None, end)
        except LogDownError as error:
            logger.debug('registration removal failed', why=error.text)
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

    def record_restore(self, missing: Collection[str]) -> None:
        """Tell all listeners that the store came back from an older copy."""
        for listener in self._listeners:
            listener.record_restore(missing)
