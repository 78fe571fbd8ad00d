"""Computes the figures of one run of the experiment and their means."""

import math
import statistics
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from toucancourse.billing.ledger import compute_cost

from .load import RequestResult
from .scenarios import (
    BAD_QUALITY,
    EVENT_END_SECONDS,
    MEASURED_SECONDS,
    QUALITY,
    TARGET_QUALITY,
    VERSIONS,
)

#: Requests of at least this priority have a person waiting for the response.
WAITING_PRIORITY: Final = 7
MS_PER_SECOND: Final = 1000
#: Costs are given for this number of requests.
COST_REQUESTS: Final = 1000
#: The fleet has recovered once this share of a second's requests succeeds.
RECOVERED_SHARE: Final = 0.99
#: Student's t for a two-sided 95% interval, by number of runs.
T_VALUES: Final = {2: 12.706, 3: 4.303, 4: 3.182, 5: 2.776}


class Figures(NamedTuple):
    """Figures of one run; nan where there was nothing to measure."""

    requests: float
    done_percent: float
    first_p50_ms: float
    first_p95_ms: float
    waiting_p99_ms: float
    whole_p95_ms: float
    cost_per_1000: float
    #: Cost of the same requests on the cheapest version that reaches the target
    #: quality for each.
    least_per_1000: float
    #: Mean quality of the kind of request for which it is lowest.
    quality: float
    #: Responses with the quality of a version that went bad.
    bad_answers: float
    #: Attempts, as counted by Deployment.count_attempts(), per request.
    tries_per_request: float
    #: Seconds from the end of the event to the end of the last second in which
    #: less than RECOVERED_SHARE succeeded.
    recovery_s: float
    #: Times that a cold engine was overloaded and dropped its requests.
    fallen: float


class Run(NamedTuple):
    """Figures of a run, and the share of successes in each second."""

    figures: Figures
    success_shares: list[float]


class Mean(NamedTuple):
    """Mean over the seeds and half the width of its 95% interval."""

    value: float
    margin: float


def summarize_run(
    results: Sequence[RequestResult],
    journals: Iterable[dict[str, Any]],
    started_at: float,
    attempts: int,
) -> Run:
    """Return the figures of the measured part of a run.

    Rows of the engines' journals from before started_at, a Unix time, are left
    out.
    """
    recorded = [row for journal in journals for row in journal['rows']]
    rows = [row for row in recorded if row['at'] >= started_at]
    served = [row for row in rows if row.get('tokens')]
    finished = [row for row in served if row['state'] == 'done']
    completed = [result for result in results if result.succeeded]
    waiting = [row for row in completed if row.priority >= WAITING_PRIORITY]
    success_shares = _find_success_shares(results)
    cost = sum(_compute_cost(row, row['version']) for row in served)
    least = sum(min(_iter_adequate_costs(row)) for row in finished)
    count = len(results)
    figures = Figures(
        requests=count,
        done_percent=100 * len(completed) / count,
        first_p50_ms=_quantile(
            [row.first_token_seconds for row in completed], 0.5
        )
        * MS_PER_SECOND,
        first_p95_ms=_quantile(
            [row.first_token_seconds for row in completed], 0.95
        )
        * MS_PER_SECOND,
        waiting_p99_ms=_quantile(
            [row.first_token_seconds for row in waiting], 0.99
        )
        * MS_PER_SECOND,
        whole_p95_ms=_quantile([row.total_seconds for row in completed], 0.95)
        * MS_PER_SECOND,
        cost_per_1000=cost / max(1, len(completed)) * COST_REQUESTS,
        least_per_1000=least / max(1, len(finished)) * COST_REQUESTS,
        quality=min(_iter_kind_qualities(finished), default=math.nan),
        bad_answers=sum(row['quality'] == BAD_QUALITY for row in finished),
        tries_per_request=attempts / count,
        recovery_s=_find_recovery_seconds(success_shares),
        fallen=sum(row['state'] == 'fell' for row in rows),
    )
    return Run(figures, success_shares)


def average_runs(runs: Sequence[Run]) -> dict[str, Mean]:
    """Return the mean of each figure over the seeds."""
    return {
        name: _average_values([getattr(run.figures, name) for run in runs])
        for name in Figures._fields
    }


def _average_values(values: list[float]) -> Mean:
    known = [value for value in values if not math.isnan(value)]
    if not known:
        return Mean(math.nan, math.nan)
    if len(known) == 1:
        return Mean(known[0], math.nan)
    spread = statistics.stdev(known) / math.sqrt(len(known))
    return Mean(statistics.fmean(known), spread * T_VALUES[len(known)])


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return math.nan
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _iter_kind_qualities(rows: list[dict[str, Any]]) -> Iterable[float]:
    kinds = {row['kind'] for row in rows}
    for kind in kinds:
        yield statistics.fmean(
            row['quality'] for row in rows if row['kind'] == kind
        )


def _compute_cost(row: dict[str, Any], version: str) -> int:
    return compute_cost(
        VERSIONS[version],  # type: ignore[arg-type]
        row['prompt_tokens'],
        row['tokens'],
    )


def _iter_adequate_costs(row: dict[str, Any]) -> Iterable[int]:
    """Yield a request's cost on each version of sufficient quality."""
    for version in VERSIONS:
        quality = QUALITY.get(f'{version}/{row["kind"]}', QUALITY[version])
        if quality >= TARGET_QUALITY:
            yield _compute_cost(row, version)


def _find_success_shares(results: Sequence[RequestResult]) -> list[float]:
    """Return the share of each second's arrivals that succeeded, else nan."""
    success_shares = []
    for second in range(int(MEASURED_SECONDS)):
        outcomes = [
            row.succeeded
            for row in results
            if int(row.arrival_seconds) == second
        ]
        success_shares.append(
            statistics.fmean(outcomes) if outcomes else math.nan
        )
    return success_shares


def _find_recovery_seconds(success_shares: list[float]) -> float:
    """Return the seconds from the event's end to the last failing second."""
    failing_ends = [
        second + 1 - EVENT_END_SECONDS
        for second, share in enumerate(success_shares)
        if share < RECOVERED_SHARE
    ]
    return max(0.0, max(failing_ends, default=0.0))
