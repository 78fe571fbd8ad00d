"""Formats the output of commands."""

import csv
import io
import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from .client import EXIT_CONFLICT, ApiResponse


def format_json(value: object) -> str:
    """Return a value as indented JSON with sorted keys."""
    return json.dumps(value, indent=2, sort_keys=True)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a text table of left-aligned columns under their headers."""
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align_cells(line, widths) for line in lines)


def format_csv(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows that have the same keys as CSV with a header line."""
    text = io.StringIO()
    if rows:
        writer = csv.DictWriter(text, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return text.getvalue().rstrip()


def format_time(at: float) -> str:
    """Return a time in seconds since the epoch as UTC text."""
    return datetime.fromtimestamp(at, tz=UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def describe_change(name: str, response: ApiResponse, submitted: object) -> str:
    """Return the result of a change as lines of text.

    After a conflict the lines show how the object differs from the body that
    was submitted.
    """
    body = response.body
    if 'error' in body:
        error_body = body['error']
        return f'{name}: {error_body["code"]}: {error_body["message"]}'
    lines = [f'{name}: {body["code"]}, revision {body["revision"]}']
    lines.extend(problem['text'] for problem in body.get('problems', ()))
    if response.exit_code() == EXIT_CONFLICT:
        lines.extend(_describe_conflict(body.get('winner') or {}, submitted))
    if body['code'] == 'unsafe':
        lines.append('use --force to accept this')
    if body.get('in_force', False):
        lines.append(f'in force everywhere after {body["seconds"]} s')
    elif body.get('waiting_for', []):
        unconfirmed = ', '.join(body['waiting_for'])
        lines.append(f'accepted, not yet confirmed by: {unconfirmed}')
    return '\n'.join(lines)


def diff_bodies(
    old: Mapping[str, Any] | None,
    new: Mapping[str, Any] | None,
) -> list[str]:
    """Return a line of text for each key that differs."""
    before = old or {}
    after = new or {}
    return [
        f'  {key}: {before.get(key)!r} -> {after.get(key)!r}'
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    ]


def _describe_conflict(
    winner: Mapping[str, Any],
    submitted: object,
) -> Iterable[str]:
    if 'operator' in winner:
        yield (
            f'operator "{winner["operator"]}" changed it first, at '
            f'{format_time(winner["at"])}, revision {winner["revision"]}'
        )
    else:
        yield f'the object is now at revision {winner.get("revision", 0)}'
    differences = diff_bodies(
        winner.get('body'), submitted if isinstance(submitted, dict) else None
    )
    if differences:
        yield 'differences, in force -> submitted:'
        yield from differences


def _align_cells(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = zip(line, widths, strict=True)
    return '  '.join(cell.ljust(width) for cell, width in cells).rstrip()
