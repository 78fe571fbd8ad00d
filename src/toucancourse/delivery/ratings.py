"""Samples answers for the rater and shares the ratings."""

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
#: Answers that wait for the rater; more are not rated.
MAX_WAITING: Final = 100
#: Ratings of a roll-out's target that are wanted soon, for each kind of work.
PROBATION_RATINGS: Final = 60
#: Such ratings that are shared at once.
PROMPT_RATINGS: Final = 3


class RatingSampler:
    """Rates a share of the answers in the background."""

    def __init__(
        self,
        rater: Rater | None,
        share: float,
        log: Log,
        follower: Follower[QualityState],
        on_rating: Callable[[str, float], None],
    ) -> None:
        """Keep the parts; without a rater nothing is sampled."""
        self.follower = follower
        self._on_rating = on_rating
        self._rater = rater
        self._share = share
        self._log = log
        self._workers = ThreadPoolExecutor(RATER_THREADS, 'rater')
        self._lock = threading.Lock()
        self._waiting = 0
        self._sums: dict[tuple[str, str], Ratings] = {}
        self._stopped = False
        self._wake = threading.Event()
        #: Ratings of targets on probation that were not shared yet.
        self._prompt = 0

    def is_sampled(self, *, always: bool = False) -> bool:
        """Return True for a random share of calls, or always."""
        if self._rater is None or self._waiting >= MAX_WAITING:
            return False
        return always or random.random() < self._share

    def is_on_probation(self, version: str, kind: str) -> bool:
        """Return True if a roll-out's target has few ratings yet."""
        with self.follower.lock:
            sums = self.follower.book.find_sums(version, kind)
        return sums.number < PROBATION_RATINGS

    def rate(
        self,
        customer: str,
        kind: str,
        version: str,
        answer: bytes,
        *,
        prompt: bool = False,
    ) -> None:
        """Rate an answer later; a prompt rating is shared early."""
        with self._lock:
            self._waiting += 1
        text = answer.decode(errors='replace')
        self._workers.submit(self._rate, customer, kind, version, text, prompt)

    def note(
        self,
        version: str,
        kind: str,
        rating: float,
        *,
        prompt: bool = False,
    ) -> None:
        """Count one rating, to be shared later."""
        key = (version, kind)
        with self._lock:
            old = self._sums.get(key, Ratings(*key, 0, 0, 0))
            self._sums[key] = Ratings(
                *key,
                old.number + 1,
                old.total + rating,
                old.squares + rating**2,
            )
            self._prompt += prompt
            if self._prompt >= PROMPT_RATINGS:
                self._wake.set()

    def run(self, find_period: Callable[[], float]) -> None:
        """Share the ratings each period, or early, until stopped.

        The period is in seconds.
        """
        while True:
            self._wake.wait(find_period())
            self._wake.clear()
            if self._stopped:
                return
            self.share()

    def share(self) -> None:
        """Append the ratings gathered since the last call."""
        with self._lock:
            rows = list(self._sums.values())
            self._sums = {}
            self._prompt = 0
        if not rows:
            return
        try:
            self._log.append(STREAM, encode_items(rows))
        except LogDownError as error:
            # Ratings are samples: losing some only widens the estimate.
            logger.warning('{} ratings dropped: {}', len(rows), error)

    def stop(self) -> None:
        """End run()."""
        self._stopped = True
        self._wake.set()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _rate(
        self,
        customer: str,
        kind: str,
        version: str,
        text: str,
        prompt: bool,
    ) -> None:
        try:
            assert self._rater is not None
            rating = self._rater.rate(kind, version, text)
        except (CourseError, *DECODE_ERRORS) as error:
            logger.debug('answer not rated: {}', error)
            return
        finally:
            with self._lock:
                self._waiting -= 1
        self._on_rating(customer, rating)
        self.note(version, kind, rating, prompt=prompt)
