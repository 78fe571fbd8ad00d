"""Client accounts' shares of the endpoints' time, and who yields."""

import math
import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from .digests import hash_text
from .peerstates import LocalState, StateListener

#: Half-lives of an account's present and usual use, in seconds.
USE_HALF_LIFE_SECONDS: Final = 3.0
USUAL_HALF_LIFE_SECONDS: Final = 40.0
#: Accounts that an entry remembers, and that it reports to the others.
MAX_ACCOUNTS: Final = 2000
MAX_REPORTED: Final = 64
#: Use below which an account isn't reported, in seconds per second.
MIN_REPORTED_USE: Final = 0.01
#: Ratio of two neighbouring values that are reported.
REPORT_STEP: Final = 1.5
#: Pause between two looks at all accounts, in seconds.
REFRESH_SECONDS: Final = 1.0
#: Use relative to the usual above which an account is in excess.
EXCESS_RATIO: Final = 2.0
#: Use since the start below which an account is forgotten, in seconds.
MIN_REMEMBERED_SECONDS: Final = 0.01
#: Seconds of history without which no use counts as unusual.
MIN_HISTORY_SECONDS: Final = 5.0
#: Seconds without a report after which an entry's accounts are ignored.
STALE_SECONDS: Final = 3.0
#: Parts into which the requests of an account are divided.
BUCKETS: Final = 1000
_LN2: Final = math.log(2)


class _Use(NamedTuple):
    """Endpoint seconds given to an account, the older ones counting less."""

    seconds: float
    #: time.monotonic() for which they were counted.
    updated_at: float

    def decay(self, now: float) -> '_Use':
        """Return the use at a later time."""
        halvings = (now - self.updated_at) / USE_HALF_LIFE_SECONDS
        return _Use(self.seconds * float(0.5**halvings), now)

    def find_rate(self) -> float:
        """Return the use in seconds per second."""
        return self.seconds * _LN2 / USE_HALF_LIFE_SECONDS


class UsualUse:
    """What accounts use on average, over a minute or so."""

    def __init__(self) -> None:
        """Create it without any account."""
        #: Account's digest -> weighted sum of its uses, and of their weights.
        self._sums: dict[int, tuple[float, float]] = {}

    def add(self, rates: Mapping[int, float], seconds: float) -> None:
        """Add the present uses, which hold for some seconds.

        Accounts that are not named have used nothing.
        """
        decay = 0.5 ** (seconds / USUAL_HALF_LIFE_SECONDS)
        sums = {}
        for digest in rates.keys() | self._sums.keys():
            total, weight = self._sums.get(digest, (0.0, 0.0))
            total = total * decay + rates.get(digest, 0.0) * seconds
            if total >= MIN_REMEMBERED_SECONDS:
                sums[digest] = (total, weight * decay + seconds)
        self._sums = sums

    def find(self, digest: int) -> float:
        """Return the usual use, or infinity if too little is known."""
        total, weight = self._sums.get(digest, (0.0, 0.0))
        if weight < MIN_HISTORY_SECONDS:
            return math.inf
        return total / weight


class PeerAccounts(StateListener):
    """What other entries gave to client accounts, as they report it."""

    def __init__(self) -> None:
        """Start without reports."""
        self._lock = threading.Lock()
        #: Instance -> stream, time.monotonic() of its newest report, and
        #: account's digest -> seconds per second.
        self._reports: dict[str, tuple[object, float, dict[int, float]]] = {}

    def update(self, instance: str, stream: object, state: LocalState) -> None:
        """Apply what changed at an entry, as it reported on a stream."""
        now = time.monotonic()
        with self._lock:
            known = self._reports.get(instance)
            accounts: dict[int, float] = {}
            if known is not None and known[0] is stream:
                accounts = known[2]
            for digest, use in state.accounts.items():
                accounts[digest] = use
                if not use:
                    del accounts[digest]
            self._reports[instance] = (stream, now, accounts)

    def drop(self, instance: str, stream: object) -> None:
        """Forget an entry whose stream ended, unless it opened another."""
        with self._lock:
            known = self._reports.get(instance)
            if known is not None and known[0] is stream:
                del self._reports[instance]

    def list_accounts(self) -> list[dict[int, float]]:
        """Return what each entry that is not silent gave to accounts."""
        horizon = time.monotonic() - STALE_SECONDS
        with self._lock:
            return [
                dict(accounts)
                for _, received_at, accounts in self._reports.values()
                if received_at >= horizon
            ]


