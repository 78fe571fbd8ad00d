"""Appends changes of the configuration to the log and finds their verdicts."""

import time
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from ..contract.records import STREAM, Change, encode_record
from ..contract.replay import ACCEPTED, DUPLICATE, Verdict, evaluate_change
from ..errors import CourseError, LogDownError, Outcome
from ..interfaces.log import Log
from ..membership.configuration import Configuration
from ..membership.reader import LogReader

APPEND_RETRY_SECONDS: Final = 0.2
VERDICT_WAIT_SECONDS: Final = 0.5
CONFIRMATION_POLL_SECONDS: Final = 0.02


class ChangeUnknownError(CourseError):
    """The log may have appended the change, but no verdict was read."""

    code = 'change_unknown'
    status = 503
    outcome = Outcome.unknown


class ChangeResult(NamedTuple):
    """The verdict on a change and the instances that have not confirmed it."""

    verdict: Verdict
    revision: int
    #: From acceptance to the last confirmation, or to the end of the wait.
    seconds: float
    waiting_for: tuple[str, ...]


class ChangeSubmitter:
    """Submits changes of the configuration.

    The order of the records in the log decides which of several concurrent
    changes of an object is accepted.
    """

    def __init__(
        self,
        log: Log,
        configuration: Configuration,
        reader: LogReader,
    ) -> None:
        """Create a submitter for the configuration stream of a log.

        The reader must apply that stream to the given configuration.
        """
        self._log = log
        self._configuration = configuration
        self._reader = reader

    def preview(self, change: Change) -> Verdict:
        """Return the verdict that the change would get now."""
        self._reader.catch_up()
        state = self._configuration.state
        return evaluate_change(state, change, state.offset)

    def submit(self, change: Change, timeout: float) -> Verdict:
        """Append a change and return the verdict on it.

        Raises LogDownError if the log is unavailable before the append, and
        ChangeUnknownError if the change may have been appended but no verdict
        was read within the timeout in seconds.
        """
        deadline = time.monotonic() + timeout
        body = encode_record(change)
        self._reader.catch_up()
        while True:
            try:
                self._log.append(STREAM, body)
                break
            except LogDownError:
                verdict = self._wait_verdict(change, VERDICT_WAIT_SECONDS)
                if verdict is not None:
                    return verdict
            if time.monotonic() >= deadline:
                raise ChangeUnknownError(
                    'the log did not confirm the change; read the object '
                    f'before retrying (change "{change.change_id}")',
                )
            time.sleep(APPEND_RETRY_SECONDS)
        while time.monotonic() < deadline + VERDICT_WAIT_SECONDS:
            verdict = self._wait_verdict(change, VERDICT_WAIT_SECONDS)
            if verdict is not None:
                return verdict
        raise ChangeUnknownError(
            f'change "{change.change_id}" was appended but not read yet'
        )

    def wait_until_in_force(
        self,
        offset: int,
        list_offsets: Callable[[], Mapping[str, int]],
        timeout: float,
    ) -> tuple[float, tuple[str, ...]]:
        """Wait until all instances have applied the records before an offset.

        Returns the seconds waited and the names of the instances that are
        still below the offset after the timeout in seconds.
        """
        started_at = time.monotonic()
        while True:
            unconfirmed = tuple(
                name
                for name, known_offset in sorted(list_offsets().items())
                if known_offset < offset
            )
            waited = time.monotonic() - started_at
            if not unconfirmed or waited >= timeout:
                return waited, unconfirmed
            time.sleep(CONFIRMATION_POLL_SECONDS)

    def _wait_verdict(self, change: Change, timeout: float) -> Verdict | None:
        try:
            self._reader.catch_up()
        except LogDownError:
            pass
        return self._configuration.wait_verdict(change.change_id, timeout)


def is_accepted(verdict: Verdict) -> bool:
    """Return True if the change was accepted, now or at an earlier attempt."""
    return verdict.code in {ACCEPTED, DUPLICATE}
