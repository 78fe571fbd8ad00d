"""Queue that batches the items to be sent to one peer."""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar('Item')


class Outbox(Generic[Item]):
    """An unbounded queue whose consumer takes all items at once.

    Items put while the consumer lingers share its next batch, so the cost of
    a message is spread over the streams that produce at the same time.
    """

    def __init__(self, linger_seconds: float = 0) -> None:
        """Create a queue whose consumer waits linger_seconds for more items."""
        self._linger = linger_seconds
        self._items: deque[Item] = deque()
        self._ready = threading.Event()
        self._urgent = False
        self._closed = False

    def put(self, item: Item, *, urgent: bool = True) -> None:
        """Queue an item.

        The consumer does not linger if an urgent item is queued when it wakes.
        """
        self._items.append(item)
        if urgent:
            self._urgent = True
        if not self._ready.is_set():
            self._ready.set()

    def close(self) -> None:
        """Make batches() end after the items already queued."""
        self._closed = True
        self._ready.set()

    def batches(self, period: Callable[[], float]) -> Iterator[list[Item]]:
        """Yield batches; an empty one after each period without items.

        period() returns seconds and is called again for each batch.
        """
        while True:
            self._ready.wait(period())
            if self._linger and not self._urgent and not self._closed:
                time.sleep(self._linger)
            self._ready.clear()
            self._urgent = False
            batch = list(self._drain())
            if not batch and self._closed:
                return
            yield batch

    def remove(self, item: Item) -> bool:
        """Remove a queued item; return False if a batch already has it."""
        try:
            self._items.remove(item)
        except ValueError:
            return False
        return True

    def _drain(self) -> Iterator[Item]:
        while self._items:
            yield self._items.popleft()
