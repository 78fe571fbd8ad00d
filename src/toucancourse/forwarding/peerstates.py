"""What entries tell each other on their report streams."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Final, NamedTuple

from .loads import Workload


class Slowness(NamedTuple):
    """Latency at one endpoint relative to what was expected there."""

    #: Seen over expected seconds; above 1 at an endpoint that is slow.
    ratio: float
    #: Responses that it was learnt from, older ones counting less.
    samples: int


NO_SLOWNESS: Final = Slowness(1.0, 0)
_NOTHING: Final[Mapping[int, float]] = {}
_NO_ENDPOINTS: Final[Mapping[int, Slowness]] = {}


class LocalState(NamedTuple):
    """State that an entry reports to the others, or what changed of it."""

    #: Endpoint's digest -> this entry's workload there.
    workloads: Mapping[int, Workload]
    #: Digest of a session pinned to a baseline version -> read_clock() of
    #: its end.
    sessions: Mapping[int, float]
    #: Endpoint's digest -> how slow it is, as this entry learnt.
    slowness: Mapping[int, Slowness] = _NO_ENDPOINTS
    #: Client account's digest -> seconds of endpoint time that this entry
    #: gave it per second, averaged over the last seconds.
    accounts: Mapping[int, float] = _NOTHING


class StateListener(ABC):
    """Receives the reports of other entries; called by several threads."""

    @abstractmethod
    def update(self, instance: str, stream: object, state: LocalState) -> None:
        """Apply what changed at an entry, as it reported on a stream.

        The first reports of a stream have the whole state.
        """

    @abstractmethod
    def drop(self, instance: str, stream: object) -> None:
        """Forget an entry whose stream ended, unless it opened another."""
