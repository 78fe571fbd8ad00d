"""JSON calls over HTTP to the platform's services."""

import json
from http import HTTPStatus
from http.client import HTTPException
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from ..errors import CourseError, UnavailableError
from .responses import CheckedConnection


class PlatformDownError(UnavailableError):
    """The service did not respond; the call may have taken effect."""

    code = 'platform_down'


class PlatformRefusedError(CourseError):
    """The service responded with an error status."""

    code = 'platform_refused'

    def __init__(self, text: str, http_status: int) -> None:
        """Create an error with the HTTP status of the response."""
        super().__init__(text)
        self.http_status = http_status


class TaggedResponse(NamedTuple):
    """A decoded JSON response and its entity tag."""

    tag: str
    value: Any


def fetch_if_changed(
    url: str, tag: str, *, timeout: float
) -> TaggedResponse | None:
    """Return the response of a GET, or None if the tag still matches.

    Raises as call_json() does.
    """
    headers = {'If-None-Match': tag} if tag else {}
    status, new_tag, content = _send_request('GET', url, None, headers, timeout)
    if status == HTTPStatus.NOT_MODIFIED:
        return None
    return TaggedResponse(new_tag, _decode(url, status, content))


def call_json(
    method: str,
    url: str,
    body: object = None,
    *,
    timeout: float,
) -> Any:
    """Return the decoded JSON response of one HTTP call.

    Raises PlatformDownError if there is no complete JSON response and
    PlatformRefusedError if its status is not 2xx.
    """
    payload = None if body is None else json.dumps(body).encode()
    headers = {'Content-Type': 'application/json'}
    status, _, content = _send_request(method, url, payload, headers, timeout)
    return _decode(url, status, content)


def _send_request(
    method: str,
    url: str,
    payload: bytes | None,
    headers: dict[str, str],
    timeout: float,
) -> tuple[int, str, bytes]:
    """Return status, entity tag and body of one HTTP call."""
    url_parts = urlsplit(url)
    target = (
        f'{url_parts.path}?{url_parts.query}'
        if url_parts.query
        else url_parts.path
    )
    connection = CheckedConnection(
        url_parts.hostname or '', url_parts.port, timeout=timeout
    )
    try:
        connection.request(method, target, payload, headers)
        response = connection.getresponse()
        tag = response.getheader('ETag', '')
        return response.status, tag, response.read()
    except (OSError, HTTPException) as error:
        raise PlatformDownError(f'"{url}" did not respond: {error}') from error
    finally:
        connection.close()


def _decode(url: str, status: int, content: bytes) -> Any:
    if status // 100 != 2:
        raise PlatformRefusedError(
            f'"{url}" responded with status {status}', status
        )
    try:
        return json.loads(content)
    except ValueError as error:
        raise PlatformDownError(
            f'"{url}" sent a response that is not JSON'
        ) from error
