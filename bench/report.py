"""The experiment's page: table, verdicts and plots, all computed."""

import math
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

import matplotlib

matplotlib.use('svg')
import matplotlib.pyplot as plt  # noqa: E402

from .figures import Mean, Run, average  # noqa: E402
from .scenarios import (  # noqa: E402
    BEGIN,
    END,
    MEASURED_SECONDS,
    SCENARIOS,
    TARGET_QUALITY,
)

Grouped = Mapping[tuple[str, str], list[Run]]
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
#: Figures of which less is better, for the list of losses.
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
PLOTTED: Final = (
    'cost_per_1000',
    'waiting_p99_ms',
    'done_percent',
    'bad_answers',
)
TIMELINES: Final = ('zone-notice', 'zone-lost', 'cold', 'failing-half')
SIDES: Final = ('ours', 'naive')
COLORS: Final = {'ours': '#1b6ca8', 'naive': '#c05621'}


class Target:
    """A bound on a ratio of ours to the naive router's figure."""

    def __init__(self, scenario: str, figure: str, ratio: float) -> None:
        """Keep the bound."""
        self.scenario = scenario
        self.figure = figure
        self.ratio = ratio

    def judge(self, means: Means) -> str:
        """Return a line of the table of targets."""
        ours = means[self.scenario, 'ours'][self.figure].value
        naive = means[self.scenario, 'naive'][self.figure].value
        ratio = ours / naive if naive else math.nan
        met = _say(met=ratio <= self.ratio)
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
#: Scenario -> most seconds until all answers are good again.
RECOVERY_TARGETS: Final = {'failing-half': 5.0}
#: Scenarios whose answers must be good to 99%.
GOODPUT_TARGETS: Final = ('zone-notice', 'zone-lost')
GOODPUT_PERCENT: Final = 99.0


def write_report(grouped: Grouped, folder: str) -> str:
    """Write page and plots into a folder and return the page."""
    means = {key: average(runs) for key, runs in grouped.items()}
    names = [row.name for row in SCENARIOS if (row.name, 'ours') in means]
    plots = Path(folder) / 'plots'
    plots.mkdir(parents=True, exist_ok=True)
    matplotlib.rcParams['svg.hashsalt'] = 'toucancourse'
    _plot_bars(means, names, plots / 'experiment.svg')
    _plot_timelines(grouped, names, plots / 'timelines.svg')
    seeds = len(next(iter(grouped.values())))
    text = '\n'.join(_list_lines(means, names, seeds)) + '\n'
    (Path(folder) / 'EXPERIMENT.md').write_text(text)
    return text


def _list_lines(means: Means, names: list[str], seeds: int) -> Iterator[str]:
    yield '# Experiment: ours against a naive router'
    yield ''
    yield f'Written by `make experiment`: {seeds} seed(s) a scenario, the same'
    yield 'arrivals for both routers, which run at the same time. The'
    yield 'naive router (`bench/router.py`) uses the best version always, goes'
    yield 'round robin, retries at once and has no sidecars. Means with 95%'
    yield 'intervals over the seeds; latencies are of whole answers only.'
    yield 'Scenarios are in `bench/scenarios.py`: the event begins at second'
    yield f'{BEGIN:g} and ends at second {END:g} of {MEASURED_SECONDS:g}.'
    yield f'The quality target is {TARGET_QUALITY:g}.'
    yield ''
    yield '![Figures by scenario](plots/experiment.svg)'
    yield ''
    yield '![Share of good answers by second](plots/timelines.svg)'
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
        for side in SIDES:
            cells = [_format(means[name, side][figure]) for figure in COLUMNS]
            yield f'| {name} | {side} | {" | ".join(cells)} |'


def _list_verdicts(means: Means, names: list[str]) -> Iterator[str]:
    for target in TARGETS:
        if target.scenario in names:
            yield target.judge(means)
    for name, limit in RECOVERY_TARGETS.items():
        if name in names:
            seconds = means[name, 'ours']['recovery_s'].value
            verdict = _say(met=seconds <= limit)
            yield (
                f'| {name}: recovery s | {limit:g} | {seconds:.1f} '
                f'| {verdict} |'
            )
    for name in GOODPUT_TARGETS:
        if name in names:
            share = means[name, 'ours']['done_percent'].value
            verdict = _say(met=share >= GOODPUT_PERCENT)
            yield (
                f'| {name}: done % | {GOODPUT_PERCENT:g} | {share:.1f} '
                f'| {verdict} |'
            )
    fallen = sum(means[name, 'ours']['fallen'].value for name in names)
    verdict = _say(met=not fallen)
    yield f'| cold endpoints over their limit | 0 | {fallen:g} | {verdict} |'


def _say(*, met: bool) -> str:
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
    for axis, name in zip(axes.flat, PLOTTED, strict=True):
        for offset, side in enumerate(SIDES):
            rows = [means[scenario, side][name] for scenario in names]
            axis.bar(
                [place + offset * 0.4 for place in range(len(names))],
                [row.value for row in rows],
                0.4,
                yerr=[
                    0 if math.isnan(row.margin) else row.margin for row in rows
                ],
                label=side,
                color=COLORS[side],
            )
        axis.set_title(COLUMNS[name])
        axis.set_xticks(
            [place + 0.2 for place in range(len(names))],
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


def _plot_timelines(grouped: Grouped, names: list[str], path: Path) -> None:
    shown = [name for name in TIMELINES if name in names]
    if not shown:
        return
    figure, axes = plt.subplots(
        len(shown), 1, figsize=(9, 2.2 * len(shown)), squeeze=False
    )
    for axis, name in zip(axes.flat, shown, strict=True):
        for side in SIDES:
            for number, run in enumerate(grouped[name, side]):
                axis.plot(
                    range(len(run.shares)),
                    [100 * share for share in run.shares],
                    color=COLORS[side],
                    alpha=0.7,
                    label=side if number == 0 else None,
                )
        axis.axvspan(BEGIN, END, color='#999999', alpha=0.15)
        axis.set_title(f'{name}: good answers %', fontsize=9)
        axis.set_ylim(0, 105)
    axes[0, 0].legend()
    axes[-1, 0].set_xlabel('second of arrival')
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)
