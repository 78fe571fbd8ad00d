"""Client of the platform's service that rates response quality."""

from abc import ABC, abstractmethod

from .calls import call_json


class Rater(ABC):
    """Rates the quality of responses."""

    @abstractmethod
    def rate(self, kind: str, version: str, answer: str) -> float:
        """Return a rating in [0, 1].

        Raises PlatformDownError or PlatformRefusedError.
        """


class HttpRater(Rater):
    """A rating service reached by HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client for one URL; the timeout is in seconds."""
        self._url = url
        self._timeout = timeout

    def rate(self, kind: str, version: str, answer: str) -> float:
        """Return a rating in [0, 1]."""
        body = {'kind': kind, 'version': version, 'answer': answer}
        url = f'{self._url}/rate'
        return float(
            call_json('POST', url, body, timeout=self._timeout)['rating']
        )
