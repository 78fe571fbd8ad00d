"""Load reports of model engines and orders to them."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..errors import DECODE_ERRORS, CourseError
from .calls import call_json


class LoadReport(NamedTuple):
    """What an engine says of itself, as of some time ago."""

    #: Loaded "model@version" names.
    versions: tuple[str, ...]
    cold: bool
    running: int


class Engine(ABC):
    """A model engine's control side."""

    @abstractmethod
    def fetch_load(self) -> LoadReport | None:
        """Return the newest report, or None if the engine is silent."""

    @abstractmethod
    def order(self, action: str, version: str, fence: int) -> None:
        """Order "load" or "unload" of a version.

        Raises PlatformDownError, or PlatformRefusedError for an old fence.
        """


class HttpEngine(Engine):
    """An engine behind its HTTP interface."""

    def __init__(self, url: str, timeout: float) -> None:
        """Keep the address and the timeout in seconds."""
        self._url = url
        self._timeout = timeout

    def fetch_load(self) -> LoadReport | None:
        """Return the newest report, or None if the engine is silent."""
        try:
            row = call_json('GET', f'{self._url}/load', timeout=self._timeout)
            return LoadReport(
                tuple(row['versions']), bool(row['cold']), int(row['running'])
            )
        except (CourseError, *DECODE_ERRORS):
            return None

    def order(self, action: str, version: str, fence: int) -> None:
        """Order "load" or "unload" of a version."""
        body = {'action': action, 'version': version, 'fence': fence}
        call_json('POST', f'{self._url}/orders', body, timeout=self._timeout)
