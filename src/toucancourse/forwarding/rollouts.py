"""Which version of a service a request goes to while one is rolled out."""

import threading
import time
from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, LogDownError
from ..membership.clock import read_clock
from ..membership.feeds import Feed, Listener
from ..membership.topics import Topic
from .digests import hash_text
from .evidence import Evidence, Work
from .moves import Move, MoveBook, encode_move
from .objects import RolloutOrder
from .records import Decoder, RolloutStatus
from .tables import OperatorBook, TimedOrder

#: Share of new sessions that try a version; operators bound it to 0.15 of all
#: requests, and the rest is left for the move to a version that turns bad.
TRIAL_SHARE: Final = 0.08
#: Parts of the order's time between which a good version's share of new
#: sessions grows from the trial's to all.
MOVE_FROM: Final = 0.64
MOVE_TO: Final = 0.82
#: Part after which a good version is completed; work on the old one has
#: ended by then.
COMPLETE_AT: Final = 0.92
#: Part after which a version that was not seen enough is turned back.
GIVE_UP_AT: Final = 0.97
#: An answer of a tried version this many times slower than usual is bad.
SLOW_RATIO: Final = 4.0
#: The same once work moves there, where caches are cold and load is new.
MOVED_SLOW_RATIO: Final = 12.0
#: Pause after a write that the store refused or did not answer, in seconds:
#: each call is paid for, and a bad version gets nothing here meanwhile.
WRITE_PAUSE: Final = 1.0
#: Sessions remembered.
MAX_SESSIONS: Final = 5000
SHARE_STEPS: Final = 10_000
#: Stands for the version that is being replaced.
OLD: Final = ''


class State(StrEnum):
    """How a roll-out stands."""

    running = 'running'
    done = 'done'
    back = 'back'


class _Pin(NamedTuple):
    #: OLD if another entry told of it.
    version: str
    #: read_clock() at which the session ends without another request.
    until: float


class Rollouts(Listener):
    """Chooses versions and decides roll-outs; told of the statuses."""

    def __init__(
        self,
        decoder: Decoder,
        operators: OperatorBook,
        session_seconds: float,
        moves: MoveBook,
    ) -> None:
        """Keep the parts; a session ends after session_seconds."""
        self._moves = moves
        self._decoder = decoder
        self._operators = operators
        self._session_seconds = session_seconds
        self._lock = threading.Lock()
        self._statuses: dict[str, RolloutStatus] = {}
        self._evidence: dict[str, Evidence] = {}
        #: Digest of service and session -> its version.
        self._sessions: OrderedDict[int, _Pin] = OrderedDict()

    def apply(self, key: str, content: bytes | None) -> None:
        """Take the newest status of a roll-out."""
        if content is None:
            return
        try:
            status = self._decoder.decode_status(key, content)
        except DECODE_ERRORS as error:
            logger.warning('record not read', key=key, why=repr(error))
            return
        if status is not None:
            self._statuses[status.service] = status
            logger.info('roll-out status', **status._asdict())

    def evidence(self, service: str) -> Evidence:
        """Return what is known of a service's versions."""
        with self._lock:
            return self._evidence.setdefault(service, Evidence())

    def find_state(self, service: str, target: str) -> State:
        """Return how the move of a service to a version stands."""
        status = self._statuses.get(service)
        if status is None or status.target != target:
            return State.running
        return State(status.state)

    def find_progress(self, timed: TimedOrder) -> float:
        """Return the part of an order's time that has passed.

        It counts from the first sight of the order by any entry.
        """
        order = timed.order
        move = self._moves.find(order)
        began = timed.seen if move is None else min(timed.seen, move.began)
        return (read_clock() - began) / max(1.0, order.duration)

    def is_good(self, order: RolloutOrder) -> bool:
        """Return True if this entry or another found the version good."""
        evidence = self.evidence(order.service)
        if evidence.is_bad(order.target):
            return False
        move = self._moves.find(order)
        return evidence.is_good(order.target) or (
            move is not None and move.is_good
        )

    def note_answer(
        self,
        service: str,
        version: str,
        work: Work,
        seconds: float,
    ) -> None:
        """Count an answer as evidence for or against its version."""
        timed = self._operators.order(service)
        slow_ratio = None
        if timed is not None and timed.order.target == version:
            has_moved = self.find_progress(timed) >= MOVE_FROM
            slow_ratio = MOVED_SLOW_RATIO if has_moved else SLOW_RATIO
        self.evidence(service).note_answer(version, work, seconds, slow_ratio)

    def choose(
        self,
        service: str,
        versions: Iterable[str],
        session: str,
        seed: str,
        failed: Collection[str] = (),
    ) -> str:
        """Return the version for a request, or '' if any will do.

        The seed decides for requests without a session; versions that have
        failed the request already are left for the old one.
        """
        timed = self._operators.order(service)
        present = set(versions)
        if timed is None:
            return ''
        target = timed.order.target
        others = sorted(present - {target})
        state = self.find_state(service, target)
        if state is State.done:
            return target
        old = others[-1] if others else ''
        if state is State.back or target not in present:
            return old or '-'
        if not old:
            return target
        if target in failed:
            return old
        version = self._choose_running(timed, session or seed, old)
        return self._keep_session(timed, session, version, old)

    def hold_session(
        self,
        service: str,
        session: str,
        version: str,
        seconds: float,
    ) -> None:
        """Remember the version that answers a session.

        Its answer ends after some seconds at the latest, and the session
        goes on for its own time after that.
        """
        if not session:
            return
        until = read_clock() + seconds + self._session_seconds
        self._pin(_make_digest(service, session), _Pin(version, until))

    def hold_old_session(self, digest: int, seconds: float) -> None:
        """Leave a session on the old version, as another entry tells.

        It has seconds left unless another request comes.
        """
        pin = self._sessions.get(digest)
        if pin is None or pin.version == OLD or pin.until < read_clock():
            self._pin(digest, _Pin(OLD, read_clock() + seconds))

    def list_old_sessions(self) -> dict[int, float]:
        """Return the sessions that other entries' trials must leave.

        The digest of each is mapped to the read_clock() of its end.
        """
        now = read_clock()
        targets = {
            timed.order.target
            for timed in self._operators.orders()
            if self.find_progress(timed) < MOVE_FROM
        }
        if not targets:
            return {}
        with self._lock:
            pins = tuple(self._sessions.items())
        return {
            digest: pin.until
            for digest, pin in pins
            if pin.until > now
            and pin.version != OLD
            and pin.version not in targets
            and _find_place(digest) < TRIAL_SHARE
        }

    def _pin(self, digest: int, pin: _Pin) -> None:
        with self._lock:
            self._sessions[digest] = pin
            self._sessions.move_to_end(digest)
            while len(self._sessions) > MAX_SESSIONS:
                self._sessions.popitem(last=False)

    def _choose_running(self, timed: TimedOrder, seed: str, old: str) -> str:
        order = timed.order
        evidence = self.evidence(order.service)
        if evidence.is_bad(order.target):
            return old
        share = TRIAL_SHARE
        if self.is_good(order):
            share = _find_share(self.find_progress(timed))
        place = _find_place(_make_digest(order.service, seed))
        return order.target if place < share else old

    def _keep_session(
        self,
        timed: TimedOrder,
        session: str,
        version: str,
        old: str,
    ) -> str:
        order = timed.order
        pin = self._sessions.get(_make_digest(order.service, session))
        if not session or pin is None:
            return version
        if read_clock() > pin.until:
            return version
        if self.evidence(order.service).is_bad(order.target):
            return version
        if pin.version == order.target:
            return order.target
        if self.find_progress(timed) < MOVE_FROM:
            return old
        return version


