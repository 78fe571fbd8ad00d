"""Idempotency keys: one run for each key, decided by the log's order."""

import base64
import hashlib
import secrets
import threading
import time
from concurrent.futures import Future
from functools import partial
from typing import Final, NamedTuple

from loguru import logger

from ..billing.claims import Claim, ClaimEnd, ClaimState, ClaimStatus
from ..errors import (
    ConflictError,
    CourseError,
    InProgressError,
    LogDownError,
    Outcome,
    UnknownOutcomeError,
)
from ..protocol import peer_pb2
from ..streams.appender import Appender
from ..streams.follower import Follower
from .links import Link, next_attempt
from .pool import Pool

CLAIM_SECONDS: Final = 2.0
#: How long the end of a claim is tried to be appended.
END_SECONDS: Final = 3600.0
#: How long an answer waits for its end to be durable.
END_WAIT_SECONDS: Final = 1.0
#: A claim open for this long is looked into by those that wait for it.
SUSPECT_SECONDS: Final = 1.5
INQUIRY_SECONDS: Final = 1.0
WAIT_STEP_SECONDS: Final = 0.5
#: Larger answers are not kept for repeats.
MAX_KEPT_BYTES: Final = 65536


class KeyedRequest(NamedTuple):
    """A keyed request as its claims name it."""

    customer: str
    key: str
    digest: str


class ClaimedSidecar(NamedTuple):
    """The sidecar process at which a claimed call may run."""

    instance: str
    incarnation: str


class Kept(NamedTuple):
    """A kept answer."""

    status: int
    content_type: str
    body: bytes


class ReplyNotKeptError(ConflictError):
    """The request ran, but its answer was too large to keep."""

    code = 'reply_not_kept'
    outcome = Outcome.done


