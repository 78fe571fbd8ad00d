"""The daemons of the project's own interface."""

from ..protocol.transports import lengthen_grpc_waits
from ..settings.files import Settings
from .entry import Entry
from .sidecar import Sidecar


def build(settings: Settings) -> Entry | Sidecar:
    """Return the daemon that the settings name.

    Raises OSError or CertificateError.
    """
    lengthen_grpc_waits()
    if settings.role == 'entry':
        return Entry(settings)
    return Sidecar(settings)
