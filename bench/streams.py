"""Sends many concurrent streamed requests from one thread."""

import json
import selectors
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

READ_BYTES = 262144
#: Delay between the starts of two streams.
START_INTERVAL_SECONDS = 0.005
#: Longest wait for the first tokens before the measurement starts.
RAMP_UP_TIMEOUT_SECONDS = 30.0
#: Start of an event that carries one token.
TOKEN_EVENT = b'data: {'


class StreamStats(NamedTuple):
    """What was measured over all streams of a run."""

    tokens: int
    #: Duration of the measurement.
    seconds: float
    #: Seconds from request to first token, sorted.
    first_token_seconds: list[float]
    #: Seconds between reads that brought a token, sorted.
    gap_seconds: list[float]
    #: Streams that ended with their last event.
    completed: int


def percentile(sorted_values: list[float], fraction: float) -> float:
    """Return the value at a fraction in [0, 1] of sorted numbers, or NaN."""
    if not sorted_values:
        return float('nan')
    return sorted_values[
        min(len(sorted_values) - 1, int(len(sorted_values) * fraction))
    ]


class StreamConnection:
    """A connection with one streamed request."""

    def __init__(self, address: str, request: bytes) -> None:
        """Connect and send the request."""
        host, _, port = address.rpartition(':')
        self.socket = socket.create_connection((host, int(port)), 10)
        self.socket.sendall(request)
        self.address = address
        self.request = request
        self.socket.setblocking(False)
        self.sent_at = time.monotonic()
        #: 0 until the first token arrived.
        self.last_token_at = 0.0
        #: Last bytes of the response.
        self.tail = b''


def make_request(key: str, tokens: int, **body: Any) -> bytes:
    """Return the bytes of an HTTP request for a streamed completion."""
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
) -> StreamStats:
    """Keep a number of streams open and measure them for some seconds.

    A stream that ends is replaced by a new one. The measurement starts a second
    after at least 95 % of the streams have their first token, and calls
    `on_start`.
    """
    selector = selectors.DefaultSelector()
    for number in range(streams):
        _open_stream(selector, addresses[number % len(addresses)], request)
        _read_until(selector, time.monotonic() + START_INTERVAL_SECONDS, None)
    deadline = time.monotonic() + RAMP_UP_TIMEOUT_SECONDS
    while time.monotonic() < deadline and not _have_started(selector):
        _read_until(selector, time.monotonic() + 0.2, None)
    _read_until(selector, time.monotonic() + 1.0, None)
    counters = StreamCounters()
    on_start()
    started_at = time.monotonic()
    _read_until(selector, started_at + seconds, counters)
    elapsed = time.monotonic() - started_at
    for key in list(selector.get_map().values()):
        key.data.socket.close()
    return StreamStats(
        counters.tokens,
        elapsed,
        sorted(counters.first_token_seconds),
        sorted(counters.gap_seconds),
        counters.completed,
    )


def _have_started(selector: selectors.BaseSelector) -> bool:
    keys = list(selector.get_map().values())
    not_started = sum(not key.data.last_token_at for key in keys)
    return not_started <= len(keys) // 20


class StreamCounters:
    """What was counted since the start of the measurement."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.tokens = 0
        self.completed = 0
        self.first_token_seconds: list[float] = []
        self.gap_seconds: list[float] = []


def _open_stream(
    selector: selectors.BaseSelector,
    address: str,
    request: bytes,
) -> None:
    connection = StreamConnection(address, request)
    selector.register(connection.socket, selectors.EVENT_READ, connection)


def _read_until(
    selector: selectors.BaseSelector,
    end: float,
    counters: StreamCounters | None,
) -> None:
    while True:
        remaining = end - time.monotonic()
        if remaining <= 0:
            return
        for key, _ in selector.select(min(remaining, 0.05)):
            _read_available(selector, key.data, counters)


def _read_available(
    selector: selectors.BaseSelector,
    connection: StreamConnection,
    counters: StreamCounters | None,
) -> None:
    try:
        data = connection.socket.recv(READ_BYTES)
    except BlockingIOError:
        return
    except OSError:
        data = b''
    now = time.monotonic()
    if not data:
        selector.unregister(connection.socket)
        connection.socket.close()
        if counters is not None:
            counters.completed += b'[DONE]' in connection.tail
        _open_stream(selector, connection.address, connection.request)
        return
    connection.tail = (connection.tail + data)[-200:]
    tokens = data.count(TOKEN_EVENT)
    if not tokens:
        return
    if counters is not None:
        counters.tokens += tokens
        if connection.last_token_at:
            counters.gap_seconds.append(now - connection.last_token_at)
        else:
            counters.first_token_seconds.append(now - connection.sent_at)
    connection.last_token_at = now
