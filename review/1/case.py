"""A part of a prompt crashes each replica that begins to write an answer."""

import threading
import time

from review.lib.callers import Answer, Caller, run_callers
from review.lib.fleet import BOUNDS, Fleet, ReplicaProcess, make_route
from review.lib.runner import TROUBLE, run_case

RUN_SECONDS = 25.0
CONTACT_SECONDS = BOUNDS['contactTimeoutMs'] / 1000
#: The rule allows three requests.
MOST_LATE_REQUESTS = 3
TAINTED = 'bad0bad0'


def make() -> Fleet:
    """Return two entries with one route."""
    route = make_route(
        'draft', 'streaming', 3, streamResumption=True, gapTargetMs=1000
    )
    return Fleet(2, [route])


def play(fleet: Fleet, record: list[str]) -> bool:
    """Return True if the rule was broken."""
    options = {'events': 6, 'down_s': 3.0}
    if TROUBLE:
        options['crashing_part'] = TAINTED
    for number in range(8):
        ReplicaProcess(fleet, number, options).start()
    fleet.start()
    answers: list[Answer] = []
    tainted: list[Answer] = []
    stop = threading.Event()

    def send_sound(number: int) -> None:
        caller = Caller(fleet.entries[number % 2])
        serial = 0
        while not stop.is_set():
            serial += 1
            prefix = f'5c1e07a2:800,91bd3f06:410,{number:04x}{serial:06x}:250'
            answers.append(caller.send('/draft/a', prefix))
            time.sleep(0.05)

    def send_tainted(number: int) -> None:
        caller = Caller(fleet.entries[number])
        serial = 0
        while not stop.wait(2.0):
            serial += 1
            prefix = f'5c1e07a2:800,{TAINTED}:{400 + serial},f{number:03x}{serial:06x}:250'
            tainted.append(caller.send('/draft/a', prefix, mark='tainted-'))

    threads = [*run_callers(8, send_sound), *run_callers(2, send_tainted)]
    time.sleep(RUN_SECONDS)
    stop.set()
    for thread in threads:
        thread.join(12)
    rows = fleet.read_journal()
    began = rows[0]['at']
    crashes = sorted(at for replica in fleet.replicas for at in replica.crashes)
    arrivals = [
        row for row in rows
        if row['event'] == 'arrives' and row['call'].startswith('tainted-')
    ]
    late = []
    if len(crashes) >= 5:
        late = [row for row in arrivals if row['at'] > crashes[4] + CONTACT_SECONDS]
    for answer in tainted:
        record.append(
            f'{answer.sent_at - began:7.3f} tainted {answer.call} sent; '
            f'{answer.ended_at - began:7.3f} answered {answer.status}, whole: {answer.is_complete}'
        )
    for row in arrivals:
        record.append(f'{row["at"] - began:7.3f} tainted {row["call"]} reaches {row["replica"]}')
    failed = [answer for answer in answers if not answer.is_own()]
    for answer in failed:
        record.append(
            f'{answer.sent_at - began:7.3f} sound {answer.call} sent; '
            f'{answer.ended_at - began:7.3f} answered {answer.status}, whole: {answer.is_complete}'
        )
    record.append(f'crashes of replicas at {[round(at - began, 2) for at in crashes]}')
    record.append(f'sound requests: {len(answers)}, of which not answered whole: {len(failed)}')
    record.append(f'tainted requests: {len(tainted)}, arrivals at replicas: {len(arrivals)}')
    record.append(
        f'arrivals later than {CONTACT_SECONDS} s after the fifth crash: {len(late)}; '
        f'allowed: {MOST_LATE_REQUESTS}'
    )
    return len({row['call'] for row in late}) > MOST_LATE_REQUESTS


if __name__ == '__main__':
    run_case(__file__, make, play)
