"""Choice of the sidecars that an entry connects to."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from ..membership.directory import rank_by_hash

#: Sidecars that an entry connects to for each version and each service.
PEERS_PER_OFFER: Final = 3


def choose_peers(
    entry: str,
    sidecars: Sequence[str],
    groups: Mapping[str, Iterable[str]],
    limit: int,
) -> set[str]:
    """Return all sidecars, or a subset that serves every version and service.

    Groups are sidecars by version or service. The first `limit` sidecars by
    rendezvous hashing spread the entries evenly over the sidecars. They
    already serve the common versions; for rare ones more sidecars are added.
    """
    if len(sidecars) <= limit:
        return set(sidecars)
    chosen = set(rank_by_hash(entry, sidecars)[:limit])
    for group in groups.values():
        chosen.update(rank_by_hash(entry, group)[:PEERS_PER_OFFER])
    return chosen
