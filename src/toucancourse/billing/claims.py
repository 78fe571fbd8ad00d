"""State of idempotency keys and pinned conversations, from log records."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..streams.codec import Codec
from ..streams.follower import StreamState

STREAM: Final = 'claims'
#: How long an idempotency key is kept, in seconds; callers rely on it.
KEY_RETENTION_SECONDS: Final = 86400
#: Longest step of the state's clock for one item, so that a writer with a wrong
#: clock can't expire all keys.
MAX_CLOCK_STEP_SECONDS: Final = 60.0


class Claim(NamedTuple):
    """An entry's claim to run a keyed request on one endpoint."""

    customer: str
    key: str
    #: SHA-256 of method, path and body.
    digest: str
    #: Unique to this claim.
    nonce: str
    #: Identifies the entry's process.
    incarnation: str
    attempt: int
    instance: str
    #: UNIX time.
    at: float


class ClaimEnd(NamedTuple):
    """The outcome of a claim: 'done', 'unknown' or 'not_run'.

    After 'not_run' the key may be claimed again.
    """

    customer: str
    key: str
    nonce: str
    outcome: str
    status: int
    content_type: str
    body: str
    at: float


class Pin(NamedTuple):
    """The version pinned to a conversation id that the caller chose."""

    customer: str
    conversation: str
    version: str
    at: float


CODEC: Final = Codec(Claim, ClaimEnd, Pin)


class ClaimStatus(NamedTuple):
    """The claim that owns a key, and its outcome if known."""

    claim: Claim
    end: ClaimEnd | None


class ClaimState(StreamState):
    """The claim that owns each key, which is the first one in the log."""

    def __init__(self) -> None:
        """Create a state without keys and pins."""
        self._claims: OrderedDict[tuple[str, str], ClaimStatus] = OrderedDict()
        self._pins: OrderedDict[tuple[str, str], Pin] = OrderedDict()
        #: Nonce of a claim that ended with 'not_run' -> time of its end.
        self._not_run: OrderedDict[str, float] = OrderedDict()
        self._clock = 0.0

    def find_claim_status(self, customer: str, key: str) -> ClaimStatus | None:
        """Return the claim that owns a key, if any, with its outcome."""
        return self._claims.get((customer, key))

    def find_pinned_version(
        self, customer: str, conversation: str
    ) -> str | None:
        """Return the version that a conversation is pinned to, if any."""
        pin = self._pins.get((customer, conversation))
        return pin.version if pin else None

    def list_open_claims(self) -> list[Claim]:
        """Return the claims whose outcome is not known."""
        return [
            status.claim
            for status in self._claims.values()
            if status.end is None
        ]

    def __len__(self) -> int:
        """Return the number of owned keys."""
        return len(self._claims)

    def apply(self, item: Claim | ClaimEnd | Pin) -> None:
        """Apply one item."""
        self._advance_clock(item.at)
        if isinstance(item, Claim):
            self._apply_claim(item)
        elif isinstance(item, ClaimEnd):
            self._apply_end(item)
        else:
            self._pins.setdefault((item.customer, item.conversation), item)
        self._expire()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            'clock': self._clock,
            'holdings': [
                [list(status.claim), status.end and list(status.end)]
                for status in self._claims.values()
            ],
            'pins': [list(pin) for pin in self._pins.values()],
            'freed': list(self._not_run.items()),
        }

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with one that dump() returned."""
        self._clock = dump['clock']
        self._claims = OrderedDict()
        for fields, end in dump['holdings']:
            claim = Claim(*fields)
            self._claims[claim.customer, claim.key] = ClaimStatus(
                claim, ClaimEnd(*end) if end else None
            )
        pins = [Pin(*fields) for fields in dump['pins']]
        self._pins = OrderedDict(
            ((pin.customer, pin.conversation), pin) for pin in pins
        )
        # Snapshots of earlier versions lack this field.
        self._not_run = OrderedDict(dump.get('freed', ()))

    def _apply_claim(self, claim: Claim) -> None:
        """Make the first claim of a key its owner.

        A claim that has already ended with 'not_run' was appended again, or
        late, by a process that had been paused; it never owns the key.
        """
        if claim.nonce not in self._not_run:
            self._claims.setdefault(
                (claim.customer, claim.key), ClaimStatus(claim, None)
            )

    def _apply_end(self, end: ClaimEnd) -> None:
        key = (end.customer, end.key)
        if end.outcome == 'not_run':
            self._not_run[end.nonce] = end.at
        status = self._claims.get(key)
        if status is None or status.claim.nonce != end.nonce:
            return
        if end.outcome == 'not_run':
            if status.end is None:
                del self._claims[key]
        elif status.end is None or status.end.outcome == 'unknown':
            # A later inquiry replaces 'unknown' by the real outcome.
            self._claims[key] = ClaimStatus(status.claim, end)

    def _advance_clock(self, at: float) -> None:
        if not self._clock:
            self._clock = at
        step = min(at - self._clock, MAX_CLOCK_STEP_SECONDS)
        self._clock += max(0.0, step)

    def _expire(self) -> None:
        limit = self._clock - KEY_RETENTION_SECONDS
        while self._claims:
            key, status = next(iter(self._claims.items()))
            if status.claim.at >= limit:
                break
            del self._claims[key]
        while self._pins:
            key, pin = next(iter(self._pins.items()))
            if pin.at >= limit:
                break
            del self._pins[key]
        while self._not_run:
            nonce, at = next(iter(self._not_run.items()))
            if at >= limit:
                break
            del self._not_run[nonce]
