"""What a new revision of the routing configuration changes for callers."""

from collections.abc import Iterator
from typing import NamedTuple

from .objects import Route, RoutingTable

#: Fields of a route that change nothing but what the text says.
_PLAIN_FIELDS = ('objective', 'event_pause', 'priority', 'models')


class Difference(NamedTuple):
    """A change of a table, and what it does to callers."""

    subject: str
    text: str
    effect: str


def compare_tables(old: RoutingTable, new: RoutingTable) -> list[Difference]:
    """Return how a new table differs from an old one."""
    return [
        *_compare_routes(old, new),
        *_compare_services(old, new),
        *_compare_accounts(old, new),
        *_compare_limits(old, new),
    ]


def _compare_routes(
    old: RoutingTable, new: RoutingTable
) -> Iterator[Difference]:
    before = {_find_place(route): route for route in reversed(old.routes)}
    after = {_find_place(route): route for route in reversed(new.routes)}
    for place, route in before.items():
        if place not in after:
            yield Difference(
                _describe(route), 'removed', _describe_removal(route, new)
            )
    for place, route in after.items():
        known = before.get(place)
        if known is None:
            yield Difference(
                _describe(route), 'added', _describe_addition(route, old)
            )
        else:
            yield from _compare_route(known, route)


def _find_place(route: Route) -> tuple[str, str]:
    return route.host, route.prefix


def _describe(route: Route) -> str:
    return f'route "{route.name}" ({route.host}{route.prefix})'


def _find_cover(route: Route, table: RoutingTable) -> Route | None:
    """Return the other route that takes requests of a route's prefix."""
    covers = [
        each
        for each in table.routes
        if each.host == route.host
        and route.prefix.startswith(each.prefix)
        and each.prefix != route.prefix
    ]
    return max(covers, key=lambda each: len(each.prefix), default=None)


def _describe_removal(route: Route, table: RoutingTable) -> str:
    cover = _find_cover(route, table)
    if cover is not None:
        return f'requests go to {_describe(cover)} from then on'
    return (
        'requests get 404 from then on; those that run end, and are repeated, '
        'by the old route'
    )


def _describe_addition(route: Route, table: RoutingTable) -> str:
    cover = _find_cover(route, table)
    if cover is None:
        return 'requests got 404 before'
    return (
        f'takes requests of {_describe(cover)}, also repeats of those that run'
    )


def _compare_route(old: Route, new: Route) -> Iterator[Difference]:
    subject = _describe(new)
    if old.name != new.name:
        yield Difference(
            subject, f'was named "{old.name}"', 'its mean times begin anew'
        )
    if old.shares != new.shares:
        yield Difference(
            subject,
            f'services {_describe_shares(old)} -> {_describe_shares(new)}',
            'requests that run end where they are; new ones and repeats go '
            'to the new services',
        )
    if old.timeout != new.timeout:
        yield Difference(
            subject,
            f'timeout {old.timeout:g} s -> {new.timeout:g} s',
            'requests that run keep the old one',
        )
    yield from _compare_repeats(old, new)
    if old.anonymous != new.anonymous:
        effect = 'keys are asked for: callers without one get 401'
        if new.anonymous:
            effect = 'requests with any key, or none, are let in'
        yield Difference(subject, f'anonymous is {new.anonymous}', effect)
    for field in _PLAIN_FIELDS:
        values = getattr(old, field), getattr(new, field)
        if values[0] != values[1]:
            yield Difference(
                subject,
                f'{field.replace("_", " ")} {values[0]} -> {values[1]}',
                'holds for new attempts',
            )


def _compare_repeats(old: Route, new: Route) -> Iterator[Difference]:
    subject = _describe(new)
    if old.kind != new.kind or old.resumable != new.resumable:
        effect = 'requests that run are not repeated any more'
        if new.is_repeatable():
            effect = 'requests may be run twice, also those that run now'
        yield Difference(
            subject,
            f'{_describe_kind(old)} -> {_describe_kind(new)}',
            effect,
        )
    if old.max_executions != new.max_executions:
        yield Difference(
            subject,
            f'attempts {old.max_executions} -> {new.max_executions}',
            'holds also for requests that run',
        )


def _describe_kind(route: Route) -> str:
    return f'{route.kind}, resumable' if route.resumable else str(route.kind)


def _describe_shares(route: Route) -> str:
    return ', '.join(
        f'{share.service}: {share.weight:g}' for share in route.shares
    )


def _compare_services(
    old: RoutingTable, new: RoutingTable
) -> Iterator[Difference]:
    for name in sorted(old.services.keys() - new.services.keys()):
        yield Difference(
            f'service "{name}"', 'removed', 'cold endpoints have no bound'
        )
    for name, service in new.services.items():
        known = old.services.get(name)
        if known is None:
            yield Difference(f'service "{name}"', 'added', 'none by itself')
        elif known != service:
            yield Difference(
                f'service "{name}"',
                f'cold rate {known.cold_rate:g}/s -> {service.cold_rate:g}/s',
                'holds for new attempts',
            )


def _compare_accounts(
    old: RoutingTable, new: RoutingTable
) -> Iterator[Difference]:
    if old.has_accounts != new.has_accounts:
        effect = 'requests without a key are let in'
        if new.has_accounts:
            effect = 'requests without a known key get 401'
        yield Difference('accounts', f'defined: {new.has_accounts}', effect)
    for key, account in old.accounts.items():
        holder = new.accounts.get(key)
        if holder is None:
            yield Difference(
                f'account "{account.name}"',
                f'key "{_shorten(key)}" removed',
                'requests with it get 401 within the revocation time; those '
                'that run end',
            )
        elif holder.name != account.name:
            yield Difference(
                f'account "{account.name}"',
                f'key "{_shorten(key)}" goes to "{holder.name}"',
                'requests that run count for the old account',
            )
        elif holder.priority != account.priority:
            yield Difference(
                f'account "{account.name}"',
                f'priority {account.priority} -> {holder.priority}',
                'holds for new requests',
            )
    for key in sorted(new.accounts.keys() - old.accounts.keys()):
        yield Difference(
            f'account "{new.accounts[key].name}"',
            f'key "{_shorten(key)}" added',
            'none for callers that run',
        )


def _compare_limits(
    old: RoutingTable, new: RoutingTable
) -> Iterator[Difference]:
    if old.limits != new.limits:
        yield Difference(
            'limits',
            f'idle time {old.limits.idle_seconds:g} s -> '
            f'{new.limits.idle_seconds:g} s',
            'holds for open connections as well',
        )


def _shorten(key: str) -> str:
    """Return the beginning of a key, since outputs are kept and shared."""
    return f'{key[:4]}…'
