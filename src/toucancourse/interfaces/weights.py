"""Client of the platform's rate-limited store of model weights."""

from abc import ABC, abstractmethod

from loguru import logger

from ..errors import CourseError
from .calls import call_json


class WeightStore(ABC):
    """Grants downloads of weights, a few at a time."""

    @abstractmethod
    def request_download(self, version: str) -> bool:
        """Return True if a download of the version may start now."""


class UnlimitedWeightStore(WeightStore):
    """A store without a limit, used if no weights_url is set."""

    def request_download(self, version: str) -> bool:
        """Return True."""
        return True


class HttpWeightStore(WeightStore):
    """A store reached by HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client for one URL; the timeout is in seconds."""
        self._url = url
        self._timeout = timeout

    def request_download(self, version: str) -> bool:
        """Return True if the store granted the download."""
        url = f'{self._url}/weights/{version}'
        try:
            call_json('GET', url, timeout=self._timeout)
        except CourseError as error:
            logger.debug('download not granted', url=url, why=error.text)
            return False
        return True
