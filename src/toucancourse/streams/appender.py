"""Group commit of stream items that many threads append."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any, Final

from ..errors import LogDownError
from ..interfaces.log import Log
from ..protocol.outbox import Outbox
from .codec import encode_items

#: Most items of one record.
MAX_RECORD_ITEMS: Final = 500
#: Pause before a failed append is repeated.
RETRY_SECONDS: Final = 0.2
#: How often run() wakes up while there are no items.
IDLE_CHECK_SECONDS: Final = 0.5

#: An item, the future of its offset and its deadline on time.monotonic().
PendingItem = tuple[Any, 'Future[int]', float]


class Appender:
    """Group commit: items put within the linger time share an append.

    An append that got no response is repeated until the deadlines of its items,
    so the same item may be in the log twice: applying it must be idempotent.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        linger_seconds: float,
        *,
        pause_seconds: float = 0,
        encode: Callable[[Sequence[Any]], str] = encode_items,
    ) -> None:
        """Create an appender to one stream; run() appends.

        The pause in seconds follows each append, so that a single item is
        appended at once and later ones share the next append. encode returns
        one record for the items of an append.
        """
        self._log = log
        self._stream = stream
        self._pause = pause_seconds
        self._encode = encode
        self._outbox: Outbox[PendingItem] = Outbox(linger_seconds)
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
        """Append batches until stopped."""
        for batch in self._outbox.batches(_get_idle_period):
            while batch:
                self._append_batch(batch[:MAX_RECORD_ITEMS])
                batch = batch[MAX_RECORD_ITEMS:]
                time.sleep(self._pause)

    def stop(self) -> None:
        """End run() after the items already put."""
        self._outbox.close()

    def _append_batch(self, batch: list[PendingItem]) -> None:
        body = self._encode([item for item, _, _ in batch])
        while True:
            try:
                offset = self._log.append(self._stream, body)
            except LogDownError as error:
                batch = self._fail_expired(batch, error)
                if not batch:
                    return
                time.sleep(RETRY_SECONDS)
                continue
            self.appends += 1
            for _, future, _ in batch:
                if not future.done():
                    future.set_result(offset)
            return

    def _fail_expired(
        self,
        batch: list[PendingItem],
        error: LogDownError,
    ) -> list[PendingItem]:
        now = time.monotonic()
        for _, future, deadline in batch:
            if now >= deadline and not future.done():
                future.set_exception(error)
        return [pending for pending in batch if not pending[1].done()]


def _get_idle_period() -> float:
    return IDLE_CHECK_SECONDS
