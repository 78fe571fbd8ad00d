"""HTTP requests and responses of a WSGI application."""

import json
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl

from ..errors import BadRequestError, CourseError, TooLargeError

Environ = Mapping[str, Any]
StartResponse = Callable[..., Callable[[bytes], object]]

JSON_TYPE: Final = 'application/json'


class Request(NamedTuple):
    """One HTTP request with its whole body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    environ: Environ

    def get_header(self, name: str, default: str = '') -> str:
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)

    def get_bearer_token(self) -> str:
        """Return the bearer token, or ''."""
        scheme, _, token = self.get_header('authorization').partition(' ')
        return token.strip() if scheme.lower() == 'bearer' else ''

    def parse_json_body(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises BadRequestError.
        """
        try:
            body = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise BadRequestError(f'the body is not JSON: {error}') from error
        if not isinstance(body, dict):
            raise BadRequestError('the body is not a JSON object')
        return body


class Response(NamedTuple):
    """One HTTP response with its whole body."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def read_request(environ: Environ, max_body: int) -> Request:
    """Return the request of a WSGI environment.

    Raises TooLargeError or BadRequestError.
    """
    headers = {
        name[len('HTTP_') :].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    length = environ.get('CONTENT_LENGTH') or '0'
    if not length.isdigit():
        raise BadRequestError(
            f'header "Content-Length" has invalid value "{length}"'
        )
    if int(length) > max_body:
        raise TooLargeError(
            f'the body has {length} bytes; the limit is {max_body}'
        )
    body = environ['wsgi.input'].read(int(length))
    path = environ.get('PATH_INFO', '/')
    query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
    return Request(
        environ['REQUEST_METHOD'], path, query, headers, body, environ
    )


def encode_json(value: object) -> bytes:
    """Return a value as JSON about as long as the text it was read from."""
    separators = (',', ':')
    try:
        text = json.dumps(value, ensure_ascii=False, separators=separators)
        return text.encode()
    except UnicodeEncodeError:
        # Half of a surrogate pair has no other form than its escape.
        return json.dumps(value, separators=separators).encode()


def make_json_response(
    value: object,
    status: int = HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Return a JSON response."""
    body = json.dumps(value).encode()
    return Response(status, body, JSON_TYPE, tuple(headers))


def make_error_body(error: CourseError) -> dict[str, Any]:
    """Return an error body of the OpenAI API, plus the request's outcome."""
    return {
        'error': {
            'message': error.text,
            'type': type(error).__name__,
            'param': None,
            'code': error.code,
            'outcome': str(error.outcome),
        },
    }


def make_error_response(
    error: CourseError,
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Return the response for an error."""
    extra = list(headers)
    if error.retry_after is not None:
        extra.append(('Retry-After', str(error.retry_after)))
    return make_json_response(make_error_body(error), error.status, extra)


def make_status_line(status: int) -> str:
    """Return a status with its phrase, or one for all that have none."""
    phrase = HTTPStatus(status).phrase if _is_known(status) else 'Status'
    return f'{status} {phrase}'


def send(response: Response, start_response: StartResponse) -> list[bytes]:
    """Start a WSGI response and return its body."""
    start_response(
        make_status_line(response.status),
        [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
            *response.headers,
        ],
    )
    return [response.body]


def _is_known(status: int) -> bool:
    return status in HTTPStatus._value2member_map_
