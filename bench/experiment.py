"""Runs our router and the naive one side by side and writes a report.

Each run of a scenario has its own engines, its own load and a seed; the two
routers get the same arrivals. `make experiment` writes docs/EXPERIMENT.md.
"""

import argparse
import multiprocessing
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Final, NamedTuple

from .figures import T_VALUES, Run, make_run
from .load import LoadGenerator
from .report import write_report
from .scenarios import (
    KEY,
    MEASURED_SECONDS,
    SCENARIOS,
    WARM_SECONDS,
    NaiveSide,
    OurSide,
    Side,
    play,
)

#: Runs at a time: both routers of one scenario.
WORKERS: Final = 2
SIDES: Final[dict[str, type[Side]]] = {'ours': OurSide, 'naive': NaiveSide}


class Task(NamedTuple):
    """One run."""

    scenario: str
    side: str
    seed: int


def run_task(task: Task) -> Run:
    """Return what one run showed."""
    scenario = next(row for row in SCENARIOS if row.name == task.scenario)
    side = SIDES[task.side](scenario.user, task.seed)
    try:
        addresses = side.start()
        rate = scenario.user.rate
        mix = scenario.user.mix
        LoadGenerator(addresses, mix, KEY, task.seed + 1000).run(
            rate, WARM_SECONDS
        )
        tries = side.count_tries()
        began = time.time()
        player = threading.Thread(
            target=play, args=(scenario, side, time.monotonic())
        )
        player.start()
        load = LoadGenerator(addresses, mix, KEY, task.seed)
        results = load.run(rate * scenario.factor, MEASURED_SECONDS)
        player.join()
        tries = side.count_tries() - tries
        return make_run(results, side.journals(), began, tries)
    finally:
        side.close()


def main() -> None:
    """Run the scenarios and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument('--seeds', type=int, default=3, choices=(1, *T_VALUES))
    parser.add_argument('--only', choices=names, nargs='*', default=names)
    parser.add_argument('--out', default='docs')
    options = parser.parse_args()
    tasks = [
        Task(name, side, seed)
        for name in options.only
        for seed in range(1, options.seeds + 1)
        for side in SIDES
    ]
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(WORKERS, context) as workers:
        found = dict(zip(tasks, workers.map(run_task, tasks), strict=True))
    grouped = {
        (name, side): [
            found[Task(name, side, seed)]
            for seed in range(1, options.seeds + 1)
        ]
        for name in options.only
        for side in SIDES
    }
    text = write_report(grouped, options.out)
    sys.stdout.write(text)


if __name__ == '__main__':
    main()
