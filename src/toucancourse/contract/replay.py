"""State machine that replays the configuration stream.

Every daemon applies the same records in the same order with pure functions,
so all reach the same verdict on each change without a lock, a lease or a
leader.
"""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple, cast

from ..interfaces.log import Entry
from .objects import (
    NAME_PATTERN,
    WILDCARD,
    ContractBody,
    Problem,
    RolloutBody,
    check_body,
    split_name,
    split_version,
)
from .records import Change, DamagedRecord, Snapshot, decode_record
from .state import MAX_AUDIT_ENTRIES, Audit, State, Stored

ACCEPTED: Final = 'accepted'
DUPLICATE: Final = 'duplicate'
STALE: Final = 'stale_revision'
INVALID: Final = 'invalid'
UNSAFE: Final = 'unsafe'
UNSUPPORTED: Final = 'unsupported_format'
DAMAGED: Final = 'damaged'
SNAPSHOT: Final = 'snapshot'

_FORMAT_OBJECT: Final = 'format/records'


class Verdict(NamedTuple):
    """Whether one record was accepted, as a code, and the problems found."""

    offset: int
    code: str
    change_id: str = ''
    problems: tuple[Problem, ...] = ()


class AppliedEntry(NamedTuple):
    """The state after a log entry, and the verdict on its record."""

    state: State
    verdict: Verdict


def apply_entry(state: State, entry: Entry) -> AppliedEntry:
    """Return the state after one log entry, and the verdict on it.

    This is a compare-and-set: a change is accepted only if its base is the
    object's revision and the result is valid. Snapshots, damaged and unknown
    records only advance the offset.
    """
    record = decode_record(entry.body)
    advanced = state._replace(offset=entry.offset + 1)
    if isinstance(record, Snapshot):
        return AppliedEntry(advanced, Verdict(entry.offset, SNAPSHOT))
    if isinstance(record, DamagedRecord):
        problem = Problem('', record.text)
        return AppliedEntry(
            advanced, Verdict(entry.offset, DAMAGED, '', (problem,))
        )
    verdict = evaluate_change(state, record, entry.offset)
    with_audit = _append_audit(advanced, record, verdict)
    if verdict.code != ACCEPTED:
        return AppliedEntry(with_audit, verdict)
    # Revisions start at 1, since revision 0 means "never existed".
    stored = Stored(entry.offset + 1, record.change_id, record.body)
    objects = {**state.objects, record.name: stored}
    return AppliedEntry(with_audit._replace(objects=objects), verdict)


def evaluate_change(state: State, change: Change, offset: int) -> Verdict:
    """Return the verdict on a change to a state, without applying it."""
    if change.format > _active_format(state):
        return Verdict(offset, UNSUPPORTED, change.change_id)
    stored = state.objects.get(change.name)
    if stored and stored.change_id == change.change_id:
        return Verdict(offset, DUPLICATE, change.change_id)
    if change.base != state.revision(change.name):
        return Verdict(offset, STALE, change.change_id)
    problems = tuple(find_problems(state, change))
    if problems:
        return Verdict(offset, INVALID, change.change_id, problems)
    if not change.force:
        problems = tuple(_find_safety_problems(state, change))
    if problems:
        return Verdict(offset, UNSAFE, change.change_id, problems)
    return Verdict(offset, ACCEPTED, change.change_id)


def find_problems(state: State, change: Change) -> Iterator[Problem]:
    """Yield the problems that make a change invalid."""
    kind, identifier = split_name(change.name)
    name_parts = identifier.split('@') if kind == 'version' else [identifier]
    expected_parts = 2 if kind == 'version' else 1
    if len(name_parts) != expected_parts or not all(
        NAME_PATTERN.fullmatch(part) for part in name_parts
    ):
        yield Problem('', f'object name "{change.name}" is malformed')
    if change.body is None:
        return
    body_problems = tuple(check_body(kind, change.body))
    yield from body_problems
    if body_problems:
        return
    if kind == 'contract':
        yield from _check_contract(state, cast(ContractBody, change.body))
    if kind == 'rollout':
        yield from _check_rollout(
            state, identifier, cast(RolloutBody, change.body)
        )


def _active_format(state: State) -> int:
    body = state.body(_FORMAT_OBJECT)
    return int(body['active']) if body else 1


def _append_audit(state: State, change: Change, verdict: Verdict) -> State:
    audit = Audit(
        verdict.offset,
        change.change_id,
        change.name,
        change.base,
        change.operator,
        change.at,
        verdict.code,
    )
    return state._replace(audit=(*state.audit, audit)[-MAX_AUDIT_ENTRIES:])


def _check_contract(state: State, body: ContractBody) -> Iterator[Problem]:
    qualities: list[float] = []
    for version in body['versions']:
        model, number = split_version(version)
        if number == WILDCARD:
            qualities.extend(_best_qualities(state, model))
            continue
        stored = state.version(version)
        if stored is None:
            yield Problem('versions', f'version "{version}" does not exist')
        elif stored['state'] == 'withdrawn':
            yield Problem('versions', f'version "{version}" is withdrawn')
        else:
            qualities.append(max(stored['quality'].values()))
    for service in body['services']:
        if state.service(service) is None:
            yield Problem('services', f'service "{service}" does not exist')
    if qualities and max(qualities) < body['quality']:
        yield Problem(
            'quality',
            f'quality {body["quality"]} is above {max(qualities)}, '
            'the best of the allowed versions',
        )


def _best_qualities(state: State, model: str) -> Iterator[float]:
    for version, body in state.iter_objects('version'):
        if split_version(version)[0] == model and body['state'] == 'live':
            yield max(body['quality'].values())


def _check_rollout(
    state: State,
    model: str,
    body: RolloutBody,
) -> Iterator[Problem]:
    for key, version in (
        ('source', body['source']),
        ('target', body['target']),
    ):
        if split_version(version)[0] != model:
            yield Problem(key, f'version "{version}" is not of model "{model}"')
        elif state.version(version) is None:
            yield Problem(key, f'version "{version}" does not exist')
    active = body['state'] in {'running', 'held'}
    if active and not state.is_live(body['target']):
        yield Problem('target', f'version "{body["target"]}" is withdrawn')


def _find_safety_problems(state: State, change: Change) -> Iterator[Problem]:
    """Yield why a change is unsafe unless the operator forces it.

    It is unsafe if it takes the last zone out of service or leaves a customer
    without a usable version.
    """
    kind, _ = split_name(change.name)
    if kind == 'zone' and change.body and change.body['out']:
        yield from _check_last_zone(state, change)
    if kind not in {'version', 'contract'}:
        return
    stored: Any = Stored(0, change.change_id, change.body)
    after = state._replace(objects={**state.objects, change.name: stored})
    for customer, body in state.iter_objects('contract'):
        served = not body['versions'] or state.usable_versions(customer)
        lost = after.contract(customer) and not after.usable_versions(customer)
        if served and lost and after.contract(customer)['versions']:  # type: ignore[index]
            yield Problem(
                '', f'customer "{customer}" would have no usable version'
            )


def _check_last_zone(state: State, change: Change) -> Iterator[Problem]:
    remaining = [
        zone
        for zone, body in state.iter_objects('zone')
        if not body['out'] and f'zone/{zone}' != change.name
    ]
    if not remaining:
        yield Problem('out', 'no declared zone would stay in service')
