"""Client of the administration API."""

import json
from collections.abc import Mapping
from http.client import HTTPException
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from loguru import logger

from ..errors import CourseError, Outcome
from ..interfaces.responses import CheckedConnection

PATH_PREFIX: Final = '/admin/v1'
REQUEST_TIMEOUT_SECONDS: Final = 90.0
EXIT_FAILURE: Final = 1
EXIT_USAGE: Final = 2
EXIT_REFUSED: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_UNAVAILABLE: Final = 5
EXIT_UNCONFIRMED: Final = 6

STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_UNAVAILABLE: Final = 503


class NoEntryError(CourseError):
    """No entry responded to a request."""

    code = 'no_entry'


class InvalidAnswerError(HTTPException):
    """The body of a response is not a JSON object."""


class ApiResponse(NamedTuple):
    """A response of the administration API."""

    status: int
    body: dict[str, Any]

    def exit_code(self) -> int:
        """Return the exit code of the command that sent the request.

        EXIT_UNCONFIRMED: a change is accepted, but not all instances have
        applied it; EXIT_CONFLICT: the object has changed since the revision
        that the change is based on.
        """
        if self.status == STATUS_OK:
            return 0 if self.body.get('in_force', True) else EXIT_UNCONFIRMED
        if self.status == STATUS_CONFLICT:
            return EXIT_CONFLICT
        if self.status == STATUS_UNAVAILABLE:
            return EXIT_UNAVAILABLE
        return EXIT_REFUSED


class AdminClient:
    """Sends requests to the entries in turn until one responds.

    After a failure other than a refused connection, a change is not sent to
    another entry, since the first one may have appended it.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        """Create a client for addresses, each as host:port, and a token."""
        self._addresses = addresses
        self._token = token

    def fetch(self, path: str) -> ApiResponse:
        """Return the response to a GET request.

        Raises NoEntryError if no entry responds.
        """
        return self._send('GET', path, None)

    def get_object(self, name: str) -> tuple[int, dict[str, Any] | None]:
        """Return revision and body of an object.

        Raises CourseError if the entry rejects the request.
        """
        response = self.fetch(f'/objects/{quote(name)}')
        if response.status != STATUS_OK:
            raise make_api_error(response)
        return int(response.body['revision']), response.body['body']

    def put_object(self, name: str, change: Mapping[str, Any]) -> ApiResponse:
        """Send a change of an object and return the response.

        Raises NoEntryError; its outcome is unknown if the connection failed
        after the request may have been sent.
        """
        return self._send('PUT', f'/objects/{quote(name)}', change)

    def explain(self, request: str) -> ApiResponse:
        """Return the routing decision on a request.

        Asks all entries in turn, since only the one that served the request
        has the decision. Raises NoEntryError if no entry responds.
        """
        response = ApiResponse(0, {})
        errors = []
        for address in self._addresses:
            try:
                response = self._send_to(
                    address, 'GET', f'/explain/{quote(request)}', None
                )
            except (OSError, HTTPException) as error:
                logger.warning('entry {} did not respond: {}', address, error)
                errors.append(f'{address}: {error}')
                continue
            if response.status == STATUS_OK:
                return response
        if not response.status:
            raise NoEntryError(f'no entry answers: {"; ".join(errors)}')
        return response

    def _send(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
    ) -> ApiResponse:
        errors = []
        for address in self._addresses:
            try:
                return self._send_to(address, method, path, body)
            except ConnectionRefusedError as error:
                errors.append(f'{address}: {error}')
            except (OSError, HTTPException) as error:
                if body is not None:
                    unknown_outcome = NoEntryError(
                        f'entry "{address}" did not respond; read the object '
                        f'before retrying: {error}',
                    )
                    unknown_outcome.outcome = Outcome.unknown
                    raise unknown_outcome from error
                errors.append(f'{address}: {error}')
        raise NoEntryError(f'no entry answers: {"; ".join(errors)}')

    def _send_to(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
    ) -> ApiResponse:
        host, _, port = address.rpartition(':')
        connection = CheckedConnection(
            host, int(port), timeout=REQUEST_TIMEOUT_SECONDS
        )
        payload = None if body is None else json.dumps(body)
        headers = {
            'Authorization': f'Bearer {self._token}',
            'Content-Type': 'application/json',
        }
        try:
            connection.request(method, f'{PATH_PREFIX}{path}', payload, headers)
            response = connection.getresponse()
            return ApiResponse(response.status, _decode(response.read()))
        finally:
            connection.close()


def _decode(body: bytes) -> dict[str, Any]:
    """Return a JSON object; raise InvalidAnswerError if it is none."""
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise InvalidAnswerError(f'no JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise InvalidAnswerError('the JSON is no object')
    return decoded


def make_api_error(response: ApiResponse) -> CourseError:
    """Return the error in the body of a response."""
    error_body = response.body.get('error', {})
    error = CourseError(error_body.get('message', f'status {response.status}'))
    error.code = error_body.get('code', 'refused')
    return error
