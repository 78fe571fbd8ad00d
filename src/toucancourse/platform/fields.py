"""Types of the fields of an operators' configuration."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple

from .findings import Finding, Item
from .lines import LocatedObject
from .records import ROUTE_KINDS

LIMITS: Final = (
    'maxHeaderBytes',
    'maxBodyBytes',
    'headerTimeoutMs',
    'idleTimeoutMs',
)
TIMES: Final = ('timeoutMs', 'targetLatencyMs', 'gapTargetMs')
#: Above all sensible numbers, and exact as a float.
MAX_NUMBER: Final = 1_000_000_000_000_000


class FieldType(NamedTuple):
    """What a field may hold."""

    text: str
    is_valid: Callable[[Any], bool]
    is_required: bool = False


def _is_text(content: Any) -> bool:
    return isinstance(content, str)


def _is_filled_text(content: Any) -> bool:
    return isinstance(content, str) and bool(content)


def _is_count(content: Any) -> bool:
    return _is_number(content) and float(content).is_integer()


def _is_number(content: Any) -> bool:
    if isinstance(content, bool) or not isinstance(content, int | float):
        return False
    return 0 <= content <= MAX_NUMBER


def _is_flag(content: Any) -> bool:
    return content is None or isinstance(content, bool)


def _is_kind(content: Any) -> bool:
    return isinstance(content, str) and content in ROUTE_KINDS


def _is_optional_number(content: Any) -> bool:
    return content is None or _is_number(content)


def _is_optional_count(content: Any) -> bool:
    return content is None or _is_count(content)


def _is_texts(content: Any) -> bool:
    return isinstance(content, list) and all(map(_is_text, content))


_NAME: Final = FieldType('a name', _is_filled_text, is_required=True)
_TEXT: Final = FieldType('a text', _is_text, is_required=True)
_NUMBER: Final = FieldType('a number from 0 up', _is_optional_number)
_COUNT: Final = FieldType('a whole number from 0 up', _is_optional_count)
_FLAG: Final = FieldType('true or false', _is_flag)
_ROUTE: Final[Mapping[str, FieldType]] = {
    'name': _NAME,
    'host': _TEXT,
    'pathPrefix': _TEXT,
    'kind': FieldType(f'one of {list(ROUTE_KINDS)}', _is_kind, True),
    **dict.fromkeys(TIMES, _NUMBER),
    'priority': _COUNT,
    'maxAttempts': _COUNT,
    'anonymous': _FLAG,
    'streamResumption': _FLAG,
    'sizes': FieldType('a list of texts', _is_texts),
}
_SHARE: Final[Mapping[str, FieldType]] = {
    'service': _NAME,
    'weight': FieldType('a number from 0 up', _is_number, is_required=True),
}
_SERVICE: Final[Mapping[str, FieldType]] = {
    'name': _NAME,
    'coldPerS': _NUMBER,
}
_ACCOUNT: Final[Mapping[str, FieldType]] = {
    'name': _NAME,
    'priority': _COUNT,
    'apiKeys': FieldType('a list of texts', _is_texts, is_required=True),
}
_LIMITS: Final[Mapping[str, FieldType]] = dict.fromkeys(LIMITS, _NUMBER)
_ROOT: Final[Mapping[str, FieldType]] = {
    'version': FieldType('a whole number', _is_count, is_required=True),
}


def check_structure(top: Item) -> Iterator[Finding]:
    """Yield fields that are missing, repeated or of the wrong type."""
    yield from _check_fields(top, _ROOT)
    for field, types, is_required in (
        ('routes', _ROUTE, True),
        ('services', _SERVICE, True),
        ('tenants', _ACCOUNT, False),
    ):
        if field not in top.fields and not is_required:
            continue
        if not isinstance(top.fields.get(field), list):
            yield top.refuse(field, 'must be a list')
            continue
        yield from _check_list(top, field, types)
    limits = top.fields.get('limits')
    if isinstance(limits, LocatedObject):
        yield from _check_fields(Item(limits, 'limits'), _LIMITS)
    elif limits is not None:
        yield top.refuse('limits', 'must be an object')


def _check_list(
    parent: Item, field: str, types: Mapping[str, FieldType]
) -> Iterator[Finding]:
    for number, fields in enumerate(parent.fields[field]):
        path = f'{parent.path}.{field}' if parent.path else field
        if not isinstance(fields, LocatedObject):
            yield parent.refuse(field, f'entry {number} must be an object')
            continue
        item = Item(fields, f'{path}[{number}]')
        yield from _check_fields(item, types)
        if types is _ROUTE:
            yield from _check_target(item)


def _check_target(item: Item) -> Iterator[Finding]:
    split = item.fields.get('trafficSplit')
    if split is not None and not isinstance(split, list):
        yield item.refuse('trafficSplit', 'must be a list')
    elif split:
        yield from _check_list(item, 'trafficSplit', _SHARE)
    elif not _is_filled_text(item.fields.get('service')):
        yield item.refuse('service', 'must be a name')


def _check_fields(
    item: Item, types: Mapping[str, FieldType]
) -> Iterator[Finding]:
    for field in item.fields.repeated:
        yield item.warn(field, 'comes more than once; the last one counts')
    for field, kind in types.items():
        if field not in item.fields:
            if kind.is_required:
                yield item.refuse(field, f'is missing; must be {kind.text}')
        elif not kind.is_valid(item.fields[field]):
            yield item.refuse(field, f'must be {kind.text}')
