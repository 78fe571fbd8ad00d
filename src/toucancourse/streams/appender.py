"""Appends items of many threads in few records."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any, Final

from ..errors import LogDownError
from ..interfaces.log import Log
from ..protocol.outbox import Outbox
from .codec import encode_items

#: Items in one record.
MAX_ITEMS: Final = 500
RETRY_SECONDS: Final = 0.2
IDLE_SECONDS: Final = 0.5

Pending = tuple[Any, 'Future[int]', float]


class Appender:
    """Group commit: items put within the gather time share an append.

    An append whose answer was lost is repeated until its items' time is up,
    so items must be harmless to fold twice.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        gather_seconds: float,
        *,
        pause_seconds: float = 0,
        encode: Callable[[Sequence[Any]], str] = encode_items,
    ) -> None:
        """Keep the parts; run() appends.

        The pause in seconds comes after each append, so that a lone item goes
        at once and many gather meanwhile. encode makes one record of items.
        """
        self._log = log
        self._stream = stream
        self._pause = pause_seconds
        self._encode = encode
        self._outbox: Outbox[Pending] = Outbox(gather_seconds)
        self._lock = threading.Lock()
        self.appends = 0

    def put(self, item: Any, timeout: float) -> 'Future[int]':
        """Return a future of the offset at which the item was appended.

        The future raises LogDownError if no append was confirmed in time.
        """
        future: Future[int] = Future()
        pending = (item, future, time.monotonic() + timeout)
        self._outbox.put(pending, urgent=False)
        return future

    def run(self) -> None:
        """Append until stopped."""
        for batch in self._outbox.batches(_find_period):
            while batch:
                self._append_all(batch[:MAX_ITEMS])
                batch = batch[MAX_ITEMS:]
                time.sleep(self._pause)

    def stop(self) -> None:
        """End run() after the items already put."""
        self._outbox.close()

    def _append_all(self, batch: list[Pending]) -> None:
        body = self._encode([item for item, _, _ in batch])
        while True:
            try:
                offset = self._log.append(self._stream, body)
            except LogDownError as error:
                batch = self._expire(batch, error)
                if not batch:
                    return
                time.sleep(RETRY_SECONDS)
                continue
            self.appends += 1
            for _, future, _ in batch:
                if not future.done():
                    future.set_result(offset)
            return

    def _expire(
        self,
        batch: list[Pending],
        error: LogDownError,
    ) -> list[Pending]:
        now = time.monotonic()
        for _, future, deadline in batch:
            if now >= deadline and not future.done():
                future.set_exception(error)
        return [row for row in batch if not row[1].done()]


def _find_period() -> float:
    return IDLE_SECONDS
