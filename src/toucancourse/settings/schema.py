"""What a daemon's INI file may hold."""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

MAX_PORT: Final = 65535
MIB: Final = 1 << 20

#: A typed setting.
Setting = str | int | float | bool


class Option(NamedTuple):
    """One key: its parser, its default (None if required) and its rule."""

    parse: Callable[[str], Setting]
    default: Setting | None
    allowed: str


def parse_name(text: str) -> str:
    """Return a name of letters, digits, '-', '_' and '.'."""
    if not text or not all(char.isalnum() or char in '-_.' for char in text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Return "host:port" with an IP number and a valid port."""
    host, separator, port = text.rpartition(':')
    if not separator or not host or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def parse_url(text: str) -> str:
    """Return an http URL without a trailing slash."""
    if not text.startswith('http://') or len(text) <= len('http://'):
        raise ValueError(text)
    return text.rstrip('/')


def parse_text(text: str) -> str:
    """Return any text."""
    return text


def parse_switch(text: str) -> bool:
    """Return True for "yes" and False for "no"."""
    return {'yes': True, 'no': False}[text.lower()]


def one_of(*names: str) -> Option:
    """Return an option whose value is one of the names; first is default."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return Option(parse, names[0], f'one of {", ".join(names)}')


def whole(default: int | None, low: int, high: int) -> Option:
    """Return an option whose value is a whole number in [low, high]."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Option(parse, default, f'a whole number from {low} to {high}')


def decimal(default: float | None, low: float, high: float) -> Option:
    """Return an option whose value is a number in [low, high]."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Option(parse, default, f'a number from {low} to {high}')


NAME: Final = Option(parse_name, None, 'letters, digits, "-", "_" and "."')
ADDRESS: Final = Option(parse_address, None, 'IP:PORT')
URL: Final = Option(parse_url, None, 'http://IP:PORT')

#: Section of the peers' certificates, and its keys: all are set or none.
TLS: Final = 'tls'
KEYS: Final = ('authority_file', 'certificate_file', 'key_file')

#: Section -> key -> option, for both roles.
SCHEMA: Final[Mapping[str, Mapping[str, Option]]] = {
    'daemon': {
        'role': one_of('entry', 'sidecar')._replace(default=None),
        'instance': NAME,
        'zone': NAME,
        'region': NAME._replace(default='local'),
        'health_address': ADDRESS,
        'drain_seconds': decimal(30, 0, 3600),
        'drain_notice_seconds': decimal(0.5, 0, 60),
    },
    'log': {
        'format': one_of('json', 'text'),
        'level': one_of('INFO', 'DEBUG', 'WARNING', 'ERROR'),
    },
    'platform': {
        'log_url': URL,
        'instances_url': URL,
        'rater_url': URL._replace(default=''),
        'weights_url': URL._replace(default=''),
        'timeout_seconds': decimal(2, 0.05, 60),
    },
    TLS: {
        key: Option(parse_text, '', 'the path of a PEM file') for key in KEYS
    },
    'configuration': {
        'poll_seconds': decimal(1, 0.02, 60),
        'stale_seconds': decimal(4, 0.5, 60),
        'heartbeat_seconds': decimal(1, 0.05, 10),
        'readers_per_zone': whole(2, 1, 100),
        'snapshot_records': whole(500, 1, 1_000_000),
    },
    'entry': {
        'caller_address': ADDRESS,
        'admin_address': ADDRESS,
        'operator_token_sha256': Option(
            parse_text, '', 'hex SHA-256 of the first operator token'
        ),
        'threads': whole(64, 4, 4000),
        'max_body_bytes': whole(4 * MIB, 1024, 256 * MIB),
        'max_peers': whole(64, 1, 4000),
        'idle_caller_seconds': whole(20, 1, 3600),
        'request_seconds': decimal(120, 0.1, 3600),
        'collect_entries': whole(8, 1, 100_000),
        'retry_share': decimal(0.2, 0, 1),
        'bill_seconds': decimal(0.5, 0.01, 60),
        'allowance_hold_seconds': decimal(900, 1, 86400),
        'claim_seconds': decimal(0.02, 0, 1),
        'rating_share': decimal(0.1, 0, 1),
        'rating_seconds': decimal(2, 0.1, 300),
    },
    'sidecar': {
        'peer_address': ADDRESS,
        'endpoint_url': URL,
        'endpoint_kind': one_of('model', 'service'),
        'service': NAME._replace(default=''),
        'slots': whole(16, 1, 4096),
        'checks_fence': Option(parse_switch, True, 'yes or no'),
        'collect_seconds': decimal(0.1, 0, 10),
        'linger_ms': decimal(5, 0, 100),
        'first_token_seconds': decimal(1, 0.01, 60),
        'endpoint_seconds': decimal(60, 0.1, 3600),
    },
}

_COMMON: Final = ('daemon', 'log', 'platform', TLS, 'configuration')

#: Sections that each role needs.
ROLE_SECTIONS: Final[Mapping[str, tuple[str, ...]]] = {
    'entry': (*_COMMON, 'entry'),
    'sidecar': (*_COMMON, 'sidecar'),
}
