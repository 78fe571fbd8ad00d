"""Raw HTTP requests, and the interface that decodes and encodes headers."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .objects import AttemptOptions, Call, Headers, ResponseHead


class RawRequest(NamedTuple):
    """One completely received HTTP request."""

    method: str
    #: Request target: path and query, still percent-encoded.
    target: str
    headers: Headers
    body: bytes
    #: time.monotonic() when the request was complete.
    received: float


class Codec(ABC):
    """Maps the headers of callers and endpoints to the router's types."""

    @abstractmethod
    def decode_call(self, raw: RawRequest) -> Call:
        """Return the decoded request of a caller.

        Raises one of errors.DECODE_ERRORS.
        """

    @abstractmethod
    def encode_attempt_headers(
        self, call: Call, options: AttemptOptions
    ) -> Headers:
        """Return the headers to send to one endpoint."""

    @abstractmethod
    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the decoded head of an endpoint's response."""
