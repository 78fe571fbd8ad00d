"""Conversation ids that carry their version, signed."""

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
    """What a signed id says."""

    customer: str
    version: str


def make_id(
    keys: Mapping[str, KeyBody],
    customer: str,
    version: str,
) -> str | None:
    """Return a new signed id, or None if no key signs."""
    signing = [name for name, key in keys.items() if key['state'] == 'signing']
    if not signing:
        return None
    name = max(signing)
    text = f'{customer}\0{version}\0{secrets.token_hex(NONCE_BYTES)}'
    payload = base64.urlsafe_b64encode(text.encode()).decode().rstrip('=')
    mac = _sign(keys[name]['secret'], payload)
    return f'{PREFIX}.{name}.{payload}.{mac}'


def is_signed(identifier: str) -> bool:
    """Return True if the id claims to be one of ours."""
    return identifier.startswith(f'{PREFIX}.')


def read_id(
    keys: Mapping[str, KeyBody],
    customer: str,
    identifier: str,
) -> Conversation:
    """Return what a signed id says.

    Raises BadRequestError if it is forged, of an unknown key or of another
    customer.
    """
    parts = identifier.split('.')
    # A key's name may hold dots; payload and signature may not.
    name = '.'.join(parts[1:-2])
    key = keys.get(name)
    if key is None:
        raise BadRequestError('the conversation id has an unknown key')
    payload, mac = parts[-2:]
    if not hmac.compare_digest(mac, _sign(key['secret'], payload)):
        raise BadRequestError('the conversation id has a wrong signature')
    padding = '=' * (-len(payload) % 4)
    text = base64.urlsafe_b64decode(payload + padding).decode()
    owner, version, _ = text.split('\0')
    if owner != customer:
        raise BadRequestError('the conversation id is of another customer')
    return Conversation(owner, version)


def _sign(secret: str, payload: str) -> str:
    digest = hmac.digest(bytes.fromhex(secret), payload.encode(), 'sha256')
    encoded = base64.urlsafe_b64encode(digest[:MAC_BYTES])
    return encoded.decode().rstrip('=')
