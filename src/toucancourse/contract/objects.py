"""Types of the objects that operators publish, and their validation."""

import re
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, NotRequired, TypedDict

NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')
DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')
WILDCARD: Final = '*'
MAX_PERCENT: Final = 100


class VersionBody(TypedDict):
    """One version of a model. Prices are in micro-units per 1000 tokens."""

    state: str
    prompt_price: int
    completion_price: int
    #: Kind of work -> expected quality in [0, 1]; '*' for all others.
    quality: dict[str, float]


class ContractBody(TypedDict):
    """Entitlements, limits and service level objectives of one customer."""

    versions: list[str]
    services: list[str]
    quality: float
    #: Micro-units per UTC day.
    spend: int
    requests_per_second: float
    concurrent: int
    max_output_tokens: int
    priority: int
    #: SHA-256 of the API keys, in hexadecimal.
    keys: list[str]
    #: Share of requests that must succeed, such as 0.995.
    availability_objective: NotRequired[float]
    #: Share of requests whose first token must arrive within
    #: first_token_seconds.
    first_token_objective: NotRequired[float]
    first_token_seconds: NotRequired[float]
    #: Seconds without a first token after which a hedged request is sent to
    #: another endpoint.
    hedge_seconds: NotRequired[float]
    #: Share of rated responses that must reach the contract's quality.
    quality_objective: NotRequired[float]


class RolloutBody(TypedDict):
    """A gradual shift of a model's traffic to another version."""

    source: str
    target: str
    #: Percentage of new conversations that use the target version.
    percent: int
    state: str
    on_bad: str


class OutOfServiceBody(TypedDict):
    """Whether operators took a zone or an instance out of service."""

    out: bool


class PlacementBody(TypedDict):
    """The versions that one endpoint's engine should load."""

    versions: list[str]


class ServiceBody(TypedDict):
    """A plain service; repeatable calls are listed as "METHOD /path-prefix"."""

    repeatable: list[str]


class OperatorBody(TypedDict):
    """An operator's token digest and role."""

    token_sha256: str
    role: str


class KeyBody(TypedDict):
    """A key that signs conversation ids."""

    secret: str
    state: str


class FormatBody(TypedDict):
    """The newest record format that readers accept."""

    active: int


class Problem(NamedTuple):
    """One validation error of a body: the key and what is wrong with it."""

    key: str
    text: str


def split_name(name: str) -> tuple[str, str]:
    """Return kind and identifier of an object name such as "zone/east"."""
    kind, _, identifier = name.partition('/')
    return kind, identifier


def split_version(version: str) -> tuple[str, str]:
    """Return model and version of "model@version"."""
    model, _, number = version.partition('@')
    return model, number


