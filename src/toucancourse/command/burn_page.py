"""The report of burn rates as a self-contained HTML page."""

import html
import io
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from matplotlib.figure import Figure

STYLE: Final = (
    'body{font:15px sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}'
    'td:first-child,th:first-child{text-align:left}'
    '.page{background:#f6c7c0}.ticket{background:#f8e6b0}'
)
COLUMNS: Final = (
    'customer',
    'objective',
    'target',
    'window',
    'requests',
    'bad',
    'burn',
    'budget_left',
    'alert',
)
HOUR_SECONDS: Final = 3600
PLOT_SIZE_INCHES: Final = (8, 2.2)


def render_page(burn: Mapping[str, Any]) -> str:
    """Return the HTML page of a response to "GET /burn"."""
    rows = ''.join(_render_row(row) for row in burn['rows'])
    header_cells = ''.join(
        f'<th>{name.replace("_", " ")}</th>' for name in COLUMNS
    )
    plots = ''.join(_render_plot(series) for series in burn['series'])
    created_at = datetime.now(tz=UTC).strftime('%Y-%m-%d %H:%M UTC')
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>Service-level burn</title><style>{STYLE}</style>'
        f'<h1>Service-level burn</h1><p>{created_at}</p>'
        f'<table><tr>{header_cells}</tr>{rows}</table>{plots}</html>'
    )


def _render_row(row: Mapping[str, Any]) -> str:
    cells = ''.join(
        f'<td>{html.escape(str(row[name]))}</td>' for name in COLUMNS
    )
    return f'<tr class="{html.escape(row["alert"])}">{cells}</tr>'


def _render_plot(series: Mapping[str, Any]) -> str:
    # Imported here, as it is slow to import and only this page needs it.
    from matplotlib.figure import Figure

    figure = Figure(PLOT_SIZE_INCHES)
    axes = figure.subplots()
    # The newest bucket is at 0, older ones at negative hours.
    newest = series['points'][-1][0]
    hours = [(at - newest) / HOUR_SECONDS for at, _, _ in series['points']]
    bad_percents = [
        bad / total * 100 if total else float('nan')
        for _, total, bad in series['points']
    ]
    axes.plot(hours, bad_percents, marker='.', label='bad requests')
    axes.axhline(
        (1 - series['target']) * 100, color='red', ls='--', label='budget'
    )
    axes.set_ylim(bottom=0)
    axes.set_xlabel('hours ago')
    axes.set_ylabel('% of requests')
    axes.legend(loc='upper left')
    figure.tight_layout()
    title = html.escape(f'{series["customer"]}: {series["objective"]}')
    return f'<h2>{title}</h2>{_render_svg(figure)}'


def _render_svg(figure: 'Figure') -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format='svg')
    svg = buffer.getvalue()
    # The XML declaration and document type before it are invalid in HTML.
    return svg[svg.index('<svg') :]
