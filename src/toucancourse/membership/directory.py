"""The instances that the platform lists."""

import hashlib
import threading
from collections.abc import Callable, Iterable

from loguru import logger

from ..errors import CourseError
from ..interfaces.instances import Instance, InstanceList
from .freshness import Freshness


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of their rendezvous hash with a key."""
    return sorted(
        names,
        key=lambda name: hashlib.blake2b(
            f'{key}\0{name}'.encode(), digest_size=8
        ).digest(),
    )


class InstanceDirectory:
    """The last instance list fetched; kept while the platform is down."""

    def __init__(
        self,
        source: InstanceList,
        freshness: Freshness,
        name: str,
        period_seconds: float,
    ) -> None:
        """Create an empty directory, filled by run() or refresh().

        The name is that of this process's own instance.
        """
        self._name = name
        self._source = source
        self._freshness = freshness
        self._period_seconds = period_seconds
        self._instances: tuple[Instance, ...] = ()
        self._stop = threading.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all instances of the last list."""
        return self._instances

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the list."""
        self._listeners.append(listener)

    def sidecars(self) -> tuple[Instance, ...]:
        """Return the listed sidecars."""
        return tuple(
            instance
            for instance in self._instances
            if instance.role == 'sidecar'
        )

    def entries(self) -> tuple[Instance, ...]:
        """Return the listed entries that are not shutting down."""
        return tuple(
            instance
            for instance in self._instances
            if instance.role == 'entry' and not instance.leaving
        )

    def is_log_reader(self, name: str, zone: str, readers: int) -> bool:
        """Return True if an instance is one of its zone's elected log readers.

        An instance that is not listed yet counts as listed.
        """
        names = {
            instance.name
            for instance in self._instances
            if instance.zone == zone
        }
        return name in rank_by_hash(zone, names | {name})[:readers]

    def is_snapshot_writer(self, name: str, writers: int) -> bool:
        """Return True if an entry is one of the elected snapshot writers.

        An entry that is not listed yet counts as listed.
        """
        names = {instance.name for instance in self.entries()}
        return name in rank_by_hash('snapshots', names | {name})[:writers]

    def refresh(self) -> None:
        """Fetch the list once; keep the previous one if that fails."""
        previous = self._instances
        try:
            self._instances = self._source.fetch()
        except (CourseError, KeyError, TypeError) as error:
            logger.warning('could not fetch the instance list: {}', error)
            return
        self._freshness.update_zones(
            {
                instance.zone
                for instance in self._instances
                if instance.name != self._name
            }
        )
        if self._instances != previous:
            for listener in self._listeners:
                listener()

    def run(self) -> None:
        """Refresh the list periodically until stop() is called."""
        while not self._stop.is_set():
            self.refresh()
            self._stop.wait(self._period_seconds)

    def stop(self) -> None:
        """Make run() return."""
        self._stop.set()
