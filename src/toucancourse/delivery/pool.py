"""The entry's links to sidecars."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from ..contract.state import State
from ..interfaces.instances import Instance
from ..membership.directory import Directory, rank
from ..routing.endpoints import EndpointView, Outliers
from ..routing.offers import OfferState
from ..routing.subset import choose_peers
from ..streams.follower import Follower
from .links import Link

MAX_LINK_THREADS: Final = 4000
#: Sidecars of each zone that call the log for the zone's entries.
COLLECTORS: Final = 2


class Pool:
    """Links to the listed sidecars, at most a set number of them."""

    def __init__(
        self,
        directory: Directory,
        make_link: Callable[[Instance], Link],
        name: str,
        zone: str,
        max_peers: int,
        offers: Follower[OfferState],
    ) -> None:
        """Keep the parts; update() opens and closes links."""
        self._directory = directory
        self._make_link = make_link
        self._name = name
        self._zone = zone
        self._max_peers = max_peers
        self._offers = offers
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._collectors: tuple[str, ...] = ()
        self._workers = ThreadPoolExecutor(MAX_LINK_THREADS, 'link')
        self.outliers = Outliers()

    def links(self) -> list[Link]:
        """Return all links."""
        return list(self._links.values())

    def find(self, instance: str) -> Link | None:
        """Return the link to an instance."""
        return self._links.get(instance)

    def collectors(self) -> list[Link]:
        """Return the links to the zone's collectors, the own one in front."""
        links = self._links
        return [links[name] for name in self._collectors if name in links]

    def serving(self, state: State, offer: str) -> dict[str, Link]:
        """Return usable links whose endpoint serves a version or service."""
        return {
            name: link
            for name, link in list(self._links.items())
            if link.is_usable()
            and offer in link.load.offers
            and not state.is_out(link.sidecar.zone, name)
        }

    def offers(self) -> set[str]:
        """Return the versions and services of all usable links."""
        return {
            offer
            for link in self.links()
            if link.is_usable()
            for offer in link.load.offers
        }

    def views(self, links: dict[str, Link]) -> list[EndpointView]:
        """Return what is known of some links for a choice."""
        return [
            EndpointView(
                name,
                link.sidecar.zone,
                max(link.in_flight(), link.load.running + link.load.waiting),
                link.load.window,
                self.outliers.get_failure_rate(name),
            )
            for name, link in links.items()
        ]

    def update(self) -> None:
        """Open links to newly listed sidecars, close those no longer listed.

        An unlisted sidecar that still answers is kept: the list lags. One
        that is listed but no longer in the subset is let go once idle.
        """
        listed = {row.name: row for row in self._directory.sidecars()}
        self._collectors = self._choose_collectors()
        chosen = self._choose(tuple(listed))
        with self._lock:
            for name in chosen:
                old = self._links.get(name)
                if old is not None and old.instance != listed[name]:
                    if old.instance.address == listed[name].address:
                        continue
                    old.stop()
                    old = None
                if old is None:
                    link = self._make_link(listed[name])
                    self._links[name] = link
                    self._workers.submit(link.run)
            for name, link in list(self._links.items()):
                gone = name not in listed and not link.connected
                spare = name in listed and name not in chosen
                if (gone or spare) and not link.in_flight():
                    link.stop()
                    del self._links[name]

    def needs_offers(self) -> bool:
        """Return True if the sidecars are more than an entry connects to."""
        return len(self._directory.sidecars()) > self._max_peers

    def _choose(self, listed: tuple[str, ...]) -> set[str]:
        with self._offers.lock:
            groups = self._offers.book.group_by_offer(listed)
        chosen = choose_peers(self._name, listed, groups, self._max_peers)
        return chosen | set(self._collectors)

    def _choose_collectors(self) -> tuple[str, ...]:
        """Return the zone's collectors; its entries spread over them."""
        names = [
            row.name
            for row in self._directory.sidecars()
            if row.zone == self._zone and not row.leaving
        ]
        chosen = rank(f'collector {self._zone}', names)[:COLLECTORS]
        return tuple(rank(self._name, chosen))

    def check(self) -> None:
        """Look for silent peers."""
        for link in self.links():
            link.check_silence()

    def wake(self) -> None:
        """Send every sidecar a message now."""
        for link in self.links():
            if link.connected:
                link.wake()

    def close(self) -> None:
        """Close all links."""
        for link in self.links():
            link.stop()
        self._workers.shutdown(wait=True)
