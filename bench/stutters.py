"""Counts what callers get while endpoints break answers off or repeat them.

Entries run as separate processes, the endpoints in this one. For each fault, a
table shows how many requests met it and how many responses were wrong.

    python -m bench.stutters
    python -m bench.stutters --faults restart,copy --seconds 10 --seed 7
"""

import argparse
import json
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from .soak import (
    STUTTER_BREAK_OFF_BYTES,
    STUTTER_SECONDS,
    CallerResponse,
    Callers,
    SoakFleet,
    make_events,
    start_stutter,
)

CALLER_COUNT: Final = 32
#: Mean pause between the draws of faults.
DRAW_SECONDS: Final = 0.05
#: Time in which the requests of a case end, also those with late responses.
REST_SECONDS: Final = 1.0
#: Responses that a fault applies to once it is drawn, and its probability.
FAULTS_PER_DRAW: Final = 4
FAULT_SHARE: Final = 0.4
#: Bytes before which responses break off: within heads, and anywhere.
BREAK_OFF_BYTES: Final = (320, STUTTER_BREAK_OFF_BYTES)
FAULTS: Final = (
    'break_off',
    'restart',
    'restart_failed',
    'copy',
    'copy_failed',
    'repeat',
    'twice',
    'extra',
)
#: Faults without a pause.
PROMPT_FAULTS: Final = frozenset(('break_off', 'extra', 'repeat'))
#: Faults after which an endpoint answers with a failure only.
FAILURES: Final = frozenset(('copy_failed', 'error'))
#: What is counted beside all responses.
FINDINGS: Final = (
    'cut signature',
    'foreign signature',
    'empty body',
    'short body',
    'foreign body',
    'early end by length',
    'early end by chunks',
    'foreign events',
    'failure as success',
    'another id',
    'no response',
)


class Case(NamedTuple):
    """One way in which endpoints fail."""

    fault: str
    is_late: bool
    is_framed: bool

    def describe(self) -> str:
        """Return a short name."""
        moment = 'late' if self.is_late else 'at once'
        frame = 'framed' if self.is_framed else 'unframed'
        return f'{self.fault}, {moment}, {frame}'


def list_cases(faults: list[str]) -> Iterator[Case]:
    """Yield the cases of some faults."""
    for fault in faults:
        for is_late in (False, True):
            if is_late and fault in PROMPT_FAULTS:
                continue
            # Without a frame, a stream that breaks off between events looks
            # whole.
            for is_framed in (True,) if fault == 'break_off' else (True, False):
                yield Case(fault, is_late, is_framed)


def run_case(
    fleet: SoakFleet, case: Case, seconds: float
) -> list[CallerResponse]:
    """Send requests while endpoints fail, and return the responses."""
    callers = Callers(fleet, CALLER_COUNT)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for replica in fleet.replicas:
            if fleet.rng.random() < FAULT_SHARE:
                pause = fleet.rng.uniform(*STUTTER_SECONDS)
                start_stutter(
                    replica,
                    case.fault,
                    pause if case.is_late else 0,
                    is_framed=case.is_framed,
                )
                replica.break_off_within = fleet.rng.choice(BREAK_OFF_BYTES)
                replica.faults_left = FAULTS_PER_DRAW
        time.sleep(fleet.rng.uniform(0, 2 * DRAW_SECONDS))
    for replica in fleet.replicas:
        replica.fault = ''
    callers.join()
    time.sleep(REST_SECONDS)
    return callers.responses


def find_wrong(
    response: CallerResponse, executions: list[dict[str, Any]]
) -> Iterator[str]:
    """Yield what is wrong with a response."""
    if not response.status:
        yield 'no response'
    if response.status != 200:
        return
    received = response.headers.get('x-server-signature', '')
    signatures = [execution['signature'] for execution in executions]
    if received not in signatures:
        is_cut = any(each.startswith(received) for each in signatures)
        yield 'cut signature' if is_cut else 'foreign signature'
    if not response.is_complete:
        return
    if response.headers.get('x-attempt-id') != response.attempt_id:
        yield 'another id'
    if all(execution['fault'] in FAILURES for execution in executions):
        yield 'failure as success'


