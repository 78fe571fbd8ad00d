"""Operators' tokens and what their roles allow."""

import hashlib
import hmac
from typing import Final, NamedTuple

from ..contract.objects import split_name
from ..contract.state import State
from ..errors import ForbiddenError, UnauthorizedError

#: Role -> rank; a higher rank includes the lower ones.
RANKS: Final = {'read': 0, 'operate': 1, 'administer': 2}
#: Object kinds that need no more than "operate".
OPERATED_KINDS: Final = frozenset(
    ('rollout', 'zone', 'instance', 'version', 'placement')
)
FIRST_OPERATOR: Final = 'first'


class Operator(NamedTuple):
    """Who a token belongs to."""

    name: str
    role: str

    def check(self, role: str) -> None:
        """Raise ForbiddenError unless the operator's role includes another."""
        if RANKS[self.role] < RANKS[role]:
            raise ForbiddenError(
                f'operator "{self.name}" has role "{self.role}"; '
                f'this needs "{role}"',
            )


def find_operator(state: State, token: str, first_sha256: str) -> Operator:
    """Return the operator of a token.

    Raises UnauthorizedError.
    """
    if not token:
        raise UnauthorizedError('the operator token is missing')
    digest = hashlib.sha256(token.encode()).hexdigest()
    if first_sha256 and hmac.compare_digest(digest, first_sha256):
        return Operator(FIRST_OPERATOR, 'administer')
    for name, body in state.iter_objects('operator'):
        if hmac.compare_digest(digest, body['token_sha256']):
            return Operator(name, body['role'])
    raise UnauthorizedError('the operator token is unknown')


def find_role(name: str) -> str:
    """Return the role that a change of an object needs."""
    kind, _ = split_name(name)
    return 'operate' if kind in OPERATED_KINDS else 'administer'
