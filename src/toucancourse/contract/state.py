"""The configuration at an offset of its stream, and queries on it."""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, cast

from .objects import (
    WILDCARD,
    ContractBody,
    KeyBody,
    RolloutBody,
    ServiceBody,
    VersionBody,
    split_name,
    split_version,
)
from .records import dump_canonical

#: Entries of the audit trail kept in the state.
MAX_AUDIT_ENTRIES: Final = 300


class Stored(NamedTuple):
    """An object, the offset of its last change and that change's id."""

    revision: int
    change_id: str
    body: Mapping[str, Any] | None


class Audit(NamedTuple):
    """One entry of the audit trail: a change and its verdict."""

    offset: int
    change_id: str
    name: str
    base: int
    operator: str
    at: float
    code: str


class State(NamedTuple):
    """The result of applying all records before an offset."""

    offset: int = 0
    objects: Mapping[str, Stored] = {}
    audit: tuple[Audit, ...] = ()

    def body(self, name: str) -> Mapping[str, Any] | None:
        """Return an object's body, or None if it does not exist."""
        stored = self.objects.get(name)
        return stored.body if stored else None

    def revision(self, name: str) -> int:
        """Return an object's revision, or 0 if it never existed."""
        stored = self.objects.get(name)
        return stored.revision if stored else 0

    def iter_objects(
        self, kind: str
    ) -> Iterator[tuple[str, Mapping[str, Any]]]:
        """Yield identifier and body of the existing objects of one kind."""
        for name in sorted(self.objects):
            object_kind, identifier = split_name(name)
            body = self.objects[name].body
            if object_kind == kind and body is not None:
                yield identifier, body

    def contract(self, customer: str) -> ContractBody | None:
        """Return a customer's contract."""
        return cast(ContractBody | None, self.body(f'contract/{customer}'))

    def version(self, version: str) -> VersionBody | None:
        """Return a version by its "model@version" name."""
        return cast(VersionBody | None, self.body(f'version/{version}'))

    def rollout(self, model: str) -> RolloutBody | None:
        """Return a model's roll-out."""
        return cast(RolloutBody | None, self.body(f'rollout/{model}'))

    def service(self, service: str) -> ServiceBody | None:
        """Return a plain service (HTTP calls without a model) by its name."""
        return cast(ServiceBody | None, self.body(f'service/{service}'))

    def keys(self) -> dict[str, KeyBody]:
        """Return the keys that sign conversation ids."""
        return {
            name: cast(KeyBody, body) for name, body in self.iter_objects('key')
        }

    def is_live(self, version: str) -> bool:
        """Return True if the version exists and is not withdrawn."""
        body = self.version(version)
        return body is not None and body['state'] == 'live'

    def is_out_of_service(self, zone: str, instance: str) -> bool:
        """Return True if operators took the zone or the instance out."""
        return any(
            bool(body and body['out'])
            for body in (
                self.body(f'zone/{zone}'),
                self.body(f'instance/{instance}'),
            )
        )

    def allows(self, customer: str, version: str) -> bool:
        """Return True if the customer's contract allows the version."""
        contract = self.contract(customer)
        if contract is None:
            return False
        model, _ = split_version(version)
        names = contract['versions']
        return version in names or f'{model}@{WILDCARD}' in names

    def usable_versions(self, customer: str) -> tuple[str, ...]:
        """Return the live versions that the customer may use."""
        return tuple(
            version
            for version, _ in self.iter_objects('version')
            if self.is_live(version) and self.allows(customer, version)
        )

    def digest(self) -> str:
        """Return the SHA-256 of the objects, in hexadecimal.

        It is the same in all processes that are at the same offset.
        """
        return hashlib.sha256(dump_canonical(self.objects).encode()).hexdigest()


def dump_state(state: State) -> dict[str, Any]:
    """Return the state as JSON-serializable values."""
    return {
        'offset': state.offset,
        'objects': {
            name: list(stored) for name, stored in state.objects.items()
        },
        'audit': [list(audit) for audit in state.audit],
    }


def load_state(dumped: Mapping[str, Any]) -> State:
    """Return the state of a dump.

    Raises KeyError, TypeError or ValueError if the dump is malformed.
    """
    objects = {
        str(name): Stored(*fields) for name, fields in dumped['objects'].items()
    }
    audit = tuple(Audit(*fields) for fields in dumped['audit'])
    return State(int(dumped['offset']), objects, audit)
