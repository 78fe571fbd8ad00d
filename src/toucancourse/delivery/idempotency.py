"""Idempotency keys: at-most-once execution through claims in the log.

The first claim of a key in the log holds the key.
"""

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

#: Timeout of the append of a claim and of reading it back.
CLAIM_TIMEOUT_SECONDS: Final = 2.0
#: How long appending the end of a claim is retried.
END_RETRY_SECONDS: Final = 3600.0
#: How long a response is held back until its claim's end is durable.
END_SYNC_SECONDS: Final = 1.0
#: How long to wait for a claim of another request before asking its sidecar.
INQUIRY_DELAY_SECONDS: Final = 1.5
INQUIRY_TIMEOUT_SECONDS: Final = 1.0
WAIT_INTERVAL_SECONDS: Final = 0.5
#: Larger response bodies are not stored for replay.
MAX_STORED_BYTES: Final = 65536


class RequestKey(NamedTuple):
    """An idempotency key and the digest of the request that uses it."""

    customer: str
    key: str
    digest: str


class ClaimedSidecar(NamedTuple):
    """The sidecar process that may run a claimed call."""

    instance: str
    #: Random identifier of the process; differs after a restart.
    incarnation: str


class StoredResponse(NamedTuple):
    """A response that is stored for replay."""

    status: int
    content_type: str
    body: bytes


class ReplyNotKeptError(ConflictError):
    """The request ran, but its response was too large to store."""

    code = 'reply_not_kept'
    outcome = Outcome.done


