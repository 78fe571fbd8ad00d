"""Runs a case, writes its record and ends its processes."""

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from .fleet import CannotRunError, Fleet

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
#: False for the run without the disruption.
TROUBLE = os.environ.get('TROUBLE') != '0'


def run_case(path: str, make: Callable[[], Fleet], play: Callable[[Fleet, list[str]], bool]) -> None:
    """Play a case and exit: play returns True if the rule was broken."""
    record: list[str] = [f'with the disruption: {TROUBLE}']
    # So that all processes are ended if run.sh reaches its time limit.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    fleet = None
    try:
        fleet = make()
        code = BROKEN if play(fleet, record) else HELD
    except CannotRunError as error:
        record.append(f'could not run: {error}')
    except Exception:  # an error of the script is no broken rule
        record.append(traceback.format_exc())
    finally:
        if fleet is not None:
            fleet.close()
        verdict = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
        record.append(verdict.get(code, 'the case could not run'))
        Path(path).with_name('record.txt').write_text('\n'.join(record) + '\n')
        print('\n'.join(record[-5:]))
    sys.exit(code)
