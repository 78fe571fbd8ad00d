"""Changes by operators, and the interface that decodes store records."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .objects import EndpointRecord, RolloutOrder, RoutingTable


class TableChange(NamedTuple):
    """A new revision of the routing configuration."""

    table: RoutingTable


class RolloutChange(NamedTuple):
    """A roll-out order, or None if it was withdrawn."""

    service: str
    order: RolloutOrder | None


class ZoneChange(NamedTuple):
    """An availability zone was evacuated or restored."""

    zone: str
    is_out: bool


OperatorChange = TableChange | RolloutChange | ZoneChange


class RolloutStatus(NamedTuple):
    """Progress of a roll-out."""

    service: str
    #: "running", "done" or "back" (rolled back).
    state: str
    target: str


class Decoder(ABC):
    """Decodes and encodes store records.

    All methods that decode raise one of errors.DECODE_ERRORS.
    """

    @abstractmethod
    def decode_operator(
        self,
        key: str,
        content: bytes | None,
    ) -> OperatorChange | None:
        """Return an operator's change, or None for an unrelated key.

        content is None for a deleted record.
        """

    @abstractmethod
    def decode_endpoint(self, key: str, content: bytes) -> EndpointRecord:
        """Return an endpoint's registration."""

    @abstractmethod
    def decode_status(self, key: str, content: bytes) -> RolloutStatus | None:
        """Return a roll-out's status, or None for an unrelated key."""

    @abstractmethod
    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return key and content of the record for a roll-out's status."""
