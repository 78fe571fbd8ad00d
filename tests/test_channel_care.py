"""Answers that nobody reads, once they hold the memory of others."""

import time
from typing import Any, Final

from toucancourse.web.channels import UNREAD_SECONDS, ChannelCare
from toucancourse.web.intake import IntakeLimits

CAPACITY_BYTES: Final = 1_000_000
ANSWER_BYTES: Final = 600_000


class FakeChannel:
    """A channel with output that was last read some seconds ago."""

    def __init__(self, unread: int, seconds: float, *requests: object) -> None:
        """Create a channel; requests are being served."""
        self.total_outbufs_len = unread
        self.last_used = time.monotonic() - seconds
        self.requests = list(requests)
        self.will_close = False

    def has_output(self) -> bool:
        """Return True."""
        return True

    def check_progress(self, now: float, head_seconds: float) -> None:
        """Do nothing: no request is unfinished."""


def check(*channels: Any) -> list[bool]:
    """Return which channels are closed by a check of them all."""
    limits = IntakeLimits(CAPACITY_BYTES, 10)
    ChannelCare(limits, 'test').check(channels)
    return [channel.will_close for channel in channels]


class TestUnreadAnswers:
    """Who is closed if unread answers need more than there is."""

    def test_one_alone_stays(self) -> None:
        assert check(FakeChannel(ANSWER_BYTES, 10 * UNREAD_SECONDS)) == [False]

    def test_largest_is_closed_until_the_rest_fits(self) -> None:
        stalled = 10 * UNREAD_SECONDS
        smaller = FakeChannel(ANSWER_BYTES, stalled)
        larger = FakeChannel(ANSWER_BYTES + 1, stalled)
        assert check(smaller, larger) == [False, True]

    def test_caller_that_reads_stays(self) -> None:
        channels = [FakeChannel(ANSWER_BYTES, 0) for _ in range(2)]
        assert check(*channels) == [False, False]

    def test_caller_that_is_served_stays(self) -> None:
        stalled = 10 * UNREAD_SECONDS
        served = FakeChannel(ANSWER_BYTES, stalled, 'request')
        other = FakeChannel(ANSWER_BYTES, stalled)
        assert check(served, other) == [False, True]
