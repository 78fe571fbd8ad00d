"""Entries that one sidecar hears from."""

from ..protocol import peer_pb2


class Roster:
    """Offsets and incarnations of the entries connected to a sidecar."""

    def __init__(self) -> None:
        """Start with none."""
        #: Instance -> configuration offset that it reached.
        self.offsets: dict[str, int] = {}
        self.incarnations: set[str] = set()

    def receive(self, rows: list[peer_pb2.EntryOffset]) -> None:
        """Take what the sidecar says of its entries."""
        for row in rows:
            if row.gone:
                self.incarnations.discard(row.incarnation)
                self.offsets.pop(row.instance, None)
            else:
                self.offsets[row.instance] = row.offset
                self.incarnations.add(row.incarnation)

    def clear(self) -> None:
        """Forget all entries; a new stream tells them anew."""
        self.offsets.clear()
        self.incarnations.clear()
