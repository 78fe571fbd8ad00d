"""One chat request as it is served."""

import hashlib
import json
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from ..billing.ledger import compute_cost
from ..contract.objects import VersionBody
from ..errors import BadRequestError, CourseError, Outcome
from ..routing.endpoints import AFFINITY_PREFIX_BYTES
from ..routing.versions import AUTO
from ..web.messages import Request, StartResponse
from .attempts import Attempt
from .callers import Caller, Demand
from .links import Link

PATH: Final = '/v1/chat/completions'
MAX_CHOICES: Final = 16
DONE: Final = 'done'


class CallerGoneError(CourseError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    outcome = Outcome.unknown


class Exchange(NamedTuple):
    """One caller request as it is served."""

    request: Request
    start_response: StartResponse
    caller: Caller
    demand: Demand
    body: dict[str, Any]
    request_id: str
    sequence: int
    bound: str
    began: float

    def is_stream(self) -> bool:
        """Return True if the caller wants events."""
        return bool(self.body.get('stream'))

    def limit_output(self) -> int:
        """Return the most tokens that all choices together may have."""
        return self._choice_tokens() * (self.body.get('n') or 1)

    def encode_body(self) -> bytes:
        """Return the body for the engine, with the contract's limit."""
        body = dict(self.body)
        key = (
            'max_completion_tokens'
            if 'max_completion_tokens' in body
            else 'max_tokens'
        )
        body[key] = self._choice_tokens()
        return json.dumps(body).encode()

    def find_prefix(self) -> str:
        """Return a key of a long prompt's beginning, else ''."""
        if len(self.request.body) < AFFINITY_PREFIX_BYTES:
            return ''
        first = json.dumps(self.body['messages'][0])
        return hashlib.sha256(
            first[:AFFINITY_PREFIX_BYTES].encode()
        ).hexdigest()

    def bound_cost(self, version: VersionBody | None) -> int:
        """Return the most the request may cost on a version, in micro-units.

        A token of the prompt has at least one byte.
        """
        if version is None:
            return 0
        return compute_cost(
            version, len(self.request.body), self.limit_output()
        )

    def _choice_tokens(self) -> int:
        limit = self.caller.contract['max_output_tokens']
        wanted = self.body.get('max_completion_tokens') or self.body.get(
            'max_tokens'
        )
        return min(limit, wanted) if wanted else limit


class Served(NamedTuple):
    """An attempt whose first byte came."""

    attempt: Attempt
    link: Link
    version: str


class Answer(NamedTuple):
    """How a request ended and the body that is left for WSGI."""

    outcome: str
    body: Iterable[bytes]


def check_body(body: dict[str, Any]) -> None:
    """Raise BadRequestError naming the key that has a bad value."""
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise BadRequestError('key "messages" is not a list of messages')
    if not isinstance(body.get('model', AUTO), str):
        raise BadRequestError('key "model" is not a text')
    if not isinstance(body.get('metadata') or {}, dict):
        raise BadRequestError('key "metadata" is not an object')
    if not isinstance(body.get('stream') or False, bool):
        raise BadRequestError('key "stream" is not true or false')
    for key in ('max_tokens', 'max_completion_tokens', 'n'):
        count = body.get(key)
        if count is None:
            continue
        if not isinstance(count, int) or isinstance(count, bool) or count < 1:
            raise BadRequestError(f'key "{key}" has {count!r}')
    if (body.get('n') or 1) > MAX_CHOICES:
        raise BadRequestError(f'key "n" is over {MAX_CHOICES}')
