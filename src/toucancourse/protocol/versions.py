"""Versions of the protocol between entries and sidecars."""

from typing import Final

#: Highest version that this program supports.
PROTOCOL_VERSION: Final = 2
#: First version whose sidecars forward calls to the log.
MIN_COLLECTOR_VERSION: Final = 2
