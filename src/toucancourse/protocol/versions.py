"""Versions of the protocol between entries and sidecars."""

from typing import Final

#: Highest version that this program speaks.
PROTOCOL_VERSION: Final = 2
#: First version whose sidecars collect calls to the log.
COLLECTING_VERSION: Final = 2
