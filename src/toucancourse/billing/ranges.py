"""Sets of sequence numbers kept as ranges."""

from collections.abc import Iterable, Iterator
from typing import Final

#: Longest range in one batch.
MAX_RANGE: Final = 1_000_000


def format_ranges(numbers: Iterable[int]) -> str:
    """Return "1-3,7" for {1, 2, 3, 7}."""
    return ','.join(
        f'{low}' if low == high else f'{low}-{high}'
        for low, high in _find_runs(sorted(numbers))
    )


def parse_ranges(text: str) -> Iterator[int]:
    """Yield the numbers of "1-3,7".

    Raises ValueError for a range that no batch can hold.
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
    """Numbers from 1 on: all up to a mark, and some above it."""

    def __init__(self, mark: int = 0, above: Iterable[int] = ()) -> None:
        """Start with the numbers up to a mark and some above."""
        self.mark = mark
        self.above = set(above)

    def __contains__(self, number: int) -> bool:
        """Return True if the number was added."""
        return number <= self.mark or number in self.above

    def add(self, number: int) -> None:
        """Add a number, raising the mark over a closed gap."""
        if number in self:
            return
        self.above.add(number)
        while self.mark + 1 in self.above:
            self.mark += 1
            self.above.remove(self.mark)
