"""Crowds of clients that send much and finish nothing, and their targets."""

import contextlib
import ipaddress
import itertools
import os
import socket
import subprocess
import sys
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator
from http.client import HTTPException
from pathlib import Path
from typing import Final

from standins.boot import BootSettings, write_boot_file
from standins.calls import Response, call, find_port, wait_until
from standins.keyedstore import KeyedStore
from standins.nodes import Node
from standins.operator_config import HOST, KEY, make_operator_config
from standins.replica import Replica

#: Limits in the entry's settings; both are the bounds of the tests.
MEMORY_MB: Final = 128
DESCRIPTORS: Final = 200
KILOBYTES_PER_MB: Final = 1024
BYTES_PER_MB: Final = 1_048_576
#: The same at the interface that is the product's own: the setting, and the
#: bound of the growth.
OWN_MEMORY_BYTES: Final = 16_777_216
OWN_GROWTH_MB: Final = 64
#: Limits of an entry in calm.
SMALLEST_MEMORY_MB: Final = 160
ORDINARY_DESCRIPTORS: Final = 4200
#: Connections of the crowd.
CROWD: Final = 32
#: Connections of a crowd that needs no memory; the entry takes 100.
MANY: Final = 130
#: Largest legal body, and what is sent by those that stop at no limit.
BODY_BYTES: Final = 4_194_304
ENDLESS_BYTES: Final = 8 * BODY_BYTES
LARGE_CHUNK_BYTES: Final = 65_536
SMALL_CHUNK_BYTES: Final = 32
PIECE_BYTES: Final = 16_384
LAST_CHUNK: Final = b'0\r\n\r\n'
#: Headers of a few bytes that fill a head of 64 KiB.
HEADERS: Final = 9_000
#: Callers beside the largest legal request.
ORDINARY_CALLERS: Final = 200
#: Patience of a client whose bytes aren't read.
SEND_SECONDS: Final = 20.0
#: Patience of the ordinary caller.
ANSWER_SECONDS: Final = 60
START_SECONDS: Final = 10
#: Wait for the entry to read what the crowd sent; what it leaves unread counts.
READ_SECONDS: Final = 20
#: State of a listening socket in /proc/net/tcp.
LISTENING: Final = '0A'
#: Other runs on the machine use other addresses, as the metrics port is fixed.
NETWORK: Final = f'127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}'
_hosts = itertools.count(2)


class ProcessView:
    """Memory and descriptors of a process."""

    def __init__(self, process: 'subprocess.Popen[bytes] | None') -> None:
        """Look at a process that was started."""
        assert process is not None
        self._folder = Path(f'/proc/{process.pid}')

    def read_peak_mb(self) -> float:
        """Return the largest memory that the process ever had, in MB."""
        status = (self._folder / 'status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmHWM'))
        return int(line.split()[1]) / KILOBYTES_PER_MB

    def count_descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(list((self._folder / 'fd').iterdir()))


class CrowdTarget:
    """An address of a process that a crowd is set on."""

    def __init__(self, host: str, port: int, process: ProcessView) -> None:
        """Name the address and its process."""
        self.host = host
        self.port = port
        self.process = process

    def wait_listening(self) -> None:
        """Wait until the process listens at the address."""

        def is_listening() -> bool:
            with contextlib.suppress(ConnectionRefusedError), self.connect():
                return True
            return False

        wait_until(is_listening, START_SECONDS, 'listening')

    def connect(self) -> socket.socket:
        """Return a new connection of a caller."""
        return socket.create_connection((self.host, self.port), SEND_SECONDS)

    def count_unread_mb(self) -> float:
        """Return how much callers sent that the process hasn't read, in MB."""
        local = ipaddress.IPv4Address(self.host).packed[::-1].hex().upper()
        local = f'{local}:{self.port:04X}'
        rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
        fields = [row.split() for row in rows]
        return sum(
            int(queues.split(':')[1], 16) / BYTES_PER_MB
            for _, address, _, state, queues, *_ in fields
            if address == local and state != LISTENING
        )

    def wait_read(self) -> None:
        """Wait until the process has read what it reads."""
        with contextlib.suppress(TimeoutError):
            wait_until(
                lambda: not self.count_unread_mb(), READ_SECONDS, 'reads'
            )