def make_digest(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 digest that detects reuse of a key."""
    text = f'{method}\0{path}\0'.encode()
    return hashlib.sha256(text + body).hexdigest()


class IdempotencyClaims:
    """Claims keys for this entry and waits for the claims of others."""

    def __init__(
        self,
        incarnation: str,
        appender: Appender,
        follower: Follower[ClaimState],
        pool: Pool,
    ) -> None:
        """Use the appender and the follower of the claims stream."""
        self._incarnation = incarnation
        self._appender = appender
        self._follower = follower
        self._pool = pool
        self._lock = threading.Lock()
        #: Nonces of this entry's claims without a durable end.
        self._active: set[str] = set()

    def find_claim_status(self, request_key: RequestKey) -> ClaimStatus | None:
        """Return the claim that holds the key and its end, if any.

        Sees the log up to the follower's position. Raises ConflictError if
        the key was used with a different request.
        """
        with self._follower.lock:
            claim_status = self._follower.state.find_claim_status(
                request_key.customer, request_key.key
            )
        if (
            claim_status is not None
            and claim_status.claim.digest != request_key.digest
        ):
            raise ConflictError(
                f'key "{request_key.key}" was used with a different request'
            )
        return claim_status

    def claim(self, request_key: RequestKey, link: Link) -> Claim | None:
        """Claim the key for one attempt on a link.

        Returns None if another claim holds the key. Raises LogDownError if
        the claim can't be confirmed; nothing ran then, and the key is
        released again.
        """
        claim = Claim(
            request_key.customer,
            request_key.key,
            request_key.digest,
            secrets.token_hex(8),
            self._incarnation,
            next_attempt(),
            f'{link.instance.name}/{link.sidecar.incarnation}',
            time.time(),
        )
        with self._lock:
            self._active.add(claim.nonce)
        try:
            offset = self._appender.put(claim, CLAIM_TIMEOUT_SECONDS).result()
            self._follower.sync(offset + 1, CLAIM_TIMEOUT_SECONDS)
            claim_status = self.find_claim_status(request_key)
        except CourseError:
            # The append may have taken effect; release the key again.
            self.end(claim, Outcome.not_run, None)
            raise
        if claim_status is None:
            raise LogDownError('the claim was not read back')
        if claim_status.claim.nonce != claim.nonce:
            self._remove_active(claim)
            return None
        return claim

    def end(
        self,
        claim: Claim,
        outcome: Outcome,
        stored: StoredResponse | None,
    ) -> 'Future[int]':
        """Append the outcome of a claim and return the future of its offset.

        A response over MAX_STORED_BYTES is not stored.
        """
        body = stored.body if stored else b''
        fits = len(body) <= MAX_STORED_BYTES
        item = ClaimEnd(
            claim.customer,
            claim.key,
            claim.nonce,
            str(outcome),
            stored.status if stored and fits else 0,
            stored.content_type if stored else '',
            base64.b64encode(body).decode() if fits else '',
            time.time(),
        )
        future = self._appender.put(item, END_RETRY_SECONDS)
        future.add_done_callback(lambda _: self._remove_active(claim))
        return future

    def wait_end(
        self, request_key: RequestKey, deadline: float
    ) -> StoredResponse | None:
        """Return the stored response of the claim that holds the key.

        Waits for its end until the deadline. Returns None if the key was
        released. Raises InProgressError, UnknownOutcomeError or
        ReplyNotKeptError.
        """
        started_at = time.monotonic()
        inquired = False
        while True:
            claim_status = self.find_claim_status(request_key)
            if claim_status is None:
                return None
            if claim_status.end is not None:
                return _read_stored_response(claim_status.end)
            now = time.monotonic()
            if now >= deadline:
                raise InProgressError(
                    f'the request with key "{request_key.key}" is in progress'
                )
            if not inquired and now - started_at > INQUIRY_DELAY_SECONDS:
                inquired = True
                self.resolve_claim(claim_status.claim)
            self._follower.wait(
                partial(self._has_changed, request_key, claim_status.claim),
                min(WAIT_INTERVAL_SECONDS, deadline - now),
            )

    def resolve_claim(self, claim: Claim) -> None:
        """Ask a claim's sidecar for the outcome and append it as the end.

        The sidecar permanently blocks an attempt that it never received, so
        the claiming entry can't run it later if it was only paused.
        """
        sidecar = parse_sidecar(claim)
        link = self._pool.find(sidecar.instance)
        if link is None or not link.connected:
            return
        if link.sidecar.incarnation != sidecar.incarnation:
            # The sidecar that may have run it was restarted and lost its state.
            self.end(claim, Outcome.unknown, None)
            return
        fate = link.inquire(
            claim.incarnation, claim.attempt, INQUIRY_TIMEOUT_SECONDS
        )
        if fate is None or fate.state == 'running':
            return
        if fate.state == 'never':
            self.end(claim, Outcome.not_run, None)
        elif fate.state == 'ended':
            self.end(
                claim, Outcome(fate.end.outcome), make_stored_response(fate)
            )
        else:
            self.end(claim, Outcome.unknown, None)

    def release_orphaned(self) -> None:
        """Release keys held by claims whose append was reported as failed."""
        with self._follower.lock:
            claims = self._follower.state.list_open_claims()
        for claim in claims:
            if claim.incarnation != self._incarnation:
                continue
            with self._lock:
                is_orphaned = claim.nonce not in self._active
                self._active.add(claim.nonce)
            if is_orphaned:
                logger.info(
                    'releasing key "{}": its claim belongs to no request',
                    claim.key,
                )
                self.end(claim, Outcome.not_run, None)

    def count_active(self) -> int:
        """Return the number of this entry's claims without a durable end."""
        return len(self._active)

    def _has_changed(self, request_key: RequestKey, claim: Claim) -> bool:
        """Return True if the claim ended or doesn't hold the key any more."""
        claim_status = self._follower.state.find_claim_status(
            request_key.customer, request_key.key
        )
        if claim_status is None or claim_status.end is not None:
            return True
        return claim_status.claim.nonce != claim.nonce

    def _remove_active(self, claim: Claim) -> None:
        with self._lock:
            self._active.discard(claim.nonce)


def parse_sidecar(claim: Claim) -> ClaimedSidecar:
    """Return the sidecar process in a claim's "INSTANCE/INCARNATION"."""
    instance, _, incarnation = claim.instance.partition('/')
    return ClaimedSidecar(instance, incarnation)


def make_stored_response(fate: peer_pb2.Fate) -> StoredResponse:
    """Return the response that a sidecar reported for an ended attempt."""
    return StoredResponse(fate.head.status, fate.head.content_type, fate.data)


def _read_stored_response(end: ClaimEnd) -> StoredResponse:
    """Return the response in a claim's end, or raise its error."""
    if end.outcome == Outcome.unknown:
        raise UnknownOutcomeError(
            f'key "{end.key}": the request may have run; its response is lost'
        )
    if not end.status:
        raise ReplyNotKeptError(
            f'key "{end.key}": the request ran; its response was not stored'
        )
    return StoredResponse(
        end.status, end.content_type, base64.b64decode(end.body)
    )
