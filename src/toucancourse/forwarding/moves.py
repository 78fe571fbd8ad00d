"""What entries tell each other of a roll-out's progress, in the store."""

import json
import time
from typing import Final, NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS
from ..membership.clock import read_clock
from ..membership.feeds import Listener
from .objects import RolloutOrder

PREFIX: Final = 'move/'
#: Times an order's duration after which a move is of an earlier order to the
#: same version.
STALE_AFTER: Final = 1.5


class Move(NamedTuple):
    """What one entry tells of a service's move to a version."""

    service: str
    target: str
    #: time.time() at which any entry first saw the order. The time of day may
    #: be off by seconds, which is a small part of a roll-out.
    began: float
    #: True once an entry found the version good and moves work there.
    is_good: bool


class KnownMove(NamedTuple):
    """A move as this entry takes it."""

    target: str
    is_good: bool
    #: read_clock() at which any entry first saw the order.
    began: float


class MoveBook(Listener):
    """Newest move of each service.

    An entry that was cut off or has just started learns from it how far the
    others are, so that all send a session to the same version.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._moves: dict[str, KnownMove] = {}

    def apply(self, key: str, content: bytes | None) -> None:
        """Take the newest move of a service."""
        if not key.startswith(PREFIX):
            return
        service = key.removeprefix(PREFIX)
        if content is None:
            self._moves.pop(service, None)
            return
        try:
            move = decode_move(service, content)
        except DECODE_ERRORS as error:
            logger.warning('record not read', key=key, why=repr(error))
            return
        age = max(0.0, time.time() - move.began)
        self._moves[service] = KnownMove(
            move.target, move.is_good, read_clock() - age
        )
        logger.info('move known', age=round(age, 2), **move._asdict())

    def find(self, order: RolloutOrder) -> KnownMove | None:
        """Return the move that an order began, or None if none is known."""
        move = self._moves.get(order.service)
        if move is None or move.target != order.target:
            return None
        if read_clock() - move.began > STALE_AFTER * order.duration:
            return None
        return move


def decode_move(service: str, content: bytes) -> Move:
    """Return what a record says of a service.

    Raises one of errors.DECODE_ERRORS.
    """
    row = json.loads(content)
    return Move(
        service, str(row['target']), float(row['began']), bool(row['good'])
    )


def encode_move(move: Move) -> tuple[str, bytes]:
    """Return key and content of a move's record."""
    row = {'target': move.target, 'began': move.began, 'good': move.is_good}
    return PREFIX + move.service, json.dumps(row).encode()