class Entry:
    """An entry with little memory, its store and one endpoint."""

    def __init__(
        self,
        folder: Path,
        memory_mb: int = MEMORY_MB,
        descriptors: int = DESCRIPTORS,
    ) -> None:
        """Start them and wait for readiness."""
        self.store = KeyedStore()
        self.replica = Replica('i-1')
        self.store.put('keyed.op', 'config', make_operator_config())
        self.store.put('keyed.servers', 'i-1', self.replica.record())
        self.host = f'{NETWORK}.{next(_hosts)}'
        self.port, self.ready_port = find_port(), find_port()
        peer_port = find_port()
        boot = BootSettings(
            'entry-1',
            self.host,
            self.port,
            self.ready_port,
            peer_port,
            self.store.address,
            grace=6,
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
        path = folder / 'boot.toml'
        write_boot_file(path, boot)
        command = [sys.executable, '-m', 'toucancourse.daemon', str(path)]
        self.node = Node('entry-1', command, folder / 'entry.log')
        self.node.start()
        wait_until(self.is_ready, START_SECONDS, 'readiness')
        process = ProcessView(self.node.process)
        self.target = CrowdTarget(self.host, self.port, process)
        #: The port for connections of other entries.
        self.peer_target = CrowdTarget(self.host, peer_port, process)

    def is_ready(self) -> bool:
        """Return True if the readiness probe succeeds."""
        address = f'{self.host}:{self.ready_port}'
        try:
            return call(address, 'GET', '/readiness', timeout=2).status == 200
        except (OSError, HTTPException):
            return False

    def send_ordinary(self, path: str = '/look/x') -> Response:
        """Return the response to an ordinary request."""
        headers = {
            'Host': HOST,
            'X-Attempt-Id': os.urandom(8).hex(),
            'X-Key': KEY,
            'X-Deadline-Ms': str(ANSWER_SECONDS * 1000),
        }
        address = f'{self.host}:{self.port}'
        return call(address, 'POST', path, {}, headers, ANSWER_SECONDS)

    def close(self) -> None:
        """Stop the entry, the store and the endpoint."""
        self.node.kill()
        self.store.close()
        self.replica.close()


class Client(ABC):
    """Sends one request that never ends and keeps its connection."""

    #: Connections of a crowd of them.
    crowd = CROWD

    def __init__(self, target: CrowdTarget) -> None:
        """Connect; run() sends."""
        self.sock = target.connect()

    def run(self) -> None:
        """Send until the request's last byte, or the entry takes no more."""
        # A refusal, a closed connection or one that isn't read ends it.
        with contextlib.suppress(OSError):
            self.sock.sendall(self.make_head())
            for piece in self.make_pieces():
                self.sock.sendall(piece)

    def make_head(self) -> bytes:
        """Return the head."""
        lines = (
            'POST /look/x HTTP/1.1',
            f'Host: {HOST}',
            f'X-Attempt-Id: {os.urandom(8).hex()}',
            f'X-Key: {KEY}',
            f'X-Deadline-Ms: {ANSWER_SECONDS * 1000}',
            self.make_length_line(),
        )
        return '\r\n'.join((*lines, '', '')).encode()

    @abstractmethod
    def make_length_line(self) -> str:
        """Return the header that tells the body's length."""

    @abstractmethod
    def make_pieces(self) -> Iterator[bytes]:
        """Yield what is sent of the body."""


class ChunkedClient(Client):
    """Sends a body in chunks and leaves out the last."""

    chunk_bytes = LARGE_CHUNK_BYTES
    #: Bytes of the body with its framing.
    most_bytes = BODY_BYTES

    def make_length_line(self) -> str:
        """Return the header of a chunked body."""
        return 'Transfer-Encoding: chunked'

    def make_pieces(self) -> Iterator[bytes]:
        """Yield some chunks at once, which the loop of small ones needs."""
        size = self.chunk_bytes
        chunk = b'%x\r\n%b\r\n' % (size, b'b' * size)
        count = (self.most_bytes - 1) // len(chunk)
        at_once = max(1, LARGE_CHUNK_BYTES // len(chunk))
        for start in range(0, count, at_once):
            yield chunk * min(at_once, count - start)


class SmallChunksClient(ChunkedClient):
    """The same in very small chunks."""

    chunk_bytes = SMALL_CHUNK_BYTES


class EndlessClient(ChunkedClient):
    """Sends chunks far beyond the limit."""

    most_bytes = ENDLESS_BYTES


class WholeClient(Client):
    """Sends a legal body but for its last byte."""

    announced_bytes = BODY_BYTES

    def make_length_line(self) -> str:
        """Return the header of the announced length."""
        return f'Content-Length: {self.announced_bytes}'

    def make_pieces(self) -> Iterator[bytes]:
        """Yield all but the last byte at once."""
        yield b'b' * (self.announced_bytes - 1)


class CompleteClient(WholeClient):
    """Sends a legal body with its last byte."""

    def make_pieces(self) -> Iterator[bytes]:
        """Yield the body at once."""
        yield b'b' * self.announced_bytes


class PiecesClient(WholeClient):
    """The same piece by piece."""

    def make_pieces(self) -> Iterator[bytes]:
        """Yield pieces of all but the last byte."""
        left = self.announced_bytes - 1
        while left:
            size = min(left, PIECE_BYTES)
            yield b'b' * size
            left -= size


class AnnouncedClient(PiecesClient):
    """Announces a body far over the limit and sends it."""

    announced_bytes = ENDLESS_BYTES


class ManyHeadersClient(Client):
    """Sends as many headers as its head may hold, and no body."""

    crowd = 2 * CROWD

    def make_length_line(self) -> str:
        """Return all the headers, and that of a chunked body."""
        lines = [f'{number:x}:' for number in range(HEADERS)]
        return '\r\n'.join((*lines, 'Transfer-Encoding: chunked'))

    def make_pieces(self) -> Iterator[bytes]:
        """Yield the begin of a chunk."""
        yield b'1'


class HeadClient(Client):
    """Begins a head on more connections than the entry takes at once."""

    crowd = MANY

    def make_length_line(self) -> str:
        """Return a header of no meaning."""
        return 'X-Other: 1'

    def make_head(self) -> bytes:
        """Return a head without its end."""
        return super().make_head()[:-1]

    def make_pieces(self) -> Iterator[bytes]:
        """Yield nothing."""
        yield from ()


class SilentClient(HeadClient):
    """Connects and sends nothing."""

    def make_head(self) -> bytes:
        """Return nothing."""
        return b''


#: Every kind of body that the users named.
BODY_CLIENTS: Final = (
    ChunkedClient,
    SmallChunksClient,
    AnnouncedClient,
    EndlessClient,
    WholeClient,
    PiecesClient,
    CompleteClient,
)


@contextlib.contextmanager
def send_crowd(target: CrowdTarget, kind: type[Client]) -> Iterator[None]:
    """Let a crowd send at once; its connections stay open meanwhile."""
    clients = [kind(target) for _ in range(kind.crowd)]
    threads = [threading.Thread(target=client.run) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    yield
    for client in clients:
        client.sock.close()
