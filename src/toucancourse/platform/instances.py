"""The platform's lagging list of instances."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .calls import call_json


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

    def fetch(self) -> tuple[Instance, ...]:
        """Return the list."""
        answer = call_json(
            'GET', f'{self._url}/instances', timeout=self._timeout
        )
        return tuple(
            Instance(
                row['name'],
                row['role'],
                row['zone'],
                row['address'],
                row['state'] == 'leaving',
            )
            for row in answer['instances']
        )
