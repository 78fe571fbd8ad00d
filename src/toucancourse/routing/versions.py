"""Choice of the versions that may serve a request, cheapest first."""

import hashlib
from collections.abc import Iterator
from typing import Final, NamedTuple

from ..contract.objects import MAX_PERCENT, split_version
from ..contract.state import State
from ..errors import ModelNotFoundError, UnavailableError, VersionWithdrawnError
from .quality import Estimate, QualityBook

#: Model name that leaves the choice to the router.
AUTO: Final = 'auto'
#: Share of a request's tokens that are taken to be prompt, for prices.
PROMPT_SHARE: Final = 0.7


class Candidate(NamedTuple):
    """A version that may serve the request."""

    version: str
    #: Micro-units per 1000 tokens at a usual mix of prompt and completion.
    price: float
    estimate: Estimate
    reason: str


class Wish(NamedTuple):
    """What a request says of the version it wants."""

    customer: str
    #: "auto", "model" or "model@version".
    model: str
    kind: str
    #: Decides the side of a roll-out; equal for one conversation.
    seed: str
    #: Version that the conversation is bound to, or ''.
    bound: str


def choose_versions(
    state: State,
    book: QualityBook,
    wish: Wish,
) -> list[Candidate]:
    """Return the cascade: versions that meet the target, cheapest first.

    If none meets it, the best one alone is returned. Raises
    ModelNotFoundError if the contract allows nothing that fits the name, and
    VersionWithdrawnError for a conversation on a withdrawn version.
    """
    if wish.bound:
        return [_find_bound(state, book, wish)]
    contract = state.contract(wish.customer)
    target = contract['quality'] if contract else 1.0
    candidates = sorted(
        _list_candidates(state, book, wish),
        key=lambda row: (row.price, -row.estimate.mean),
    )
    if not candidates:
        raise ModelNotFoundError(
            f'model "{wish.model}" does not exist or is not allowed for '
            f'"{wish.customer}"',
        )
    good = [row for row in candidates if row.estimate.lower >= target]
    if good:
        return good
    best = max(candidates, key=lambda row: row.estimate.lower)
    return [best._replace(reason='best below target')]


def split_rollout(state: State, model: str, seed: str) -> str | None:
    """Return the version that a model's roll-out gives a seed, if any."""
    rollout = state.rollout(model)
    if rollout is None:
        return None
    if rollout['state'] == 'back':
        return rollout['source']
    if rollout['state'] == 'done':
        return rollout['target']
    drawn = hashlib.blake2b(f'{model}\0{seed}'.encode(), digest_size=8)
    place = int.from_bytes(drawn.digest(), 'big') % MAX_PERCENT
    side = 'target' if place < rollout['percent'] else 'source'
    return str(rollout[side])  # type: ignore[literal-required]


def _find_bound(state: State, book: QualityBook, wish: Wish) -> Candidate:
    body = state.version(wish.bound)
    if body is None or not state.allows(wish.customer, wish.bound):
        raise ModelNotFoundError(
            f'version "{wish.bound}" of the conversation is not allowed'
        )
    if body['state'] == 'withdrawn':
        raise VersionWithdrawnError(
            f'version "{wish.bound}" of the conversation is withdrawn; '
            'start a new conversation',
        )
    return _make_candidate(state, book, wish, wish.bound, 'conversation')


def _list_candidates(
    state: State,
    book: QualityBook,
    wish: Wish,
) -> Iterator[Candidate]:
    for version in state.usable_versions(wish.customer):
        model, _ = split_version(version)
        if version == wish.model:
            yield _make_candidate(state, book, wish, version, 'named')
        elif wish.model in {AUTO, model} and _is_on_side(
            state, model, version, wish.seed
        ):
            yield _make_candidate(state, book, wish, version, 'cascade')


def _is_on_side(state: State, model: str, version: str, seed: str) -> bool:
    """Return False for the side of a roll-out that the seed is not on."""
    rollout = state.rollout(model)
    if rollout is None or version not in {rollout['source'], rollout['target']}:
        return True
    chosen = split_rollout(state, model, seed)
    if chosen is not None and not state.is_live(chosen):
        return True
    return version == chosen


def _make_candidate(
    state: State,
    book: QualityBook,
    wish: Wish,
    version: str,
    reason: str,
) -> Candidate:
    body = state.version(version)
    if body is None:
        raise UnavailableError(f'version "{version}" is gone')
    price = body['prompt_price'] * PROMPT_SHARE + body['completion_price'] * (
        1 - PROMPT_SHARE
    )
    estimate = book.estimate(version, wish.kind, body)
    return Candidate(version, price, estimate, reason)
