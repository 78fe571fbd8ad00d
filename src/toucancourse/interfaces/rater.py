"""The platform's service that rates answers."""

from abc import ABC, abstractmethod

from .calls import call_json


class Rater(ABC):
    """Rates how good an answer is."""

    @abstractmethod
    def rate(self, kind: str, version: str, answer: str) -> float:
        """Return a rating in [0, 1].

        Raises PlatformDownError or PlatformRefusedError.
        """


class HttpRater(Rater):
    """The rater behind its HTTP interface."""

    def __init__(self, url: str, timeout: float) -> None:
        """Keep the address and the timeout in seconds."""
        self._url = url
        self._timeout = timeout

    def rate(self, kind: str, version: str, answer: str) -> float:
        """Return a rating in [0, 1]."""
        body = {'kind': kind, 'version': version, 'answer': answer}
        url = f'{self._url}/rate'
        return float(
            call_json('POST', url, body, timeout=self._timeout)['rating']
        )
