"""Conversation ids that callers chose, pinned through the log."""

import time
from typing import Final

from ..billing.claims import ClaimState, Pin
from ..errors import LogDownError
from ..streams.appender import Appender
from ..streams.follower import Follower

PIN_SECONDS: Final = 2.0


class Pins:
    """Binds a caller's conversation id to the first version in the log."""

    def __init__(
        self,
        appender: Appender,
        follower: Follower[ClaimState],
    ) -> None:
        """Keep the claims stream."""
        self._appender = appender
        self._follower = follower

    def find(self, customer: str, conversation: str) -> str:
        """Return the pinned version, or ''."""
        with self._follower.lock:
            return (
                self._follower.book.find_pinned_version(customer, conversation)
                or ''
            )

    def pin(self, customer: str, conversation: str, version: str) -> str:
        """Return the version that the conversation is pinned to.

        Raises LogDownError.
        """
        pin = Pin(customer, conversation, version, time.time())
        future = self._appender.put(pin, PIN_SECONDS)
        offset = future.result()
        self._follower.sync(offset + 1, PIN_SECONDS)
        found = self.find(customer, conversation)
        if not found:
            raise LogDownError('the conversation was not pinned')
        return found
