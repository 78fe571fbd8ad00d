"""Claims of idempotency keys and pins of conversations, in log order."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..streams.codec import Codec
from ..streams.follower import StreamState

STREAM: Final = 'claims'
#: How long a key is remembered, in seconds; published to callers.
KEY_WINDOW_SECONDS: Final = 86400
#: Most that one item moves the book's clock, so a wrong clock at one writer
#: can't expire the keys of all.
MAX_CLOCK_STEP_SECONDS: Final = 60.0


class Claim(NamedTuple):
    """One entry's claim to run a keyed request on one endpoint."""

    customer: str
    key: str
    #: SHA-256 of method, path and body.
    digest: str
    #: Unique to this claim.
    nonce: str
    incarnation: str
    attempt: int
    instance: str
    at: float


class ClaimEnd(NamedTuple):
    """The outcome of a claim. 'not_run' frees the key."""

    customer: str
    key: str
    nonce: str
    outcome: str
    status: int
    content_type: str
    body: str
    at: float


class Pin(NamedTuple):
    """A conversation id that the caller chose, and its version."""

    customer: str
    conversation: str
    version: str
    at: float


CODEC: Final = Codec(Claim, ClaimEnd, Pin)


class Holding(NamedTuple):
    """The claim that holds a key, and its end if known."""

    claim: Claim
    end: ClaimEnd | None


class ClaimBook(StreamState):
    """Which claim holds each key: the first one in the log."""

    def __init__(self) -> None:
        """Start with no keys."""
        self._holdings: OrderedDict[tuple[str, str], Holding] = OrderedDict()
        self._pins: OrderedDict[tuple[str, str], Pin] = OrderedDict()
        #: Nonces that ended as not run -> time of the end.
        self._freed: OrderedDict[str, float] = OrderedDict()
        self._clock = 0.0

    def holding(self, customer: str, key: str) -> Holding | None:
        """Return what holds a key."""
        return self._holdings.get((customer, key))

    def pinned(self, customer: str, conversation: str) -> str | None:
        """Return the version of a pinned conversation."""
        pin = self._pins.get((customer, conversation))
        return pin.version if pin else None

    def open_claims(self) -> list[Claim]:
        """Return the claims with no known end."""
        return [
            holding.claim
            for holding in self._holdings.values()
            if holding.end is None
        ]

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return len(self._holdings)

    def apply(self, item: Claim | ClaimEnd | Pin) -> None:
        """Fold one item."""
        self._advance(item.at)
        if isinstance(item, Claim):
            self._claim(item)
        elif isinstance(item, ClaimEnd):
            self._end(item)
        else:
            self._pins.setdefault((item.customer, item.conversation), item)
        self._expire()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            'clock': self._clock,
            'holdings': [
                [list(holding.claim), holding.end and list(holding.end)]
                for holding in self._holdings.values()
            ],
            'pins': [list(pin) for pin in self._pins.values()],
            'freed': list(self._freed.items()),
        }

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""
        self._clock = dump['clock']
        self._holdings = OrderedDict()
        for row, end in dump['holdings']:
            claim = Claim(*row)
            self._holdings[claim.customer, claim.key] = Holding(
                claim, ClaimEnd(*end) if end else None
            )
        pins = [Pin(*row) for row in dump['pins']]
        self._pins = OrderedDict(
            ((pin.customer, pin.conversation), pin) for pin in pins
        )
        # Snapshots of earlier versions hold none.
        self._freed = OrderedDict(dump.get('freed', ()))

    def _claim(self, claim: Claim) -> None:
        """Give the key to its first claim.

        A claim that already ended as not run was appended again, or late, by
        a process that was paused; it never holds the key.
        """
        if claim.nonce not in self._freed:
            self._holdings.setdefault(
                (claim.customer, claim.key), Holding(claim, None)
            )

    def _end(self, end: ClaimEnd) -> None:
        place = (end.customer, end.key)
        if end.outcome == 'not_run':
            self._freed[end.nonce] = end.at
        holding = self._holdings.get(place)
        if holding is None or holding.claim.nonce != end.nonce:
            return
        if end.outcome == 'not_run':
            if holding.end is None:
                del self._holdings[place]
        elif holding.end is None or holding.end.outcome == 'unknown':
            # 'unknown' gives way to what is found out later.
            self._holdings[place] = Holding(holding.claim, end)

    def _advance(self, at: float) -> None:
        if not self._clock:
            self._clock = at
        step = min(at - self._clock, MAX_CLOCK_STEP_SECONDS)
        self._clock += max(0.0, step)

    def _expire(self) -> None:
        limit = self._clock - KEY_WINDOW_SECONDS
        while self._holdings:
            place, holding = next(iter(self._holdings.items()))
            if holding.claim.at >= limit:
                break
            del self._holdings[place]
        while self._pins:
            place, pin = next(iter(self._pins.items()))
            if pin.at >= limit:
                break
            del self._pins[place]
        while self._freed:
            nonce, at = next(iter(self._freed.items()))
            if at >= limit:
                break
            del self._freed[nonce]
