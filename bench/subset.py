"""How the target size hangs together, worked out with the daemons' own rules.

Run as `python -m bench.subset`. No process is started: entries choose their
sidecars as `routing/subset.py` does, readers are those of the instance list.
"""

import random
import statistics
import sys
from typing import NamedTuple

from toucancourse.membership.directory import rank_by_hash
from toucancourse.routing.subset import choose_peers

ENTRIES = 450
REPLICAS = 2800
ZONES = 14
VERSIONS = 12
#: Plain services and the endpoints of each.
SERVICES = 4
SERVICE_ENDPOINTS = 8
READERS = 2
SUBSETS = (16, 24, 32, 48, 64)
PERCENT = 100


class Graph(NamedTuple):
    """What a subset of one size gives."""

    subset: int
    peers: float
    most_entries: int
    least_entries: int
    #: Standard deviation over the mean of a model endpoint's entries.
    spread: float
    #: Entries that reach not all versions and services, without the offers.
    missing_percent: float
    #: Messages until every daemon has a record that the readers have.
    hops: int


def measure(subset: int) -> Graph:
    """Return the figures of one size of subset."""
    sidecars = tuple(f'm{number}' for number in range(REPLICAS))
    groups = _make_groups(sidecars)
    links: dict[str, set[str]] = {}
    missing = 0
    for number in range(ENTRIES):
        entry = f'e{number}'
        links[entry] = choose_peers(entry, sidecars, groups, subset)
        plain = set(rank_by_hash(entry, sidecars)[:subset])
        missing += any(plain.isdisjoint(names) for names in groups.values())
    entries_of: dict[str, set[str]] = {name: set() for name in sidecars}
    for entry, names in links.items():
        for name in names:
            entries_of[name].add(entry)
    counts = [len(found) for found in entries_of.values()]
    models = counts[SERVICES * SERVICE_ENDPOINTS :]
    return Graph(
        subset,
        statistics.fmean(len(names) for names in links.values()),
        max(counts),
        min(counts),
        statistics.pstdev(models) / statistics.fmean(models),
        missing * PERCENT / ENTRIES,
        _count_hops({**links, **entries_of}),
    )


def _make_groups(sidecars: tuple[str, ...]) -> dict[str, list[str]]:
    """Return services on the first endpoints, versions on the others.

    Versions are used unequally: each next one has three quarters of the
    endpoints of the one before.
    """
    groups: dict[str, list[str]] = {}
    for number in range(SERVICES):
        first = number * SERVICE_ENDPOINTS
        names = sidecars[first : first + SERVICE_ENDPOINTS]
        groups[f'service-{number}'] = list(names)
    source = random.Random(1)
    weights = [0.75**number for number in range(VERSIONS)]
    for name in sidecars[SERVICES * SERVICE_ENDPOINTS :]:
        [version] = source.choices(range(VERSIONS), weights)
        groups.setdefault(f'version-{version}', []).append(name)
    return groups


def _count_hops(peers: dict[str, set[str]]) -> int:
    """Return the longest way from a reader over the peer streams."""
    zones: dict[int, list[str]] = {}
    for place, name in enumerate(peers):
        zones.setdefault(place % ZONES, []).append(name)
    reached = {
        name
        for zone, names in zones.items()
        for name in rank_by_hash(f'zone-{zone}', names)[:READERS]
    }
    front = reached
    hops = 0
    while front:
        front = {peer for name in front for peer in peers[name]} - reached
        reached |= front
        hops += bool(front)
    # Those that nobody reaches read for themselves.
    return hops


def main() -> None:
    """Print a table."""
    for subset in SUBSETS:
        sys.stdout.write(f'{measure(subset)}\n')


if __name__ == '__main__':
    main()
