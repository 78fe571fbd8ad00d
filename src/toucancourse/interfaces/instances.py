"""The platform's list of instances, which lags by some seconds."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .calls import fetch_if_changed


class Instance(NamedTuple):
    """One listed instance of a daemon."""

    name: str
    role: str
    zone: str
    #: "host:port" of the peer stream (sidecar) or admin API (entry).
    address: str
    leaving: bool


class InstanceList(ABC):
    """Live and draining instances, as of some seconds ago."""

    @abstractmethod
    def fetch(self) -> tuple[Instance, ...]:
        """Return the list.

        Raises PlatformDownError or PlatformRefusedError.
        """


class HttpInstanceList(InstanceList):
    """The list of a server reached by HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client for one URL; the timeout is in seconds."""
        self._url = url
        self._timeout = timeout
        self._tag = ''
        self._last: tuple[Instance, ...] = ()

    def fetch(self) -> tuple[Instance, ...]:
        """Return the list; unchanged, it isn't transferred again (ETag)."""
        answer = fetch_if_changed(
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
