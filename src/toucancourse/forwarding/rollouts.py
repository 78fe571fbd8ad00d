"""Version selection, canary analysis and decisions of roll-outs."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, LogDownError
from ..membership.clock import read_clock
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic
from .canary import (
    PACE,
    CanaryAnalysis,
    CanaryReport,
    Count,
    LatencyClass,
)
from .canaryreports import (
    KEY_PREFIX,
    decode_key,
    decode_report,
    encode_report,
)
from .digests import hash_text
from .objects import RolloutOrder
from .records import Decoder, RolloutStatus
from .shifts import ShiftRegistry, TrafficShift, encode_shift
from .tables import OperatorConfig, TimedOrder

#: Share of new sessions on a canary. Operators limit it to 0.15 of all
#: requests; the rest is a reserve for a version that turns out bad after the
#: traffic shift began.
CANARY_SHARE: Final = 0.08
#: Parts of the order's duration between which the traffic shift raises a good
#: version's share of new sessions from the canary share to 1.
SHIFT_START: Final = 0.64
SHIFT_END: Final = 0.82
#: Part after which a good version's roll-out is completed; requests on the
#: baseline have ended by then.
COMPLETE_AT: Final = 0.92
#: Part after which a version with too few responses is rolled back.
ROLLBACK_AT: Final = 0.97
#: Multiple of the baseline latency from which a response is bad. Some of the
#: baseline's are, so the shares of both are compared.
SLOW_RATIO: Final = 2.0
#: The same during the traffic shift, with cold caches and rising load.
SHIFTED_SLOW_RATIO: Final = 4.0
#: Shortest time between two reports of one entry.
REPORT_INTERVAL_SECONDS: Final = 1.5
#: Time in which one entry after the other may publish a shift, and the number
#: of those; all others have the next turn together.
TURN_SECONDS: Final = 0.5
MAX_TURNS: Final = 4
#: Most reports of all entries together, per second: each is a call to the
#: store, and entries of larger fleets observe fewer responses each.
MAX_REPORTS_PER_SECOND: Final = 8.0
#: Pause after a write that the store refused or did not answer, in seconds:
#: each call is billed, and this entry sends a bad version no requests anyway.
WRITE_RETRY_SECONDS: Final = 1.0
#: Sessions pinned at the same time.
MAX_SESSIONS: Final = 5000
#: Resolution of the traffic split.
SPLIT_STEPS: Final = 10_000
#: Version of a session that another entry reported: whichever version is
#: being replaced.
BASELINE: Final = ''


class RolloutState(StrEnum):
    """State of a roll-out."""

    running = 'running'
    done = 'done'
    back = 'back'


class _SessionPin(NamedTuple):
    #: BASELINE if another entry reported the session.
    version: str
    #: read_clock() at which the session ends without another request.
    until: float


class Rollouts(Listener):
    """Selects versions by the state of roll-outs and their analysis."""

    def __init__(
        self,
        decoder: Decoder,
        operators: OperatorConfig,
        session_seconds: float,
        shifts: ShiftRegistry,
        instance: str = '',
    ) -> None:
        """Create it without roll-outs.

        A session ends session_seconds after its last response. The instance
        is the name of this entry.
        """
        self.instance = instance
        self._shifts = shifts
        self._decoder = decoder
        self._operators = operators
        self._session_seconds = session_seconds
        self._lock = threading.Lock()
        self._statuses: dict[str, RolloutStatus] = {}
        self._analyses: dict[str, CanaryAnalysis] = {}
        #: Digest of service and session -> its pin, least recent first.
        self._sessions: OrderedDict[int, _SessionPin] = OrderedDict()

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply the newest status of a roll-out, or another entry's report."""
        if content is None:
            return
        try:
            self._apply_record(key, content)
        except DECODE_ERRORS as error:
            logger.warning('invalid record ignored', key=key, why=repr(error))

    def _apply_record(self, key: str, content: bytes) -> None:
        if key.startswith(KEY_PREFIX):
            service, instance = decode_key(key)
            if instance != self.instance:
                report = decode_report(content)
                self.get_analysis(service).apply_report(instance, report)
            return
        status = self._decoder.decode_status(key, content)
        if status is not None:
            self._statuses[status.service] = status
            logger.info('roll-out status updated', **status._asdict())

    def get_analysis(self, service: str) -> CanaryAnalysis:
        """Return the analysis of a service's versions."""
        with self._lock:
            return self._analyses.setdefault(service, CanaryAnalysis())

    def find_state(self, service: str, target: str) -> RolloutState:
        """Return the state of a service's roll-out of a version."""
        status = self._statuses.get(service)
        if status is None or status.target != target:
            return RolloutState.running
        return RolloutState(status.state)

    def find_progress(self, timed: TimedOrder) -> float:
        """Return the elapsed part of an order's duration.

        It starts when any entry first receives the order, and exceeds 1 if
        the order is overdue.
        """
        order = timed.order
        shift = self._shifts.find(order)
        began = (
            timed.received_at
            if shift is None
            else min(timed.received_at, shift.began)
        )
        return (read_clock() - began) / max(1.0, order.duration)

    def is_good(self, order: RolloutOrder) -> bool:
        """Return True if this entry or another found the version good."""
        analysis = self.get_analysis(order.service)
        if analysis.is_bad(order.target):
            return False
        shift = self._shifts.find(order)
        return analysis.is_good(order.target) or (
            shift is not None and shift.is_good
        )

    def record_response(
        self,
        service: str,
        version: str,
        latency_class: LatencyClass,
        seconds: float,
    ) -> None:
        """Record a response and its latency in seconds for its version."""
        timed = self._operators.order(service)
        slow_ratio = SLOW_RATIO
        is_canary = timed is not None and timed.order.target == version
        if (
            timed is not None
            and latency_class.token_bits != PACE
            and self.find_progress(timed) >= SHIFT_START
        ):
            slow_ratio = SHIFTED_SLOW_RATIO
        self.get_analysis(service).record_response(
            version, latency_class, seconds, slow_ratio, is_canary=is_canary
        )

    def choose(
        self,
        service: str,
        versions: Iterable[str],
        session: str,
        seed: str,
        failed: Collection[str] = (),
    ) -> str:
        """Return the version for a request.

        '' stands for any version and '-' for none. The seed selects the
        version for requests without a session. A target that already failed
        the request is replaced by the baseline.
        """
        timed = self._operators.order(service)
        present = set(versions)
        if timed is None:
            return ''
        target = timed.order.target
        others = sorted(present - {target})
        state = self.find_state(service, target)
        if state is RolloutState.done:
            return target
        baseline = others[-1] if others else ''
        if state is RolloutState.back or target not in present:
            return baseline or '-'
        if not baseline:
            return target
        if target in failed:
            return baseline
        version = self._choose_running(timed, session or seed, baseline)
        return self._apply_session_pin(timed, session, version, baseline)

    def pin_session(
        self,
        service: str,
        session: str,
        version: str,
        seconds: float,
    ) -> None:
        """Pin a session to the version that serves it.

        The response ends within the given seconds, and the pin expires
        session_seconds after that.
        """
        if not session:
            return
        until = read_clock() + seconds + self._session_seconds
        self._store_pin(
            _hash_session(service, session), _SessionPin(version, until)
        )

    def pin_baseline_session(self, digest: int, seconds: float) -> None:
        """Pin a session to the baseline, as another entry reported.

        The pin expires after some seconds without another request. It
        doesn't replace a live pin that this entry made itself.
        """
        pin = self._sessions.get(digest)
        if pin is None or pin.version == BASELINE or pin.until < read_clock():
            self._store_pin(
                digest, _SessionPin(BASELINE, read_clock() + seconds)
            )

    def list_baseline_sessions(self) -> dict[int, float]:
        """Return the sessions that other entries must keep off canaries.

        Maps the digest of each to the read_clock() at which its pin expires.
        Sessions that no canary would get are left out.
        """
        now = read_clock()
        targets = {
            timed.order.target
            for timed in self._operators.orders()
            if self.find_progress(timed) < SHIFT_START
        }
        if not targets:
            return {}
        with self._lock:
            pins = tuple(self._sessions.items())
        return {
            digest: pin.until
            for digest, pin in pins
            if pin.until > now
            and pin.version != BASELINE
            and pin.version not in targets
            and _find_split_position(digest) < CANARY_SHARE
        }

    def _store_pin(self, digest: int, pin: _SessionPin) -> None:
        with self._lock:
            self._sessions[digest] = pin
            self._sessions.move_to_end(digest)
            while len(self._sessions) > MAX_SESSIONS:
                self._sessions.popitem(last=False)

    def _choose_running(
        self, timed: TimedOrder, seed: str, baseline: str
    ) -> str:
        order = timed.order
        analysis = self.get_analysis(order.service)
        if analysis.is_bad(order.target):
            return baseline
        share = CANARY_SHARE
        if self.is_good(order):
            share = _find_shift_share(self.find_progress(timed))
        position = _find_split_position(_hash_session(order.service, seed))
        return order.target if position < share else baseline

    def _apply_session_pin(
        self,
        timed: TimedOrder,
        session: str,
        version: str,
        baseline: str,
    ) -> str:
        order = timed.order
        pin = self._sessions.get(_hash_session(order.service, session))
        if not session or pin is None:
            return version
        if read_clock() > pin.until:
            return version
        if self.get_analysis(order.service).is_bad(order.target):
            return version
        if pin.version == order.target:
            return order.target
        if self.find_progress(timed) < SHIFT_START:
            return baseline
        return version


