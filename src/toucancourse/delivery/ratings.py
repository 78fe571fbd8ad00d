"""Samples responses for rating and publishes the ratings."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from loguru import logger

from ..errors import DECODE_ERRORS, CourseError, LogDownError
from ..interfaces.log import Log
from ..interfaces.rater import Rater
from ..routing.quality import STREAM, QualityState, Ratings
from ..streams.codec import encode_items
from ..streams.follower import Follower

RATER_THREADS: Final = 2
#: Queue limit of responses to rate; responses beyond it are not rated.
MAX_QUEUED: Final = 100
#: A canary's first ratings of each request kind are urgent and not sampled.
CANARY_RATINGS: Final = 60
#: Urgent canary ratings that trigger a publication before the interval ends.
URGENT_RATINGS: Final = 3


class RatingSampler:
    """Rates a share of the responses in the background."""

    def __init__(
        self,
        rater: Rater | None,
        share: float,
        log: Log,
        follower: Follower[QualityState],
        on_rating: Callable[[str, float], None],
    ) -> None:
        """Create a sampler with its thread pool; rater None disables it."""
        self.follower = follower
        self._on_rating = on_rating
        self._rater = rater
        self._share = share
        self._log = log
        self._workers = ThreadPoolExecutor(RATER_THREADS, 'rater')
        self._lock = threading.Lock()
        self._queued = 0
        self._unpublished: dict[tuple[str, str], Ratings] = {}
        self._stopped = False
        self._wake = threading.Event()
        #: Urgent ratings that are not published yet.
        self._urgent_count = 0

    def should_sample(self, *, always: bool = False) -> bool:
        """Return True for a random share of calls, or always if asked.

        Returns False without a rater and while its queue is full.
        """
        if self._rater is None or self._queued >= MAX_QUEUED:
            return False
        return always or random.random() < self._share

    def lacks_ratings(self, version: str, kind: str) -> bool:
        """Return True if a version has fewer than CANARY_RATINGS ratings."""
        with self.follower.lock:
            sums = self.follower.state.find_sums(version, kind)
        return sums.number < CANARY_RATINGS

    def rate(
        self,
        customer: str,
        kind: str,
        version: str,
        response: bytes,
        *,
        urgent: bool = False,
    ) -> None:
        """Queue a response for rating; an urgent rating is published early."""
        with self._lock:
            self._queued += 1
        text = response.decode(errors='replace')
        self._workers.submit(self._rate, customer, kind, version, text, urgent)

    def record(
        self,
        version: str,
        kind: str,
        rating: float,
        *,
        urgent: bool = False,
    ) -> None:
        """Add one rating to the next publication."""
        key = (version, kind)
        with self._lock:
            ratings = self._unpublished.get(key, Ratings(*key, 0, 0, 0))
            self._unpublished[key] = Ratings(
                *key,
                ratings.number + 1,
                ratings.total + rating,
                ratings.squares + rating**2,
            )
            self._urgent_count += urgent
            if self._urgent_count >= URGENT_RATINGS:
                self._wake.set()

    def run(self, get_interval: Callable[[], float]) -> None:
        """Publish the ratings periodically until stopped.

        get_interval returns the interval in seconds; enough urgent ratings
        end it early.
        """
        while True:
            self._wake.wait(get_interval())
            self._wake.clear()
            if self._stopped:
                return
            self.publish()

    def publish(self) -> None:
        """Append the ratings recorded since the last call to the log."""
        with self._lock:
            batch = list(self._unpublished.values())
            self._unpublished = {}
            self._urgent_count = 0
        if not batch:
            return
        try:
            self._log.append(STREAM, encode_items(batch))
        except LogDownError as error:
            # Ratings are samples: losing some only makes the estimate wider.
            logger.warning(
                'dropped {} ratings: {}',
                len(batch),
                error,
            )

    def stop(self) -> None:
        """Make run() return and drop the queued responses."""
        self._stopped = True
        self._wake.set()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _rate(
        self,
        customer: str,
        kind: str,
        version: str,
        text: str,
        urgent: bool,
    ) -> None:
        try:
            assert self._rater is not None
            rating = self._rater.rate(kind, version, text)
        except (CourseError, *DECODE_ERRORS) as error:
            logger.debug('response not rated: {}', error)
            return
        finally:
            with self._lock:
                self._queued -= 1
        self._on_rating(customer, rating)
        self.record(version, kind, rating, urgent=urgent)