def check_body(kind: str, body: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield the validation errors of a body, regardless of other objects."""
    fields = FIELD_RULES.get(kind)
    if fields is None:
        yield Problem('', f'object kind "{kind}" is unknown')
        return
    for key in body:
        if key not in fields:
            yield Problem(key, f'key "{key}" is unknown')
    for key, rule in fields.items():
        if key not in body:
            if rule.optional:
                continue
            yield Problem(key, f'key "{key}" is missing')
        elif not rule.check(body[key]):
            yield Problem(
                key, f'key "{key}" has {body[key]!r}; allowed is {rule.allowed}'
            )


class Rule(NamedTuple):
    """A validation rule for one value, and a description of allowed values."""

    allowed: str
    check: Any
    optional: bool = False


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _integer_rule(low: int, high: int) -> Rule:
    return Rule(
        f'a whole number from {low} to {high}',
        lambda value: _is_integer(value) and low <= value <= high,
    )


def _number_rule(low: float, high: float) -> Rule:
    return Rule(
        f'a number from {low} to {high}',
        lambda value: _is_number(value) and low <= value <= high,
    )


def _choice_rule(*names: str) -> Rule:
    return Rule(f'one of {", ".join(names)}', lambda value: value in names)


def _pattern_list_rule(pattern: str, allowed: str) -> Rule:
    compiled = re.compile(pattern)
    return Rule(
        f'a list of {allowed}',
        lambda value: (
            isinstance(value, list)
            and all(
                isinstance(text, str) and compiled.fullmatch(text)
                for text in value
            )
        ),
    )


def _is_quality(value: object) -> bool:
    return (
        isinstance(value, dict)
        and bool(value)
        and all(
            _is_number(quality) and 0 <= quality <= 1
            for quality in value.values()
        )
    )


_VERSION_NAME: Final = r'[A-Za-z0-9][\w.-]*@[A-Za-z0-9][\w.-]*'
_MAX_DAILY_SPEND: Final = 10**15

#: Object kind -> key -> rule.
FIELD_RULES: Final[Mapping[str, Mapping[str, Rule]]] = {
    'version': {
        'state': _choice_rule('live', 'withdrawn'),
        'prompt_price': _integer_rule(0, 10**9),
        'completion_price': _integer_rule(0, 10**9),
        'quality': Rule('a map of kind to a number in [0, 1]', _is_quality),
    },
    'contract': {
        'versions': _pattern_list_rule(
            r'[A-Za-z0-9][\w.-]*@([A-Za-z0-9][\w.-]*|\*)',
            '"model@version" or "model@*"',
        ),
        'services': _pattern_list_rule(r'[A-Za-z0-9][\w.-]*', 'service names'),
        'quality': _number_rule(0, 1),
        'spend': _integer_rule(0, _MAX_DAILY_SPEND),
        'requests_per_second': _number_rule(0.001, 10**6),
        'concurrent': _integer_rule(1, 10**6),
        'max_output_tokens': _integer_rule(1, 10**6),
        'priority': _integer_rule(0, 9),
        'keys': _pattern_list_rule(
            '[0-9a-f]{64}', 'hexadecimal SHA-256 digests'
        ),
        'availability_objective': _number_rule(0, 0.999999)._replace(
            optional=True
        ),
        'first_token_objective': _number_rule(0, 0.999999)._replace(
            optional=True
        ),
        'quality_objective': _number_rule(0, 0.999999)._replace(optional=True),
        'first_token_seconds': _number_rule(0.001, 3600)._replace(
            optional=True
        ),
        'hedge_seconds': _number_rule(0.01, 3600)._replace(optional=True),
    },
    'rollout': {
        'source': Rule('"model@version"', re.compile(_VERSION_NAME).fullmatch),
        'target': Rule('"model@version"', re.compile(_VERSION_NAME).fullmatch),
        'percent': _integer_rule(0, MAX_PERCENT),
        'state': _choice_rule('running', 'held', 'back', 'done'),
        'on_bad': _choice_rule('hold', 'back'),
    },
    'zone': {
        'out': Rule('true or false', lambda value: value in (True, False))
    },
    'instance': {
        'out': Rule('true or false', lambda value: value in (True, False)),
    },
    'placement': {
        'versions': _pattern_list_rule(_VERSION_NAME, '"model@version" names'),
    },
    'service': {
        'repeatable': _pattern_list_rule('[A-Z]+ /.*', '"METHOD /path-prefix"'),
    },
    'operator': {
        'token_sha256': Rule(
            'a hexadecimal SHA-256 digest',
            lambda value: (
                isinstance(value, str) and DIGEST_PATTERN.fullmatch(value)
            ),
        ),
        'role': _choice_rule('read', 'operate', 'administer'),
    },
    'key': {
        'secret': Rule(
            '64 hexadecimal digits',
            lambda value: (
                isinstance(value, str) and DIGEST_PATTERN.fullmatch(value)
            ),
        ),
        'state': _choice_rule('signing', 'verifying'),
    },
    'format': {'active': _integer_rule(1, 1000)},
}
