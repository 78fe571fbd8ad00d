"""JSON encoding of stream items, which are named tuples."""

import json
from collections.abc import Iterator, Mapping, Sequence
from typing import (
    Any,
    Final,
    NamedTuple,
    TypeVar,
    get_origin,
    get_type_hints,
)

from loguru import logger

from ..errors import DECODE_ERRORS

#: Version of the record format that is written and read.
FORMAT_VERSION: Final = 1

#: Type of a field -> types of its JSON values.
_JSON_TYPES: Final[Mapping[Any, Any]] = {
    str: str,
    int: int,
    float: (int, float),
    list: list,
    Mapping: dict,
}

Item = TypeVar('Item', bound=tuple[Any, ...])


class SnapshotItem(NamedTuple):
    """A dump of the stream's state before the record at an offset."""

    offset: int
    dump: Mapping[str, Any]


def encode_items(items: Sequence[tuple[Any, ...]]) -> str:
    """Return one record that holds the items in order."""
    rows = [[type(item).__name__, *item] for item in items]
    return json.dumps([FORMAT_VERSION, rows], separators=(',', ':'))


def is_record(body: str) -> bool:
    """Return True if the text is a record in the format read here."""
    try:
        _read_rows(body)
    except DECODE_ERRORS:
        return False
    return True


def merge_records(bodies: Sequence[str]) -> str:
    """Return one record that holds the items of several, in their order."""
    if len(bodies) == 1:
        return bodies[0]
    rows = [row for body in bodies for row in json.loads(body)[1]]
    return json.dumps([FORMAT_VERSION, rows], separators=(',', ':'))


class Codec:
    """Decodes records into items of known types."""

    def __init__(self, *types: type[tuple[Any, ...]]) -> None:
        """Create a codec for these item types and SnapshotItem."""
        self._types: Mapping[str, Any] = {
            item_type.__name__: item_type
            for item_type in (*types, SnapshotItem)
        }
        self._fields = {
            name: _list_field_types(item_type)
            for name, item_type in self._types.items()
        }

    def decode(self, body: str) -> tuple[Any, ...]:
        """Return the items of a record.

        A damaged record has no items; items of an unknown type, or with
        fields of a wrong type, are left out. All readers that run the same
        program version leave out the same items.
        """
        try:
            rows = _read_rows(body)
        except DECODE_ERRORS as error:
            logger.warning('invalid stream record ignored: {}', error)
            return ()
        return tuple(self._make_items(rows))

    def _make_items(self, rows: list[Any]) -> Iterator[Any]:
        for row in rows:
            try:
                name, *fields = row
                item_type = self._types.get(name)
                if item_type is not None:
                    _check_fields(fields, self._fields[name])
                    yield item_type(*fields)
            except DECODE_ERRORS as error:
                logger.warning('invalid stream item ignored: {}', error)


def _read_rows(body: str) -> list[Any]:
    version, rows = json.loads(body, parse_constant=_reject_constant)
    if version != FORMAT_VERSION:
        raise ValueError(f'record format {version} is unknown')
    if not isinstance(rows, list):
        raise TypeError('the items of the record are not a list')
    return rows


def _reject_constant(text: str) -> None:
    raise ValueError(f'number {text} is not finite')


def _list_field_types(item_type: type[tuple[Any, ...]]) -> tuple[Any, ...]:
    """Return the Python types of each field's JSON value, in field order."""
    return tuple(
        _JSON_TYPES[get_origin(hint) or hint]
        for hint in get_type_hints(item_type).values()
    )


def _check_fields(fields: list[Any], types: tuple[Any, ...]) -> None:
    for field, allowed in zip(fields, types, strict=True):
        if not isinstance(field, allowed) or isinstance(field, bool):
            raise TypeError(f'field value {field!r} has a wrong type')
