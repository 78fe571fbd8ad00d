"""Advertisement of what each sidecar serves, through the log.

An entry that is connected to a subset of the sidecars reads these offers to
find the ones that it needs.
"""

import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, NamedTuple

from loguru import logger

from ..errors import LogDownError
from ..interfaces.log import Log
from ..streams.codec import Codec, encode_items
from ..streams.follower import StreamState

STREAM: Final = 'offers'
#: Sidecars kept; those with the oldest offers are evicted first.
MAX_SIDECARS: Final = 20_000
#: Longest time between two writes of an unchanged offer. It is repeated since
#: the log deletes old records.
REPEAT_SECONDS: Final = 3600.0


class Offer(NamedTuple):
    """The versions or services that one endpoint serves from now on."""

    instance: str
    offers: list[str]


CODEC: Final = Codec(Offer)


class OfferState(StreamState):
    """The last offer of each sidecar.

    It only decides which sidecars to connect to. A stale offer costs an
    unneeded connection and no more, since each sidecar reports what it serves
    on its own stream.
    """

    def __init__(self) -> None:
        """Create a state without offers."""
        self._offers: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def apply(self, item: Offer) -> None:
        """Apply one offer."""
        self._offers[item.instance] = tuple(item.offers)
        self._offers.move_to_end(item.instance)
        while len(self._offers) > MAX_SIDECARS:
            self._offers.popitem(last=False)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {'offers': list(self._offers.items())}

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with one that dump() returned."""
        self._offers = OrderedDict(
            (name, tuple(offers)) for name, offers in dump['offers']
        )

    def group_by_offer(self, instances: Iterable[str]) -> dict[str, list[str]]:
        """Return the given instances by the version or service they offer."""
        groups: dict[str, list[str]] = {}
        for instance in instances:
            for offer in self._offers.get(instance, ()):
                groups.setdefault(offer, []).append(instance)
        return groups


class OfferWriter:
    """Appends a sidecar's offer to the log on a change and periodically."""

    def __init__(
        self,
        instance: str,
        log: Log,
        find_offers: Callable[[], tuple[str, ...]],
    ) -> None:
        """Create a writer whose write() is to be called periodically.

        `find_offers` returns what the endpoint serves at present.
        """
        self._instance = instance
        self._log = log
        self._find_offers = find_offers
        self._written: tuple[str, ...] = ()
        #: time.monotonic() at which an unchanged offer is written again.
        self._next_write = 0.0

    def write(self) -> None:
        """Append the offer if it changed or is due to be repeated."""
        offers = self._find_offers()
        now = time.monotonic()
        if offers == self._written and now < self._next_write:
            return
        body = encode_items([Offer(self._instance, list(offers))])
        try:
            self._log.append(STREAM, body)
        except LogDownError as error:
            logger.debug('offer not appended to the log: {}', error)
            return
        self._written = offers
        self._next_write = now + REPEAT_SECONDS * random.uniform(0.5, 1)
