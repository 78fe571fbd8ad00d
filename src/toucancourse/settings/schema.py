"""Sections, keys and allowed values of a daemon's INI file."""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

MAX_PORT: Final = 65535
MIB: Final = 1 << 20

#: A parsed value.
Setting = str | int | float | bool


class Option(NamedTuple):
    """Parser, default (None if required) and allowed values of one key."""

    parse: Callable[[str], Setting]
    default: Setting | None
    allowed: str


def parse_name(text: str) -> str:
    """Return a non-empty name of letters, digits, '-', '_' and '.'."""
    if not text or not all(char.isalnum() or char in '-_.' for char in text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Return "host:port" with a port in the valid range."""
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
    """Return the text unchanged."""
    return text


def parse_boolean(text: str) -> bool:
    """Return True for "yes" and False for "no"."""
    return {'yes': True, 'no': False}[text.lower()]


def choice_option(*names: str) -> Option:
    """Return an option with the given names; the first is the default."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return Option(parse, names[0], f'one of {", ".join(names)}')


def integer_option(default: int | None, low: int, high: int) -> Option:
    """Return an option with an integer value in [low, high]."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Option(parse, default, f'a whole number from {low} to {high}')


def number_option(default: float | None, low: float, high: float) -> Option:
    """Return an option with a numeric value in [low, high]."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Option(parse, default, f'a number from {low} to {high}')


NAME: Final = Option(parse_name, None, 'letters, digits, "-", "_" and "."')
ADDRESS: Final = Option(parse_address, None, 'IP:PORT')
URL: Final = Option(parse_url, None, 'http://IP:PORT')

#: Section with the certificates of the peer connections, and its keys, of
#: which all or none must be set.
TLS_SECTION: Final = 'tls'
TLS_KEYS: Final = ('authority_file', 'certificate_file', 'key_file')

#: Section -> key -> option, for both roles.
SCHEMA: Final[Mapping[str, Mapping[str, Option]]] = {
    'daemon': {
        'role': choice_option('entry', 'sidecar')._replace(default=None),
        'instance': NAME,
        'zone': NAME,
        'region': NAME._replace(default='local'),
        'health_address': ADDRESS,
        'drain_seconds': number_option(30, 0, 3600),
        'drain_notice_seconds': number_option(0.5, 0, 60),
    },
    'log': {
        'format': choice_option('json', 'text'),
        'level': choice_option('INFO', 'DEBUG', 'WARNING', 'ERROR'),
    },
    'platform': {
        'log_url': URL,
        'instances_url': URL,
        'rater_url': URL._replace(default=''),
        'weights_url': URL._replace(default=''),
        'timeout_seconds': number_option(2, 0.05, 60),
    },
    TLS_SECTION: {
        key: Option(parse_text, '', 'the path of a PEM file')
        for key in TLS_KEYS
    },
    'configuration': {
        'poll_seconds': number_option(1, 0.02, 60),
        'stale_seconds': number_option(4, 0.5, 60),
        'heartbeat_seconds': number_option(1, 0.05, 10),
        'readers_per_zone': integer_option(2, 1, 100),
        'snapshot_records': integer_option(500, 1, 1_000_000),
    },
    'entry': {
        'caller_address': ADDRESS,
        'admin_address': ADDRESS,
        'operator_token_sha256': Option(
            parse_text, '', 'hex SHA-256 of the first operator token'
        ),
        'threads': integer_option(64, 4, 4000),
        'max_body_bytes': integer_option(4 * MIB, 1024, 256 * MIB),
        'request_memory_bytes': integer_option(256 * MIB, MIB, 64 * 1024 * MIB),
        'max_peers': integer_option(64, 1, 4000),
        'idle_caller_seconds': integer_option(20, 1, 3600),
        'request_seconds': number_option(120, 0.1, 3600),
        'collect_entries': integer_option(8, 1, 100_000),
        'retry_share': number_option(0.2, 0, 1),
        'bill_seconds': number_option(0.5, 0.01, 60),
        'allowance_hold_seconds': number_option(900, 1, 86400),
        'claim_seconds': number_option(0.02, 0, 1),
        'rating_share': number_option(0.1, 0, 1),
        'rating_seconds': number_option(2, 0.1, 300),
    },
    'sidecar': {
        'peer_address': ADDRESS,
        'endpoint_url': URL,
        'endpoint_kind': choice_option('model', 'service'),
        'service': NAME._replace(default=''),
        'slots': integer_option(16, 1, 4096),
        'max_entries': integer_option(600, 1, 10_000),
        'max_body_bytes': integer_option(4 * MIB, 1024, 256 * MIB),
        'checks_fence': Option(parse_boolean, True, 'yes or no'),
        'collect_seconds': number_option(0.1, 0, 10),
        'linger_ms': number_option(5, 0, 100),
        'first_token_seconds': number_option(1, 0.01, 60),
        'endpoint_seconds': number_option(60, 0.1, 3600),
    },
}

_COMMON_SECTIONS: Final = (
    'daemon',
    'log',
    'platform',
    TLS_SECTION,
    'configuration',
)

#: Sections that are read for each role.
ROLE_SECTIONS: Final[Mapping[str, tuple[str, ...]]] = {
    'entry': (*_COMMON_SECTIONS, 'entry'),
    'sidecar': (*_COMMON_SECTIONS, 'sidecar'),
}
