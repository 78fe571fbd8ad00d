"""Refuses requests whose prompt parts crash endpoints."""

import random
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from ..errors import DECODE_ERRORS, LogDownError, UnavailableError
from ..membership.clock import read_clock
from ..membership.feeds import Listener
from ..membership.topics import Topic
from .crashes import (
    DIRECT,
    REQUEST,
    Crash,
    Parts,
    decode_parts,
    encode_crash,
    encode_parts,
    find_crashing_sets,
    hash_parts,
    list_shared_parts,
    number_prompt,
)
from .metrics import ForwardingMetrics
from .objects import Call, EndpointRecord

CRASH_PREFIX: Final = 'crash/'
BLOCK_PREFIX: Final = 'blocked/'
#: How long a crash counts as evidence.
CRASH_SECONDS: Final = 60.0
#: Largest random delay of the removal of an expired record from the store, so
#: that one entry removes it for all.
REMOVAL_JITTER_SECONDS: Final = 20.0
#: How long after a response its parts are not blocked alone: a crash may also
#: have a part in common with another crash by chance.
SOUND_SECONDS: Final = 3.0
#: An endpoint that still writes this long after a stream's first event has
#: survived its prompt.
SURVIVAL_SECONDS: Final = 1.0
#: How long a set of parts is blocked before a request with it is tried again.
#: It doubles with each trial.
BLOCK_SECONDS: Final = 20.0
MAX_BLOCK_SECONDS: Final = 320.0
MAX_DOUBLINGS: Final = 16
#: Age from which a block that no request renewed is removed.
ABANDONED_SECONDS: Final = 2 * MAX_BLOCK_SECONDS
MAX_SOUND_PARTS: Final = 5000
#: Crashes and blocks that are remembered at the same time.
MAX_CRASHES: Final = 256
MAX_BLOCKS: Final = 64
#: Records that wait to be written to the store.
MAX_PENDING: Final = 200
#: Pause after a write that failed.
WRITE_RETRY_SECONDS: Final = 0.25
TRIALS: Final = 'trials'


class CrashingPromptError(UnavailableError):
    """The prompt has parts that crash endpoints."""

    code = 'prompt_crashes_endpoints'


class _TimedCrash(NamedTuple):
    crash: Crash
    #: read_clock() at which this entry learned of it.
    known_at: float
    #: read_clock() from which this entry removes it from the store.
    removed_from: float


class _Block(NamedTuple):
    parts: Parts
    #: Requests that were tried while the parts were blocked.
    trials: int
    #: read_clock() of its start, or of its newest trial.
    since: float

    def find_remaining(self, now: float) -> float:
        """Return the seconds from a read_clock() until the next trial."""
        trials = min(self.trials, MAX_DOUBLINGS)
        seconds = min(MAX_BLOCK_SECONDS, BLOCK_SECONDS * (1 << trials))
        return self.since + seconds - now


