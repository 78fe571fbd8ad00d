"""Decodes the platform's records into the router's types."""

import ipaddress
import json
import math
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

ROUTE_KINDS: Final = {
    'safe': RouteKind.safe,
    'unsafe': RouteKind.unsafe,
    'streaming': RouteKind.stream,
}
DRAINING: Final = 'draining'
ENDPOINT_STATES: Final = frozenset(('ready', DRAINING))
MS_PER_SECOND: Final = 1000.0
MAX_PORT: Final = 65_535
#: Idle timeout of callers' connections if the configuration states none.
DEFAULT_IDLE_MS: Final = 15_000
#: Time for the head of a request if the configuration states none.
DEFAULT_HEAD_MS: Final = 60_000
#: Roll-out state of the router -> its name in status records.
STATE_NAMES: Final = {
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
        """Return the change in a record, or None if its key is unknown."""
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
        """Return an endpoint's registration."""
        return decode_endpoint(key, content)

    def decode_status(self, key: str, content: bytes) -> RolloutStatus | None:
        """Return the status of a roll-out, or None for another record."""
        if not key.startswith(names.ROLLOUT_PREFIX):
            return None
        fields = json.loads(content)
        states = {name: state for state, name in STATE_NAMES.items()}
        return RolloutStatus(
            key.removeprefix(names.ROLLOUT_PREFIX),
            states[fields['state']],
            _get_text(fields, 'target'),
        )

    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return the key and content of a roll-out's status record."""
        fields = {
            'service': status.service,
            'state': STATE_NAMES[status.state],
            'target': status.target,
        }
        return names.ROLLOUT_PREFIX + status.service, json.dumps(
            fields
        ).encode()


def decode_table(raw: bytes) -> RoutingTable:
    """Return the routing table in the operators' configuration.

    Raises one of errors.DECODE_ERRORS.
    """
    fields = json.loads(raw)
    accounts: dict[str, Account] = {}
    for tenant in fields.get('tenants') or ():
        account = Account(tenant['name'], tenant.get('priority'))
        accounts.update((key, account) for key in tenant['apiKeys'])
    return RoutingTable(
        revision=int(fields['version']),
        routes=tuple(_decode_route(route) for route in fields['routes']),
        services={
            service['name']: _decode_service(service)
            for service in fields['services']
        },
        accounts=accounts,
        has_accounts='tenants' in fields,
        limits=_decode_limits(fields.get('limits') or {}),
    )


def decode_endpoint(identifier: str, raw: bytes) -> EndpointRecord:
    """Return an endpoint's registration.

    Raises one of errors.DECODE_ERRORS, also if the state is unknown, the
    address is not "IP address:port" or a number is not finite.
    """
    fields = json.loads(raw)
    state = fields['state']
    if state not in ENDPOINT_STATES:
        raise ValueError(f'unknown endpoint state "{state}"')
    host, port = _decode_address(_get_text(fields, 'address'))
    return EndpointRecord(
        identifier=identifier,
        service=_get_text(fields, 'service'),
        host=host,
        port=port,
        zone=_get_text(fields, 'zone'),
        version=_get_text(fields, 'version'),
        slots=int(fields['slots']),
        draining=state == DRAINING,
        cold_seconds=_get_finite(fields, 'coldRemainingMs') / MS_PER_SECOND,
        incarnation=int(fields.get('born') or 0),
    )


def _decode_rollout(raw: bytes) -> RolloutOrder:
    fields = json.loads(raw)
    return RolloutOrder(
        _get_text(fields, 'service'),
        _get_text(fields, 'target'),
        float(fields['durationS']),
    )


def _decode_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port in "address:port"."""
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return host, int(port)


def _get_finite(fields: Mapping[str, Any], name: str) -> float:
    """Return a number, or 0 if the field is missing or null."""
    number = float(fields.get(name) or 0)
    if not math.isfinite(number):
        raise ValueError(f'field "{name}" is not finite')
    return number


def _get_text(fields: Mapping[str, Any], name: str) -> str:
    text = fields[name]
    if not isinstance(text, str):
        raise TypeError(f'field "{name}" is not a string')
    return text


def _decode_route(fields: Mapping[str, Any]) -> Route:
    split = fields.get('trafficSplit') or ()
    shares = tuple(
        Share(part['service'], float(part['weight'])) for part in split
    )
    # If both "service" and "trafficSplit" are present, the split applies.
    return Route(
        name=fields['name'],
        host=fields['host'].lower(),
        prefix=fields['pathPrefix'],
        kind=ROUTE_KINDS[fields['kind']],
        shares=shares or (Share(fields['service'], 1),),
        timeout=float(fields.get('timeoutMs') or 0) / MS_PER_SECOND,
        objective=float(fields.get('targetLatencyMs') or 0) / MS_PER_SECOND,
        event_pause=float(fields.get('gapTargetMs') or 0) / MS_PER_SECOND,
        priority=int(fields.get('priority') or 0),
        max_executions=max(1, int(fields.get('maxAttempts') or 1)),
        anonymous=bool(fields.get('anonymous')),
        resumable=bool(fields.get('streamResumption')),
        models=tuple(fields.get('sizes') or ()),
    )


def _decode_service(fields: Mapping[str, Any]) -> Service:
    return Service(fields['name'], float(fields.get('coldPerS') or 0))


def _decode_limits(fields: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        idle_seconds=float(fields.get('idleTimeoutMs') or DEFAULT_IDLE_MS)
        / MS_PER_SECOND,
        head_seconds=float(fields.get('headerTimeoutMs') or DEFAULT_HEAD_MS)
        / MS_PER_SECOND,
    )
