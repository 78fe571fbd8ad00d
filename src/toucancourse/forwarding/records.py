"""What operators' records say, and what decodes the store's records."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .objects import EndpointRecord, RolloutOrder, RoutingTable


class TableChange(NamedTuple):
    """A new configuration."""

    table: RoutingTable


class RolloutChange(NamedTuple):
    """A roll-out was ordered, or the order withdrawn."""

    service: str
    order: RolloutOrder | None


class ZoneChange(NamedTuple):
    """An availability zone is taken out or back."""

    zone: str
    is_out: bool


OperatorChange = TableChange | RolloutChange | ZoneChange


class RolloutStatus(NamedTuple):
    """How a roll-out stands."""

    service: str
    #: "running", "done" or "back".
    state: str
    target: str


class Decoder(ABC):
    """Decodes records; all methods raise one of errors.DECODE_ERRORS."""

    @abstractmethod
    def decode_operator(
        self,
        key: str,
        content: bytes | None,
    ) -> OperatorChange | None:
        """Return what an operator's record says, or None if not ours."""

    @abstractmethod
    def decode_endpoint(self, key: str, content: bytes) -> EndpointRecord:
        """Return what an endpoint tells of itself."""

    @abstractmethod
    def decode_status(self, key: str, content: bytes) -> RolloutStatus | None:
        """Return how a roll-out stands, or None for another record."""

    @abstractmethod
    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return key and content of a roll-out's status."""
