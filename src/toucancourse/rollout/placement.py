"""Reconciliation of the engine beside a sidecar with its placement object.

The revision of the placement is the fencing token of its orders. An engine
that checks fencing tokens rejects the orders of an older placement. For one
that ignores them the sidecar compares what is loaded with the placement and
corrects it, since no other process gives this engine orders.
"""

from collections.abc import Iterator
from typing import NamedTuple

from loguru import logger

from ..contract.state import State
from ..errors import CourseError
from ..interfaces.calls import PlatformRefusedError
from ..interfaces.engine import Engine
from ..interfaces.weights import WeightStore


class Order(NamedTuple):
    """An order to an engine to load or unload one version."""

    action: str
    version: str
    fence: int


def list_orders(
    state: State,
    instance: str,
    loaded: tuple[str, ...],
) -> Iterator[Order]:
    """Yield the orders that make the engine match its placement.

    Without a placement there are none. A withdrawn version is unloaded even if
    the placement lists it. Versions are loaded before others are unloaded.
    """
    name = f'placement/{instance}'
    body = state.body(name)
    if body is None:
        return
    desired = [
        version for version in body['versions'] if state.is_live(version)
    ]
    fence = state.revision(name)
    for version in desired:
        if version not in loaded:
            yield Order('load', version, fence)
    for version in loaded:
        if version not in desired:
            yield Order('unload', version, fence)


class PlacementReconciler:
    """Brings an engine to the state of its placement, one order at a time."""

    def __init__(
        self,
        instance: str,
        engine: Engine,
        weights: WeightStore,
    ) -> None:
        """Create a reconciler for the engine of one instance.

        `weights` spaces the downloads of weights.
        """
        self._instance = instance
        self._engine = engine
        self._weights = weights

    def reconcile(self, state: State, loaded: tuple[str, ...]) -> Order | None:
        """Send the engine the next order, if any, and return it.

        Returns None if there is no order, if the weight store does not permit
        a download yet, or if the order failed; a later call tries again.
        """
        order = next(list_orders(state, self._instance, loaded), None)
        if order is None:
            return None
        if order.action == 'load' and not self._weights.request_download(
            order.version
        ):
            return None
        try:
            self._engine.order(*order)
        except PlatformRefusedError as error:
            logger.error('the engine rejected {}: {}', order, error)
            return None
        except CourseError as error:
            logger.warning('{} failed and will be retried: {}', order, error)
            return None
        return order
