"""Client of the platform's append-only log."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..errors import LogDownError
from .calls import PlatformDownError, PlatformRefusedError, call_json


class Entry(NamedTuple):
    """One record and its offset in the stream."""

    offset: int
    body: str


class Page(NamedTuple):
    """Some records of a stream, and the range of offsets in the log."""

    earliest: int
    end: int
    entries: tuple[Entry, ...]
    #: Seconds since the log was read for this page.
    age_seconds: float = 0


class Log(ABC):
    """Streams of text records, numbered from 0 in the order of append."""

    @abstractmethod
    def append(self, stream: str, body: str) -> int:
        """Append a record; return its offset.

        Raises LogDownError; the record may have been appended nevertheless.
        """

    @abstractmethod
    def read(
        self,
        stream: str,
        start: int,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> Page:
        """Return records from an offset on, or wait for the next one.

        Raises LogDownError.
        """


class HttpLog(Log):
    """The log of a server reached by HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client for one URL; the timeout is in seconds."""
        self._url = url
        self._timeout = timeout

    def append(self, stream: str, body: str) -> int:
        """Append a record; return its offset."""
        answer = self._call('POST', f'/streams/{stream}', {'body': body})
        return int(answer['offset'])

    def read(
        self,
        stream: str,
        start: int,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> Page:
        """Return records from an offset on."""
        wait_ms = int(wait_seconds * 1000)
        answer = self._call(
            'GET',
            f'/streams/{stream}?from={start}&limit={limit}&wait_ms={wait_ms}',
            extra_seconds=wait_seconds,
        )
        entries = tuple(
            Entry(int(offset), str(body)) for offset, body in answer['records']
        )
        return Page(int(answer['earliest']), int(answer['end']), entries)

    def _call(  # type: ignore[no-untyped-def]
        self,
        method: str,
        path: str,
        body: object = None,
        extra_seconds: float = 0,
    ):
        timeout = self._timeout + extra_seconds
        try:
            return call_json(method, self._url + path, body, timeout=timeout)
        except (PlatformDownError, PlatformRefusedError) as error:
            raise LogDownError(f'log call failed: {error.text}') from error
