"""Writes the page of the experiment: tables, verdicts and plots."""

import math
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

import matplotlib

matplotlib.use('svg')
import matplotlib.pyplot as plt  # noqa: E402

from .figures import Mean, Run, average_runs  # noqa: E402
from .scenarios import (  # noqa: E402
    EVENT_END_SECONDS,
    EVENT_START_SECONDS,
    MEASURED_SECONDS,
    SCENARIOS,
    TARGET_QUALITY,
)

RunsByRouter = Mapping[tuple[str, str], list[Run]]
Means = dict[tuple[str, str], dict[str, Mean]]

COLUMNS: Final = {
    'requests': 'requests',
    'done_percent': 'done %',
    'first_p50_ms': 'first token p50 ms',
    'first_p95_ms': 'p95',
    'waiting_p99_ms': 'p99 waiting',
    'whole_p95_ms': 'whole p95 ms',
    'cost_per_1000': 'cost per 1000',
    'least_per_1000': 'least cost possible',
    'quality': 'lowest quality',
    'bad_answers': 'bad answers',
    'tries_per_request': 'tries',
    'recovery_s': 'recovery s',
    'fallen': 'fallen',
}
#: Figures compared in the list of cases in which our router is worse.
LESS_IS_BETTER: Final = (
    'first_p50_ms',
    'first_p95_ms',
    'waiting_p99_ms',
    'whole_p95_ms',
    'cost_per_1000',
    'bad_answers',
    'tries_per_request',
    'recovery_s',
    'fallen',
)
PLOTTED_FIGURES: Final = (
    'cost_per_1000',
    'waiting_p99_ms',
    'done_percent',
    'bad_answers',
)
TIMELINE_SCENARIOS: Final = ('zone-notice', 'zone-lost', 'cold', 'failing-half')
ROUTERS: Final = ('ours', 'naive')
COLORS: Final = {'ours': '#1b6ca8', 'naive': '#c05621'}


class Target:
    """An upper bound on the ratio of our figure to the naive router's."""

    def __init__(self, scenario: str, figure: str, ratio: float) -> None:
        """Create a target for one figure of one scenario."""
        self.scenario = scenario
        self.figure = figure
        self.ratio = ratio

    def format_row(self, means: Means) -> str:
        """Return the row of the table of targets."""
        ours = means[self.scenario, 'ours'][self.figure].value
        naive = means[self.scenario, 'naive'][self.figure].value
        ratio = ours / naive if naive else math.nan
        met = _format_verdict(met=ratio <= self.ratio)
        name = COLUMNS[self.figure]
        return (
            f'| {self.scenario}: {name} | at most {self.ratio:g} of naive | '
            f'{ratio:.2f} | {met} |'
        )


TARGETS: Final = (
    Target('steady', 'cost_per_1000', 0.5),
    Target('steady-garmi', 'cost_per_1000', 0.5),
    Target('peak', 'waiting_p99_ms', 1 / 3),
    Target('bad-10', 'bad_answers', 0.1),
    Target('bad-100', 'bad_answers', 0.1),
)
#: Scenario -> longest permitted recovery in seconds.
RECOVERY_TARGETS: Final = {'failing-half': 5.0}
#: Scenarios in which at least 99% of the requests must succeed.
GOODPUT_TARGETS: Final = ('zone-notice', 'zone-lost')
GOODPUT_PERCENT: Final = 99.0


def write_report(runs_by_router: RunsByRouter, folder: str) -> str:
    """Write the page and its plots into a folder and return the page."""
    means = {key: average_runs(runs) for key, runs in runs_by_router.items()}
    names = [row.name for row in SCENARIOS if (row.name, 'ours') in means]
    plots = Path(folder) / 'plots'
    plots.mkdir(parents=True, exist_ok=True)
    matplotlib.rcParams['svg.hashsalt'] = 'toucancourse'
    _plot_bars(means, names, plots / 'experiment.svg')
    _plot_timelines(runs_by_router, names, plots / 'timelines.svg')
    seeds = len(next(iter(runs_by_router.values())))
    text = '\n'.join(_list_lines(means, names, seeds)) + '\n'
    (Path(folder) / 'EXPERIMENT.md').write_text(text)
    return text


