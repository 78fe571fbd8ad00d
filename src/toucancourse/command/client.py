"""Calls of the administration API from the command line."""

import json
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from ..errors import CourseError, Outcome

PREFIX: Final = '/admin/v1'
TIMEOUT_SECONDS: Final = 90.0
EXIT_OTHER: Final = 1
EXIT_USAGE: Final = 2
EXIT_REFUSED: Final = 3
EXIT_LOST_RACE: Final = 4
EXIT_STORE_DOWN: Final = 5
EXIT_IN_PART: Final = 6

STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_UNAVAILABLE: Final = 503


class NoEntryError(CourseError):
    """None of the entries answered."""

    code = 'no_entry'


class Reply(NamedTuple):
    """An answer of the administration API."""

    status: int
    body: dict[str, Any]

    def exit_code(self) -> int:
        """Return the exit code that tells what became of a command."""
        if self.status == STATUS_OK:
            return 0 if self.body.get('in_force', True) else EXIT_IN_PART
        if self.status == STATUS_CONFLICT:
            return EXIT_LOST_RACE
        if self.status == STATUS_UNAVAILABLE:
            return EXIT_STORE_DOWN
        return EXIT_REFUSED


class Client:
    """Talks to the first entry that answers."""

    def __init__(self, addresses: list[str], token: str) -> None:
        """Keep the entries' admin addresses and the operator's token."""
        self._addresses = addresses
        self._token = token

    def read(self, path: str) -> Reply:
        """Return the answer of a GET request."""
        return self._call('GET', path, None)

    def find(self, name: str) -> tuple[int, dict[str, Any] | None]:
        """Return revision and body of an object.

        Raises CourseError if the entry refuses.
        """
        reply = self.read(f'/objects/{quote(name)}')
        if reply.status != STATUS_OK:
            raise make_refusal(reply)
        return int(reply.body['revision']), reply.body['body']

    def change(self, name: str, change: Mapping[str, Any]) -> Reply:
        """Return the answer to a change of an object."""
        return self._call('PUT', f'/objects/{quote(name)}', change)

    def explain(self, request: str) -> Reply:
        """Return the decision of whichever entry remembers the request."""
        reply = Reply(0, {})
        for address in self._addresses:
            try:
                reply = self._call_one(
                    address, 'GET', f'/explain/{quote(request)}', None
                )
            except (OSError, HTTPException):
                continue
            if reply.status == STATUS_OK:
                return reply
        if not reply.status:
            raise NoEntryError(f'no entry answers at {self._addresses}')
        return reply

    def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
    ) -> Reply:
        errors = []
        for address in self._addresses:
            try:
                return self._call_one(address, method, path, body)
            except ConnectionRefusedError as error:
                errors.append(f'{address}: {error}')
            except (OSError, HTTPException) as error:
                if body is not None:
                    lost = NoEntryError(
                        f'entry "{address}" did not answer; read the object '
                        f'back before trying again: {error}',
                    )
                    lost.outcome = Outcome.unknown
                    raise lost from error
                errors.append(f'{address}: {error}')
        raise NoEntryError(f'no entry answers: {"; ".join(errors)}')

    def _call_one(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
    ) -> Reply:
        host, _, port = address.rpartition(':')
        connection = HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
        payload = None if body is None else json.dumps(body)
        headers = {
            'Authorization': f'Bearer {self._token}',
            'Content-Type': 'application/json',
        }
        try:
            connection.request(method, f'{PREFIX}{path}', payload, headers)
            response = connection.getresponse()
            return Reply(response.status, json.loads(response.read()))
        finally:
            connection.close()


def make_refusal(reply: Reply) -> CourseError:
    """Return the error that an answer tells."""
    told = reply.body.get('error', {})
    error = CourseError(told.get('message', f'status {reply.status}'))
    error.code = told.get('code', 'refused')
    return error
