"""Listens for callers before the modules that serve them are imported."""

import socket
from typing import Final

#: Connections of callers that may wait until they are accepted.
BACKLOG: Final = 1024


def listen_early(address: str) -> socket.socket | None:
    """Return a socket that listens at "host:port", or None if that fails.

    Connections wait in it. The server that follows reports a bad address.
    """
    host, _, port = address.rpartition(':')
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except OSError:
        return None
