"""A client of HTTP/2 that leaves its messages unfinished."""

import contextlib
import socket
import struct
from collections import defaultdict
from typing import Final, NamedTuple

PREFACE: Final = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
DATA: Final = 0
HEADERS: Final = 1
SETTINGS: Final = 4
WINDOW_UPDATE: Final = 8
ACK: Final = 1
END_HEADERS: Final = 4
INITIAL_WINDOW_SIZE: Final = 4
DEFAULT_WINDOW_BYTES: Final = 65_535
FRAME_BYTES: Final = 16_384
FRAME_HEAD_BYTES: Final = 9
#: A message's length follows a byte that tells if it is compressed.
MESSAGE_HEAD: Final = '>BI'


class Frame(NamedTuple):
    """One frame as it was received."""

    kind: int
    flags: int
    stream: int
    content: bytes


class UnfinishedMessages:
    """Streams of one connection, each with a message without its last byte."""

    def __init__(self, sock: socket.socket, path: str) -> None:
        """Use a new connection for calls of a gRPC method's path."""
        self._sock = sock
        self._path = path
        self._received = b''
        self._initial_window = DEFAULT_WINDOW_BYTES
        #: Stream, or 0 for the connection -> bytes that were allowed and sent.
        self._allowed: defaultdict[int, int] = defaultdict(int)
        self._sent: defaultdict[int, int] = defaultdict(int)

    def send(self, streams: int, size: int, silence_seconds: float) -> None:
        """Send messages of some size on streams, as far as they are taken.

        Raises OSError if the connection ends, or TimeoutError if nothing is
        taken any more.
        """
        self._sock.settimeout(silence_seconds)
        self._sock.sendall(PREFACE)
        self._send_frame(SETTINGS, 0, 0, b'')
        self._receive()
        numbers = [2 * row + 1 for row in range(streams)]
        left = {}
        for number in numbers:
            self._send_frame(HEADERS, END_HEADERS, number, self._make_headers())
            head = struct.pack(MESSAGE_HEAD, 0, size)
            left[number] = size - 1
            self._send_data(number, head)
        while any(left.values()):
            for number in numbers:
                room = min(self._find_window(number), left[number], FRAME_BYTES)
                if room:
                    self._send_data(number, b'b' * room)
                    left[number] -= room
            if not any(self._find_window(n) for n in numbers if left[n]):
                self._receive()

    def _find_window(self, stream: int) -> int:
        whole = DEFAULT_WINDOW_BYTES + self._allowed[0] - self._sent[0]
        own = self._initial_window + self._allowed[stream] - self._sent[stream]
        return max(0, min(whole, own))

    def _send_data(self, stream: int, content: bytes) -> None:
        self._send_frame(DATA, 0, stream, content)
        self._sent[0] += len(content)
        self._sent[stream] += len(content)

    def _send_frame(
        self, kind: int, flags: int, stream: int, content: bytes
    ) -> None:
        length = len(content).to_bytes(3, 'big')
        head = length + bytes((kind, flags)) + stream.to_bytes(4, 'big')
        self._sock.sendall(head + content)

    def _receive(self) -> None:
        """Wait for a frame that allows more, or for the settings."""
        while True:
            frame = self._read_frame()
            if frame.kind == WINDOW_UPDATE:
                self._allowed[frame.stream] += int.from_bytes(
                    frame.content, 'big'
                )
                return
            if frame.kind == SETTINGS and not frame.flags & ACK:
                self._read_settings(frame.content)
                self._send_frame(SETTINGS, ACK, 0, b'')
                return

    def _read_settings(self, content: bytes) -> None:
        for name, setting in struct.iter_unpack('>HI', content):
            if name == INITIAL_WINDOW_SIZE:
                self._initial_window = setting

    def _read_frame(self) -> Frame:
        head = self._read(FRAME_HEAD_BYTES)
        content = self._read(int.from_bytes(head[:3], 'big'))
        return Frame(head[3], head[4], int.from_bytes(head[5:], 'big'), content)

    def _read(self, size: int) -> bytes:
        while len(self._received) < size:
            received = self._sock.recv(FRAME_BYTES)
            if not received:
                raise ConnectionResetError
            self._received += received
        content = self._received[:size]
        self._received = self._received[size:]
        return content

    def _make_headers(self) -> bytes:
        """Return the headers as literals that nobody has to remember."""
        headers = {
            ':method': 'POST',
            ':scheme': 'http',
            ':path': self._path,
            ':authority': 'peer',
            'content-type': 'application/grpc',
            'te': 'trailers',
        }
        return b''.join(
            b'\x00'
            + bytes((len(name),))
            + name.encode()
            + bytes((len(text),))
            + text.encode()
            for name, text in headers.items()
        )


def send_unfinished(
    sock: socket.socket, path: str, streams: int, size: int
) -> None:
    """Send unfinished messages until the server takes no more."""
    with contextlib.suppress(OSError):
        UnfinishedMessages(sock, path).send(streams, size, 2.0)