class AccountShares:
    """Who yields while endpoints have queues; used by several threads.

    An account is in excess if it uses more than an equal share, and more than
    twice what is usual for it. The mean use at the entries is compared, or that
    at this one while no other reports.
    """

    def __init__(self) -> None:
        """Create it without any account."""
        self.peers = PeerAccounts()
        self._lock = threading.Lock()
        #: Account's digest -> its use at this entry, least recent first.
        self._uses: OrderedDict[int, _Use] = OrderedDict()
        #: Usual use at this entry, and at one entry on average.
        self._usual = UsualUse()
        self._usual_mean = UsualUse()
        #: Account's digest -> share of its requests that yields.
        self._yielding: Mapping[int, float] = {}
        self._reported: Mapping[int, float] = {}
        self._refreshed_at = time.monotonic()

    def charge(self, account: str, seconds: float) -> None:
        """Add seconds of an endpoint's time to an account."""
        if not account:
            return
        digest = hash_text(account)
        now = time.monotonic()
        with self._lock:
            known = self._uses.pop(digest, _Use(0, now)).decay(now)
            self._uses[digest] = _Use(known.seconds + seconds, now)
            if len(self._uses) > MAX_ACCOUNTS:
                self._uses.popitem(last=False)

    def yields(self, account: str, call: str) -> bool:
        """Return True if a call is part of its account's excess.

        As many of its calls don't yield as belong to its share.
        """
        if not account:
            return False
        self._refresh()
        share = self._yielding.get(hash_text(account), 0.0)
        return hash_text(call) % BUCKETS < share * BUCKETS

    def report(self) -> Mapping[int, float]:
        """Return this entry's largest accounts, in seconds per second."""
        self._refresh()
        return self._reported

    def _refresh(self) -> None:
        """Look at all accounts again if that was some time ago."""
        now = time.monotonic()
        with self._lock:
            seconds = now - self._refreshed_at
            if seconds < REFRESH_SECONDS:
                return
            self._refreshed_at = now
            own = Counter(
                {
                    digest: use.decay(now).find_rate()
                    for digest, use in self._uses.items()
                }
            )
            peers = self.peers.list_accounts()
            mean = _find_mean([own, *peers])
            self._yielding = (
                find_excesses(mean, self._usual_mean)
                if peers
                else find_excesses(own, self._usual)
            )
            self._usual.add(own, seconds)
            if peers:
                self._usual_mean.add(mean, seconds)
        self._reported = {
            digest: _round(rate)
            for digest, rate in own.most_common(MAX_REPORTED)
            if rate >= MIN_REPORTED_USE
        }


def _find_mean(uses: Sequence[Mapping[int, float]]) -> dict[int, float]:
    """Return the mean use at an entry; it outlasts entries that fall silent."""
    total: Counter[int] = Counter()
    for each in uses:
        total.update(each)
    return {digest: use / len(uses) for digest, use in total.items()}


def find_excesses(
    rates: Mapping[int, float], usual: UsualUse
) -> dict[int, float]:
    """Return the share of their requests that accounts in excess ask beyond.

    The rates are all accounts' uses in seconds per second. No account that
    uses less than an equal share is in the result.
    """
    share = sum(rates.values()) / max(1, len(rates))
    excesses = {}
    for digest, rate in rates.items():
        entitled = max(share, EXCESS_RATIO * usual.find(digest))
        if rate > entitled:
            excesses[digest] = 1 - entitled / rate
    return excesses


def _round(rate: float) -> float:
    """Return the next lower of the values that are reported."""
    steps = math.floor(math.log(rate) / math.log(REPORT_STEP))
    return float(round(REPORT_STEP**steps, 3))
