"""Operators' configuration, roll-out orders and zones out of service."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, NotFoundError, UnauthorizedError
from ..membership.clock import read_clock
from ..membership.feeds import Listener
from .objects import Account, Call, RolloutOrder, Route, RoutingTable
from .records import Decoder, RolloutChange, TableChange, ZoneChange

#: Account of callers on routes that need no key.
ANONYMOUS = Account('', None)


def _ignore_zone(_: str) -> None:
    """Do nothing when a zone returns to service."""


class TimedOrder(NamedTuple):
    """A roll-out order and when this entry received it."""

    order: RolloutOrder
    #: read_clock() of its receipt.
    received_at: float


class _RouteIndex(NamedTuple):
    table: RoutingTable
    #: Host -> its routes, longest prefix first.
    hosts: Mapping[str, tuple[Route, ...]]


class OperatorConfig(Listener):
    """Newest configuration, roll-out orders and zones out of service."""

    def __init__(
        self,
        decoder: Decoder,
        on_zone_return: Callable[[str], None] = _ignore_zone,
    ) -> None:
        """Create a configuration without any record.

        on_zone_return is called with each zone that returns to service.
        """
        self._decoder = decoder
        self._on_zone_return = on_zone_return
        self._lock = threading.Lock()
        self._index: _RouteIndex | None = None
        self._orders: dict[str, TimedOrder] = {}
        self._zones_out: frozenset[str] = frozenset()

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest configuration, or None before the first one."""
        return self._index.table if self._index else None

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that get no requests."""
        return self._zones_out

    def orders(self) -> tuple[TimedOrder, ...]:
        """Return the active roll-out orders."""
        with self._lock:
            return tuple(self._orders.values())

    def order(self, service: str) -> TimedOrder | None:
        """Return a service's active roll-out order, or None."""
        return self._orders.get(service)

    def find_route(self, call: Call) -> Route:
        """Return the route with the longest prefix of the request's path.

        Raises NotFoundError.
        """
        index = self._index
        host = call.host.lower()
        path = call.find_path()
        if index is not None:
            for route in index.hosts.get(host, ()):
                if path.startswith(route.prefix):
                    return route
        raise NotFoundError(f'host "{host}" has no route for path "{path}"')

    def find_account(self, call: Call, route: Route) -> Account:
        """Return the account that the request's API key belongs to.

        Raises UnauthorizedError.
        """
        table = self.table
        if table is None or route.anonymous or not table.has_accounts:
            return ANONYMOUS
        account = table.accounts.get(call.api_key)
        if account is None:
            raise UnauthorizedError('the API key is missing or unknown')
        return account

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply the newest content of a key."""
        try:
            change = self._decoder.decode_operator(key, content)
        except DECODE_ERRORS as error:
            logger.error('invalid record ignored', key=key, why=repr(error))
            return
        if isinstance(change, TableChange):
            self._apply_table(change.table)
        elif isinstance(change, ZoneChange):
            self._apply_zone(change)
        elif isinstance(change, RolloutChange):
            self._apply_order(change)

    def _apply_table(self, table: RoutingTable) -> None:
        known = self.table
        if known is not None and table.revision <= known.revision:
            return
        hosts: dict[str, list[Route]] = {}
        for route in table.routes:
            hosts.setdefault(route.host, []).append(route)
        self._index = _RouteIndex(
            table,
            {
                host: tuple(sorted(routes, key=_compute_route_order))
                for host, routes in hosts.items()
            },
        )
        logger.info(
            'configuration applied',
            revision=table.revision,
            before=known.revision if known else None,
            routes=len(table.routes),
            keys=len(table.accounts),
        )

    def _apply_zone(self, change: ZoneChange) -> None:
        if change.is_out:
            self._zones_out |= {change.zone}
        else:
            self._on_zone_return(change.zone)
            self._zones_out -= {change.zone}
        logger.info('zone changed', zone=change.zone, is_out=change.is_out)

    def _apply_order(self, change: RolloutChange) -> None:
        with self._lock:
            if change.order is None:
                self._orders.pop(change.service, None)
            else:
                self._orders[change.service] = TimedOrder(
                    change.order, read_clock()
                )
        logger.info(
            'roll-out order changed',
            service=change.service,
            target=change.order.target if change.order else None,
        )


def _compute_route_order(route: Route) -> int:
    """Return a sort key that orders routes by longest prefix first."""
    return -len(route.prefix)
