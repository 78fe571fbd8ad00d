"""The platform's lagging list of instances."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .calls import fetch_changed


class Instance(NamedTuple):
    """One listed instance of a daemon."""

    name: str
    role: str
    zone: str
    #: "host:port" of the peer stream (sidecar) or admin API (entry).
    address: str
    leaving: bool


class InstanceList(ABC):
    """Live and leaving instances, as of some seconds ago."""

    @abstractmethod
    def fetch(self) -> tuple[Instance, ...]:
        """Return the list.

        Raises PlatformDownError or PlatformRefusedError.
        """


class HttpInstanceList(InstanceList):
    """The list behind its HTTP interface."""

    def __init__(self, url: str, timeout: float) -> None:
        """Keep the address and the timeout in seconds."""
        self._url = url
        self._timeout = timeout
        self._tag = ''
        self._last: tuple[Instance, ...] = ()

    def fetch(self) -> tuple[Instance, ...]:
        """Return the list, sent again only if it changed."""
        answer = fetch_changed(
            f'{self._url}/instances', self._tag, timeout=self._timeout
        )
        if answer is None:
            return self._last
        self._last = tuple(
            Instance(
                row['name'],
                row['role'],
                row['zone'],
                row['address'],
                row['state'] == 'leaving',
            )
            for row in answer.value['instances']
        )
        self._tag = answer.tag
        return self._last
