"""A chat request and its validation."""

import hashlib
import json
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from ..billing.ledger import compute_cost
from ..contract.objects import VersionBody
from ..errors import BadRequestError, CourseError, Outcome, TooLargeError
from ..routing.endpoints import AFFINITY_PREFIX_BYTES
from ..routing.versions import AUTO
from ..web.messages import Request, StartResponse, encode_json
from .attempts import Attempt
from .callers import Caller, RequestOptions
from .links import Link

PATH: Final = '/v1/chat/completions'
MAX_CHOICES: Final = 16
#: Longest body that is sent on, over the length that was received.
MAX_GROWTH: Final = 2
GROWTH_MARGIN_BYTES: Final = 65_536
DONE: Final = 'done'


class CallerGoneError(CourseError):
    """The caller closed its connection."""

    code = 'caller_gone'
    status = 499
    outcome = Outcome.unknown
    is_final = True


class Exchange(NamedTuple):
    """A chat request that is being served, with its identity and options."""

    request: Request
    start_response: StartResponse
    caller: Caller
    options: RequestOptions
    body: dict[str, Any]
    request_id: str
    #: Number of the request in this entry's ledger.
    sequence: int
    #: Version that the conversation is bound to, or ''.
    pinned_version: str
    #: time.monotonic() at admission.
    started_at: float

    def is_stream(self) -> bool:
        """Return True if the caller asked for a stream of events."""
        return bool(self.body.get('stream'))

    def find_output_limit(self) -> int:
        """Return the token limit of all choices together."""
        return self._find_choice_limit() * (self.body.get('n') or 1)

    def encode_body(self) -> bytes:
        """Return the JSON body with the contract's token limit applied.

        Raises TooLargeError if it is much longer than what was received, as
        endpoints take no message of any size.
        """
        body = dict(self.body)
        key = (
            'max_completion_tokens'
            if 'max_completion_tokens' in body
            else 'max_tokens'
        )
        body[key] = self._find_choice_limit()
        encoded = encode_json(body)
        size = len(self.request.body)
        if len(encoded) > size * MAX_GROWTH + GROWTH_MARGIN_BYTES:
            raise TooLargeError(
                f'the body has {size} bytes, but {len(encoded)} in plain JSON'
            )
        return encoded

    def make_prefix_key(self) -> str:
        """Return a prefix affinity key, or '' for a short request.

        It is a hash of the beginning of the first message.
        """
        if len(self.request.body) < AFFINITY_PREFIX_BYTES:
            return ''
        first_message = json.dumps(self.body['messages'][0])
        return hashlib.sha256(
            first_message[:AFFINITY_PREFIX_BYTES].encode()
        ).hexdigest()

    def find_max_cost(self, version: VersionBody | None) -> int:
        """Return an upper bound of the cost on a version, in micro-units.

        Counts one prompt token per byte of the body, as a token has at least
        one byte. An unknown version costs nothing.
        """
        if version is None:
            return 0
        return compute_cost(
            version, len(self.request.body), self.find_output_limit()
        )

    def _find_choice_limit(self) -> int:
        limit = self.caller.contract['max_output_tokens']
        requested = self.body.get('max_completion_tokens') or self.body.get(
            'max_tokens'
        )
        return min(limit, requested) if requested else limit


class RoutedAttempt(NamedTuple):
    """An attempt with the link and the version it was routed to."""

    attempt: Attempt
    link: Link
    version: str


class RelayResult(NamedTuple):
    """The outcome of a request and the body that is left for WSGI."""

    outcome: str
    body: Iterable[bytes]


def check_body(body: dict[str, Any]) -> None:
    """Raise BadRequestError naming a key that has an invalid value."""
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(
            'key "messages" is not a list with at least one message'
        )
    if not isinstance(body.get('model', AUTO), str):
        raise BadRequestError('key "model" is not a string')
    if not isinstance(body.get('metadata') or {}, dict):
        raise BadRequestError('key "metadata" is not an object')
    if not isinstance(body.get('stream') or False, bool):
        raise BadRequestError('key "stream" is not a boolean')
    for key in ('max_tokens', 'max_completion_tokens', 'n'):
        count = body.get(key)
        if count is None:
            continue
        if not isinstance(count, int) or isinstance(count, bool) or count < 1:
            raise BadRequestError(
                f'key "{key}" has an invalid value: {count!r}'
            )
    if (body.get('n') or 1) > MAX_CHOICES:
        raise BadRequestError(f'key "n" is over {MAX_CHOICES}')
