"""The entries that are connected to one sidecar, as it reports them."""

from ..protocol import peer_pb2


class ConnectedEntries:
    """Offsets and incarnations of the entries connected to a sidecar."""

    def __init__(self) -> None:
        """Create an empty set of entries."""
        #: Instance name -> configuration offset that the entry reached.
        self.offsets: dict[str, int] = {}
        self.incarnations: set[str] = set()

    def receive(self, reports: list[peer_pb2.EntryOffset]) -> None:
        """Apply the sidecar's report of connected and disconnected entries."""
        for report in reports:
            if report.gone:
                self.incarnations.discard(report.incarnation)
                self.offsets.pop(report.instance, None)
            else:
                self.offsets[report.instance] = report.offset
                self.incarnations.add(report.incarnation)

    def clear(self) -> None:
        """Remove all entries; a new stream reports them again."""
        self.offsets.clear()
        self.incarnations.clear()
