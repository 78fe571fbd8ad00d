"""Which sidecar serves what, for entries that know a subset of them."""

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
#: Sidecars remembered; those written longest ago are forgotten first.
MAX_SIDECARS: Final = 20_000
#: An unchanged offer is written again, since the log keeps records for a time.
REPEAT_SECONDS: Final = 3600.0


class Offer(NamedTuple):
    """What the endpoint beside one sidecar serves from now on."""

    instance: str
    offers: list[str]


CODEC: Final = Codec(Offer)


class OfferBook(StreamState):
    """The last offer of each sidecar.

    It only says where to connect; a stale row costs a useless link, since
    each sidecar tells what it serves on its own stream.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._offers: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def apply(self, item: Offer) -> None:
        """Fold one item."""
        self._offers[item.instance] = tuple(item.offers)
        self._offers.move_to_end(item.instance)
        while len(self._offers) > MAX_SIDECARS:
            self._offers.popitem(last=False)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {'offers': list(self._offers.items())}

    def load(self, dump: Mapping[str, Any]) -> None:
        """Replace the state with a dump."""
        self._offers = OrderedDict(
            (name, tuple(offers)) for name, offers in dump['offers']
        )

    def group(self, instances: Iterable[str]) -> dict[str, list[str]]:
        """Return the given instances by what they serve."""
        groups: dict[str, list[str]] = {}
        for instance in instances:
            for offer in self._offers.get(instance, ()):
                groups.setdefault(offer, []).append(instance)
        return groups


class OfferWriter:
    """Appends what one endpoint serves when that changed, and now and then."""

    def __init__(
        self,
        instance: str,
        log: Log,
        find_offers: Callable[[], tuple[str, ...]],
    ) -> None:
        """Keep the parts; write() is called often."""
        self._instance = instance
        self._log = log
        self._find_offers = find_offers
        self._written: tuple[str, ...] = ()
        #: time.monotonic() at which an unchanged offer is due again.
        self._due = 0.0

    def write(self) -> None:
        """Append the offer if it changed or was written long ago."""
        offers = self._find_offers()
        now = time.monotonic()
        if offers == self._written and now < self._due:
            return
        body = encode_items([Offer(self._instance, list(offers))])
        try:
            self._log.append(STREAM, body)
        except LogDownError as error:
            logger.debug('offer not written: {}', error)
            return
        self._written = offers
        self._due = now + REPEAT_SECONDS * random.uniform(0.5, 1)
