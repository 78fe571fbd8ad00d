"""Waitress channels whose requests share a bounded memory.

Serves callers that aren't trusted: what is unfinished is refused once it needs
the memory of others, and what follows a refusal is read and dropped.
"""

import socket
import time
from collections.abc import Callable
from typing import Any, Final

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver
from waitress.utilities import BadRequest

from ..errors import CourseError, CrowdedError, SlowRequestError
from .intake import Holding, Intake, IntakeLimits
from .refusals import HELD, Refusal, RefusalLog

#: Memory of a request besides its headers and body.
REQUEST_BYTES: Final = 2048
#: Memory of a parsed header besides its text.
HEADER_BYTES: Final = 200
#: Bytes of framing that count as one byte of a body.
FRAMING_FACTOR: Final = 8
#: Framing for each byte of a body above which its chunks are very small, and
#: bytes of such a body that are read at once, so that others have their turn.
MAX_FRAMING_SHARE: Final = 0.1
FRAGMENT_BYTES: Final = 1024
#: Longest line of a chunk's size, and longest trailer.
MAX_LINE_BYTES: Final = 8192
#: Bytes that are decoded at once.
DECODED_BYTES: Final = 512
#: Time in which the head of a request must arrive, unless it is configured.
HEAD_SECONDS: Final = 60.0
#: Time without a byte after which an unfinished body is given up.
BODY_SILENCE_SECONDS: Final = 60.0
#: Time for a client to read its refusal.
LINGER_SECONDS: Final = 1.0
#: Time in which a client that reads its answer has read some of it.
UNREAD_SECONDS: Final = 2.0
#: Bytes per second of a client that reads its answer.
MIN_READ_PACE: Final = 1024.0


class BoundedChunks(ChunkedReceiver):
    """Decodes chunks whose lines are bounded."""

    buf: Any

    def received(self, content: bytes) -> int:
        """Decode bytes; return how many were used."""
        if self.chunk_remainder > len(content):
            return int(super().received(content))
        body = self.buf
        chunks: list[bytes] = []
        self.buf = chunks
        try:
            return self._decode(content)
        finally:
            self.buf = body
            if chunks:
                body.append(b''.join(chunks))

    def _decode(self, content: bytes) -> int:
        """Decode small pieces, since waitress copies the rest at each chunk."""
        used = 0
        for start in range(0, len(content), DECODED_BYTES):
            piece = content[start : start + DECODED_BYTES]
            used += int(ChunkedReceiver.received(self, piece))
            line = max(len(self.control_line), len(self.trailer))
            if line > MAX_LINE_BYTES and not self.completed:
                self.error = BadRequest('a line of the chunks is too long')
            if self.completed or self.error:
                break
        return used


