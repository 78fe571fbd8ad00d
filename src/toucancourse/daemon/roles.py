"""Creates an entry or a sidecar; imported for these roles only."""

from ..protocol.transports import lengthen_grpc_waits
from ..settings.files import Settings
from .entry import Entry
from .sidecar import Sidecar


def build(settings: Settings) -> Entry | Sidecar:
    """Return a daemon of the role in the settings.

    Raises OSError or CertificateError.
    """
    lengthen_grpc_waits()
    if settings.role == 'entry':
        return Entry(settings)
    return Sidecar(settings)
