"""Service-level burn: how fast error budgets are used up."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from ..contract.state import State
from .levels import BUCKET_SECONDS, KEPT_SECONDS, Level, LevelBook

HOUR: Final = 3600


class Window(NamedTuple):
    """A long and a short window; both must burn for an alert."""

    name: str
    long_seconds: int
    short_seconds: int
    #: Times the steady rate that would just use up the budget.
    threshold: float
    severity: str


#: Multi-window, multi-burn-rate alerting for a budget of 30 days.
WINDOWS: Final = (
    Window('1h', HOUR, BUCKET_SECONDS, 14.4, 'page'),
    Window('6h', 6 * HOUR, HOUR // 2, 6.0, 'page'),
    Window('3d', KEPT_SECONDS, 6 * HOUR, 1.0, 'ticket'),
)


class Objective(NamedTuple):
    """One objective of a contract: the share that must be good."""

    customer: str
    level: Level
    target: float


class BurnRow(NamedTuple):
    """The burn of one objective over one window."""

    customer: str
    objective: str
    target: float
    window: str
    requests: int
    bad: int
    burn: float
    budget_left: float
    alert: str


def list_objectives(state: State) -> Iterator[Objective]:
    """Yield the objectives that contracts set."""
    for customer, body in state.iter_objects('contract'):
        for level in Level:
            target = body.get(f'{level}_objective')
            if target is not None:
                yield Objective(customer, level, float(target))


def list_burn(
    state: State,
    book: LevelBook,
    bucket: int,
) -> Iterator[BurnRow]:
    """Yield the burn of each objective over each window up to a bucket."""
    for objective in list_objectives(state):
        for window in WINDOWS:
            yield _make_row(book, objective, window, bucket)


def list_series(
    state: State,
    book: LevelBook,
    bucket: int,
) -> Iterator[dict[str, Any]]:
    """Yield each objective's bad share per bucket of the last six hours."""
    buckets = range(bucket - 6 * HOUR // BUCKET_SECONDS + 1, bucket + 1)
    for objective in list_objectives(state):
        points = []
        for place in buckets:
            total, bad = book.window(
                objective.customer, objective.level, range(place, place + 1)
            )
            points.append([place * BUCKET_SECONDS, total, bad])
        yield {
            'customer': objective.customer,
            'objective': str(objective.level),
            'target': objective.target,
            'points': points,
        }


def make_alert_rules(state: State) -> str:
    """Return Prometheus alert rules that match the windows above."""
    lines = ['groups:', '- name: toucancourse-burn', '  rules:']
    for objective in list_objectives(state):
        for window in WINDOWS:
            lines.extend(_make_rule(objective, window))
    if not lines[3:]:
        lines[-1] = '  rules: []'
    return '\n'.join(lines)


def _make_row(
    book: LevelBook,
    objective: Objective,
    window: Window,
    bucket: int,
) -> BurnRow:
    total, bad = _count(book, objective, window.long_seconds, bucket)
    long_burn = _find_burn(total, bad, objective.target)
    short_burn = _find_burn(
        *_count(book, objective, window.short_seconds, bucket),
        objective.target,
    )
    burning = min(long_burn, short_burn) >= window.threshold
    allowed = total * (1 - objective.target)
    left = 1 - bad / allowed if allowed else 1.0
    return BurnRow(
        objective.customer,
        str(objective.level),
        objective.target,
        window.name,
        total,
        bad,
        round(long_burn, 2),
        round(left, 3),
        window.severity if burning else '',
    )


def _count(
    book: LevelBook,
    objective: Objective,
    seconds: int,
    bucket: int,
) -> tuple[int, int]:
    first = bucket - max(1, seconds // BUCKET_SECONDS) + 1
    return book.window(
        objective.customer, objective.level, range(first, bucket + 1)
    )


def _find_burn(total: int, bad: int, target: float) -> float:
    return bad / total / (1 - target) if total else 0.0


def _make_rule(objective: Objective, window: Window) -> Iterator[str]:
    labels = f'customer="{objective.customer}",level="{objective.level}"'
    limit = window.threshold * (1 - objective.target)

    def share(seconds: int) -> str:
        bad = f'sum(rate(toucancourse_level_bad_total{{{labels}}}[{seconds}s]))'
        all_of = f'sum(rate(toucancourse_level_total{{{labels}}}[{seconds}s]))'
        return f'{bad} / {all_of} > {limit:.6g}'

    yield (
        f'  - alert: Burn-{objective.customer}-{objective.level}-{window.name}'
    )
    yield (
        f"    expr: '({share(window.long_seconds)}) and "
        f"({share(window.short_seconds)})'"
    )
    yield f'    labels: {{severity: {window.severity}}}'
