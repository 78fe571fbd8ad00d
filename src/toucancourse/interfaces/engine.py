"""Load reports of model engines, and commands to load versions."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, CourseError
from .calls import call_json


class LoadReport(NamedTuple):
    """State reported by an engine; may be some time old."""

    #: Loaded "model@version" names.
    versions: tuple[str, ...]
    cold: bool
    #: Requests in flight.
    running: int


class Engine(ABC):
    """Control interface of a model engine."""

    @abstractmethod
    def fetch_load(self) -> LoadReport | None:
        """Return the newest report, or None if there is no valid one."""

    @abstractmethod
    def order(self, action: str, version: str, fence: int) -> None:
        """Send the command "load" or "unload" for a version.

        The fence is a fencing token. Raises PlatformDownError, or
        PlatformRefusedError for an outdated token.
        """


class HttpEngine(Engine):
    """An engine reached by HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client for one engine; the timeout is in seconds."""
        self._url = url
        self._timeout = timeout

    def fetch_load(self) -> LoadReport | None:
        """Return the newest report, or None if there is no valid one."""
        try:
            report = call_json(
                'GET', f'{self._url}/load', timeout=self._timeout
            )
            return LoadReport(
                tuple(report['versions']),
                bool(report['cold']),
                int(report['running']),
            )
        except (CourseError, *DECODE_ERRORS) as error:
            logger.debug('no load report', url=self._url, why=repr(error))
            return None

    def order(self, action: str, version: str, fence: int) -> None:
        """Send the command "load" or "unload" for a version."""
        body = {'action': action, 'version': version, 'fence': fence}
        call_json('POST', f'{self._url}/orders', body, timeout=self._timeout)
