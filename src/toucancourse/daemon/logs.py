"""Structured logs of the daemons."""

import json
import logging
import sys
import threading
from collections import deque
from typing import TYPE_CHECKING, Final

from loguru import logger

from ..settings.files import Settings

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT: Final = '{time:HH:mm:ss.SSS} {level:<7} {message} {extra}'

#: Capacity of the queue of lines; further lines are dropped and counted.
MAX_QUEUED_LINES: Final = 5000
#: Interval between writes, so that each batches many lines.
FLUSH_INTERVAL_SECONDS: Final = 0.1


class LineWriter:
    """Writes log lines to standard output from a background thread.

    Threads that log are never blocked by a slow output.
    """

    def __init__(self) -> None:
        """Start the thread that writes."""
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='logs', daemon=True
        )
        self._thread.start()

    def add(self, message: 'Message') -> None:
        """Queue one line, or count it as dropped if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(_make_line(message))

    def close(self) -> None:
        """Stop the thread and write all queued lines."""
        self._stopped.set()
        self._thread.join()
        self.flush()

    def flush(self) -> None:
        """Write all queued lines, and the number of dropped ones."""
        dropped, self._dropped = self._dropped, 0
        count = len(self._lines)
        lines = [self._lines.popleft() for _ in range(count)]
        if dropped:
            lines.append(f'{{"message": "lines dropped", "count": {dropped}}}')
        if lines:
            sys.stdout.write('\n'.join((*lines, '')))
            sys.stdout.flush()

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL_SECONDS):
            self.flush()


class _LibraryLogHandler(logging.Handler):
    """Forwards records of the standard logging module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's record as a warning."""
        trace = ''
        if record.exc_info:
            trace = self.format(record)
        logger.warning(
            'library message',
            library=record.name,
            why=record.getMessage(),
            trace=trace,
        )


def set_up_node_logs(instance: str, level: str) -> LineWriter:
    """Send logs to standard output as JSON lines.

    Returns the writer, which must be closed before the process exits.
    """
    writer = LineWriter()
    logger.remove()
    logger.add(writer.add, level=level, format='{message}', catch=False)
    logger.configure(extra={'instance': instance})
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryLogHandler()])
    return writer


def set_up_logs(settings: Settings) -> None:
    """Send logs to standard error as JSON lines or text."""
    level = settings.get_text('log', 'level')
    logger.remove()
    if settings.get_text('log', 'format') == 'text':
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
    else:
        logger.add(_write_json, level=level, format='{message}')
    logger.configure(
        extra={'instance': settings.get_text('daemon', 'instance')}
    )


def _write_json(message: 'Message') -> None:
    sys.stderr.write(f'{_make_line(message)}\n')


def _make_line(message: 'Message') -> str:
    record = message.record
    row = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        row['exception'] = repr(record['exception'].value)
    return json.dumps(row, default=str)
