"""Collaborators that all forwarded requests of an entry share."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission.limits import WindowBudget
from ..admission.slots import StreamSlots
from ..membership.startup import StartupBarrier
from ..routing.endpoints import Outliers
from .admission import Admission
from .connections import ConnectionPool
from .messages import Codec
from .metrics import ForwardingMetrics
from .prefill import PrefillEstimator
from .quarantine import Quarantine
from .rollouts import Rollouts
from .shutdown import Shutdown


class RelayContext(NamedTuple):
    """Shared collaborators, settings and callbacks of the relay."""

    codec: Codec
    admission: Admission
    connections: ConnectionPool
    rollouts: Rollouts
    outliers: Outliers
    metrics: ForwardingMetrics
    prefill: PrefillEstimator
    quarantine: Quarantine
    startup: StartupBarrier
    streams: StreamSlots
    #: Service name -> its retry budget.
    find_retry_budget: Callable[[str], WindowBudget]
    #: Returns this entry's share of what all entries may use together.
    find_fleet_share: Callable[[], float]
    #: Returns the age of the configuration's freshness proof, in seconds.
    find_proof_age: Callable[[], float]
    #: Time within which a withdrawn API key must be refused.
    revocation_seconds: float
    shutdown: Shutdown
