"""The platform's rate-limited store of model weights."""

from abc import ABC, abstractmethod

from ..errors import CourseError
from .calls import call_json


class WeightStore(ABC):
    """Hands out weights, a few downloads at a time."""

    @abstractmethod
    def permit(self, version: str) -> bool:
        """Return True if a download may begin now."""


class FreeWeightStore(WeightStore):
    """A store without a limit, for fleets that have none set."""

    def permit(self, version: str) -> bool:
        """Return True."""
        return True


class HttpWeightStore(WeightStore):
    """The store behind its HTTP interface."""

    def __init__(self, url: str, timeout: float) -> None:
        """Keep the address and the timeout in seconds."""
        self._url = url
        self._timeout = timeout

    def permit(self, version: str) -> bool:
        """Return True if the store let a download begin."""
        url = f'{self._url}/weights/{version}'
        try:
            call_json('GET', url, timeout=self._timeout)
        except CourseError:
            return False
        return True
