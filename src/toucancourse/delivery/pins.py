"""Version pins of conversation ids that callers chose."""

import time
from typing import Final

from ..billing.claims import ClaimState, Pin
from ..errors import LogDownError
from ..streams.appender import Appender
from ..streams.follower import Follower

#: Timeout of the append and of reading it back.
PIN_TIMEOUT_SECONDS: Final = 2.0


class ConversationPins:
    """Pins conversation ids to versions; the first pin in the log wins."""

    def __init__(
        self,
        appender: Appender,
        follower: Follower[ClaimState],
    ) -> None:
        """Use the appender and the follower of the claims stream."""
        self._appender = appender
        self._follower = follower

    def find_version(self, customer: str, conversation: str) -> str:
        """Return the pinned version, or ''."""
        with self._follower.lock:
            return (
                self._follower.state.find_pinned_version(customer, conversation)
                or ''
            )

    def pin(self, customer: str, conversation: str, version: str) -> str:
        """Pin a conversation and return the version that it is pinned to.

        That is another version if the log holds an earlier pin. Raises
        LogDownError.
        """
        pin = Pin(customer, conversation, version, time.time())
        future = self._appender.put(pin, PIN_TIMEOUT_SECONDS)
        offset = future.result()
        self._follower.sync(offset + 1, PIN_TIMEOUT_SECONDS)
        pinned = self.find_version(customer, conversation)
        if not pinned:
            raise LogDownError('the pin of the conversation was not read back')
        return pinned
