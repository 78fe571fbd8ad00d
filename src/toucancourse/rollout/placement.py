"""Orders to the engine beside a sidecar, from its placement object.

The revision of the placement is the fencing number of its orders. An engine
that checks fences refuses the orders of an older plan; one that ignores them
is read back and corrected, since only its own sidecar gives it orders.
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
    """One order that brings the engine nearer to its placement."""

    action: str
    version: str
    fence: int


def list_orders(
    state: State,
    instance: str,
    loaded: tuple[str, ...],
) -> Iterator[Order]:
    """Yield the orders that are missing; none without a placement.

    A withdrawn version is unloaded, whatever the placement says. Versions
    are loaded before others are unloaded.
    """
    name = f'placement/{instance}'
    body = state.body(name)
    if body is None:
        return
    wanted = [version for version in body['versions'] if state.is_live(version)]
    fence = state.revision(name)
    for version in wanted:
        if version not in loaded:
            yield Order('load', version, fence)
    for version in loaded:
        if version not in wanted:
            yield Order('unload', version, fence)


class Placer:
    """Gives an engine its orders, one at a time."""

    def __init__(
        self,
        instance: str,
        engine: Engine,
        weights: WeightStore,
    ) -> None:
        """Keep the parts."""
        self._instance = instance
        self._engine = engine
        self._weights = weights

    def check(self, state: State, loaded: tuple[str, ...]) -> Order | None:
        """Give the first missing order, if any, and return it."""
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
            logger.error('the engine refused {}: {}', order, error)
            return None
        except CourseError as error:
            logger.warning('order {} is repeated: {}', order, error)
            return None
        return order
