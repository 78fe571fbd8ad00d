"""Authentication and roles of operators."""

import hashlib
import hmac
from typing import Final, NamedTuple

from ..contract.objects import split_name
from ..contract.state import State
from ..errors import ForbiddenError, UnauthorizedError

#: Role -> rank; a role includes the rights of those with lower ranks.
ROLE_RANKS: Final = {'read': 0, 'operate': 1, 'administer': 2}
#: Kinds of objects that role "operate" may change.
OPERATE_KINDS: Final = frozenset(
    ('rollout', 'zone', 'instance', 'version', 'placement')
)
#: Name of the operator whose token is set by the settings.
BOOTSTRAP_OPERATOR: Final = 'first'


class Operator(NamedTuple):
    """An authenticated operator."""

    name: str
    role: str

    def require_role(self, role: str) -> None:
        """Raise ForbiddenError unless the operator's role includes this one."""
        if ROLE_RANKS[self.role] < ROLE_RANKS[role]:
            raise ForbiddenError(
                f'operator "{self.name}" has role "{self.role}"; '
                f'this request needs "{role}"',
            )


def find_operator(state: State, token: str, bootstrap_sha256: str) -> Operator:
    """Return the operator whose token this is.

    bootstrap_sha256 is the hexadecimal digest of the bootstrap operator's
    token; empty if there is none. Raises UnauthorizedError if the token is
    missing or unknown.
    """
    if not token:
        raise UnauthorizedError('the operator token is missing')
    digest = hashlib.sha256(token.encode()).hexdigest()
    if bootstrap_sha256 and hmac.compare_digest(digest, bootstrap_sha256):
        return Operator(BOOTSTRAP_OPERATOR, 'administer')
    for name, body in state.iter_objects('operator'):
        if hmac.compare_digest(digest, body['token_sha256']):
            return Operator(name, body['role'])
    raise UnauthorizedError('the operator token is unknown')


def find_required_role(name: str) -> str:
    """Return the role that changing an object of this name needs."""
    kind, _ = split_name(name)
    return 'operate' if kind in OPERATE_KINDS else 'administer'
