"""Traffic shifts of roll-outs, which entries share through the store."""

import json
import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS
from ..membership.clock import read_clock
from ..membership.feeds import Listener
from .objects import RolloutOrder

KEY_PREFIX: Final = 'move/'
#: Age, as a multiple of an order's duration, from which a shift belongs to an
#: earlier order for the same version.
STALE_DURATIONS: Final = 1.5


class TrafficShift(NamedTuple):
    """Published state of a service's shift to a version."""

    service: str
    target: str
    #: time.time() at which any entry first saw the order. Clocks of entries
    #: may differ by seconds, which is a small part of a roll-out.
    began: float
    #: True once an entry found the version good and shifts traffic to it.
    is_good: bool


class KnownShift(NamedTuple):
    """A shift with its start on this entry's clock."""

    target: str
    is_good: bool
    #: read_clock() at which any entry first saw the order.
    began: float


class ShiftRegistry(Listener):
    """Newest traffic shift of each service.

    An entry that was partitioned or has just started learns from it how far
    a shift has advanced, so that all entries send a session to the same
    version.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._shifts: dict[str, KnownShift] = {}

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply the newest shift of a service, or its removal."""
        if not key.startswith(KEY_PREFIX):
            return
        service = key.removeprefix(KEY_PREFIX)
        if content is None:
            self._shifts.pop(service, None)
            return
        try:
            shift = decode_shift(service, content)
        except DECODE_ERRORS as error:
            logger.warning('invalid record ignored', key=key, why=repr(error))
            return
        age = max(0.0, time.time() - shift.began)
        self._shifts[service] = KnownShift(
            shift.target, shift.is_good, read_clock() - age
        )
        logger.info(
            'traffic shift updated', age=round(age, 2), **shift._asdict()
        )

    def find(self, order: RolloutOrder) -> KnownShift | None:
        """Return the shift that belongs to an order, or None."""
        shift = self._shifts.get(order.service)
        if shift is None or shift.target != order.target:
            return None
        if read_clock() - shift.began > STALE_DURATIONS * order.duration:
            return None
        return shift


def decode_shift(service: str, content: bytes) -> TrafficShift:
    """Return the shift of a service from the content of its record.

    Raises one of errors.DECODE_ERRORS.
    """
    fields = json.loads(content)
    return TrafficShift(
        service,
        str(fields['target']),
        float(fields['began']),
        bool(fields['good']),
    )


def encode_shift(shift: TrafficShift) -> tuple[str, bytes]:
    """Return key and content of a shift's record."""
    fields = {
        'target': shift.target,
        'began': shift.began,
        'good': shift.is_good,
    }
    return KEY_PREFIX + shift.service, json.dumps(fields).encode()
