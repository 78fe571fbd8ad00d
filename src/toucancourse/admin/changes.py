"""Appends operators' changes and reads back what became of them."""

import time
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from ..contract.records import STREAM, Change, encode_record
from ..contract.replay import ACCEPTED, DUPLICATE, Verdict, evaluate_change
from ..errors import CourseError, LogDownError, Outcome
from ..interfaces.log import Log
from ..membership.configuration import Configuration
from ..membership.reader import LogReader

RETRY_SECONDS: Final = 0.2
VERDICT_STEP_SECONDS: Final = 0.5
CONFIRM_STEP_SECONDS: Final = 0.02


class ChangeUnknownError(CourseError):
    """The append's answer was lost and the record was not read back."""

    code = 'change_unknown'
    status = 503
    outcome = Outcome.unknown


class Applied(NamedTuple):
    """The verdict on a change and who has not confirmed it."""

    verdict: Verdict
    revision: int
    #: Seconds from acceptance until the last confirmation, or the wait.
    seconds: float
    waiting_for: tuple[str, ...]


class Changes:
    """Submits changes; the log's order decides on them."""

    def __init__(
        self,
        log: Log,
        configuration: Configuration,
        reader: LogReader,
    ) -> None:
        """Keep the parts."""
        self._log = log
        self._configuration = configuration
        self._reader = reader

    def judge(self, change: Change) -> Verdict:
        """Return what the verdict would be now."""
        self._reader.catch_up()
        state = self._configuration.state
        return evaluate_change(state, change, state.offset)

    def submit(self, change: Change, timeout: float) -> Verdict:
        """Append a change and return the fold's verdict on it.

        Raises LogDownError if nothing was appended, as far as is known by
        the log's refusing it, and ChangeUnknownError if it may have been.
        """
        deadline = time.monotonic() + timeout
        body = encode_record(change)
        self._reader.catch_up()
        while True:
            try:
                self._log.append(STREAM, body)
                break
            except LogDownError:
                verdict = self._read_back(change, VERDICT_STEP_SECONDS)
                if verdict is not None:
                    return verdict
            if time.monotonic() >= deadline:
                raise ChangeUnknownError(
                    'the log did not confirm the change; read it back before '
                    f'trying again (change "{change.change_id}")',
                )
            time.sleep(RETRY_SECONDS)
        while time.monotonic() < deadline + VERDICT_STEP_SECONDS:
            verdict = self._read_back(change, VERDICT_STEP_SECONDS)
            if verdict is not None:
                return verdict
        raise ChangeUnknownError(
            f'change "{change.change_id}" was appended but not read back'
        )

    def wait_in_force(
        self,
        offset: int,
        offsets: Callable[[], Mapping[str, int]],
        timeout: float,
    ) -> tuple[float, tuple[str, ...]]:
        """Return the seconds waited and the instances that lack an offset."""
        began = time.monotonic()
        while True:
            waiting = tuple(
                name
                for name, reached in sorted(offsets().items())
                if reached < offset
            )
            waited = time.monotonic() - began
            if not waiting or waited >= timeout:
                return waited, waiting
            time.sleep(CONFIRM_STEP_SECONDS)

    def _read_back(self, change: Change, timeout: float) -> Verdict | None:
        try:
            self._reader.catch_up()
        except LogDownError:
            pass
        return self._configuration.wait_verdict(change.change_id, timeout)


def is_accepted(verdict: Verdict) -> bool:
    """Return True if the change took effect, now or by an earlier try."""
    return verdict.code in {ACCEPTED, DUPLICATE}
