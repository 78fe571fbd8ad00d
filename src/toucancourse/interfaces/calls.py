"""JSON calls over HTTP to the platform's services."""

import json
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple
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


class Versioned(NamedTuple):
    """A JSON answer and the entity tag that stands for it."""

    tag: str
    value: Any


def fetch_changed(url: str, tag: str, *, timeout: float) -> Versioned | None:
    """Return the answer of a GET call, or None if the tag still holds.

    Raises as call_json() does.
    """
    headers = {'If-None-Match': tag} if tag else {}
    status, found, answer = _exchange('GET', url, None, headers, timeout)
    if status == HTTPStatus.NOT_MODIFIED:
        return None
    return Versioned(found, _decode(url, status, answer))


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
    payload = None if body is None else json.dumps(body).encode()
    headers = {'Content-Type': 'application/json'}
    status, _, answer = _exchange(method, url, payload, headers, timeout)
    return _decode(url, status, answer)


def _exchange(
    method: str,
    url: str,
    payload: bytes | None,
    headers: dict[str, str],
    timeout: float,
) -> tuple[int, str, bytes]:
    """Return status, entity tag and body of one HTTP call."""
    parts = urlsplit(url)
    target = f'{parts.path}?{parts.query}' if parts.query else parts.path
    connection = HTTPConnection(
        parts.hostname or '', parts.port, timeout=timeout
    )
    try:
        connection.request(method, target, payload, headers)
        response = connection.getresponse()
        tag = response.getheader('ETag', '')
        return response.status, tag, response.read()
    except (OSError, HTTPException) as error:
        raise PlatformDownError(f'"{url}" did not answer: {error}') from error
    finally:
        connection.close()


def _decode(url: str, status: int, answer: bytes) -> Any:
    if status // 100 != 2:
        raise PlatformRefusedError(f'"{url}" answered {status}', status)
    try:
        return json.loads(answer)
    except ValueError as error:
        raise PlatformDownError(f'"{url}" answered no JSON') from error