class Turns(NamedTuple):
    """In which order the entries of a fleet write what each could write."""

    #: Returns the number of entries.
    count_entries: Callable[[], int]
    #: Key of what is written -> this entry's place in the order, 0 for the
    #: first.
    find_turn: Callable[[str], int]


#: An entry that is alone.
ALONE: Final = Turns(lambda: 1, lambda _: 0)


class RolloutController:
    """Writes decisions on roll-outs; the first one written is final."""

    def __init__(
        self,
        rollouts: Rollouts,
        operators: OperatorConfig,
        topic: Topic,
        decoder: Decoder,
        feed: Feed,
        shifts: ShiftRegistry,
        turns: Turns = ALONE,
    ) -> None:
        """Create a controller; check() must be called periodically."""
        self._turns = turns
        self._shifts = shifts
        self._rollouts = rollouts
        self._operators = operators
        self._topic = topic
        self._decoder = decoder
        self._feed = feed
        #: read_clock() until which no record is written.
        self._paused_until = 0.0
        #: Shift to publish -> read_clock() from which it is this entry's turn.
        self._turn_times: dict[tuple[str, str, bool], float] = {}
        #: Service -> this entry's newest report, and read_clock() of it.
        self._reported: dict[str, tuple[CanaryReport, float]] = {}

    def check(self) -> None:
        """Write the decisions on running roll-outs that are due."""
        if read_clock() < self._paused_until:
            return
        for timed in self._operators.orders():
            order = timed.order
            if self._rollouts.find_state(order.service, order.target) in {
                RolloutState.done,
                RolloutState.back,
            }:
                continue
            state = self._decide(timed)
            if state is not None:
                self._write_state(timed, state)
            elif not self._publish_shift(timed):
                self._publish_report(timed)

    def find_report_interval(self) -> float:
        """Return the shortest time in seconds between two reports."""
        return max(
            REPORT_INTERVAL_SECONDS,
            self._turns.count_entries() / MAX_REPORTS_PER_SECOND,
        )

    def _find_pause(self, known: CanaryReport, newest: CanaryReport) -> float:
        """Return the seconds between two reports, fewer after new failures."""
        if newest.canary.bad > known.canary.bad:
            return REPORT_INTERVAL_SECONDS
        return self.find_report_interval()

    def _decide(self, timed: TimedOrder) -> RolloutState | None:
        order = timed.order
        progress = self._rollouts.find_progress(timed)
        if self._rollouts.get_analysis(order.service).is_bad(order.target):
            return RolloutState.back
        is_good = self._rollouts.is_good(order)
        if progress >= COMPLETE_AT and is_good:
            return RolloutState.done
        if progress >= ROLLBACK_AT:
            return RolloutState.back
        return None

    def _publish_report(self, timed: TimedOrder) -> None:
        """Tell the other entries what this one saw of the version.

        Not near the end: decisions are written on the condition that the
        topic has not grown.
        """
        if self._rollouts.find_progress(timed) >= SHIFT_END:
            return
        order = timed.order
        analysis = self._rollouts.get_analysis(order.service)
        report = analysis.make_report(order.target)
        never = (CanaryReport(order.target, Count(), Count()), float('-inf'))
        known, reported_at = self._reported.get(order.service, never)
        now = read_clock()
        if (
            report.canary == known.canary
            or now - reported_at < self._find_pause(known, report)
        ):
            return
        self._reported[order.service] = (report, now)
        key, content = encode_report(
            order.service, self._rollouts.instance, report
        )
        try:
            self._topic.append(key, content)
        except LogDownError as error:
            # The next report has all of this one.
            logger.info('canary report not written', why=error.text)

    def _publish_shift(self, timed: TimedOrder) -> bool:
        """Publish when the roll-out began, and that its shift may start.

        Returns False if both are published or others have their turn.
        """
        order = timed.order
        progress = self._rollouts.find_progress(timed)
        is_good = progress >= SHIFT_START and self._rollouts.is_good(order)
        known = self._shifts.find(order)
        if known is not None and (known.is_good or not is_good):
            self._turn_times.pop((order.service, order.target, is_good), None)
            return False
        if not self._is_own_turn(order, is_good):
            return False
        began = time.time() - progress * max(1.0, order.duration)
        shift = TrafficShift(order.service, order.target, began, is_good)
        self._write(*encode_shift(shift))
        return True

    def _is_own_turn(self, order: RolloutOrder, is_good: bool) -> bool:
        """Return True once the entries whose turn is earlier had their time.

        All want to publish a shift at the same moment, and the store bills
        also those that are too late.
        """
        key = (order.service, order.target, is_good)
        turn_time = self._turn_times.get(key)
        if turn_time is None:
            turn = self._turns.find_turn(f'{order.service}/{order.target}')
            turn_time = read_clock() + min(turn, MAX_TURNS) * TURN_SECONDS
            self._turn_times[key] = turn_time
        return read_clock() >= turn_time

    def _write_state(self, timed: TimedOrder, state: RolloutState) -> None:
        order = timed.order
        status = RolloutStatus(order.service, str(state), order.target)
        is_first = self._write(*self._decoder.encode_status(status))
        analysis = self._rollouts.get_analysis(order.service)
        logger.info(
            'roll-out decided',
            service=order.service,
            target=order.target,
            state=str(state),
            written=is_first,
            progress=round(self._rollouts.find_progress(timed), 3),
            new=analysis.count(order.target),
        )

    def _write(self, key: str, content: bytes) -> bool:
        """Append a record unless the topic has unread ones before it.

        Returns True if it was appended.
        """
        end = self._feed.find_next_offset()
        if end is None:
            return False
        try:
            return self._topic.append(key, content, end)
        except LogDownError as error:
            logger.warning(
                'roll-out record append failed', key=key, why=error.text
            )
            self._paused_until = read_clock() + WRITE_RETRY_SECONDS
            return False


def _find_shift_share(progress: float) -> float:
    """Return a good version's share of new sessions during its shift."""
    shifted = (progress - SHIFT_START) / (SHIFT_END - SHIFT_START)
    return max(CANARY_SHARE, min(1.0, shifted))


def _hash_session(service: str, session: str) -> int:
    """Return a session's digest, which is the same at all entries."""
    return hash_text(f'{service}\0{session}')


def _find_split_position(digest: int) -> float:
    """Return a session's position in the traffic split, in [0, 1).

    A version with a share gets the sessions whose position is below it.
    """
    return (digest % SPLIT_STEPS) / SPLIT_STEPS
