"""Which sidecars an entry keeps a stream to."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from ..membership.directory import rank_by_hash

#: Sidecars that an entry knows for each version and each service.
PEERS_PER_OFFER: Final = 3


def choose_peers(
    entry: str,
    sidecars: Sequence[str],
    groups: Mapping[str, Iterable[str]],
    most: int,
) -> set[str]:
    """Return all sidecars, or a subset that serves everything.

    Groups are sidecars by version or service. The first `most` in rendezvous
    order spread the entries evenly over the sidecars. They hold the common
    versions already; only for rare ones more sidecars are added.
    """
    if len(sidecars) <= most:
        return set(sidecars)
    chosen = set(rank_by_hash(entry, sidecars)[:most])
    for names in groups.values():
        chosen.update(rank_by_hash(entry, names)[:PEERS_PER_OFFER])
    return chosen
