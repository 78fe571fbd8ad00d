"""Compact sets of sequence numbers."""

from collections.abc import Iterable, Iterator
from typing import Final

#: Longest range that is parsed, so that a damaged record can't fill the memory.
MAX_RANGE: Final = 1_000_000


def format_ranges(numbers: Iterable[int]) -> str:
    """Return the numbers as sorted ranges: "1-3,7" for {1, 2, 3, 7}."""
    return ','.join(
        f'{low}' if low == high else f'{low}-{high}'
        for low, high in _find_runs(sorted(numbers))
    )


def parse_ranges(text: str) -> Iterator[int]:
    """Yield the numbers of "1-3,7".

    Raises ValueError for a range that is longer than MAX_RANGE.
    """
    for part in filter(None, text.split(',')):
        low, _, high = part.partition('-')
        first, last = int(low), int(high or low)
        if last - first > MAX_RANGE:
            raise ValueError(f'range "{part}" is too long')
        yield from range(first, last + 1)


def _find_runs(numbers: list[int]) -> Iterator[tuple[int, int]]:
    low: int | None = None
    high = 0
    for number in numbers:
        if low is None:
            low = number
        elif number > high + 1:
            yield low, high
            low = number
        high = number
    if low is not None:
        yield low, high


class SequenceSet:
    """A set of numbers from 1 on: all up to a watermark, and some above."""

    def __init__(self, watermark: int = 0, above: Iterable[int] = ()) -> None:
        """Create a set of the numbers up to a watermark and some above it."""
        self.watermark = watermark
        self.above = set(above)

    def __contains__(self, number: int) -> bool:
        """Return True if the number was added."""
        return number <= self.watermark or number in self.above

    def add(self, number: int) -> None:
        """Add a number, and raise the watermark if that closes a gap."""
        if number in self:
            return
        self.above.add(number)
        while self.watermark + 1 in self.above:
            self.watermark += 1
            self.above.remove(self.watermark)
