"""Compares our router with the naive one and writes a report.

Each run of a scenario has its own engines, load and seed. Both routers run at
the same time and get the same arrivals. `make experiment` writes
docs/EXPERIMENT.md.
"""

import argparse
import multiprocessing
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Final, NamedTuple

from .figures import T_VALUES, Run, summarize_run
from .load import LoadGenerator
from .report import write_report
from .scenarios import (
    API_KEY,
    MEASURED_SECONDS,
    SCENARIOS,
    WARMUP_SECONDS,
    Deployment,
    NaiveDeployment,
    OurDeployment,
    run_events,
)

#: Both routers of one scenario and seed.
MAX_PARALLEL_RUNS: Final = 2
DEPLOYMENTS: Final[dict[str, type[Deployment]]] = {
    'ours': OurDeployment,
    'naive': NaiveDeployment,
}


class Task(NamedTuple):
    """One run of a scenario."""

    scenario: str
    #: 'ours' or 'naive'.
    router: str
    seed: int


def run_one(task: Task) -> Run:
    """Run a scenario with one router and return the figures."""
    scenario = next(item for item in SCENARIOS if item.name == task.scenario)
    deployment = DEPLOYMENTS[task.router](scenario.user, task.seed)
    try:
        addresses = deployment.start()
        rate = scenario.user.rate
        mix = scenario.user.mix
        LoadGenerator(addresses, mix, API_KEY, task.seed + 1000).run(
            rate, WARMUP_SECONDS
        )
        attempts = deployment.count_attempts()
        started_at = time.time()
        event_thread = threading.Thread(
            target=run_events, args=(scenario, deployment, time.monotonic())
        )
        event_thread.start()
        load = LoadGenerator(addresses, mix, API_KEY, task.seed)
        results = load.run(rate * scenario.load_factor, MEASURED_SECONDS)
        event_thread.join()
        attempts = deployment.count_attempts() - attempts
        return summarize_run(
            results, deployment.fetch_journals(), started_at, attempts
        )
    finally:
        deployment.close()


def main() -> None:
    """Run the scenarios, write the report and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument('--seeds', type=int, default=3, choices=(1, *T_VALUES))
    parser.add_argument('--only', choices=names, nargs='*', default=names)
    parser.add_argument('--out', default='docs')
    options = parser.parse_args()
    tasks = [
        Task(name, router, seed)
        for name in options.only
        for seed in range(1, options.seeds + 1)
        for router in DEPLOYMENTS
    ]
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(MAX_PARALLEL_RUNS, context) as workers:
        runs = dict(zip(tasks, workers.map(run_one, tasks), strict=True))
    runs_by_router = {
        (name, router): [
            runs[Task(name, router, seed)]
            for seed in range(1, options.seeds + 1)
        ]
        for name in options.only
        for router in DEPLOYMENTS
    }
    text = write_report(runs_by_router, options.out)
    sys.stdout.write(text)


if __name__ == '__main__':
    main()
