"""Burn rates of the error budgets of service-level objectives."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from ..contract.state import State
from .levels import BUCKET_SECONDS, RETENTION_SECONDS, Level, LevelState

HOUR_SECONDS: Final = 3600


class AlertWindow(NamedTuple):
    """A pair of windows whose burn rates both must exceed the threshold."""

    name: str
    long_seconds: int
    short_seconds: int
    #: Burn rate; 1 uses up exactly the whole budget by the end of 30 days.
    threshold: float
    severity: str


#: Multi-window, multi-burn-rate alerting for a budget of 30 days.
WINDOWS: Final = (
    AlertWindow('1h', HOUR_SECONDS, BUCKET_SECONDS, 14.4, 'page'),
    AlertWindow('6h', 6 * HOUR_SECONDS, HOUR_SECONDS // 2, 6.0, 'page'),
    AlertWindow('3d', RETENTION_SECONDS, 6 * HOUR_SECONDS, 1.0, 'ticket'),
)


class Objective(NamedTuple):
    """The target ratio of good requests that a contract sets."""

    customer: str
    level: Level
    target: float


class BurnRow(NamedTuple):
    """The burn rate of one objective over one window."""

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
    """Yield the objectives of all contracts that set one."""
    for customer, body in state.iter_objects('contract'):
        for level in Level:
            target = body.get(f'{level}_objective')
            if target is not None:
                yield Objective(customer, level, float(target))


def list_burn_rates(
    state: State,
    level_state: LevelState,
    bucket: int,
) -> Iterator[BurnRow]:
    """Yield the burn rate of each objective and window that ends at bucket."""
    for objective in list_objectives(state):
        for window in WINDOWS:
            yield _make_row(level_state, objective, window, bucket)


def list_time_series(
    state: State,
    level_state: LevelState,
    bucket: int,
) -> Iterator[dict[str, Any]]:
    """Yield total and bad requests of each objective for six hours.

    There is one point a bucket, up to the given one: its start in seconds
    since the epoch, the total and the bad requests.
    """
    buckets = range(bucket - 6 * HOUR_SECONDS // BUCKET_SECONDS + 1, bucket + 1)
    for objective in list_objectives(state):
        points = []
        for index in buckets:
            total, bad = level_state.count_requests(
                objective.customer, objective.level, range(index, index + 1)
            )
            points.append([index * BUCKET_SECONDS, total, bad])
        yield {
            'customer': objective.customer,
            'objective': str(objective.level),
            'target': objective.target,
            'points': points,
        }


def make_alert_rules(state: State) -> str:
    """Return Prometheus alert rules for the windows of WINDOWS, as YAML."""
    lines = ['groups:', '- name: toucancourse-burn', '  rules:']
    for objective in list_objectives(state):
        for window in WINDOWS:
            lines.extend(_format_rule(objective, window))
    if not lines[3:]:
        lines[-1] = '  rules: []'
    return '\n'.join(lines)


def _make_row(
    level_state: LevelState,
    objective: Objective,
    window: AlertWindow,
    bucket: int,
) -> BurnRow:
    total, bad = _count_window(
        level_state, objective, window.long_seconds, bucket
    )
    long_burn = _compute_burn_rate(total, bad, objective.target)
    short_burn = _compute_burn_rate(
        *_count_window(level_state, objective, window.short_seconds, bucket),
        objective.target,
    )
    is_alerting = min(long_burn, short_burn) >= window.threshold
    allowed_bad = total * (1 - objective.target)
    budget_left = 1 - bad / allowed_bad if allowed_bad else 1.0
    return BurnRow(
        objective.customer,
        str(objective.level),
        objective.target,
        window.name,
        total,
        bad,
        round(long_burn, 2),
        round(budget_left, 3),
        window.severity if is_alerting else '',
    )


def _count_window(
    level_state: LevelState,
    objective: Objective,
    seconds: int,
    bucket: int,
) -> tuple[int, int]:
    first = bucket - max(1, seconds // BUCKET_SECONDS) + 1
    return level_state.count_requests(
        objective.customer, objective.level, range(first, bucket + 1)
    )


def _compute_burn_rate(total: int, bad: int, target: float) -> float:
    return bad / total / (1 - target) if total else 0.0


def _format_rule(objective: Objective, window: AlertWindow) -> Iterator[str]:
    labels = f'customer="{objective.customer}",level="{objective.level}"'
    max_bad_ratio = window.threshold * (1 - objective.target)

    def format_condition(seconds: int) -> str:
        bad = f'sum(rate(toucancourse_level_bad_total{{{labels}}}[{seconds}s]))'
        total = f'sum(rate(toucancourse_level_total{{{labels}}}[{seconds}s]))'
        return f'{bad} / {total} > {max_bad_ratio:.6g}'

    yield (
        f'  - alert: Burn-{objective.customer}-{objective.level}-{window.name}'
    )
    yield (
        f"    expr: '({format_condition(window.long_seconds)}) and "
        f"({format_condition(window.short_seconds)})'"
    )
    yield f'    labels: {{severity: {window.severity}}}'
