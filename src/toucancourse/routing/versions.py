"""Choice of the versions that may serve a request, in order of price."""

import hashlib
from collections.abc import Iterator
from typing import Final, NamedTuple

from ..contract.objects import MAX_PERCENT, split_version
from ..contract.state import State
from ..errors import ModelNotFoundError, UnavailableError, VersionWithdrawnError
from .quality import Estimate, QualityState

#: Model name with which a caller leaves the choice to the router.
AUTO: Final = 'auto'
#: Share of prompt tokens that is assumed to compare prices.
PROMPT_SHARE: Final = 0.7


class Candidate(NamedTuple):
    """A version that may serve the request."""

    version: str
    #: Micro-units per 1000 tokens at PROMPT_SHARE.
    price: float
    estimate: Estimate
    #: Why the version is a candidate, for the decision log.
    reason: str


class VersionQuery(NamedTuple):
    """The properties of a request that decide which version serves it."""

    customer: str
    #: "auto", "model" or "model@version".
    model: str
    kind: str
    #: Hashed to split a roll-out's traffic; equal within a conversation.
    seed: str
    #: Version that the conversation is pinned to, or ''.
    bound: str


def choose_versions(
    state: State,
    quality: QualityState,
    query: VersionQuery,
) -> list[Candidate]:
    """Return the versions that meet the contract's quality, cheapest first.

    If none meets it, only the one with the highest lower bound is returned.
    Raises ModelNotFoundError if the contract allows no version that matches
    the requested name, and VersionWithdrawnError for a conversation that is
    pinned to a withdrawn version.
    """
    if query.bound:
        return [_find_pinned(state, quality, query)]
    contract = state.contract(query.customer)
    target = contract['quality'] if contract else 1.0
    candidates = sorted(
        _list_candidates(state, quality, query),
        key=lambda candidate: (candidate.price, -candidate.estimate.mean),
    )
    if not candidates:
        raise ModelNotFoundError(
            f'model "{query.model}" does not exist or is not allowed for '
            f'"{query.customer}"',
        )
    meeting_target = [
        candidate
        for candidate in candidates
        if candidate.estimate.lower >= target
    ]
    if meeting_target:
        return meeting_target
    best = max(candidates, key=lambda candidate: candidate.estimate.lower)
    return [best._replace(reason='best below target')]


def choose_rollout_version(state: State, model: str, seed: str) -> str | None:
    """Return the version that a model's roll-out assigns to a seed, if any."""
    rollout = state.rollout(model)
    if rollout is None:
        return None
    if rollout['state'] == 'back':
        return rollout['source']
    if rollout['state'] == 'done':
        return rollout['target']
    seed_hash = hashlib.blake2b(f'{model}\0{seed}'.encode(), digest_size=8)
    bucket = int.from_bytes(seed_hash.digest(), 'big') % MAX_PERCENT
    key = 'target' if bucket < rollout['percent'] else 'source'
    return str(rollout[key])  # type: ignore[literal-required]


def _find_pinned(
    state: State, quality: QualityState, query: VersionQuery
) -> Candidate:
    body = state.version(query.bound)
    if body is None or not state.allows(query.customer, query.bound):
        raise ModelNotFoundError(
            f'version "{query.bound}" of the conversation is not allowed'
        )
    if body['state'] == 'withdrawn':
        raise VersionWithdrawnError(
            f'version "{query.bound}" of the conversation is withdrawn; '
            'start a new conversation',
        )
    return _make_candidate(state, quality, query, query.bound, 'conversation')


def _list_candidates(
    state: State,
    quality: QualityState,
    query: VersionQuery,
) -> Iterator[Candidate]:
    for version in state.usable_versions(query.customer):
        model, _ = split_version(version)
        if version == query.model:
            yield _make_candidate(state, quality, query, version, 'named')
        elif query.model in {AUTO, model} and _matches_rollout(
            state, model, version, query.seed
        ):
            yield _make_candidate(state, quality, query, version, 'cascade')


def _matches_rollout(state: State, model: str, version: str, seed: str) -> bool:
    """Return False for the roll-out version that the seed does not select."""
    rollout = state.rollout(model)
    if rollout is None or version not in {rollout['source'], rollout['target']}:
        return True
    chosen = choose_rollout_version(state, model, seed)
    if chosen is not None and not state.is_live(chosen):
        return True
    return version == chosen


def _make_candidate(
    state: State,
    quality: QualityState,
    query: VersionQuery,
    version: str,
    reason: str,
) -> Candidate:
    body = state.version(version)
    if body is None:
        raise UnavailableError(f'version "{version}" no longer exists')
    price = body['prompt_price'] * PROMPT_SHARE + body['completion_price'] * (
        1 - PROMPT_SHARE
    )
    estimate = quality.estimate(version, query.kind, body)
    return Candidate(version, price, estimate, reason)