def make_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells two requests with one key apart."""
    text = f'{method}\0{path}\0'.encode()
    return hashlib.sha256(text + body).hexdigest()


class Claims:
    """This entry's claims, and its waits for those of others."""

    def __init__(
        self,
        incarnation: str,
        appender: Appender,
        follower: Follower[ClaimState],
        pool: Pool,
    ) -> None:
        """Keep the parts."""
        self._incarnation = incarnation
        self._appender = appender
        self._follower = follower
        self._pool = pool
        self._lock = threading.Lock()
        self._active: set[str] = set()

    def find(self, wanted: KeyedRequest) -> ClaimStatus | None:
        """Return what holds the key here, as far as was read.

        Raises ConflictError if it was used for another request.
        """
        with self._follower.lock:
            holding = self._follower.book.find_claim_status(
                wanted.customer, wanted.key
            )
        if holding is not None and holding.claim.digest != wanted.digest:
            raise ConflictError(
                f'key "{wanted.key}" was used for another request'
            )
        return holding

    def claim(self, wanted: KeyedRequest, link: Link) -> Claim | None:
        """Claim the key for one attempt on a link.

        Returns None if another claim holds the key. Raises LogDownError;
        nothing was run then and the key comes free again.
        """
        claim = Claim(
            wanted.customer,
            wanted.key,
            wanted.digest,
            secrets.token_hex(8),
            self._incarnation,
            next_attempt(),
            f'{link.instance.name}/{link.sidecar.incarnation}',
            time.time(),
        )
        with self._lock:
            self._active.add(claim.nonce)
        try:
            offset = self._appender.put(claim, CLAIM_SECONDS).result()
            self._follower.sync(offset + 1, CLAIM_SECONDS)
            holding = self.find(wanted)
        except CourseError:
            # The append may have taken effect; it must not hold the key.
            self.end(claim, Outcome.not_run, None)
            raise
        if holding is None:
            raise LogDownError('the claim was not read back')
        if holding.claim.nonce != claim.nonce:
            self._forget(claim)
            return None
        return claim

    def end(
        self,
        claim: Claim,
        outcome: Outcome,
        kept: Kept | None,
    ) -> 'Future[int]':
        """Append the outcome of a claim; return the future of its offset."""
        body = kept.body if kept else b''
        whole = len(body) <= MAX_KEPT_BYTES
        item = ClaimEnd(
            claim.customer,
            claim.key,
            claim.nonce,
            str(outcome),
            kept.status if kept and whole else 0,
            kept.content_type if kept else '',
            base64.b64encode(body).decode() if whole else '',
            time.time(),
        )
        future = self._appender.put(item, END_SECONDS)
        future.add_done_callback(lambda _: self._forget(claim))
        return future

    def wait_end(self, wanted: KeyedRequest, deadline: float) -> Kept | None:
        """Return the kept answer of the claim that holds the key.

        Returns None if the key came free. Raises InProgressError,
        UnknownOutcomeError or ReplyNotKeptError.
        """
        began = time.monotonic()
        looked = False
        while True:
            holding = self.find(wanted)
            if holding is None:
                return None
            if holding.end is not None:
                return _open_end(holding.end)
            now = time.monotonic()
            if now >= deadline:
                raise InProgressError(f'key "{wanted.key}" is in progress')
            if not looked and now - began > SUSPECT_SECONDS:
                looked = True
                self.look_into(holding.claim)
            self._follower.wait(
                partial(self._has_moved, wanted, holding.claim),
                min(WAIT_STEP_SECONDS, deadline - now),
            )

    def look_into(self, claim: Claim) -> None:
        """Ask the sidecar of another entry's claim and append what it says.

        An attempt that the sidecar never saw is barred there for ever, so
        its owner can't run it later even if it only was paused.
        """
        named = split_instance(claim)
        link = self._pool.find(named.instance)
        if link is None or not link.connected:
            return
        if link.sidecar.incarnation != named.incarnation:
            # The sidecar that may have run it is gone with its memory.
            self.end(claim, Outcome.unknown, None)
            return
        fate = link.inquire(claim.incarnation, claim.attempt, INQUIRY_SECONDS)
        if fate is None or fate.state == 'running':
            return
        if fate.state == 'never':
            self.end(claim, Outcome.not_run, None)
        elif fate.state == 'ended':
            self.end(claim, Outcome(fate.end.outcome), make_kept(fate))
        else:
            self.end(claim, Outcome.unknown, None)

    def sweep(self) -> None:
        """Free keys that our own lost appends hold without our knowing."""
        with self._follower.lock:
            claims = self._follower.book.list_open_claims()
        for claim in claims:
            if claim.incarnation != self._incarnation:
                continue
            with self._lock:
                stray = claim.nonce not in self._active
                self._active.add(claim.nonce)
            if stray:
                logger.info('key "{}" is freed', claim.key)
                self.end(claim, Outcome.not_run, None)

    def active(self) -> int:
        """Return the claims without a durable end."""
        return len(self._active)

    def _has_moved(self, wanted: KeyedRequest, claim: Claim) -> bool:
        holding = self._follower.book.find_claim_status(
            wanted.customer, wanted.key
        )
        if holding is None or holding.end is not None:
            return True
        return holding.claim.nonce != claim.nonce

    def _forget(self, claim: Claim) -> None:
        with self._lock:
            self._active.discard(claim.nonce)


def split_instance(claim: Claim) -> ClaimedSidecar:
    """Return the sidecar that a claim names."""
    instance, _, incarnation = claim.instance.partition('/')
    return ClaimedSidecar(instance, incarnation)


def make_kept(fate: peer_pb2.Fate) -> Kept:
    """Return the answer that a sidecar kept."""
    return Kept(fate.head.status, fate.head.content_type, fate.data)


def _open_end(end: ClaimEnd) -> Kept:
    if end.outcome == Outcome.unknown:
        raise UnknownOutcomeError(
            f'key "{end.key}": the request may have run; its answer is lost'
        )
    if not end.status:
        raise ReplyNotKeptError(
            f'key "{end.key}": the request ran; its answer was not kept'
        )
    return Kept(end.status, end.content_type, base64.b64decode(end.body))
