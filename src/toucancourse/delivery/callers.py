"""Authentication and the options of a caller's request."""

import hashlib
import time
from typing import Any, Final, NamedTuple

from ..contract.objects import ContractBody
from ..contract.state import State
from ..errors import BadRequestError, ForbiddenError, UnauthorizedError
from ..web.messages import Request

MS_PER_SECOND: Final = 1000
MAX_KEY_CHARS: Final = 200
MAX_CONVERSATION_CHARS: Final = 400
MAX_KIND_CHARS: Final = 64
DEFAULT_KIND: Final = 'general'
MAX_DIGITS: Final = 12
MAX_PRIORITY: Final = 9


class Caller(NamedTuple):
    """An authenticated customer and its contract."""

    customer: str
    contract: ContractBody
    #: Revision of the contract object.
    revision: int


class RequestOptions(NamedTuple):
    """A request's options, from headers or the body's metadata."""

    kind: str
    priority: int
    #: time.monotonic() at which the caller stops waiting.
    deadline: float
    conversation: str
    idempotency_key: str


def authenticate(state: State, token: str) -> Caller:
    """Return the customer whose contract lists the token's SHA-256 digest.

    Raises UnauthorizedError.
    """
    if not token:
        raise UnauthorizedError('header "Authorization: Bearer" is missing')
    digest = hashlib.sha256(token.encode()).hexdigest()
    for customer, body in state.iter_objects('contract'):
        if digest in body['keys']:
            contract = state.contract(customer)
            assert contract is not None
            revision = state.revision(f'contract/{customer}')
            return Caller(customer, contract, revision)
    raise UnauthorizedError('the API key is unknown')


def check_service(caller: Caller, service: str) -> None:
    """Raise ForbiddenError unless the contract allows the service."""
    if service not in caller.contract['services']:
        raise ForbiddenError(
            f'contract "{caller.customer}" does not allow "{service}"'
        )


def read_options(
    request: Request,
    metadata: dict[str, Any],
    caller: Caller,
    max_seconds: float,
) -> RequestOptions:
    """Return the options of a request, of at most max_seconds.

    Headers take precedence over metadata, and metadata over the contract.
    Raises BadRequestError naming the header.
    """

    def read_option(header: str, key: str, default: str) -> str:
        text = request.get_header(header) or metadata.get(key) or default
        if not isinstance(text, str) or not text.isprintable():
            raise BadRequestError(
                f'header "{header}" has an invalid value: {text!r}'
            )
        return text

    kind = read_option('x-kind', 'kind', DEFAULT_KIND)
    conversation = read_option('x-conversation-id', 'conversation', '')
    key = read_option('idempotency-key', 'idempotency_key', '')
    for name, text, limit in (
        ('X-Kind', kind, MAX_KIND_CHARS),
        ('X-Conversation-Id', conversation, MAX_CONVERSATION_CHARS),
        ('Idempotency-Key', key, MAX_KEY_CHARS),
    ):
        if len(text) > limit:
            raise BadRequestError(f'header "{name}" is over {limit} characters')
    priority = _read_number(
        read_option('x-priority', 'priority', str(caller.contract['priority'])),
        'X-Priority',
        MAX_PRIORITY,
    )
    deadline_ms = _read_number(
        read_option(
            'x-deadline-ms',
            'deadline_ms',
            str(int(max_seconds * MS_PER_SECOND)),
        ),
        'X-Deadline-Ms',
        int(max_seconds * MS_PER_SECOND),
    )
    deadline = time.monotonic() + deadline_ms / MS_PER_SECOND
    return RequestOptions(kind, int(priority), deadline, conversation, key)


def _read_number(text: str, header: str, limit: int) -> int:
    """Return a decimal header value, capped at the limit."""
    if not text.isdecimal() or not text.isascii() or len(text) > MAX_DIGITS:
        raise BadRequestError(
            f'header "{header}" is not a valid number: "{text}"'
        )
    return min(int(text), limit)
