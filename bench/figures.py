"""Figures of one run of the experiment, and their means over seeds."""

import math
import statistics
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from toucancourse.billing.ledger import compute_cost

from .load import RequestResult
from .scenarios import (
    BAD_QUALITY,
    END,
    MEASURED_SECONDS,
    QUALITY,
    TARGET_QUALITY,
    VERSIONS,
)

#: Priority from which on somebody waits for the answer.
WAITING_PRIORITY: Final = 7
MS: Final = 1000
PER: Final = 1000
#: Share of good answers that counts as recovered.
RECOVERED_SHARE: Final = 0.99
#: Student's t for a two-sided 95% interval, by number of runs.
T_VALUES: Final = {2: 12.706, 3: 4.303, 4: 3.182, 5: 2.776}


class Figures(NamedTuple):
    """What one run showed; nan where nothing was seen."""

    requests: float
    done_percent: float
    first_p50_ms: float
    first_p95_ms: float
    waiting_p99_ms: float
    whole_p95_ms: float
    cost_per_1000: float
    #: The same answers on the cheapest version good enough for each.
    least_per_1000: float
    #: Lowest mean quality of a kind of work.
    quality: float
    bad_answers: float
    tries_per_request: float
    #: Seconds from the end of the event until all answers are good.
    recovery_s: float
    fallen: float


class Run(NamedTuple):
    """Figures and the share of good answers in each second."""

    figures: Figures
    shares: list[float]


class Mean(NamedTuple):
    """Mean over seeds and half the width of its 95% interval."""

    value: float
    margin: float


def make_run(
    results: Sequence[RequestResult],
    journals: Iterable[dict[str, Any]],
    began: float,
    tries: int,
) -> Run:
    """Return the figures of a run's measured part, begun at a Unix time."""
    logged = [row for journal in journals for row in journal['rows']]
    rows = [row for row in logged if row['at'] >= began]
    served = [row for row in rows if row.get('tokens')]
    done = [row for row in served if row['state'] == 'done']
    good = [result for result in results if result.succeeded]
    waiting = [row for row in good if row.priority >= WAITING_PRIORITY]
    shares = _share_by_second(results)
    cost = sum(_find_cost(row, row['version']) for row in served)
    least = sum(min(_list_costs(row)) for row in done)
    count = len(results)
    figures = Figures(
        requests=count,
        done_percent=100 * len(good) / count,
        first_p50_ms=_quantile([row.first_token_seconds for row in good], 0.5)
        * MS,
        first_p95_ms=_quantile([row.first_token_seconds for row in good], 0.95)
        * MS,
        waiting_p99_ms=_quantile(
            [row.first_token_seconds for row in waiting], 0.99
        )
        * MS,
        whole_p95_ms=_quantile([row.total_seconds for row in good], 0.95) * MS,
        cost_per_1000=cost / max(1, len(good)) * PER,
        least_per_1000=least / max(1, len(done)) * PER,
        quality=min(_means_by_kind(done), default=math.nan),
        bad_answers=sum(row['quality'] == BAD_QUALITY for row in done),
        tries_per_request=tries / count,
        recovery_s=_find_recovery(shares),
        fallen=sum(row['state'] == 'fell' for row in rows),
    )
    return Run(figures, shares)


def average(runs: Sequence[Run]) -> dict[str, Mean]:
    """Return the mean of each figure over the seeds."""
    return {
        name: _average([getattr(run.figures, name) for run in runs])
        for name in Figures._fields
    }


def _average(numbers: list[float]) -> Mean:
    known = [number for number in numbers if not math.isnan(number)]
    if not known:
        return Mean(math.nan, math.nan)
    if len(known) == 1:
        return Mean(known[0], math.nan)
    spread = statistics.stdev(known) / math.sqrt(len(known))
    return Mean(statistics.fmean(known), spread * T_VALUES[len(known)])


def _quantile(numbers: list[float], share: float) -> float:
    if not numbers:
        return math.nan
    return sorted(numbers)[min(len(numbers) - 1, int(share * len(numbers)))]


def _means_by_kind(rows: list[dict[str, Any]]) -> Iterable[float]:
    kinds = {row['kind'] for row in rows}
    for kind in kinds:
        yield statistics.fmean(
            row['quality'] for row in rows if row['kind'] == kind
        )


def _find_cost(row: dict[str, Any], version: str) -> int:
    return compute_cost(
        VERSIONS[version],  # type: ignore[arg-type]
        row['prompt_tokens'],
        row['tokens'],
    )


def _list_costs(row: dict[str, Any]) -> Iterable[int]:
    """Yield a request's cost on each version good enough for its kind."""
    for version in VERSIONS:
        quality = QUALITY.get(f'{version}/{row["kind"]}', QUALITY[version])
        if quality >= TARGET_QUALITY:
            yield _find_cost(row, version)


def _share_by_second(results: Sequence[RequestResult]) -> list[float]:
    """Return the share of good answers among each second's arrivals."""
    shares = []
    for second in range(int(MEASURED_SECONDS)):
        found = [
            row.succeeded
            for row in results
            if int(row.arrival_seconds) == second
        ]
        shares.append(statistics.fmean(found) if found else math.nan)
    return shares


def _find_recovery(shares: list[float]) -> float:
    """Return the seconds after END until the last second with losses."""
    lost = [
        second + 1 - END
        for second, share in enumerate(shares)
        if share < RECOVERED_SHARE
    ]
    return max(0.0, max(lost, default=0.0))
