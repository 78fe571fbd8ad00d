"""Calls the log for the entries of a zone, many calls in one."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final

from loguru import logger

from ..interfaces.log import Log
from ..protocol import peer_pb2
from .appender import Appender
from .codec import is_record, merge_records
from .tail import Reply, Tail

#: Streams that one collector serves; it keeps the tail of each.
MAX_STREAMS: Final = 16


class Collector:
    """Gathers appends and shares reads of the streams that entries use.

    Any sidecar can be one. It holds nothing that lasts: a call that it loses
    is made again by its entry, through another one or without any.
    """

    def __init__(
        self,
        log: Log,
        spawn: Callable[[Callable[[], None]], None],
        pause_seconds: float,
    ) -> None:
        """Keep the parts; spawn runs a task in the background.

        The pause is the least time between two appends to one stream.
        """
        self._log = log
        self._spawn = spawn
        self._pause = pause_seconds
        self._lock = threading.Lock()
        self._streams: dict[str, tuple[Appender, Tail]] = {}

    def take(self, call: peer_pb2.LogCall, reply: Reply) -> None:
        """Make a call to the log; the reply comes from another thread."""
        found = self._find(call.stream)
        if found is None:
            _refuse(call, reply, f'stream "{call.stream}" is one too many')
            return
        appender, tail = found
        if is_record(call.body):
            # Failed at once if the log fails, so the entry can go elsewhere.
            future = appender.put(call.body, 0)
            future.add_done_callback(_make_callback(call, reply))
        elif call.body:
            _refuse(call, reply, 'the body is not a record of items')
        else:
            tail.ask(call, reply)

    def close(self) -> None:
        """Stop after the records already taken."""
        with self._lock:
            found = list(self._streams.values())
        for appender, tail in found:
            appender.stop()
            tail.stop()

    def _find(self, stream: str) -> tuple[Appender, Tail] | None:
        with self._lock:
            found = self._streams.get(stream)
            if found is None and len(self._streams) < MAX_STREAMS:
                found = self._open(stream)
            return found

    def _open(self, stream: str) -> tuple[Appender, Tail]:
        appender = Appender(
            self._log,
            stream,
            0,
            pause_seconds=self._pause,
            encode=merge_records,
        )
        tail = Tail(self._log, stream)
        self._streams[stream] = (appender, tail)
        for task in (appender.run, tail.poll, tail.sync):
            self._spawn(task)
        logger.info('collects stream "{}" of the log', stream)
        return appender, tail


def _refuse(call: peer_pb2.LogCall, reply: Reply, text: str) -> None:
    reply(peer_pb2.LogAnswer(number=call.number, error=text))


def _make_callback(
    call: peer_pb2.LogCall,
    reply: Reply,
) -> Callable[['Future[int]'], None]:
    def answer(future: 'Future[int]') -> None:
        error = future.exception()
        if error is not None:
            _refuse(call, reply, str(error))
            return
        reply(peer_pb2.LogAnswer(number=call.number, offset=future.result()))

    return answer
