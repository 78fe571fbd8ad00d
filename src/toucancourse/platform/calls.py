"""JSON calls over HTTP to the platform's services."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlsplit

from ..errors import CourseError, UnavailableError


class PlatformDownError(UnavailableError):
    """The service did not answer; the call may have taken effect."""

    code = 'platform_down'


class PlatformRefusedError(CourseError):
    """The service answered with an error status."""

    code = 'platform_refused'

    def __init__(self, text: str, http_status: int) -> None:
        """Keep the service's status."""
        super().__init__(text)
        self.http_status = http_status


def call_json(
    method: str,
    url: str,
    body: object = None,
    *,
    timeout: float,
) -> Any:
    """Return the decoded JSON answer of one HTTP call.

    Raises PlatformDownError if no whole answer came and
    PlatformRefusedError if its status is not 2xx.
    """
    parts = urlsplit(url)
    target = f'{parts.path}?{parts.query}' if parts.query else parts.path
    connection = HTTPConnection(
        parts.hostname or '', parts.port, timeout=timeout
    )
    payload = None if body is None else json.dumps(body).encode()
    headers = {'Content-Type': 'application/json'}
    try:
        connection.request(method, target, payload, headers)
        response = connection.getresponse()
        answer = response.read()
    except (OSError, HTTPException) as error:
        raise PlatformDownError(f'"{url}" did not answer: {error}') from error
    finally:
        connection.close()
    if response.status // 100 != 2:
        raise PlatformRefusedError(
            f'"{url}" answered {response.status}', response.status
        )
    try:
        return json.loads(answer)
    except ValueError as error:
        raise PlatformDownError(f'"{url}" answered no JSON') from error
