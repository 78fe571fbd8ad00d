"""Batches the log calls of a zone's entries in a sidecar."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final

from loguru import logger

from ..interfaces.log import Log
from ..protocol import peer_pb2
from .appender import Appender
from .codec import is_record, merge_records
from .tailcache import Reply, TailCache

#: Most streams of one collector, which caches the newest records of each.
MAX_STREAMS: Final = 16


class Collector:
    """Merges appends and shares reads of the streams that entries use.

    Any sidecar can be a collector. It keeps no durable state: an entry repeats
    a lost call through another collector or directly at the log.
    """

    def __init__(
        self,
        log: Log,
        spawn: Callable[[Callable[[], None]], None],
        pause_seconds: float,
    ) -> None:
        """Create a collector; spawn runs a task in the background.

        The pause in seconds is the shortest time between two appends to one
        stream.
        """
        self._log = log
        self._spawn = spawn
        self._pause = pause_seconds
        self._lock = threading.Lock()
        self._streams: dict[str, tuple[Appender, TailCache]] = {}

    def handle_call(self, call: peer_pb2.LogCall, reply: Reply) -> None:
        """Append or read; the reply may come from another thread."""
        stream_tasks = self._find_or_open(call.stream)
        if stream_tasks is None:
            _reply_error(
                call,
                reply,
                f'stream "{call.stream}" is over the limit of streams',
            )
            return
        appender, tail_cache = stream_tasks
        if is_record(call.body):
            # Timeout 0: a failed append is reported at once and not repeated
            # here, so the entry can call another collector or the log.
            future = appender.put(call.body, 0)
            future.add_done_callback(_make_callback(call, reply))
        elif call.body:
            _reply_error(call, reply, 'the body is not a valid record')
        else:
            tail_cache.submit(call, reply)

    def close(self) -> None:
        """Stop after the records already accepted."""
        with self._lock:
            stream_tasks = list(self._streams.values())
        for appender, tail_cache in stream_tasks:
            appender.stop()
            tail_cache.stop()

    def _find_or_open(self, stream: str) -> tuple[Appender, TailCache] | None:
        with self._lock:
            stream_tasks = self._streams.get(stream)
            if stream_tasks is None and len(self._streams) < MAX_STREAMS:
                stream_tasks = self._open_stream(stream)
            return stream_tasks

    def _open_stream(self, stream: str) -> tuple[Appender, TailCache]:
        appender = Appender(
            self._log,
            stream,
            0,
            pause_seconds=self._pause,
            encode=merge_records,
        )
        tail_cache = TailCache(self._log, stream)
        self._streams[stream] = (appender, tail_cache)
        for task in (
            appender.run,
            tail_cache.serve_long_polls,
            tail_cache.serve_end_reads,
        ):
            self._spawn(task)
        logger.info('collecting log calls for stream "{}"', stream)
        return appender, tail_cache


def _reply_error(call: peer_pb2.LogCall, reply: Reply, text: str) -> None:
    reply(peer_pb2.LogAnswer(number=call.number, error=text))


def _make_callback(
    call: peer_pb2.LogCall,
    reply: Reply,
) -> Callable[['Future[int]'], None]:
    def answer(future: 'Future[int]') -> None:
        error = future.exception()
        if error is not None:
            _reply_error(call, reply, str(error))
            return
        reply(peer_pb2.LogAnswer(number=call.number, offset=future.result()))

    return answer
