"""Reads the configuration stream of the platform's log."""

import random
import threading
import time
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..contract.records import STREAM
from ..contract.snapshots import StateRecovery
from ..contract.state import State
from ..errors import LogDownError
from ..interfaces.log import Log
from .configuration import Configuration
from .freshness import Freshness

PAGE_RECORDS: Final = 1000
#: Age of the freshness proof, as a share of the stale limit, at which a daemon
#: that is not elected reads the log itself.
SELF_READ_SHARE: Final = 0.4
MAX_BACKOFF_SECONDS: Final = 2.0


class LogReader:
    """Polls the stream if elected, else reads it only when the proof ages.

    Daemons that are not elected usually get the records from their peers.
    """

    def __init__(
        self,
        log: Log,
        configuration: Configuration,
        freshness: Freshness,
        is_elected: Callable[[], bool],
        poll_seconds: float,
        stale_seconds: float,
    ) -> None:
        """Create a reader; run() polls the log."""
        self._log = log
        self._configuration = configuration
        self._freshness = freshness
        self._is_elected = is_elected
        self._poll_seconds = poll_seconds
        self._max_proof_age = stale_seconds * SELF_READ_SHARE
        self._stop = threading.Event()
        self._bootstrap_lock = threading.Lock()

    def run(self) -> None:
        """Read periodically until stop() is called."""
        backoff = self._poll_seconds
        while not self._stop.is_set():
            try:
                self._poll_once()
            except LogDownError as error:
                logger.debug(
                    'could not read the configuration stream: {}', error
                )
                self._stop.wait(backoff * random.uniform(0.5, 1))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            else:
                backoff = self._poll_seconds

    def stop(self) -> None:
        """Make run() return."""
        self._stop.set()

    def catch_up(self, wait_seconds: float = 0) -> None:
        """Read to the end of the stream, or wait at it for new records.

        Several threads may read at a time: records are applied by offset, so
        a thread that waits for new records never delays another. Raises
        LogDownError.
        """
        if self._configuration.is_ready():
            self._read_to_end(wait_seconds)
            return
        with self._bootstrap_lock:
            if not self._configuration.is_ready():
                self._bootstrap()

    def _poll_once(self) -> None:
        ready = self._configuration.is_ready()
        proof_age = time.monotonic() - self._freshness.proof
        if not ready or proof_age > self._max_proof_age:
            self.catch_up()
        if self._is_elected():
            self.catch_up(self._poll_seconds)
        else:
            self._stop.wait(self._poll_seconds * random.uniform(0.5, 1))

    def _read_to_end(self, wait_seconds: float) -> None:
        while not self._stop.is_set():
            started_at = time.monotonic()
            start = self._configuration.offset
            page = self._log.read(STREAM, start, PAGE_RECORDS, wait_seconds)
            if page.earliest > start:
                logger.warning(
                    'records {} to {} have expired; starting from a snapshot',
                    start,
                    page.earliest,
                )
                self._bootstrap()
                return
            self._configuration.apply(page.entries)
            if self._configuration.offset >= page.end:
                # The end is as of some time during the read, which may have
                # waited, so only the read's start is a safe time of proof.
                self._freshness.record_log_read(started_at)
                return
            wait_seconds = 0

    def _bootstrap(self) -> None:
        started_at = time.monotonic()
        recovery = StateRecovery()
        state: State | None = None
        page = self._log.read(STREAM, 0, 1)
        if page.end == 0:
            self._configuration.install_state(State())
            self._freshness.record_log_read(started_at)
            return
        offset = page.earliest
        while state is None and offset < page.end:
            page = self._log.read(STREAM, offset, PAGE_RECORDS)
            for entry in page.entries:
                state = recovery.add_entry(entry) or state
                offset = entry.offset + 1
                if state is not None:
                    break
        if state is None:
            logger.warning('the log has no usable snapshot yet')
            self._stop.wait(self._poll_seconds)
            return
        self._configuration.install_state(state)
        self._read_to_end(0)
