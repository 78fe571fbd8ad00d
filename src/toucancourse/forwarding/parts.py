"""What every request of an entry uses."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission.limits import WindowBudget
from ..membership.startup import Startup
from ..routing.endpoints import Outliers
from .admission import Admission
from .connections import Connections
from .messages import Codec
from .metrics import ForwardingMetrics
from .prefill import PrefillEstimator
from .rollouts import Rollouts


class RelayParts(NamedTuple):
    """Parts that requests share."""

    codec: Codec
    admission: Admission
    connections: Connections
    rollouts: Rollouts
    outliers: Outliers
    metrics: ForwardingMetrics
    pace: PrefillEstimator
    startup: Startup
    find_budget: Callable[[str], WindowBudget]
    count_entries: Callable[[], int]
    find_age: Callable[[], float]
    revocation_seconds: float
