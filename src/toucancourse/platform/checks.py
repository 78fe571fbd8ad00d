"""Checks an operators' configuration before it is sent."""

from collections.abc import Collection, Iterable, Iterator

from ..errors import DECODE_ERRORS
from ..forwarding.executions import MAX_ATTEMPTS
from ..forwarding.objects import RoutingTable
from .fields import LIMITS, TIMES, check_structure
from .findings import Finding, Item, Level
from .lines import LocatedObject, decode_located
from .messages import DEFAULT_DEADLINE_MS
from .records import DEFAULT_IDLE_MS, decode_table


def check_table(raw: bytes) -> list[Finding]:
    """Return what is wrong with a configuration, in the order of its lines.

    Without an error among it, the router applies the configuration.
    """
    try:
        root = decode_located(raw)
    except DECODE_ERRORS as error:
        line = getattr(error, 'lineno', 1)
        return [Finding(Level.error, line, '', f'no JSON: {error!r}')]
    if not isinstance(root, LocatedObject):
        return [Finding(Level.error, 1, '', 'not a JSON object')]
    findings = list(check_structure(Item(root, '')))
    if not any(each.level is Level.error for each in findings):
        findings.extend(_check_decoded(raw, root))
    return sorted(findings, key=lambda finding: finding.line)


def check_revision(raw: bytes, old: RoutingTable) -> list[Finding]:
    """Return an error if the router ignores a sound table after another one."""
    top = Item(decode_located(raw), '')
    revision = int(top.fields['version'])
    if revision > old.revision:
        return []
    text = f'{revision} is not above {old.revision}: it is ignored'
    return [top.refuse('version', text)]


def check_endpoints(raw: bytes, services: Collection[str]) -> list[Finding]:
    """Return routes of a sound table to services without an endpoint.

    services are the names of those that have one.
    """
    routes = _list_items(Item(decode_located(raw), ''), 'routes')
    return [
        target.warn('service', 'has no endpoint')
        for route in routes
        for target in _list_targets(route)
        if target.fields['service'] not in services
    ]


def _check_decoded(raw: bytes, root: LocatedObject) -> Iterator[Finding]:
    """Yield an error if the router's decoder refuses it, or else warnings."""
    try:
        decode_table(raw)
    except DECODE_ERRORS as error:
        yield Finding(Level.error, 1, '', f'can not be decoded: {error!r}')
        return
    top = Item(root, '')
    yield from _check_routes(top)
    yield from _check_services(top)
    yield from _check_accounts(top)
    limits = root.get('limits')
    if limits:
        yield from _check_limits(Item(limits, 'limits'))


def _check_limits(limits: Item) -> Iterator[Finding]:
    for field in LIMITS:
        if limits.fields.get(field) != 0:
            continue
        if field == 'idleTimeoutMs':
            yield limits.warn(field, f'0 stands for {DEFAULT_IDLE_MS}')
        else:
            yield limits.warn(field, 'a limit of 0 allows nothing')


def _list_items(parent: Item, field: str) -> list[Item]:
    path = f'{parent.path}.{field}' if parent.path else field
    return [
        Item(fields, f'{path}[{number}]')
        for number, fields in enumerate(parent.fields.get(field) or ())
    ]


def _list_targets(route: Item) -> list[Item]:
    """Return the objects that name a route's services."""
    return _list_items(route, 'trafficSplit') or [route]


def _find_repeated(items: Iterable[Item], field: str) -> Iterator[Finding]:
    """Yield objects that have the name of an earlier one."""
    seen: dict[str, str] = {}
    for item in items:
        path = seen.setdefault(item.fields[field], item.path)
        if path != item.path:
            yield item.warn(field, f'is that of {path} as well')


def _check_routes(top: Item) -> Iterator[Finding]:
    routes = _list_items(top, 'routes')
    defined = {each.fields['name'] for each in _list_items(top, 'services')}
    yield from _find_repeated(routes, 'name')
    places: dict[tuple[str, str], str] = {}
    for route in routes:
        place = route.fields['host'].lower(), route.fields['pathPrefix']
        first = places.setdefault(place, route.path)
        if first != route.path:
            yield route.warn(
                'pathPrefix', f'never matches: {first} has the same place'
            )
        yield from _check_place(route)
        yield from _check_split(route, defined)
        yield from _check_times(route)
        yield from _check_repeats(route)
        if route.fields.get('anonymous') and top.fields.get('tenants'):
            yield route.warn('anonymous', 'needs no key, though accounts exist')


