"""JSON objects that know the lines of their fields."""

import json
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from json.decoder import JSONObject  # type: ignore[attr-defined]
from json.scanner import py_make_scanner  # type: ignore[attr-defined]
from typing import Any

_Pairs = list[tuple[str, Any]]
_Scan = Callable[[str, int], tuple[Any, int]]


class LocatedObject(dict[str, Any]):
    """A decoded JSON object; the first line is 1."""

    def __init__(self, pairs: _Pairs, line: int, lines: list[int]) -> None:
        """Create it of its fields, its own line and those of its values."""
        super().__init__(pairs)
        self.line = line
        self._lines = {
            name: at for (name, _), at in zip(pairs, lines, strict=True)
        }
        counts = Counter(name for name, _ in pairs)
        #: Names of fields that come more than once; the last one counts.
        self.repeated = [name for name in counts if counts[name] > 1]

    def find_line(self, field: str) -> int:
        """Return the line of a field's value, or else that of the object."""
        return self._lines.get(field, self.line)


class _LocatingDecoder(json.JSONDecoder):
    """Decodes objects with their lines."""

    def __init__(self) -> None:
        super().__init__()
        self.parse_object = self._parse_object
        self.scan_once = py_make_scanner(self)
        self._line_ends: list[int] = []

    def decode(self, text: str, *_: Any) -> Any:
        """Return the value in a text."""
        self._line_ends = [
            at for at, character in enumerate(text) if character == '\n'
        ]
        return super().decode(text)

    def _parse_object(
        self,
        start: tuple[str, int],
        strict: bool,  # noqa: FBT001 - given by the scanner of json
        scan_once: _Scan,
        *hooks: Any,
    ) -> tuple[LocatedObject, int]:
        lines: list[int] = []

        def scan(text: str, at: int) -> tuple[Any, int]:
            lines.append(self._find_line(at))
            return scan_once(text, at)

        pairs, end = JSONObject(start, strict, scan, None, list, hooks[-1])
        return LocatedObject(pairs, self._find_line(start[1]), lines), end

    def _find_line(self, at: int) -> int:
        return bisect_left(self._line_ends, at) + 1


def decode_located(raw: bytes) -> Any:
    """Return the value in a JSON text, its objects as LocatedObject.

    Raises one of errors.DECODE_ERRORS.
    """
    text = raw.decode(json.detect_encoding(raw), 'surrogatepass')
    return _LocatingDecoder().decode(text)
