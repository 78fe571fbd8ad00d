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
        self.is_closed = False
        self.reads_slowly = False

    def has_output(self) -> bool:
        """Return True."""
        return True

    def close_now(self) -> None:
        """Note that the connection is closed."""
        self.is_closed = True

    def note_pace(self, now: float) -> None:
        """Do nothing: tests set the pace."""

    def check_progress(self, now: float, head_seconds: float) -> None:
        """Do nothing: no request is unfinished."""


def check(*channels: Any) -> list[bool]:
    """Return which channels are closed by a check of them all."""
    limits = IntakeLimits(CAPACITY_BYTES, 10)
    ChannelCare(limits, 'test').check(channels)
    return [channel.is_closed for channel in channels]


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

    def test_marked_one_is_closed_though_its_socket_takes_nothing(self) -> None:
        channel = FakeChannel(1, 0)
        channel.will_close = True
        assert check(channel) == [True]


class TestHeldThreads:
    """Who is closed if requests wait for a thread."""

    def check_twice(self, waiting: list[int], *channels: Any) -> list[bool]:
        """Return which channels are closed by two checks."""
        counts = iter(waiting)
        limits = IntakeLimits(CAPACITY_BYTES, 10)
        care = ChannelCare(limits, 'test', lambda: next(counts))
        for _ in range(2):
            care.check(channels)
        return [channel.is_closed for channel in channels]

    def make_slow(self, seconds: float, *requests: object) -> FakeChannel:
        """Return a channel of a client that hardly reads."""
        channel = FakeChannel(1, seconds, *requests)
        channel.reads_slowly = True
        return channel

    def test_as_many_as_wait_are_closed(self) -> None:
        channels = [self.make_slow(row, 'request') for row in (1, 3, 2)]
        assert self.check_twice([2, 5], *channels) == [False, True, True]

    def test_one_that_waits_for_a_moment_closes_nobody(self) -> None:
        assert self.check_twice([0, 5], self.make_slow(9, 'request')) == [False]

    def test_caller_that_reads_stays(self) -> None:
        assert self.check_twice([5, 5], FakeChannel(1, 9, 'one')) == [False]

    def test_one_without_a_thread_stays(self) -> None:
        assert self.check_twice([5, 5], self.make_slow(9)) == [False]
