"""Follows the configuration stream of the platform's log."""

import random
import threading
import time
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..contract.records import STREAM
from ..contract.snapshots import Starter
from ..contract.state import State
from ..errors import LogDownError
from ..interfaces.log import Log
from .configuration import Configuration
from .freshness import Freshness

PAGE_RECORDS: Final = 1000
#: Share of the stale limit after which a silent daemon reads for itself.
SILENCE_SHARE: Final = 0.4
MAX_BACKOFF_SECONDS: Final = 2.0


class LogReader:
    """Reads the stream steadily if elected, else only when peers are silent."""

    def __init__(
        self,
        log: Log,
        configuration: Configuration,
        freshness: Freshness,
        is_elected: Callable[[], bool],
        poll_seconds: float,
        stale_seconds: float,
    ) -> None:
        """Keep the parts; run() starts reading."""
        self._log = log
        self._configuration = configuration
        self._freshness = freshness
        self._is_elected = is_elected
        self._poll = poll_seconds
        self._silence = stale_seconds * SILENCE_SHARE
        self._stop = threading.Event()
        self._starting = threading.Lock()

    def run(self) -> None:
        """Read until stopped."""
        backoff = self._poll
        while not self._stop.is_set():
            try:
                self._step()
            except LogDownError as error:
                logger.debug('configuration not read: {}', error)
                self._stop.wait(backoff * random.uniform(0.5, 1))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            else:
                backoff = self._poll

    def stop(self) -> None:
        """End run()."""
        self._stop.set()

    def catch_up(self, wait_seconds: float = 0) -> None:
        """Read to the end of the stream once.

        Several threads may read at a time: records are folded by offset, so
        one that waits for new records never delays another. Raises
        LogDownError.
        """
        if self._configuration.is_ready():
            self._read_on(wait_seconds)
            return
        with self._starting:
            if not self._configuration.is_ready():
                self._start()

    def _step(self) -> None:
        ready = self._configuration.is_ready()
        quiet = time.monotonic() - self._freshness.proof
        if not ready or quiet > self._silence:
            self.catch_up()
        if self._is_elected():
            self.catch_up(self._poll)
        else:
            self._stop.wait(self._poll * random.uniform(0.5, 1))

    def _read_on(self, wait_seconds: float) -> None:
        while not self._stop.is_set():
            began = time.monotonic()
            start = self._configuration.offset
            page = self._log.read(STREAM, start, PAGE_RECORDS, wait_seconds)
            if page.earliest > start:
                logger.warning(
                    'records {} to {} are gone; starting from a snapshot',
                    start,
                    page.earliest,
                )
                self._start()
                return
            self._configuration.apply(page.entries)
            if self._configuration.offset >= page.end:
                # A read that waited saw the end at its answer, not before
                # the answer's records, so its start is the safe moment.
                self._freshness.note_log(began)
                return
            wait_seconds = 0

    def _start(self) -> None:
        began = time.monotonic()
        starter = Starter()
        state: State | None = None
        page = self._log.read(STREAM, 0, 1)
        if page.end == 0:
            self._configuration.adopt(State())
            self._freshness.note_log(began)
            return
        offset = page.earliest
        while state is None and offset < page.end:
            page = self._log.read(STREAM, offset, PAGE_RECORDS)
            for entry in page.entries:
                state = starter.feed(entry) or state
                offset = entry.offset + 1
                if state is not None:
                    break
        if state is None:
            logger.warning('the log holds no usable snapshot yet')
            self._stop.wait(self._poll)
            return
        self._configuration.adopt(state)
        self._read_on(0)
