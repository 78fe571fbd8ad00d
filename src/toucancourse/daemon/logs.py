"""Structured logs of the daemons."""

import json
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from ..settings.files import Settings

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT: Final = '{time:HH:mm:ss.SSS} {level:<7} {message} {extra}'


def set_up_logs(settings: Settings) -> None:
    """Send logs to standard error as JSON lines or text."""
    level = settings.text('log', 'level')
    logger.remove()
    if settings.text('log', 'format') == 'text':
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
    else:
        logger.add(_write_json, level=level, format='{message}')
    logger.configure(extra={'instance': settings.text('daemon', 'instance')})


def _write_json(message: 'Message') -> None:
    record = message.record
    row = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        row['exception'] = repr(record['exception'].value)
    sys.stderr.write(f'{json.dumps(row, default=str)}\n')