def find_wrong_body(
    response: CallerResponse, executions: list[dict[str, Any]]
) -> Iterator[str]:
    """Yield what is wrong with the body of a success."""
    if response.status != 200:
        return
    if response.path.startswith('/draft'):
        events = make_events(response.attempt_id)
        is_early = response.is_complete and response.body != events
        if not events.startswith(response.body):
            yield 'foreign events'
        elif is_early and 'content-length' in response.headers:
            yield 'early end by length'
        elif is_early:
            yield 'early end by chunks'
        return
    answers = [execution['answer'] for execution in executions]
    if not response.is_complete or response.body in answers:
        return
    if not response.body:
        yield 'empty body'
    elif any(answer.startswith(response.body) for answer in answers):
        yield 'short body'
    else:
        yield 'foreign body'


def count_findings(
    fleet: SoakFleet, responses: list[CallerResponse], case: Case
) -> tuple[dict[str, int], list[str]]:
    """Return counts of requests and findings, and an example of each."""
    executions: dict[str, list[dict[str, Any]]] = {}
    for replica in fleet.replicas:
        for execution in replica.runs():
            executions.setdefault(execution['call'], []).append(execution)
    counts = Counter({'requests': len(responses)})
    examples: dict[str, str] = {}
    for response in responses:
        executed = executions.get(response.attempt_id, [])
        kind = response.path.split('/')[1]
        if any(execution['fault'] == case.fault for execution in executed):
            counts.update(('faulted', f'faulted, {kind}'))
        counts['successes'] += response.status == 200 and response.is_complete
        for finding in (
            *find_wrong(response, executed),
            *find_wrong_body(response, executed),
        ):
            counts.update((finding, f'{finding}, {kind}'))
            examples.setdefault(
                finding,
                f'{case.describe()}: {finding}: {response!r}'
                f' executed {[each["signature"] for each in executed]}',
            )
    return dict(counts), list(examples.values())


def format_row(case: Case, counts: dict[str, int]) -> str:
    """Return a line of the table."""
    found = [
        f'{name} {counts[name]}' for name in FINDINGS if counts.get(name, 0)
    ]
    return (
        f'{case.describe()} | {counts["requests"]} | {counts.get("faulted", 0)}'
        f' | {counts.get("successes", 0)} | {", ".join(found) or "none"}'
    )


def run_cases(
    fleet: SoakFleet, cases: Iterable[Case], seconds: float
) -> list[dict[str, Any]]:
    """Run cases, print a line for each and return their counts."""
    counted = []
    print('fault | requests | faulted | successes | wrong')
    for case in cases:
        responses = run_case(fleet, case, seconds)
        counts, examples = count_findings(fleet, responses, case)
        print(format_row(case, counts), flush=True)
        counted.append(
            {'case': case.describe(), 'counts': counts, 'examples': examples}
        )
    return counted


def main() -> None:
    """Run the cases of the faults and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=4, help='per case')
    parser.add_argument('--faults', default=','.join(FAULTS))
    parser.add_argument(
        '--output', type=Path, help='file for counts and examples'
    )
    options = parser.parse_args()
    cases = list_cases(options.faults.split(','))
    with tempfile.TemporaryDirectory() as name:
        fleet = SoakFleet(options.seed, Path(name), 'stutters')
        try:
            counted = run_cases(fleet, cases, options.seconds)
        finally:
            fleet.close()
        if options.output is not None:
            options.output.write_text(json.dumps(counted, indent=1))
            logs = [path.read_text() for path in Path(name).glob('*.log')]
            options.output.with_suffix('.log').write_text('\n'.join(logs))


if __name__ == '__main__':
    main()