def _list_lines(means: Means, names: list[str], seeds: int) -> Iterator[str]:
    yield '# Experiment: ours against a naive router'
    yield ''
    yield f'Written by `make experiment`: {seeds} seed(s) per scenario, the'
    yield 'same arrivals for both routers, which run at the same time. The'
    yield 'naive router (`bench/router.py`) always uses the best version, picks'
    yield 'engines round robin, retries immediately and has no sidecars. Means'
    yield 'with 95% intervals over the seeds; latencies of complete responses.'
    yield 'Scenarios are in `bench/scenarios.py`: the event begins at second'
    yield (
        f'{EVENT_START_SECONDS:g} and ends at second {EVENT_END_SECONDS:g} of '
        f'{MEASURED_SECONDS:g}.'
    )
    yield f'The quality target is {TARGET_QUALITY:g}.'
    yield ''
    yield '![Figures by scenario](plots/experiment.svg)'
    yield ''
    yield '![Share of successful requests by second](plots/timelines.svg)'
    yield ''
    yield '## Targets'
    yield ''
    yield '| figure | target | measured | verdict |'
    yield '| --- | --- | --- | --- |'
    yield from _list_verdicts(means, names)
    yield ''
    yield '## Where ours is worse'
    yield ''
    yield from _list_losses(means, names)
    yield ''
    yield '## Figures'
    yield ''
    yield f'| scenario | router | {" | ".join(COLUMNS.values())} |'
    yield '| --- ' * (len(COLUMNS) + 2) + '|'
    for name in names:
        for router in ROUTERS:
            cells = [_format(means[name, router][figure]) for figure in COLUMNS]
            yield f'| {name} | {router} | {" | ".join(cells)} |'


def _list_verdicts(means: Means, names: list[str]) -> Iterator[str]:
    for target in TARGETS:
        if target.scenario in names:
            yield target.format_row(means)
    for name, limit in RECOVERY_TARGETS.items():
        if name in names:
            seconds = means[name, 'ours']['recovery_s'].value
            verdict = _format_verdict(met=seconds <= limit)
            yield (
                f'| {name}: recovery s | {limit:g} | {seconds:.1f} '
                f'| {verdict} |'
            )
    for name in GOODPUT_TARGETS:
        if name in names:
            share = means[name, 'ours']['done_percent'].value
            verdict = _format_verdict(met=share >= GOODPUT_PERCENT)
            yield (
                f'| {name}: done % | {GOODPUT_PERCENT:g} | {share:.1f} '
                f'| {verdict} |'
            )
    fallen = sum(means[name, 'ours']['fallen'].value for name in names)
    verdict = _format_verdict(met=not fallen)
    yield f'| cold endpoints over their limit | 0 | {fallen:g} | {verdict} |'


def _format_verdict(*, met: bool) -> str:
    return 'met' if met else 'MISSED'


def _list_losses(means: Means, names: list[str]) -> Iterator[str]:
    for name in names:
        ours, naive = means[name, 'ours'], means[name, 'naive']
        for figure in LESS_IS_BETTER:
            if ours[figure].value > naive[figure].value:
                yield (
                    f'- {name}: {COLUMNS[figure]} {_format(ours[figure])} '
                    f'against {_format(naive[figure])}'
                )
        if ours['done_percent'].value < naive['done_percent'].value:
            yield (
                f'- {name}: done {_format(ours["done_percent"])}% against '
                f'{_format(naive["done_percent"])}%'
            )


def _format(mean: Mean) -> str:
    if math.isnan(mean.value):
        return '-'
    digits = 2 if abs(mean.value) < 10 else 0
    text = f'{mean.value:,.{digits}f}'
    if math.isnan(mean.margin) or not mean.margin:
        return text
    return f'{text} ± {mean.margin:,.{digits}f}'


def _plot_bars(means: Means, names: list[str], path: Path) -> None:
    figure, axes = plt.subplots(2, 2, figsize=(11, 7))
    for axis, name in zip(axes.flat, PLOTTED_FIGURES, strict=True):
        for offset, router in enumerate(ROUTERS):
            bars = [means[scenario, router][name] for scenario in names]
            axis.bar(
                [position + offset * 0.4 for position in range(len(names))],
                [bar.value for bar in bars],
                0.4,
                yerr=[
                    0 if math.isnan(bar.margin) else bar.margin for bar in bars
                ],
                label=router,
                color=COLORS[router],
            )
        axis.set_title(COLUMNS[name])
        axis.set_xticks(
            [position + 0.2 for position in range(len(names))],
            names,
            rotation=40,
            ha='right',
            fontsize=7,
        )
        axis.set_ylim(bottom=0)
    axes[0, 0].legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)


def _plot_timelines(
    runs_by_router: RunsByRouter, names: list[str], path: Path
) -> None:
    shown = [name for name in TIMELINE_SCENARIOS if name in names]
    if not shown:
        return
    figure, axes = plt.subplots(
        len(shown), 1, figsize=(9, 2.2 * len(shown)), squeeze=False
    )
    for axis, name in zip(axes.flat, shown, strict=True):
        for router in ROUTERS:
            for number, run in enumerate(runs_by_router[name, router]):
                axis.plot(
                    range(len(run.success_shares)),
                    [100 * share for share in run.success_shares],
                    color=COLORS[router],
                    alpha=0.7,
                    label=router if number == 0 else None,
                )
        axis.axvspan(
            EVENT_START_SECONDS, EVENT_END_SECONDS, color='#999999', alpha=0.15
        )
        axis.set_title(f'{name}: successful requests %', fontsize=9)
        axis.set_ylim(0, 105)
    axes[0, 0].legend()
    axes[-1, 0].set_xlabel('second of arrival')
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)
