"""Collects what is to be sent to one peer into few messages."""

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
        """Keep how long the consumer waits for more items."""
        self._linger = linger_seconds
        self._items: deque[Item] = deque()
        self._filled = threading.Event()
        self._urgent = False
        self._closed = False

    def put(self, item: Item, *, urgent: bool = True) -> None:
        """Queue an item; an urgent one ends the consumer's linger."""
        self._items.append(item)
        if urgent:
            self._urgent = True
        if not self._filled.is_set():
            self._filled.set()

    def close(self) -> None:
        """Make batches() end after the items already queued."""
        self._closed = True
        self._filled.set()

    def batches(self, period: Callable[[], float]) -> Iterator[list[Item]]:
        """Yield batches; an empty one after each period without items.

        The period is in seconds and may change.
        """
        while True:
            self._filled.wait(period())
            if self._linger and not self._urgent and not self._closed:
                time.sleep(self._linger)
            self._filled.clear()
            self._urgent = False
            batch = list(self._drain())
            if not batch and self._closed:
                return
            yield batch

    def withdraw(self, item: Item) -> bool:
        """Remove an item not yet taken; return False if it was taken."""
        try:
            self._items.remove(item)
        except ValueError:
            return False
        return True

    def _drain(self) -> Iterator[Item]:
        while self._items:
            yield self._items.popleft()
