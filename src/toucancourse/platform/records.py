"""Decodes the platform's records into the router's types."""

import json
from collections.abc import Mapping
from typing import Any, Final

from ..forwarding.objects import (
    Account,
    CallerLimits,
    EndpointRecord,
    RolloutOrder,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Share,
)
from ..forwarding.records import (
    Decoder,
    OperatorChange,
    RolloutChange,
    RolloutStatus,
    TableChange,
    ZoneChange,
)
from . import names

KINDS: Final = {
    'safe': RouteKind.safe,
    'unsafe': RouteKind.unsafe,
    'streaming': RouteKind.stream,
}
DRAINING: Final = 'draining'
STATES: Final = frozenset(('ready', DRAINING))
MS: Final = 1000.0
#: Idle time of callers where a configuration states none.
IDLE_MS: Final = 15_000
ROLLOUT_STATES: Final = {
    'running': 'in_progress',
    'done': 'completed',
    'back': 'rolled_back',
}


class PlatformDecoder(Decoder):
    """Decodes the JSON records of operators and endpoints."""

    def decode_operator(
        self,
        key: str,
        content: bytes | None,
    ) -> OperatorChange | None:
        """Return what an operator's record says, or None if not ours."""
        if key.startswith(names.EVACUATION_PREFIX):
            zone = key.removeprefix(names.EVACUATION_PREFIX)
            return ZoneChange(zone, content is not None)
        if key.startswith(names.ROLLOUT_PREFIX):
            service = key.removeprefix(names.ROLLOUT_PREFIX)
            order = None if content is None else _decode_rollout(content)
            return RolloutChange(service, order)
        if key == names.CONFIGURATION_KEY and content is not None:
            return TableChange(decode_table(content))
        return None

    def decode_endpoint(self, key: str, content: bytes) -> EndpointRecord:
        """Return what an endpoint tells of itself."""
        return decode_endpoint(key, content)

    def decode_status(self, key: str, content: bytes) -> RolloutStatus | None:
        """Return how a roll-out stands, or None for another record."""
        if not key.startswith(names.ROLLOUT_PREFIX):
            return None
        row = json.loads(content)
        states = {theirs: ours for ours, theirs in ROLLOUT_STATES.items()}
        return RolloutStatus(
            key.removeprefix(names.ROLLOUT_PREFIX),
            states[row['state']],
            _read_text(row, 'target'),
        )

    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return key and content of a roll-out's status."""
        row = {
            'service': status.service,
            'state': ROLLOUT_STATES[status.state],
            'target': status.target,
        }
        return names.ROLLOUT_PREFIX + status.service, json.dumps(row).encode()


def decode_table(raw: bytes) -> RoutingTable:
    """Return the operators' configuration.

    Raises one of errors.DECODE_ERRORS.
    """
    row = json.loads(raw)
    accounts: dict[str, Account] = {}
    for tenant in row.get('tenants') or ():
        account = Account(tenant['name'], tenant.get('priority'))
        accounts.update((key, account) for key in tenant['apiKeys'])
    return RoutingTable(
        revision=int(row['version']),
        routes=tuple(_decode_route(route) for route in row['routes']),
        services={
            service['name']: _decode_service(service)
            for service in row['services']
        },
        accounts=accounts,
        has_accounts='tenants' in row,
        limits=_decode_limits(row.get('limits') or {}),
    )


def decode_endpoint(identifier: str, raw: bytes) -> EndpointRecord:
    """Return what an endpoint tells of itself.

    Raises one of errors.DECODE_ERRORS, also for a record that names no
    usable endpoint.
    """
    row = json.loads(raw)
    state = row['state']
    if state not in STATES:
        raise ValueError(f'state "{state}" is unknown')
    host, _, port = row['address'].rpartition(':')
    return EndpointRecord(
        identifier=identifier,
        service=_read_text(row, 'service'),
        host=host,
        port=int(port),
        zone=_read_text(row, 'zone'),
        version=_read_text(row, 'version'),
        slots=int(row['slots']),
        draining=state == DRAINING,
        cold_seconds=float(row.get('coldRemainingMs') or 0) / MS,
        incarnation=int(row.get('born') or 0),
    )


def _decode_rollout(raw: bytes) -> RolloutOrder:
    row = json.loads(raw)
    return RolloutOrder(
        _read_text(row, 'service'),
        _read_text(row, 'target'),
        float(row['durationS']),
    )


def _read_text(row: Mapping[str, Any], name: str) -> str:
    found = row[name]
    if not isinstance(found, str):
        raise TypeError(f'field "{name}" is no text')
    return found


def _decode_route(row: Mapping[str, Any]) -> Route:
    split = row.get('trafficSplit') or ()
    shares = tuple(
        Share(part['service'], float(part['weight'])) for part in split
    )
    # Both names may be present; the split is the more specific one.
    return Route(
        name=row['name'],
        host=row['host'].lower(),
        prefix=row['pathPrefix'],
        kind=KINDS[row['kind']],
        shares=shares or (Share(row['service'], 1),),
        timeout=float(row.get('timeoutMs') or 0) / MS,
        objective=float(row.get('targetLatencyMs') or 0) / MS,
        priority=int(row.get('priority') or 0),
        max_executions=max(1, int(row.get('maxAttempts') or 1)),
        anonymous=bool(row.get('anonymous')),
        resumable=bool(row.get('streamResumption')),
        models=tuple(row.get('sizes') or ()),
    )


def _decode_service(row: Mapping[str, Any]) -> Service:
    return Service(row['name'], float(row.get('coldPerS') or 0))


def _decode_limits(row: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        idle_seconds=float(row.get('idleTimeoutMs') or IDLE_MS) / MS,
    )