class RolloutJudge:
    """Writes the status of roll-outs, by whichever entry is first."""

    def __init__(
        self,
        rollouts: Rollouts,
        operators: OperatorBook,
        topic: Topic,
        decoder: Decoder,
        feed: Feed,
        moves: MoveBook,
    ) -> None:
        """Keep the parts; check() is called often."""
        self._moves = moves
        self._rollouts = rollouts
        self._operators = operators
        self._topic = topic
        self._decoder = decoder
        self._feed = feed
        #: read_clock() until which nothing is written.
        self._paused_until = 0.0

    def check(self) -> None:
        """Decide the running roll-outs once."""
        if read_clock() < self._paused_until:
            return
        for timed in self._operators.orders():
            order = timed.order
            if self._rollouts.find_state(order.service, order.target) in {
                State.done,
                State.back,
            }:
                continue
            state = self._judge(timed)
            if state is None:
                self._tell_move(timed)
            else:
                self._write_state(timed, state)

    def _judge(self, timed: TimedOrder) -> State | None:
        order = timed.order
        progress = self._rollouts.find_progress(timed)
        if self._rollouts.evidence(order.service).is_bad(order.target):
            return State.back
        is_good = self._rollouts.is_good(order)
        if progress >= COMPLETE_AT and is_good:
            return State.done
        if progress >= GIVE_UP_AT:
            return State.back
        return None

    def _tell_move(self, timed: TimedOrder) -> None:
        """Write when the move began, and that it may go on."""
        order = timed.order
        progress = self._rollouts.find_progress(timed)
        is_good = progress >= MOVE_FROM and self._rollouts.is_good(order)
        known = self._moves.find(order)
        if known is not None and (known.is_good or not is_good):
            return
        began = time.time() - progress * max(1.0, order.duration)
        move = Move(order.service, order.target, began, is_good)
        self._write(*encode_move(move))

    def _write_state(self, timed: TimedOrder, state: State) -> None:
        order = timed.order
        status = RolloutStatus(order.service, str(state), order.target)
        is_first = self._write(*self._decoder.encode_status(status))
        evidence = self._rollouts.evidence(order.service)
        logger.info(
            'roll-out decided',
            service=order.service,
            target=order.target,
            state=str(state),
            written=is_first,
            progress=round(self._rollouts.find_progress(timed), 3),
            new=evidence.count(order.target),
        )

    def _write(self, key: str, content: bytes) -> bool:
        """Write a record if all before it is known; return True if it was."""
        end = self._feed.find_next_offset()
        if end is None:
            return False
        try:
            return self._topic.append(key, content, end)
        except LogDownError as error:
            logger.warning('status not written', key=key, why=error.text)
            self._paused_until = read_clock() + WRITE_PAUSE
            return False


def _find_share(progress: float) -> float:
    """Return a good version's share of new sessions."""
    moved = (progress - MOVE_FROM) / (MOVE_TO - MOVE_FROM)
    return max(TRIAL_SHARE, min(1.0, moved))


def _make_digest(service: str, session: str) -> int:
    """Return what stands for a session at all entries."""
    return hash_text(f'{service}\0{session}')


def _find_place(digest: int) -> float:
    """Return a session's place in the order of moving, in [0, 1)."""
    return (digest % SHARE_STEPS) / SHARE_STEPS
