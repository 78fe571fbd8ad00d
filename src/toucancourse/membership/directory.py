"""The instances known from the platform's list."""

import hashlib
import threading
from collections.abc import Callable, Iterable

from loguru import logger

from ..errors import CourseError
from ..interfaces.instances import Instance, InstanceList
from .freshness import Freshness


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous-hash order for a key."""
    return sorted(
        names,
        key=lambda name: hashlib.blake2b(
            f'{key}\0{name}'.encode(), digest_size=8
        ).digest(),
    )


class Directory:
    """The last list received; kept while the list is unreachable."""

    def __init__(
        self,
        source: InstanceList,
        freshness: Freshness,
        name: str,
        period_seconds: float,
    ) -> None:
        """Start empty; run() fills it. The name is this instance's own."""
        self._name = name
        self._source = source
        self._freshness = freshness
        self._period = period_seconds
        self._instances: tuple[Instance, ...] = ()
        self._stop = threading.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return the last list."""
        return self._instances

    def listen(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def sidecars(self) -> tuple[Instance, ...]:
        """Return the listed sidecars."""
        return tuple(row for row in self._instances if row.role == 'sidecar')

    def entries(self) -> tuple[Instance, ...]:
        """Return the listed entries that are not leaving."""
        return tuple(
            row
            for row in self._instances
            if row.role == 'entry' and not row.leaving
        )

    def is_reader(self, name: str, zone: str, readers: int) -> bool:
        """Return True if an instance is one of its zone's log readers.

        True also for an instance that the list doesn't show yet.
        """
        names = {row.name for row in self._instances if row.zone == zone}
        return name in rank(zone, names | {name})[:readers]

    def is_writer(self, name: str, writers: int) -> bool:
        """Return True if an entry is one of those that write snapshots.

        True also for an entry that the list doesn't show yet.
        """
        names = {row.name for row in self.entries()}
        return name in rank('snapshots', names | {name})[:writers]

    def refresh(self) -> None:
        """Fetch the list once; keep the old one if that fails."""
        before = self._instances
        try:
            self._instances = self._source.fetch()
        except (CourseError, KeyError, TypeError) as error:
            logger.warning('instance list not read: {}', error)
            return
        self._freshness.expect_zones(
            {row.zone for row in self._instances if row.name != self._name}
        )
        if self._instances != before:
            for listener in self._listeners:
                listener()

    def run(self) -> None:
        """Refresh until stopped."""
        while not self._stop.is_set():
            self.refresh()
            self._stop.wait(self._period)

    def stop(self) -> None:
        """End run()."""
        self._stop.set()