class Quarantine(Listener):
    """Parts of prompts that crash endpoints, as all entries found them.

    Crashes and blocks are records in the store's topic of statuses: an entry
    that restarts or was cut off reads them again. A response to a request
    shows that none of its parts is the cause. An endpoint that was lost between
    the head and the first event of a stream tells which request it began to
    answer; in any other loss, all that ran there are suspects.
    """

    def __init__(
        self,
        topic: Topic,
        find_next_offset: Callable[[], int | None],
        metrics: ForwardingMetrics,
    ) -> None:
        """Create it without crashes; run() writes to the topic.

        find_next_offset returns the offset of the topic's first unread record.
        """
        self._topic = topic
        self._find_next_offset = find_next_offset
        self._metrics = metrics
        self._lock = threading.RLock()
        self._trial_lock = threading.Lock()
        self._has_pending = threading.Event()
        #: Key -> content of records to write, or None to remove them.
        self._pending: OrderedDict[str, bytes | None] = OrderedDict()
        #: Key -> crash, oldest first.
        self._crashes: OrderedDict[str, _TimedCrash] = OrderedDict()
        #: Key -> blocked set of parts.
        self._blocks: OrderedDict[str, _Block] = OrderedDict()
        #: Part -> read_clock() of its newest response, oldest first.
        self._sound: OrderedDict[str, float] = OrderedDict()

    def check(self, call: Call) -> None:
        """Raise CrashingPromptError if a call has a blocked set of parts."""
        if not self._blocks:
            return
        parts = list_shared_parts(call)
        for key, block in tuple(self._blocks.items()):
            if block.parts <= parts and not self._claim_trial(key, call):
                remaining = block.find_remaining(read_clock())
                raise CrashingPromptError(
                    'endpoints crash on prompts with '
                    f'{", ".join(sorted(block.parts))}',
                    max(WRITE_RETRY_SECONDS, round(remaining, 1)),
                )

    def record_success(self, call: Call) -> None:
        """Record that an endpoint survived the response to a call."""
        parts = list_shared_parts(call)
        now = read_clock()
        with self._lock:
            for part in parts:
                self._sound[part] = now
                self._sound.move_to_end(part)
            while len(self._sound) > MAX_SOUND_PARTS:
                self._sound.popitem(last=False)
            if self._crashes or self._blocks:
                self._exonerate(parts)

    def list_suspects(self, call: Call) -> Parts:
        """Return a call's shared parts that had no response just before."""
        with self._lock:
            return self._remove_sound(list_shared_parts(call), read_clock())

    def record_crash(self, call: Call, endpoint: EndpointRecord) -> None:
        """Record that an endpoint was lost as it began to answer a call."""
        parts = list_shared_parts(call)
        self._record(call, endpoint, parts, is_direct=True)

    def record_indirect_crash(
        self, call: Call, endpoint: EndpointRecord
    ) -> None:
        """Record that an endpoint crashed while a call was in flight there.

        Any call that was in flight may be the cause, so only parts without a
        recent response count.
        """
        parts = self.list_suspects(call)
        self._record(call, endpoint, parts, is_direct=False)

    def _record(
        self,
        call: Call,
        endpoint: EndpointRecord,
        parts: Parts,
        *,
        is_direct: bool,
    ) -> None:
        if not parts:
            return
        crash = Crash(
            f'{endpoint.identifier}.{endpoint.incarnation}',
            parts,
            number_prompt(call),
            is_direct,
        )
        key = f'{CRASH_PREFIX}{crash.endpoint}/{hash_parts(parts)}'
        if not is_direct:
            key = f'{key}-{crash.request:x}'
        logger.warning(
            'endpoint lost as it began to respond'
            if is_direct
            else 'endpoint crashed with a request in flight',
            call=call.identifier,
            endpoint=endpoint.identifier,
            parts=sorted(parts),
        )
        self._metrics.crashes.inc()
        with self._lock:
            self._write(key, encode_crash(crash))
            self._add_crash(key, crash)

    def apply(self, key: str, content: bytes | None) -> None:
        """Apply a record of a crash or of a block, or its removal."""
        is_block = key.startswith(BLOCK_PREFIX)
        if not is_block and not key.startswith(CRASH_PREFIX):
            return
        with self._lock:
            if content is None:
                self._forget(key)
                return
            try:
                parts, fields = decode_parts(content)
            except DECODE_ERRORS as error:
                logger.warning(
                    'invalid record ignored', key=key, why=repr(error)
                )
                return
            if is_block:
                self._add_block(parts, fields.get(TRIALS, 0), 'store')
            elif key not in self._crashes:
                endpoint = key.removeprefix(CRASH_PREFIX).rpartition('/')[0]
                is_direct = bool(fields.get(DIRECT, 1))
                crash = Crash(
                    endpoint, parts, fields.get(REQUEST, 0), is_direct
                )
                self._add_crash(key, crash)

    def count_pending(self) -> int:
        """Return the number of records that wait to be written."""
        return len(self._pending)

    def run(self, stopped: threading.Event) -> None:
        """Write records to the store until stopped."""
        while not stopped.is_set():
            self._has_pending.wait(WRITE_RETRY_SECONDS)
            self._remove_expired()
            if self._pending and not self._write_next():
                stopped.wait(WRITE_RETRY_SECONDS)

    def _claim_trial(self, key: str, call: Call) -> bool:
        """Return True if a call may be sent to see if its parts still crash.

        The store grants each trial to one call of all entries.
        """
        if not self._trial_lock.acquire(blocking=False):
            return False
        try:
            return self._ask_for_trial(key, call)
        finally:
            self._trial_lock.release()

    def _ask_for_trial(self, key: str, call: Call) -> bool:
        block = self._blocks.get(key)
        if block is None:
            return True
        end = self._find_next_offset()
        if end is None or block.find_remaining(read_clock()) > 0:
            return False
        trials = block.trials + 1
        content = encode_parts(block.parts, **{TRIALS: trials})
        try:
            is_granted = self._topic.append(key, content, end)
        except LogDownError as error:
            logger.info('trial not granted', why=error.text)
            return False
        if is_granted:
            with self._lock:
                self._add_block(block.parts, trials, 'trial')
            logger.info(
                'blocked parts tried again',
                call=call.identifier,
                parts=sorted(block.parts),
                trials=trials,
            )
        return is_granted

    def _add_crash(self, key: str, crash: Crash) -> None:
        now = read_clock()
        self._crashes[key] = _TimedCrash(
            crash,
            now,
            now + CRASH_SECONDS + random.random() * REMOVAL_JITTER_SECONDS,
        )
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._find_blocks()

    def _find_blocks(self) -> None:
        """Block the sets of parts that explain the recent crashes."""
        now = read_clock()
        crashes = [
            timed.crash
            for timed in self._crashes.values()
            if now - timed.known_at < CRASH_SECONDS
        ]
        suspects = frozenset[str]().union(*(crash.parts for crash in crashes))
        sound = suspects - self._remove_sound(suspects, now)
        for parts in find_crashing_sets(crashes, sound):
            known = any(block.parts <= parts for block in self._blocks.values())
            if not known:
                self._add_block(parts, 0, 'crashes')
                key = BLOCK_PREFIX + hash_parts(parts)
                self._write(key, encode_parts(parts, **{TRIALS: 0}))
                self._remove_wider_blocks(parts)

    def _remove_sound(self, parts: Parts, now: float) -> Parts:
        """Return the parts that had no response just before now."""
        never = float('-inf')
        return frozenset(
            part
            for part in parts
            if now - self._sound.get(part, never) >= SOUND_SECONDS
        )

    def _add_block(self, parts: Parts, trials: int, source: str) -> None:
        key = BLOCK_PREFIX + hash_parts(parts)
        known = self._blocks.get(key)
        if not parts or (known is not None and trials <= known.trials):
            return
        self._blocks[key] = _Block(parts, trials, read_clock())
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)
        self._metrics.blocks.set(len(self._blocks))
        logger.warning(
            'prompt parts blocked',
            parts=sorted(parts),
            trials=trials,
            source=source,
            crashes=sum(
                parts <= timed.crash.parts for timed in self._crashes.values()
            ),
        )

    def _remove_wider_blocks(self, parts: Parts) -> None:
        for key, block in tuple(self._blocks.items()):
            if block.parts > parts:
                self._remove_block(key, 'a smaller set explains the crashes')
                self._write(key, None)

    def _exonerate(self, parts: Parts) -> None:
        """Drop parts that got a response from all evidence."""
        has_changed = False
        for key, timed in tuple(self._crashes.items()):
            remaining = timed.crash.parts - parts
            if remaining == timed.crash.parts:
                continue
            has_changed = True
            crash = timed.crash._replace(parts=remaining)
            self._crashes[key] = timed._replace(crash=crash)
            if not remaining:
                self._crashes.pop(key)
                self._write(key, None)
        for key, block in tuple(self._blocks.items()):
            if block.parts <= parts:
                self._remove_block(key, 'a response was received')
                self._write(key, None)
        if has_changed:
            self._find_blocks()

    def _forget(self, key: str) -> None:
        """Apply the removal of a record by this entry or another."""
        self._crashes.pop(key, None)
        if key in self._blocks:
            self._remove_block(key, 'removed in the store')

    def _remove_block(self, key: str, why: str) -> None:
        block = self._blocks.pop(key)
        self._metrics.blocks.set(len(self._blocks))
        logger.warning(
            'prompt parts unblocked', parts=sorted(block.parts), why=why
        )

    def _remove_expired(self) -> None:
        now = read_clock()
        with self._lock:
            for key, timed in tuple(self._crashes.items()):
                if now >= timed.removed_from:
                    self._crashes.pop(key)
                    self._write(key, None)
            for key, block in tuple(self._blocks.items()):
                if now - block.since >= ABANDONED_SECONDS:
                    self._remove_block(key, 'no request has them any more')
                    self._write(key, None)

    def _write(self, key: str, content: bytes | None) -> None:
        """Write a record, or its removal, in the thread of run()."""
        self._pending.pop(key, None)
        if len(self._pending) >= MAX_PENDING:
            lost, _ = self._pending.popitem(last=False)
            logger.error('record not written: too many wait', key=lost)
        self._pending[key] = content
        self._has_pending.set()

    def _write_next(self) -> bool:
        """Write the oldest pending record; return False if that failed."""
        with self._lock:
            key, content = next(iter(self._pending.items()))
        try:
            self._topic.append(key, content)
        except LogDownError as error:
            logger.warning(
                'quarantine record append failed', key=key, why=error.text
            )
            return False
        with self._lock:
            if self._pending.get(key) is content:
                self._pending.pop(key)
            if not self._pending:
                self._has_pending.clear()
        return True
