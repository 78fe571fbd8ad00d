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
    """A conditional request to replace one object's body."""

    change_id: str
    name: str
    #: Revision that the operator read; 0 if the object did not exist.
    base: int
    operator: str
    #: None deletes the object.
    body: Mapping[str, Any] | None
    #: Accept the change even if it leaves a customer without a usable version
    #: or no zone in service.
    force: bool = False
    #: Unix time at the writer in seconds; for the audit trail only.
    at: float = 0
    format: int = FORMAT


class Snapshot(NamedTuple):
    """The state at an offset, with its digest."""

    offset: int
    state: Mapping[str, Any]
    digest: str
    format: int = FORMAT


class DamagedRecord(NamedTuple):
    """A record that can't be decoded, and why."""

    text: str


Record = Change | Snapshot | DamagedRecord

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
    """Return the record of a text.

    Never raises; a text that can't be decoded gives a DamagedRecord.
    """
    try:
        fields = json.loads(text)
        kind = fields.pop('kind')
        if kind == 'change':
            return _check_change(Change(**fields))
        if kind == 'snapshot':
            return _check_snapshot(Snapshot(**fields))
    except DECODE_ERRORS as error:
        return DamagedRecord(f'record is damaged: {error}')
    return DamagedRecord(f'record kind "{kind}" is unknown')


def _check_change(change: Change) -> Change:
    _check_types(change, _CHANGE_TYPES)
    return change


def _check_snapshot(snapshot: Snapshot) -> Snapshot:
    _check_types(snapshot, _SNAPSHOT_TYPES)
    return snapshot


def _check_types(record: tuple[Any, ...], types: tuple[Any, ...]) -> None:
    for value, expected_type in zip(record, types, strict=True):
        if not isinstance(value, expected_type):
            raise TypeError(f'value {value!r} has the wrong type')
