"""Requests and answers as they are received, and what decodes them."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .objects import Call, Head, Headers, Order


class RawRequest(NamedTuple):
    """One whole HTTP request."""

    method: str
    #: Path and query as they were received.
    target: str
    headers: Headers
    body: bytes
    #: time.monotonic() of its last byte.
    received: float


class Codec(ABC):
    """Header names of callers and endpoints."""

    @abstractmethod
    def decode_call(self, raw: RawRequest) -> Call:
        """Return a caller's request.

        Raises one of errors.DECODE_ERRORS.
        """

    @abstractmethod
    def encode_order(self, call: Call, order: Order) -> Headers:
        """Return the headers of a request to one endpoint."""

    @abstractmethod
    def decode_head(self, status: int, headers: Headers) -> Head:
        """Return the start of an endpoint's answer."""
