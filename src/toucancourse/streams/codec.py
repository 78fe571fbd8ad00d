"""Encoding of stream items, which are named tuples."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeVar

from loguru import logger

from ..errors import DECODE_ERRORS

#: Newest encoding of a record of items.
FORMAT: Final = 1

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
        version, rows = json.loads(body)
    except DECODE_ERRORS:
        return False
    return version == FORMAT and isinstance(rows, list)


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

    def decode(self, body: str) -> tuple[Any, ...]:
        """Return the items of a record.

        A record that is damaged gives none and unknown items are left out;
        every reader of the same program version does the same.
        """
        try:
            version, rows = json.loads(body)
            if version != FORMAT:
                raise ValueError(f'format {version} is unknown')
            return tuple(
                self._types[name](*fields)
                for name, *fields in rows
                if name in self._types
            )
        except DECODE_ERRORS as error:
            logger.warning('stream record skipped: {}', error)
            return ()
