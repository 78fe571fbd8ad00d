"""Memory for the responses that are held at the same time."""

import threading
from typing import Final

from ..errors import EndpointError

#: Bytes that each response may hold however many others there are.
GUARANTEED_BYTES: Final = 65_536
#: Size at which a further piece is begun.
PIECE_BYTES: Final = 32_768
#: Largest response body that is held in memory; a faulty endpoint may send
#: bytes until its connection is closed.
MAX_BODY_BYTES: Final = 16_777_216
#: Memory of all responses unless a size is configured.
DEFAULT_BYTES: Final = 33_554_432


class PieceBuffer:
    """Bytes in pieces of bounded size.

    The allocator keeps the memory of large blocks that grow, for each thread.
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pieces: list[bytearray] = []
        self.size = 0

    def add(self, content: bytes) -> None:
        """Append bytes."""
        if not self._pieces or len(self._pieces[-1]) >= PIECE_BYTES:
            self._pieces.append(bytearray())
        self._pieces[-1] += content
        self.size += len(content)

    def find_last_byte(self) -> bytes:
        """Return the last byte, or b'' if there is none."""
        return bytes(self._pieces[-1][-1:]) if self._pieces else b''

    def pop_all(self) -> bytes:
        """Return all bytes and remove them."""
        content = b''.join(self._pieces)
        self._pieces.clear()
        self.size = 0
        return content


class ResponseBuffers:
    """Shares a number of bytes between responses.

    Each may hold as much as is still free, so that a few endless ones leave
    the same again to others; with more of them, each has less.
    """

    def __init__(self, capacity: int = DEFAULT_BYTES) -> None:
        """Create it with a capacity in bytes."""
        self._capacity = capacity
        self._lock = threading.Lock()
        self.used = 0

    def resize(self, held: int, size: int) -> None:
        """Let a response that holds some bytes hold another number of them.

        Raises EndpointError if it may not hold so many.
        """
        with self._lock:
            if size > held and size > self._find_limit():
                raise EndpointError(
                    f'the response is longer than {self._find_limit()} bytes'
                )
            self.used += size - held

    def _find_limit(self) -> int:
        free = self._capacity - self.used
        return min(MAX_BODY_BYTES, max(GUARANTEED_BYTES, free))
