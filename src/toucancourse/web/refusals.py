"""Answers, log lines and metrics of requests that are refused unread."""

import time
from collections import Counter as Counts
from http import HTTPStatus
from typing import Any, Final

from loguru import logger
from prometheus_client import Counter, Gauge
from waitress.utilities import Error

from ..errors import CourseError
from .messages import make_error_response

#: Time between two log lines, so that a crowd can't flood the log.
LOG_SECONDS: Final = 1.0

REFUSED: Final = Counter(
    'toucancourse_intake_refusals',
    'Connections refused or closed before a whole request was served',
    ('why',),
)
HELD: Final = Gauge(
    'toucancourse_intake_held_bytes',
    'Memory that requests hold until they are answered, by address',
    ('address',),
)


class Refusal(Error):
    """A refusal in the form in which waitress answers errors."""

    def __init__(self, error: CourseError) -> None:
        """Create it for an error."""
        super().__init__(error.text)
        self.error = error

    def to_response(self, ident: str | None = None) -> tuple[str, Any, Any]:
        """Return status line, headers and body."""
        response = make_error_response(self.error)
        headers = [
            ('Content-Type', response.content_type),
            ('Connection', 'close'),
            *response.headers,
        ]
        status = HTTPStatus(response.status)
        return f'{status.value} {status.phrase}', headers, response.body


class RefusalLog:
    """Counts refusals and writes at most a line in LOG_SECONDS."""

    def __init__(self) -> None:
        """Create it with nothing counted."""
        self._counts: Counts[str] = Counts()
        self._written_at = 0.0

    def add(self, why: str) -> None:
        """Count a refusal."""
        REFUSED.labels(why).inc()
        self._counts[why] += 1
        self.write()

    def write(self) -> None:
        """Write a line for what was counted if it is time."""
        now = time.monotonic()
        if not self._counts or now - self._written_at < LOG_SECONDS:
            return
        self._written_at = now
        for why, count in self._counts.items():
            logger.warning('requests refused unread', why=why, count=count)
        self._counts.clear()
