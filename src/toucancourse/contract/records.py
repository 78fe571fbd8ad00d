"""Records of the configuration stream and their encoding."""

import json
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..errors import DECODE_ERRORS

#: Name of the stream that holds the configuration.
STREAM: Final = 'config'
#: Newest record format that this program reads and writes.
FORMAT: Final = 1


class Change(NamedTuple):
    """A request to replace one object's body."""

    change_id: str
    name: str
    #: Revision of the object that the operator read; 0 if it did not exist.
    base: int
    operator: str
    #: None deletes the object.
    body: Mapping[str, Any] | None
    #: Accept the change even if it leaves a customer or service with nothing.
    force: bool = False
    #: Seconds since the epoch at the writer; for the audit trail only.
    at: float = 0
    format: int = FORMAT


class Snapshot(NamedTuple):
    """A folded state as of an offset."""

    offset: int
    state: Mapping[str, Any]
    digest: str
    format: int = FORMAT


class Damaged(NamedTuple):
    """A record that is not of a known form."""

    text: str


Record = Change | Snapshot | Damaged

#: Types of the fields, in order.
_CHANGE_TYPES: Final = (
    str,
    str,
    int,
    str,
    dict | None,
    bool,
    int | float,
    int,
)
_SNAPSHOT_TYPES: Final = (int, dict, str, int)


def dump_canonical(value: object) -> str:
    """Return JSON with sorted keys and no spaces."""
    return json.dumps(value, sort_keys=True, separators=(',', ':'))


def encode_record(record: Change | Snapshot) -> str:
    """Return the text of a record."""
    kind = 'change' if isinstance(record, Change) else 'snapshot'
    return dump_canonical({'kind': kind, **record._asdict()})


def decode_record(text: str) -> Record:
    """Return the record of a text; never raises."""
    try:
        row = json.loads(text)
        kind = row.pop('kind')
        if kind == 'change':
            return _check_change(Change(**row))
        if kind == 'snapshot':
            return _check_snapshot(Snapshot(**row))
    except DECODE_ERRORS as error:
        return Damaged(f'record is damaged: {error}')
    return Damaged(f'record kind "{kind}" is unknown')


def _check_change(change: Change) -> Change:
    _check_types(change, _CHANGE_TYPES)
    return change


def _check_snapshot(snapshot: Snapshot) -> Snapshot:
    _check_types(snapshot, _SNAPSHOT_TYPES)
    return snapshot


def _check_types(record: tuple[Any, ...], types: tuple[Any, ...]) -> None:
    for value, wanted in zip(record, types, strict=True):
        if not isinstance(value, wanted):
            raise TypeError(f'value {value!r} has a wrong type')
