"""A stream that may not be resumed runs at two replicas."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'lib-2'))

from rig import TROUBLE, Client, Rig, make_config, make_route, run_case

#: Opinion of the smallest model of its answers, and of the others, in percent.
#: A sure one is the case without the hard requests.
SMALL_CONFIDENCE = 5 if TROUBLE else 95
LARGE_CONFIDENCE = 95
MODELS = ('daka510000', 'rada7437b5', 'ravo486f6a')
#: Time after which a new entry may use its retries, in seconds: the window of
#: the budget, and what the entries need to learn of it.
SETTLE_SECONDS = 12
BOOKINGS = 100
STREAMS = 40


def play(rig: Rig) -> bool:
    """Return True if a request that may run once ran more often."""
    chat = make_route(
        'chat',
        'streaming',
        timeoutMs=10000,
        targetLatencyMs=2000,
        gapTargetMs=1000,
        maxAttempts=3,
        sessionAffinity=True,
        streamResumption=False,
        sizes=list(MODELS),
    )
    routes = [make_route('book', 'unsafe'), chat]
    rig.store.put('keyed.op', 'config', make_config(1, routes))
    for replica in rig.add_replicas(4, slots=128):
        replica.event_delay = 0.05
        replica.model_confidence = dict.fromkeys(MODELS, LARGE_CONFIDENCE)
        replica.model_confidence[MODELS[0]] = SMALL_CONFIDENCE
    client = Client(rig.add_entry())
    time.sleep(SETTLE_SECONDS)
    for _ in range(BOOKINGS):
        client.send('/book/x')
    answers = []
    for _ in range(STREAMS):
        own = os.urandom(4).hex()
        headers = {
            'Accept': 'text/event-stream',
            'X-Model': '*',
            'X-Token-Usage': '600,16',
            'X-Prompt-Prefix': f'5c1e07a2:400,{own}:200',
        }
        answer = client.send('/chat/x', deadline=10, headers=headers)
        rig.write_answer(answer, 'stream')
        answers.append(answer)
    rig.write_runs()
    runs = rig.count_runs()
    twice = [each for each in answers if runs.get(each.attempt, 0) > 1]
    for answer in twice:
        rig.write(f'TWICE: {answer.attempt} ran {runs[answer.attempt]} times')
    rig.write(f'{len(answers)} streams, {len(twice)} ran more than once')
    return bool(twice)


run_case(__file__, play)
