"""An entry's followers of the smaller streams of the log."""

from collections.abc import Callable
from typing import Any, Final

from loguru import logger

from ..billing.claims import CODEC as CLAIM_CODEC
from ..billing.claims import STREAM as CLAIM_STREAM
from ..billing.claims import ClaimState
from ..billing.spend import CODEC as SPEND_CODEC
from ..billing.spend import STREAM as SPEND_STREAM
from ..billing.spend import SpendState
from ..errors import LogDownError
from ..interfaces.log import Log
from ..report.levels import CODEC as LEVEL_CODEC
from ..report.levels import STREAM as LEVEL_STREAM
from ..report.levels import LevelState
from ..routing.offers import CODEC as OFFER_CODEC
from ..routing.offers import STREAM as OFFER_STREAM
from ..routing.offers import OfferState
from ..routing.quality import CODEC as QUALITY_CODEC
from ..routing.quality import STREAM as QUALITY_STREAM
from ..routing.quality import QualityState
from ..streams.follower import Follower

#: Records of a stream after which a snapshot is due.
SNAPSHOT_RECORDS: Final = 2000


class Books:
    """Claims, spend, quality, levels and offers, folded from their streams."""

    def __init__(self, log: Log, poll_seconds: float) -> None:
        """Start with empty books; run() follows the streams."""
        self.claims = Follower(
            log, CLAIM_STREAM, CLAIM_CODEC, ClaimState(), poll_seconds
        )
        self.spend = Follower(
            log, SPEND_STREAM, SPEND_CODEC, SpendState(), poll_seconds
        )
        self.quality = Follower(
            log, QUALITY_STREAM, QUALITY_CODEC, QualityState(), poll_seconds
        )
        self.levels = Follower(
            log, LEVEL_STREAM, LEVEL_CODEC, LevelState(), poll_seconds
        )
        self.offers = Follower(
            log, OFFER_STREAM, OFFER_CODEC, OfferState(), poll_seconds
        )
        self._all: tuple[Follower[Any], ...] = (
            self.claims,
            self.spend,
            self.quality,
            self.levels,
            self.offers,
        )

    def run(self, spawn: Callable[[Callable[[], None]], None]) -> None:
        """Follow each stream in a task of its own.

        Offers are followed by those who need them.
        """
        for follower in self._all:
            if follower is not self.offers:
                spawn(follower.run)

    def write_snapshots(self) -> None:
        """Append a snapshot to each stream that is due for one."""
        for follower in self._all:
            if follower.records_since_snapshot >= SNAPSHOT_RECORDS:
                try:
                    follower.write_snapshot()
                except LogDownError as error:
                    logger.warning('no snapshot written: {}', error)

    def stop(self) -> None:
        """Follow no more."""
        for follower in self._all:
            follower.stop()
