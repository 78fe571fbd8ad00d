"""The settings file that the users' platform gives to an entry."""

from pathlib import Path
from typing import NamedTuple

#: Time within which a withdrawn key must be refused, in seconds.
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
memoryMb = 300
fileDescriptors = 4200
[bounds]
gracePeriodS = {grace}
revocationMs = 3000
[platform]
address = "{store}"
"""


class Boot(NamedTuple):
    """What differs between entries."""

    name: str
    host: str
    port: int
    ready: int
    #: Port for the other entries.
    peers: int
    #: "host:port" of the store.
    store: str
    grace: int


def write_boot_file(path: Path, boot: Boot) -> None:
    """Write an entry's settings file."""
    path.write_text(_TEXT.format(**boot._asdict()))
