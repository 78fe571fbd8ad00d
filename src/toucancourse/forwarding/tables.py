"""The operators' configuration as this entry knows it."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, NotFoundError, UnauthorizedError
from ..membership.clock import read_clock
from ..membership.feeds import Listener
from .objects import Account, Call, RolloutOrder, Route, RoutingTable
from .records import Decoder, RolloutChange, TableChange, ZoneChange

#: Stands for callers of routes that need no key.
ANONYMOUS = Account('', None)


def _ignore_return(_: str) -> None:
    """Do nothing about a zone that is taken back."""


class TimedOrder(NamedTuple):
    """A roll-out order and when it was first seen here."""

    order: RolloutOrder
    #: read_clock() of the first sight.
    seen: float


class _Index(NamedTuple):
    table: RoutingTable
    #: Host -> its routes, longest prefix first.
    hosts: Mapping[str, tuple[Route, ...]]


class OperatorBook(Listener):
    """Newest configuration, roll-out orders and zones taken out."""

    def __init__(
        self,
        decoder: Decoder,
        on_return: Callable[[str], None] = _ignore_return,
    ) -> None:
        """Start with nothing known; on_return is told of zones taken back."""
        self._decoder = decoder
        self._on_return = on_return
        self._lock = threading.Lock()
        self._index: _Index | None = None
        self._orders: dict[str, TimedOrder] = {}
        self._zones_out: frozenset[str] = frozenset()

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest configuration, or None if none is known."""
        return self._index.table if self._index else None

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that get no work."""
        return self._zones_out

    def orders(self) -> tuple[TimedOrder, ...]:
        """Return the roll-out orders that stand."""
        with self._lock:
            return tuple(self._orders.values())

    def order(self, service: str) -> TimedOrder | None:
        """Return a service's roll-out order."""
        return self._orders.get(service)

    def find_route(self, call: Call) -> Route:
        """Return the route with the longest prefix of the call's path.

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
        """Return the account that holds the call's key.

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
        """Take the newest content of a key."""
        try:
            change = self._decoder.decode_operator(key, content)
        except DECODE_ERRORS as error:
            logger.error('record not read', key=key, why=repr(error))
            return
        if isinstance(change, TableChange):
            self._take_table(change.table)
        elif isinstance(change, ZoneChange):
            self._take_zone(change)
        elif isinstance(change, RolloutChange):
            self._take_order(change)

    def _take_table(self, table: RoutingTable) -> None:
        known = self.table
        if known is not None and table.revision <= known.revision:
            return
        hosts: dict[str, list[Route]] = {}
        for route in table.routes:
            hosts.setdefault(route.host, []).append(route)
        self._index = _Index(
            table,
            {
                host: tuple(sorted(routes, key=_rank_route))
                for host, routes in hosts.items()
            },
        )
        logger.info(
            'configuration in force',
            revision=table.revision,
            before=known.revision if known else None,
            routes=len(table.routes),
            keys=len(table.accounts),
        )

    def _take_zone(self, change: ZoneChange) -> None:
        if change.is_out:
            self._zones_out |= {change.zone}
        else:
            self._on_return(change.zone)
            self._zones_out -= {change.zone}
        logger.info('zone changed', zone=change.zone, is_out=change.is_out)

    def _take_order(self, change: RolloutChange) -> None:
        with self._lock:
            if change.order is None:
                self._orders.pop(change.service, None)
            else:
                self._orders[change.service] = TimedOrder(
                    change.order, read_clock()
                )
        logger.info(
            'roll-out ordered',
            service=change.service,
            target=change.order.target if change.order else None,
        )


def _rank_route(route: Route) -> int:
    """Return a key that sorts long prefixes first."""
    return -len(route.prefix)
