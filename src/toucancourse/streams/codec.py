"""Encoding of stream items, which are named tuples."""

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

#: Newest encoding of a record of items.
FORMAT: Final = 1

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
    """A book's dump as of an offset."""

    offset: int
    dump: Mapping[str, Any]


def encode_items(items: Sequence[tuple[Any, ...]]) -> str:
    """Return one record that holds the items in order."""
    rows = [[type(item).__name__, *item] for item in items]
    return json.dumps([FORMAT, rows], separators=(',', ':'))


def is_record(body: str) -> bool:
    """Return True for a record of the newest format."""
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
    return json.dumps([FORMAT, rows], separators=(',', ':'))


class Codec:
    """Decodes records into items of known types."""

    def __init__(self, *types: type[tuple[Any, ...]]) -> None:
        """Keep the known item types by name."""
        self._types: Mapping[str, Any] = {
            known.__name__: known for known in (*types, SnapshotItem)
        }
        self._fields = {
            name: _list_field_types(known)
            for name, known in self._types.items()
        }

    def decode(self, body: str) -> tuple[Any, ...]:
        """Return the items of a record.

        A damaged record gives none; items that are unknown, or whose fields
        have wrong types, are left out. Every reader of the same program
        version does the same.
        """
        try:
            rows = _read_rows(body)
        except DECODE_ERRORS as error:
            logger.warning('stream record skipped: {}', error)
            return ()
        return tuple(self._make_items(rows))

    def _make_items(self, rows: list[Any]) -> Iterator[Any]:
        for row in rows:
            try:
                name, *fields = row
                known = self._types.get(name)
                if known is not None:
                    _check_fields(fields, self._fields[name])
                    yield known(*fields)
            except DECODE_ERRORS as error:
                logger.warning('stream item skipped: {}', error)


def _read_rows(body: str) -> list[Any]:
    version, rows = json.loads(body, parse_constant=_refuse_constant)
    if version != FORMAT:
        raise ValueError(f'format {version} is unknown')
    if not isinstance(rows, list):
        raise TypeError('the items are not a list')
    return rows


def _refuse_constant(text: str) -> None:
    raise ValueError(f'number {text} is not finite')


def _list_field_types(known: type[tuple[Any, ...]]) -> tuple[Any, ...]:
    """Return the JSON types that each field of a named tuple may have."""
    return tuple(
        _JSON_TYPES[get_origin(hint) or hint]
        for hint in get_type_hints(known).values()
    )


def _check_fields(fields: list[Any], types: tuple[Any, ...]) -> None:
    for field, allowed in zip(fields, types, strict=True):
        if not isinstance(field, allowed) or isinstance(field, bool):
            raise TypeError(f'value {field!r} has a wrong type')
