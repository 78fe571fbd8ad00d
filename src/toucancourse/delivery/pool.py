"""The entry's pool of links to sidecars."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from ..contract.state import State
from ..interfaces.instances import Instance
from ..membership.directory import InstanceDirectory, rank_by_hash
from ..routing.endpoints import EndpointView, Outliers
from ..routing.offers import OfferState
from ..routing.subset import choose_peers
from ..streams.follower import Follower
from .links import Link

MAX_LINK_THREADS: Final = 4000
#: Sidecars in each zone that forward log calls of the zone's entries.
COLLECTORS_PER_ZONE: Final = 2


class Pool:
    """Links to a subset of the listed sidecars, at most max_peers.

    The collectors of the entry's zone always have a link.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        make_link: Callable[[Instance], Link],
        name: str,
        zone: str,
        max_peers: int,
        offers: Follower[OfferState],
    ) -> None:
        """Create an empty pool; update() opens and closes links."""
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
        """Return all links, connected or not."""
        return list(self._links.values())

    def find(self, instance: str) -> Link | None:
        """Return the link to an instance, or None."""
        return self._links.get(instance)

    def collectors(self) -> list[Link]:
        """Return the links to the zone's collectors, in order of preference."""
        links = self._links
        return [links[name] for name in self._collectors if name in links]

    def find_serving(self, state: State, offer: str) -> dict[str, Link]:
        """Return usable links whose endpoint serves a version or service."""
        return {
            name: link
            for name, link in list(self._links.items())
            if link.is_usable()
            and offer in link.load.offers
            and not state.is_out_of_service(link.sidecar.zone, name)
        }

    def offers(self) -> set[str]:
        """Return the versions and services that usable links offer."""
        return {
            offer
            for link in self.links()
            if link.is_usable()
            for offer in link.load.offers
        }

    def make_views(self, links: dict[str, Link]) -> list[EndpointView]:
        """Return the load and health of links, as input for balancing."""
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

        An unlisted sidecar that is still connected is kept, since the list
        may be out of date. The link to one that is listed but no longer in
        the subset is closed once it is idle.
        """
        listed = {
            sidecar.name: sidecar for sidecar in self._directory.sidecars()
        }
        self._collectors = self._choose_collectors()
        chosen = self._choose_sidecars(tuple(listed))
        with self._lock:
            for name in chosen:
                current = self._links.get(name)
                if current is not None and current.instance != listed[name]:
                    if current.instance.address == listed[name].address:
                        continue
                    current.stop()
                    current = None
                if current is None:
                    link = self._make_link(listed[name])
                    self._links[name] = link
                    self._workers.submit(link.run)
            for name, link in list(self._links.items()):
                unlisted = name not in listed and not link.connected
                excess = name in listed and name not in chosen
                if (unlisted or excess) and not link.in_flight():
                    link.stop()
                    del self._links[name]

    def needs_offers(self) -> bool:
        """Return True if offers are needed to choose a subset of sidecars.

        That is when more sidecars are listed than an entry connects to.
        """
        return len(self._directory.sidecars()) > self._max_peers

    def _choose_sidecars(self, listed: tuple[str, ...]) -> set[str]:
        with self._offers.lock:
            groups = self._offers.state.group_by_offer(listed)
        chosen = choose_peers(self._name, listed, groups, self._max_peers)
        return chosen | set(self._collectors)

    def _choose_collectors(self) -> tuple[str, ...]:
        """Return the zone's collectors, in this entry's own rendezvous order.

        The order differs by entry, so entries spread over the collectors.
        """
        names = [
            sidecar.name
            for sidecar in self._directory.sidecars()
            if sidecar.zone == self._zone and not sidecar.leaving
        ]
        chosen = rank_by_hash(f'collector {self._zone}', names)[
            :COLLECTORS_PER_ZONE
        ]
        return tuple(rank_by_hash(self._name, chosen))

    def check_links(self) -> None:
        """Check that each sidecar still sends heartbeats."""
        for link in self.links():
            link.check_liveness()

    def push_status(self) -> None:
        """Send a status to every connected sidecar now."""
        for link in self.links():
            if link.connected:
                link.push_status()

    def close(self) -> None:
        """Stop all links and wait for their threads."""
        for link in self.links():
            link.stop()
        self._workers.shutdown(wait=True)
