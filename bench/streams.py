"""A load of many concurrent streamed requests from one thread."""

import json
import selectors
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

READ_BYTES = 262144
#: Time between two starts, and the longest wait for their first tokens.
SPACING_SECONDS = 0.005
RAMP_SECONDS = 30.0
EVENT = b'data: {'


class Result(NamedTuple):
    """What a run of streams saw."""

    tokens: int
    seconds: float
    #: Seconds from request to first token, sorted.
    first: list[float]
    #: Seconds between reads that brought a token, sorted.
    gaps: list[float]
    #: Streams that ended whole.
    whole: int


def percentile(ordered: list[float], share: float) -> float:
    """Return a percentile of sorted numbers."""
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Wire:
    """One request on one connection."""

    def __init__(self, address: str, request: bytes) -> None:
        """Connect and send the request."""
        host, _, port = address.rpartition(':')
        self.socket = socket.create_connection((host, int(port)), 10)
        self.socket.sendall(request)
        self.address = address
        self.request = request
        self.socket.setblocking(False)
        self.sent = time.monotonic()
        self.last = 0.0
        self.tail = b''


def make_request(key: str, tokens: int, **body: Any) -> bytes:
    """Return the bytes of a streamed chat request."""
    payload = json.dumps(
        {
            'model': 'small@1',
            'messages': [{'role': 'user', 'content': 'Which wire gauge?'}],
            'stream': True,
            'max_tokens': tokens,
            'metadata': {'tokens': str(tokens)},
            **body,
        }
    ).encode()
    return (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
        b'Authorization: Bearer %b\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\nConnection: close\r\n\r\n%b'
        % (key.encode(), len(payload), payload)
    )


def run_streams(
    addresses: list[str],
    request: bytes,
    streams: int,
    seconds: float,
    on_start: Callable[[], None] = lambda: None,
) -> Result:
    """Hold some streams open for some seconds, starting a new one at each end.

    Measuring begins a second after all have their first token.
    """
    selector = selectors.DefaultSelector()
    for number in range(streams):
        _open(selector, addresses[number % len(addresses)], request)
        _drain(selector, time.monotonic() + SPACING_SECONDS, None)
    limit = time.monotonic() + RAMP_SECONDS
    while time.monotonic() < limit and not _have_begun(selector):
        _drain(selector, time.monotonic() + 0.2, None)
    _drain(selector, time.monotonic() + 1.0, None)
    meter = Meter()
    on_start()
    began = time.monotonic()
    _drain(selector, began + seconds, meter)
    measured = time.monotonic() - began
    for key in list(selector.get_map().values()):
        key.data.socket.close()
    return Result(
        meter.tokens,
        measured,
        sorted(meter.first),
        sorted(meter.gaps),
        meter.whole,
    )


def _have_begun(selector: selectors.BaseSelector) -> bool:
    keys = list(selector.get_map().values())
    late = sum(not key.data.last for key in keys)
    return late <= len(keys) // 20


class Meter:
    """Counts of the measured part of a run."""

    def __init__(self) -> None:
        """Start at zero."""
        self.tokens = 0
        self.whole = 0
        self.first: list[float] = []
        self.gaps: list[float] = []


def _open(
    selector: selectors.BaseSelector,
    address: str,
    request: bytes,
) -> None:
    wire = Wire(address, request)
    selector.register(wire.socket, selectors.EVENT_READ, wire)


def _drain(
    selector: selectors.BaseSelector,
    until: float,
    meter: Meter | None,
) -> None:
    while True:
        left = until - time.monotonic()
        if left <= 0:
            return
        for key, _ in selector.select(min(left, 0.05)):
            _read(selector, key.data, meter)


def _read(
    selector: selectors.BaseSelector,
    wire: Wire,
    meter: Meter | None,
) -> None:
    try:
        data = wire.socket.recv(READ_BYTES)
    except BlockingIOError:
        return
    except OSError:
        data = b''
    now = time.monotonic()
    if not data:
        selector.unregister(wire.socket)
        wire.socket.close()
        if meter is not None:
            meter.whole += b'[DONE]' in wire.tail
        _open(selector, wire.address, wire.request)
        return
    wire.tail = (wire.tail + data)[-200:]
    tokens = data.count(EVENT)
    if not tokens:
        return
    if meter is not None:
        meter.tokens += tokens
        if wire.last:
            meter.gaps.append(now - wire.last)
        else:
            meter.first.append(now - wire.sent)
    wire.last = now
