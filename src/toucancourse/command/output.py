"""What the command line prints."""

import csv
import io
import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from .client import EXIT_LOST_RACE, Reply


def format_json(value: object) -> str:
    """Return JSON for people."""
    return json.dumps(value, indent=2, sort_keys=True)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows under headers in aligned columns."""
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def format_csv(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows of equal keys as CSV with a header."""
    text = io.StringIO()
    if rows:
        writer = csv.DictWriter(text, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return text.getvalue().rstrip()


def format_time(at: float) -> str:
    """Return a time in UTC."""
    return datetime.fromtimestamp(at, tz=UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def describe_change(name: str, reply: Reply, wanted: object) -> str:
    """Return what became of a change, in lines for the operator."""
    body = reply.body
    if 'error' in body:
        told = body['error']
        return f'{name}: {told["code"]}: {told["message"]}'
    lines = [f'{name}: {body["code"]}, revision {body["revision"]}']
    lines.extend(problem['text'] for problem in body.get('problems', ()))
    if reply.exit_code() == EXIT_LOST_RACE:
        lines.extend(_describe_winner(body.get('winner') or {}, wanted))
    if body['code'] == 'unsafe':
        lines.append('use --force to accept this')
    if body.get('in_force', False):
        lines.append(f'in force everywhere after {body["seconds"]} s')
    elif body.get('waiting_for', []):
        missing = ', '.join(body['waiting_for'])
        lines.append(f'accepted, not yet confirmed by: {missing}')
    return '\n'.join(lines)


def diff_bodies(
    old: Mapping[str, Any] | None,
    new: Mapping[str, Any] | None,
) -> list[str]:
    """Return a line for each key that differs."""
    before = old or {}
    after = new or {}
    return [
        f'  {key}: {before.get(key)!r} -> {after.get(key)!r}'
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    ]


def _describe_winner(
    winner: Mapping[str, Any],
    wanted: object,
) -> Iterable[str]:
    if 'operator' in winner:
        yield (
            f'operator "{winner["operator"]}" changed it first, at '
            f'{format_time(winner["at"])}, revision {winner["revision"]}'
        )
    else:
        yield f'it is at revision {winner.get("revision", 0)} by now'
    differences = diff_bodies(
        winner.get('body'), wanted if isinstance(wanted, dict) else None
    )
    if differences:
        yield 'what is in force, and what you wanted:'
        yield from differences


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = zip(line, widths, strict=True)
    return '  '.join(cell.ljust(width) for cell, width in cells).rstrip()
