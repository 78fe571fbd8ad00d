"""Computes how entries and sidecars are connected at the target size.

Run as `python -m bench.subset`. No process is started: sidecars are chosen for
each entry by `routing/subset.py`, and the log readers of each zone by
rendezvous hashing over its instances.
"""

import random
import statistics
import sys
from typing import NamedTuple

from toucancourse.membership.directory import rank_by_hash
from toucancourse.routing.subset import choose_peers

ENTRY_COUNT = 450
SIDECAR_COUNT = 2800
ZONE_COUNT = 14
VERSION_COUNT = 12
#: Services without a model, and the endpoints of each.
SERVICE_COUNT = 4
ENDPOINTS_PER_SERVICE = 8
#: Daemons of each zone that read the log.
READERS_PER_ZONE = 2
#: Numbers of sidecars that an entry connects to before those for rare offers.
SUBSET_SIZES = (16, 24, 32, 48, 64)
PERCENT = 100


class Graph(NamedTuple):
    """The connections that result from one subset size."""

    subset: int
    #: Mean number of sidecars of an entry.
    peers: float
    #: Bounds on the number of entries that connect to one endpoint.
    most_entries: int
    least_entries: int
    #: Entries of a model endpoint: standard deviation divided by the mean.
    spread: float
    #: Entries whose subset lacks a version or service before sidecars are added
    #: for it.
    missing_percent: float
    #: Hops from the log readers until a record has reached every daemon.
    hops: int


def measure(subset: int) -> Graph:
    """Return the connections that result from one subset size."""
    sidecars = tuple(f'm{number}' for number in range(SIDECAR_COUNT))
    groups = _make_groups(sidecars)
    sidecars_of: dict[str, set[str]] = {}
    missing = 0
    for number in range(ENTRY_COUNT):
        entry = f'e{number}'
        sidecars_of[entry] = choose_peers(entry, sidecars, groups, subset)
        ranked = set(rank_by_hash(entry, sidecars)[:subset])
        missing += any(ranked.isdisjoint(names) for names in groups.values())
    entries_of: dict[str, set[str]] = {name: set() for name in sidecars}
    for entry, names in sidecars_of.items():
        for name in names:
            entries_of[name].add(entry)
    entry_counts = [len(connected) for connected in entries_of.values()]
    model_entry_counts = entry_counts[SERVICE_COUNT * ENDPOINTS_PER_SERVICE :]
    return Graph(
        subset,
        statistics.fmean(len(names) for names in sidecars_of.values()),
        max(entry_counts),
        min(entry_counts),
        statistics.pstdev(model_entry_counts)
        / statistics.fmean(model_entry_counts),
        missing * PERCENT / ENTRY_COUNT,
        _count_hops({**sidecars_of, **entries_of}),
    )


def _make_groups(sidecars: tuple[str, ...]) -> dict[str, list[str]]:
    """Return the sidecars of each service and each model version.

    Services have the first endpoints, versions the others. On average, each
    version has three quarters of the endpoints of the one before it.
    """
    groups: dict[str, list[str]] = {}
    for number in range(SERVICE_COUNT):
        first = number * ENDPOINTS_PER_SERVICE
        names = sidecars[first : first + ENDPOINTS_PER_SERVICE]
        groups[f'service-{number}'] = list(names)
    rng = random.Random(1)
    weights = [0.75**number for number in range(VERSION_COUNT)]
    for name in sidecars[SERVICE_COUNT * ENDPOINTS_PER_SERVICE :]:
        [version] = rng.choices(range(VERSION_COUNT), weights)
        groups.setdefault(f'version-{version}', []).append(name)
    return groups


def _count_hops(peers: dict[str, set[str]]) -> int:
    """Return the largest distance from a log reader over peer streams."""
    zones: dict[int, list[str]] = {}
    for index, name in enumerate(peers):
        zones.setdefault(index % ZONE_COUNT, []).append(name)
    reached = {
        name
        for zone, names in zones.items()
        for name in rank_by_hash(f'zone-{zone}', names)[:READERS_PER_ZONE]
    }
    frontier = reached
    hops = 0
    while frontier:
        frontier = {peer for name in frontier for peer in peers[name]} - reached
        reached |= frontier
        hops += bool(frontier)
    # Daemons that are not reached read the log themselves.
    return hops


def main() -> None:
    """Print the figures of each subset size."""
    for subset in SUBSET_SIZES:
        sys.stdout.write(f'{measure(subset)}\n')


if __name__ == '__main__':
    main()
