"""An entry's followers of all streams but the configuration."""

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

#: Records since the last snapshot after which a new one is written.
SNAPSHOT_RECORDS: Final = 2000


class Followers:
    """Followers whose states hold claims, spend, quality, levels and offers."""

    def __init__(self, log: Log, poll_seconds: float) -> None:
        """Create followers with empty states; start() reads the streams."""
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

    def start(self, start_task: Callable[[Callable[[], None]], None]) -> None:
        """Follow each stream but the offers in a background task.

        The entry follows the offers once it has to choose a subset of the
        sidecars.
        """
        for follower in self._all:
            if follower is not self.offers:
                start_task(follower.run)

    def write_snapshots(self) -> None:
        """Append a snapshot to each stream with many records since the last."""
        for follower in self._all:
            if follower.records_since_snapshot >= SNAPSHOT_RECORDS:
                try:
                    follower.write_snapshot()
                except LogDownError as error:
                    logger.warning('stream snapshot not written: {}', error)

    def stop(self) -> None:
        """Stop all followers."""
        for follower in self._all:
            follower.stop()
