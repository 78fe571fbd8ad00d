"""Conversation ids that hold their version and a signature."""

import base64
import hmac
import secrets
from collections.abc import Mapping
from typing import Final, NamedTuple

from ..contract.objects import KeyBody
from ..errors import BadRequestError

PREFIX: Final = 'tcv1'
NONCE_BYTES: Final = 9
MAC_BYTES: Final = 16


class Conversation(NamedTuple):
    """The customer and version that a signed id holds."""

    customer: str
    version: str


def make_id(
    keys: Mapping[str, KeyBody],
    customer: str,
    version: str,
) -> str | None:
    """Return a new signed id, or None without a key in state "signing".

    The id is "tcv1.KEY.PAYLOAD.MAC", signed with the key of the greatest name.
    """
    key_names = [
        name for name, key in keys.items() if key['state'] == 'signing'
    ]
    if not key_names:
        return None
    key_name = max(key_names)
    text = f'{customer}\0{version}\0{secrets.token_hex(NONCE_BYTES)}'
    payload = base64.urlsafe_b64encode(text.encode()).decode().rstrip('=')
    mac = _sign(keys[key_name]['secret'], payload)
    return f'{PREFIX}.{key_name}.{payload}.{mac}'


def is_signed(identifier: str) -> bool:
    """Return True if the id has the prefix of signed ids."""
    return identifier.startswith(f'{PREFIX}.')


def verify_id(
    keys: Mapping[str, KeyBody],
    customer: str,
    identifier: str,
) -> Conversation:
    """Return the content of a signed id after checking its signature.

    Raises BadRequestError if the signature is wrong, the key is unknown or the
    id belongs to another customer.
    """
    parts = identifier.split('.')
    # A key's name may contain dots; payload and signature can't.
    key_name = '.'.join(parts[1:-2])
    key = keys.get(key_name)
    if key is None:
        raise BadRequestError(
            'the conversation id is signed with an unknown key'
        )
    payload, mac = parts[-2:]
    if not hmac.compare_digest(mac, _sign(key['secret'], payload)):
        raise BadRequestError('the conversation id has an invalid signature')
    padding = '=' * (-len(payload) % 4)
    text = base64.urlsafe_b64decode(payload + padding).decode()
    owner, version, _ = text.split('\0')
    if owner != customer:
        raise BadRequestError('the conversation id belongs to another customer')
    return Conversation(owner, version)


def _sign(secret: str, payload: str) -> str:
    """Return the truncated HMAC-SHA-256 of a payload; secret is hex."""
    digest = hmac.digest(bytes.fromhex(secret), payload.encode(), 'sha256')
    encoded = base64.urlsafe_b64encode(digest[:MAC_BYTES])
    return encoded.decode().rstrip('=')
