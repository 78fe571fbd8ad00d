"""The pure function that turns the configuration stream into a state.

Every daemon folds the same records in the same order, so all reach the same
verdict on each change without a lock, a lease or a leader.
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
from .records import Change, Damaged, Snapshot, decode_record
from .state import AUDIT_ROWS, Audit, State, Stored

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
    """What the fold decided on one record."""

    offset: int
    code: str
    change_id: str = ''
    problems: tuple[Problem, ...] = ()


class Fold(NamedTuple):
    """The state after a record, and the verdict on it."""

    state: State
    verdict: Verdict


def fold_entry(state: State, entry: Entry) -> Fold:
    """Return the state after one log entry.

    A change is accepted exactly if its base is the object's revision and the
    result is valid. Snapshots, damaged and unknown records change nothing.
    """
    record = decode_record(entry.body)
    moved = state._replace(offset=entry.offset + 1)
    if isinstance(record, Snapshot):
        return Fold(moved, Verdict(entry.offset, SNAPSHOT))
    if isinstance(record, Damaged):
        problem = Problem('', record.text)
        return Fold(moved, Verdict(entry.offset, DAMAGED, '', (problem,)))
    verdict = judge_change(state, record, entry.offset)
    audited = _append_audit(moved, record, verdict)
    if verdict.code != ACCEPTED:
        return Fold(audited, verdict)
    # A log's first offset is 0, which stands for "never existed".
    stored = Stored(entry.offset + 1, record.change_id, record.body)
    objects = {**state.objects, record.name: stored}
    return Fold(audited._replace(objects=objects), verdict)


def judge_change(state: State, change: Change, offset: int) -> Verdict:
    """Return the verdict on a change against a state."""
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
        problems = tuple(_find_losses(state, change))
    if problems:
        return Verdict(offset, UNSAFE, change.change_id, problems)
    return Verdict(offset, ACCEPTED, change.change_id)


def find_problems(state: State, change: Change) -> Iterator[Problem]:
    """Yield what makes a change invalid."""
    kind, identifier = split_name(change.name)
    pattern_parts = identifier.split('@') if kind == 'version' else [identifier]
    wanted_parts = 2 if kind == 'version' else 1
    if len(pattern_parts) != wanted_parts or not all(
        NAME_PATTERN.fullmatch(part) for part in pattern_parts
    ):
        yield Problem('', f'object name "{change.name}" is malformed')
    if change.body is None:
        return
    faults = tuple(check_body(kind, change.body))
    yield from faults
    if faults:
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
    row = Audit(
        verdict.offset,
        change.change_id,
        change.name,
        change.base,
        change.operator,
        change.at,
        verdict.code,
    )
    return state._replace(audit=(*state.audit, row)[-AUDIT_ROWS:])


def _check_contract(state: State, body: ContractBody) -> Iterator[Problem]:
    reachable: list[float] = []
    for version in body['versions']:
        model, number = split_version(version)
        if number == WILDCARD:
            reachable.extend(_best_qualities(state, model))
            continue
        stored = state.version(version)
        if stored is None:
            yield Problem('versions', f'version "{version}" does not exist')
        elif stored['state'] == 'withdrawn':
            yield Problem('versions', f'version "{version}" is withdrawn')
        else:
            reachable.append(max(stored['quality'].values()))
    for service in body['services']:
        if state.service(service) is None:
            yield Problem('services', f'service "{service}" does not exist')
    if reachable and max(reachable) < body['quality']:
        yield Problem(
            'quality',
            f'quality {body["quality"]} is above {max(reachable)}, '
            'the best of the allowed versions',
        )


def _best_qualities(state: State, model: str) -> Iterator[float]:
    for version, body in state.each('version'):
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


def _find_losses(state: State, change: Change) -> Iterator[Problem]:
    """Yield the customers that the change leaves with no usable version."""
    kind, _ = split_name(change.name)
    if kind == 'zone' and change.body and change.body['out']:
        yield from _find_last_zone(state, change)
    if kind not in {'version', 'contract'}:
        return
    stored: Any = Stored(0, change.change_id, change.body)
    after = state._replace(objects={**state.objects, change.name: stored})
    for customer, body in state.each('contract'):
        had = not body['versions'] or state.usable(customer)
        lost = after.contract(customer) and not after.usable(customer)
        if had and lost and after.contract(customer)['versions']:  # type: ignore[index]
            yield Problem(
                '', f'customer "{customer}" would have no usable version'
            )


def _find_last_zone(state: State, change: Change) -> Iterator[Problem]:
    remaining = [
        zone
        for zone, body in state.each('zone')
        if not body['out'] and f'zone/{zone}' != change.name
    ]
    if not remaining:
        yield Problem('out', 'no declared zone would stay in service')