class BoundedParser(HTTPRequestParser):
    """A request that knows the memory that it holds."""

    #: Bytes that are kept for the whole request until it is closed.
    kept = 0
    #: Function that frees them.
    free: Callable[[int], None] | None = None
    _wire_bytes = 0

    @property
    def body_bytes_received(self) -> int:
        """Return the size of the body that waitress compares with its limit.

        The framing of chunks is no part of it, unless there is little else.
        """
        if not self.chunked:
            return self._wire_bytes
        content = len(self.body_rcv) if self.body_rcv else 0
        return max(content, self._wire_bytes // FRAMING_FACTOR)

    @body_bytes_received.setter
    def body_bytes_received(self, size: int) -> None:
        # Waitress adds what came to the size that it was told.
        self._wire_bytes += size - self.body_bytes_received

    def measure(self) -> int:
        """Return the memory that the request holds, in bytes."""
        size = REQUEST_BYTES + HEADER_BYTES * len(self.headers)
        if not self.headers_finished:
            return size + len(self.header_plus)
        return size + self.header_bytes_received + self.body_bytes_received

    def is_fragmented(self) -> bool:
        """Return True if chunks are so small that decoding them is dear."""
        content = self.body_bytes_received
        return self._wire_bytes - content > content * MAX_FRAMING_SHARE

    def received(self, content: bytes) -> int:
        """Parse bytes; return how many were used."""
        try:
            return int(super().received(content))
        except ValueError:
            # Waitress doesn't expect lengths of thousands of digits.
            self.error = BadRequest('the request can not be parsed')
            self.completed = True
            return len(content)

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the header."""
        super().parse_header(header_plus)
        if self.chunked and self.body_rcv is not None:
            self.body_rcv = BoundedChunks(self.body_rcv.getbuf())

    def refuse(self, error: CourseError) -> None:
        """Drop what was received and answer with an error."""
        self.error = Refusal(error)
        self.completed = True
        self.close()
        self.body_rcv = None
        self.header_plus = b''
        self.headers = {}

    def close(self) -> None:
        """Release the body."""
        super().close()
        self.release()

    def release(self) -> None:
        """Free its bytes; later calls by any thread do nothing."""
        # One step, unlike a look at the attribute before it is reset.
        free = self.__dict__.pop('free', None)
        if free is not None:
            free(self.kept)


class BoundedChannel(HTTPChannel):
    """A connection whose requests share the memory of their server."""

    parser_class: Any = BoundedParser
    server: Any
    request: Any
    requests: list[Any]
    requests_lock: Any
    socket: Any
    _flush_some: Any
    _flush_exception: Any
    #: True once the client has sent a byte.
    was_used = False
    #: True once what the client sends is dropped.
    is_refused = False
    #: time.monotonic() until which a refused client may read its answer, or 0.
    _lingers_until = 0.0
    #: What came behind as many requests as may wait.
    _unparsed = b''

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a channel for a connection that was just accepted."""
        super().__init__(*arguments, **options)
        self.holding = Holding(self._refuse_crowded)
        #: time.monotonic() of the last byte in or out.
        self.last_used = time.monotonic()
        #: True if the client takes its answer at less than MIN_READ_PACE.
        self.reads_slowly = False
        self._sent_bytes = 0
        self._marked_at = self.last_used
        self._marked_bytes = 0

    def received(self, content: bytes) -> bool:
        """Parse what came; return False if it is dropped."""
        if self.is_refused:
            return False
        with self.requests_lock:
            if self.will_close or self.close_when_flushed:
                return False
            victims = self._parse(self._unparsed + content)
        for victim in victims:
            victim.refuse()
        return True

    def recv(self, size: int) -> bytes:
        """Return what came, of very small chunks only some."""
        request = self.request
        if request is not None and request.chunked and request.is_fragmented():
            size = FRAGMENT_BYTES
        return bytes(super().recv(size))

    def handle_read(self) -> None:
        """Read, or drop what follows a refusal."""
        self.last_used = time.monotonic()
        self.was_used = True
        super().handle_read()

    def handle_write(self) -> None:
        """Send output that waits; let a refused client read its answer."""
        unsent = self.total_outbufs_len
        if self.is_refused and self.close_when_flushed and self.connected:
            self._flush_exception(self._flush_some)
            if not self.total_outbufs_len:
                self._linger()
        if not self._lingers_until:
            super().handle_write()
        elif self.will_close:
            self.handle_close()
        if self.total_outbufs_len < unsent:
            self.last_used = time.monotonic()

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send what the socket takes; return the number of bytes."""
        sent = int(super().send(data, do_close=do_close))
        self._sent_bytes += sent
        return sent

    def note_pace(self, now: float) -> None:
        """Note at a time of time.monotonic() how fast the client reads."""
        seconds = now - self._marked_at
        has_output = self.has_output()
        if has_output and seconds < UNREAD_SECONDS:
            return
        sent = self._sent_bytes - self._marked_bytes
        self.reads_slowly = has_output and sent < seconds * MIN_READ_PACE
        self._marked_at = now
        self._marked_bytes = self._sent_bytes

    def close_now(self) -> None:
        """Close the connection in the thread of all connections.

        One that is marked to be closed waits until its socket takes output.
        """
        self.handle_close()

    def handle_close(self) -> None:
        """Close the connection and forget requests that will not be served."""
        # Taken before the close: one that follows gets a thread, and ends.
        waiting = self.requests[1:]
        super().handle_close()
        for request in waiting:
            request.release()
        self.server.intake.end(self.holding)

    def readable(self) -> bool:
        """Return True if there may be input from a connected client."""
        if self._lingers_until:
            if time.monotonic() > self._lingers_until:
                self.will_close = True
            return bool(self.connected and not self.will_close)
        if self._unparsed:
            self._resume()
        return bool(
            self.connected and not self._unparsed and super().readable()
        )

    def writable(self) -> bool:
        """Return True if there is output, or the connection must be closed."""
        if not self.connected and not self.requests:
            self.will_close = True
        return bool(super().writable())

    def service(self) -> None:
        """Serve the first queued request."""
        super().service()
        self.last_used = time.monotonic()

    def cancel(self) -> None:
        """Give up all requests."""
        for request in tuple(self.requests):
            request.close()
        super().cancel()

    def has_requests(self) -> bool:
        """Return True while a request is received or served."""
        return bool(self.requests) or self.request is not None

    def has_output(self) -> bool:
        """Return True while the client has not read all output."""
        return bool(self.connected and self.total_outbufs_len > 0)

    def refuse(self, error: CourseError) -> None:
        """Refuse the unfinished request once those before it are served."""
        with self.requests_lock:
            request = self.request
            if request is None:
                return
            request.refuse(error)
            self._queue(request)
        self.server.intake.end(self.holding)
        self.server.refusals.add(error.code)

    def check_progress(self, now: float, head_seconds: float) -> None:
        """Refuse a request whose head or body doesn't arrive."""
        request = self.request
        if request is None or self.is_refused:
            return
        if now - self.last_used > BODY_SILENCE_SECONDS or (
            not request.headers_finished
            and now - self.holding.began > head_seconds
        ):
            self.refuse(SlowRequestError('the request did not arrive in time'))

    def _parse(self, content: bytes) -> list[Holding]:
        victims: list[Holding] = []
        requests = self.requests
        most = self.adj.channel_request_lookahead
        while content and len(requests) <= most and not self.is_refused:
            request = self.request
            if request is None:
                request = self.parser_class(self.adj)
                self.request = request
            content = content[request.received(content) :]
            if request.expect_continue and self._may_continue(request):
                self.send_continue()
            if request.completed:
                victims += self._complete(request)
        self._unparsed = b'' if self.is_refused else content
        # Telling a client to continue may have shown that it is gone.
        if self.request is not None and self.connected:
            victims += self.server.intake.receive(
                self.holding, self.request.measure(), self.last_used
            )
        return victims

    def _may_continue(self, request: Any) -> bool:
        """Return True if the client is to be told now to send the body."""
        # One without a body is whole, and would wait for more for ever.
        if request.completed or not request.headers_finished:
            return False
        return not self.requests and not self.sent_continue

    def _complete(self, request: Any) -> list[Holding]:
        """Queue a whole request, or refuse it for want of memory."""
        victims: list[Holding] = []
        intake = self.server.intake
        if self.holding.is_unfinished:
            intake.end(self.holding)
        self.sent_continue = False
        if request.empty:
            self.request = None
            return victims
        if not request.error:
            size = request.measure()
            if request.body_rcv is not None:
                size += request.body_bytes_received * (
                    self.server.body_copies - 1
                )
            size = intake.weigh(size)
            is_kept, victims = intake.keep(size, self.last_used)
            if is_kept:
                request.kept = size
                request.free = intake.free
            else:
                request.refuse(CrowdedError('too many requests are read'))
        if request.error:
            self.server.refusals.add(_find_code(request.error))
        self._queue(request)
        return victims

    def _queue(self, request: Any) -> None:
        self.request = None
        self.is_refused = bool(request.error)
        self.requests.append(request)
        if len(self.requests) == 1:
            self.server.add_task(self)

    def _refuse_crowded(self) -> None:
        self.refuse(CrowdedError('unfinished requests hold the memory'))

    def _resume(self) -> None:
        """Parse what came behind requests that are served by now."""
        if len(self.requests) > self.adj.channel_request_lookahead:
            return
        try:
            self.received(b'')
        except Exception:
            # Raised out of readable(), it would end the loop of all channels.
            self.handle_error()

    def _linger(self) -> None:
        """Close the sending side only: a reset could lose the answer."""
        self._lingers_until = time.monotonic() + LINGER_SECONDS
        self.close_when_flushed = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.will_close = True


class ChannelCare:
    """What all channels of a server share, and their regular checks."""

    def __init__(
        self,
        limits: IntakeLimits,
        address: str,
        count_waiting: Callable[[], int] = int,
    ) -> None:
        """Create it for the memory that the channels of an address share.

        count_waiting returns the number of requests that wait for a thread.
        """
        self.intake = Intake(limits)
        self._held = HELD.labels(address)
        self._count_waiting = count_waiting
        #: How many waited at the check before.
        self._waited = 0
        self.refusals = RefusalLog()
        #: Time in which the head of a request must arrive.
        self.head_seconds = HEAD_SECONDS

    def check(self, channels: tuple[Any, ...]) -> None:
        """End requests that don't arrive and answers that nobody reads."""
        now = time.monotonic()
        for channel in channels:
            channel.check_progress(now, self.head_seconds)
            channel.note_pace(now)
            if channel.will_close and channel.has_output():
                channel.close_now()
        self._free_memory(channels, now)
        self._free_threads(channels)
        self.refusals.write()
        self._held.set(self.intake.used)

    def _free_memory(self, channels: tuple[Any, ...], now: float) -> None:
        """Close those that read nothing if their answers need the memory."""
        unread = {
            channel: channel.total_outbufs_len
            for channel in channels
            if channel.has_output()
        }
        excess = self.intake.note_unread(sum(unread.values()))
        for channel in sorted(unread, key=unread.__getitem__, reverse=True):
            if excess <= 0:
                break
            # One that is served goes on: its caller may yet read.
            is_stalled = now - channel.last_used > UNREAD_SECONDS
            if is_stalled and not channel.requests:
                excess -= unread[channel]
                self._close(channel)

    def _free_threads(self, channels: tuple[Any, ...]) -> None:
        """Close those that hardly read while others wait for their threads.

        As many are closed as have waited since the check before.
        """
        waiting = self._count_waiting()
        needed = min(waiting, self._waited)
        self._waited = waiting
        if not needed:
            return
        slow = [
            channel
            for channel in channels
            if channel.reads_slowly and channel.requests
        ]
        slow.sort(key=lambda channel: channel.last_used)
        for channel in slow[:needed]:
            self._close(channel)

    def _close(self, channel: Any) -> None:
        self.refusals.add('unread_answer')
        channel.close_now()


def _find_code(error: Any) -> str:
    """Return a short reason of an error of waitress or a refusal."""
    if isinstance(error, Refusal):
        return error.error.code
    return str(error.code)