def _check_place(route: Item) -> Iterator[Finding]:
    host = route.fields['host']
    if host != host.lower():
        yield route.warn('host', 'is compared in lower case')
    if not host or any(each in host for each in '/ \t'):
        yield route.warn('host', 'never matches: it is no host')
    prefix = route.fields['pathPrefix']
    if not prefix.startswith('/'):
        yield route.warn('pathPrefix', 'never matches: it begins without "/"')
    elif any(each in prefix for each in '?# '):
        yield route.warn('pathPrefix', 'never matches: it is no path')
    elif not prefix.endswith('/'):
        yield route.warn(
            'pathPrefix', f'ends without "/": "{prefix}x" matches as well'
        )


def _check_split(route: Item, defined: set[str]) -> Iterator[Finding]:
    shares = _list_items(route, 'trafficSplit')
    if shares and not any(share.fields['weight'] for share in shares):
        yield route.warn(
            'trafficSplit', 'all weights are 0: the first gets everything'
        )
    elif len(shares) > 1:
        for share in shares:
            if not share.fields['weight']:
                yield share.warn('weight', 'is 0: its service gets nothing')
    yield from _find_repeated(shares, 'service')
    if shares and route.fields.get('service'):
        yield route.warn('service', 'has no effect beside "trafficSplit"')
    for target in _list_targets(route):
        if target.fields['service'] not in defined:
            yield target.warn('service', 'is not defined under "services"')


def _check_times(route: Item) -> Iterator[Finding]:
    timeout, objective, gap = (route.read_number(field) for field in TIMES)
    is_stream = route.fields['kind'] == 'streaming'
    if gap and not is_stream:
        yield route.warn('gapTargetMs', 'has no effect on this kind')
    if not timeout:
        return
    if timeout > float(DEFAULT_DEADLINE_MS):
        yield route.warn(
            'timeoutMs',
            f'is beyond the {DEFAULT_DEADLINE_MS} ms of requests that state '
            'no deadline',
        )
    if timeout < objective:
        yield route.warn('timeoutMs', 'is below the target latency')
    if timeout < gap:
        yield route.warn('gapTargetMs', 'is above the timeout')
    attempts = route.read_number('maxAttempts')
    if objective <= timeout < attempts * objective:
        yield route.warn(
            'maxAttempts',
            f'{attempts:g} attempts of the target latency take longer than '
            'the timeout',
        )


def _check_repeats(route: Item) -> Iterator[Finding]:
    kind = route.fields['kind']
    is_resumable = route.fields.get('streamResumption')
    if is_resumable and kind != 'streaming':
        yield route.warn('streamResumption', 'has no effect on this kind')
    attempts = route.read_number('maxAttempts')
    is_repeatable = kind == 'safe' or (kind == 'streaming' and is_resumable)
    if attempts > 1 and not is_repeatable:
        yield route.warn('maxAttempts', 'requests of this kind run only once')
    elif attempts > MAX_ATTEMPTS:
        yield route.warn(
            'maxAttempts', f'no more than {MAX_ATTEMPTS} attempts are made'
        )


def _check_services(top: Item) -> Iterator[Finding]:
    services = _list_items(top, 'services')
    yield from _find_repeated(services, 'name')
    used = {
        target.fields['service']
        for route in _list_items(top, 'routes')
        for target in _list_targets(route)
    }
    for service in services:
        if service.fields['name'] not in used:
            yield service.warn('name', 'no route names this service')


def _check_accounts(top: Item) -> Iterator[Finding]:
    accounts = _list_items(top, 'tenants')
    yield from _find_repeated(accounts, 'name')
    if 'tenants' in top.fields and not any(
        account.fields['apiKeys'] for account in accounts
    ):
        yield top.warn('tenants', 'no key exists: only anonymous routes serve')
    holders: dict[str, str] = {}
    for account in accounts:
        keys = account.fields['apiKeys']
        if not keys:
            yield account.warn('apiKeys', 'is empty: nobody can use it')
        for key in keys:
            if not key.strip():
                yield account.warn('apiKeys', 'a key is empty')
            path = holders.setdefault(key, account.path)
            if path != account.path:
                yield account.warn(
                    'apiKeys', f'a key is that of {path} as well'
                )
        if len(set(keys)) < len(keys):
            yield account.warn('apiKeys', 'a key comes twice')
