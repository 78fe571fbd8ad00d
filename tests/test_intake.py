"""Who is refused when requests hold more memory than a server has for them."""

from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from toucancourse.web.intake import (
    ORDINARY_BYTES,
    ORDINARY_SHARE,
    Holding,
    Intake,
    IntakeLimits,
)

CAPACITY_BYTES: Final = 1_000_000
UNFINISHED: Final = 50
LARGE_BYTES: Final = 200_000
SMALL_BYTES: Final = 10_000


def make_intake(unfinished: int = UNFINISHED) -> Intake:
    """Return an intake with nothing held."""
    return Intake(IntakeLimits(CAPACITY_BYTES, unfinished))


def make_holding() -> Holding:
    """Return the holding of a new connection."""
    return Holding(lambda: None)


class TestRoom:
    """Bytes of unfinished requests."""

    def test_nobody_is_refused_while_there_is_room(self) -> None:
        intake = make_intake()
        for _ in range(3):
            assert not intake.receive(make_holding(), LARGE_BYTES, 0)
        for _ in range(20):
            assert not intake.receive(make_holding(), SMALL_BYTES, 0)

    def test_stalled_one_goes_before_larger_ones(self) -> None:
        intake = make_intake()
        stalled, busy, newest = (make_holding() for _ in range(3))
        intake.receive(stalled, LARGE_BYTES, 0)
        intake.receive(busy, 2 * LARGE_BYTES, 0)
        intake.receive(busy, 2 * LARGE_BYTES + SMALL_BYTES, 5)
        assert intake.receive(newest, LARGE_BYTES, 5) == [stalled]

    def test_progress_is_counted_in_bytes_a_second(self) -> None:
        holding = make_holding()
        holding.begin(0)
        for second in range(1, 20):
            holding.grow(LARGE_BYTES + second, second)
        assert holding.is_stalled(20)

    def test_large_ones_leave_a_share_to_ordinary_ones(self) -> None:
        intake = make_intake()
        for number in range(20):
            intake.receive(make_holding(), LARGE_BYTES, number)
        share = CAPACITY_BYTES * ORDINARY_SHARE
        assert intake.used <= CAPACITY_BYTES - share
        for _ in range(int(share / SMALL_BYTES)):
            assert not intake.receive(make_holding(), SMALL_BYTES, 20)

    def test_large_one_displaces_no_ordinary_one(self) -> None:
        intake = make_intake(1000)
        ordinary = [make_holding() for _ in range(95)]
        for holding in ordinary:
            intake.receive(holding, SMALL_BYTES, 0)
        large = make_holding()
        assert intake.receive(large, LARGE_BYTES, 9) == [large]

    def test_oldest_goes_if_there_are_too_many(self) -> None:
        intake = make_intake()
        holdings = [make_holding() for _ in range(UNFINISHED + 1)]
        for number, holding in enumerate(holdings[:-1]):
            intake.receive(holding, SMALL_BYTES, number)
        refused = intake.receive(holdings[-1], SMALL_BYTES, UNFINISHED)
        assert refused == holdings[:2]


class TestWholeRequests:
    """Requests that are read and not answered yet."""

    def test_whole_one_displaces_unfinished_ones(self) -> None:
        intake = make_intake()
        unfinished = make_holding()
        intake.receive(unfinished, 3 * LARGE_BYTES, 0)
        is_kept, refused = intake.keep(3 * LARGE_BYTES, 0)
        assert is_kept
        assert refused == [unfinished]

    def test_one_without_room_is_not_kept(self) -> None:
        intake = make_intake()
        assert intake.keep(3 * LARGE_BYTES, 0) == (True, [])
        assert intake.keep(LARGE_BYTES, 0) == (False, [])
        assert intake.keep(SMALL_BYTES, 0) == (True, [])
        intake.free(3 * LARGE_BYTES)
        assert intake.keep(LARGE_BYTES, 0) == (True, [])

    def test_unread_answers_displace_large_requests_only(self) -> None:
        intake = make_intake()
        assert intake.note_unread(2 * CAPACITY_BYTES) == CAPACITY_BYTES
        assert intake.keep(LARGE_BYTES, 0) == (False, [])
        assert intake.keep(SMALL_BYTES, 0) == (True, [])


class TestSums:
    """Whatever comes, the sums hold."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('receive', 'end', 'keep', 'free')),
                st.integers(0, 9),
                st.integers(1, 2 * CAPACITY_BYTES)
                | st.integers(1, 2 * ORDINARY_BYTES),
                st.floats(0, 3),
            ),
            max_size=60,
        )
    )
    def test_used_is_what_is_held(
        self, steps: list[tuple[str, int, int, float]]
    ) -> None:
        intake = make_intake(6)
        holdings = [make_holding() for _ in range(10)]
        kept: list[int] = []
        now = 0.0
        for action, index, size, seconds in steps:
            now += seconds
            if action == 'receive':
                for refused in intake.receive(holdings[index], size, now):
                    assert not refused.size
            elif action == 'end':
                intake.end(holdings[index])
            elif action == 'keep':
                if intake.keep(size, now)[0]:
                    kept.append(size)
            elif kept:
                intake.free(kept.pop())
            held = sum(kept) + sum(one.size for one in holdings)
            assert intake.used == held <= CAPACITY_BYTES
            assert intake.count_unfinished() <= 6
