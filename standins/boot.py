"""The boot settings file that the users' platform gives to an entry."""

from pathlib import Path
from typing import NamedTuple

#: Time within which entries must reject a withdrawn API key, in seconds.
#: The same as `revocationMs` in the file.
REVOCATION_SECONDS = 3.0
_TEXT = """
nodeName = "{name}"
zone = "zone-a"
ipAddress = "{host}"
internalPortRange = [{peers}, {peers}]
[listenAddresses]
frontend = "{host}:{port}"
ready = "{host}:{ready}"
[limits]
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
[bounds]
gracePeriodS = {grace}
revocationMs = 3000
[platform]
address = "{store}"
"""


class BootSettings(NamedTuple):
    """The settings that differ between entries."""

    name: str
    host: str
    #: Port for callers.
    port: int
    #: Port of the readiness probe.
    ready: int
    #: Port for connections of other entries.
    peers: int
    #: "host:port" of the platform's keyed store.
    store: str
    #: Time between the signal to stop and the forced end, in seconds.
    grace: int
    memory_mb: int = 300
    descriptors: int = 4200


def write_boot_file(path: Path, boot: BootSettings) -> None:
    """Write an entry's boot settings file in TOML."""
    path.write_text(_TEXT.format(**boot._asdict()))
