"""Model checking of claims and bills: every interleaving of a few processes.

Two entries receive a request with the same idempotency key. Each may be paused
at any step, crash, lose the answer of an append, and have an append take effect
late or twice; the sidecar may be replaced. The claim and spend states and the
sidecar's record of attempts are the real classes; the steps between them follow
`delivery/idempotency.py` and `delivery/services.py`.
"""

import json
from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

from toucancourse.billing.claims import Claim, ClaimEnd, ClaimState, ClaimStatus
from toucancourse.billing.spend import (
    AdoptedBill,
    BillBatch,
    Reserve,
    SpendState,
)
from toucancourse.delivery.executions import AttemptRegistry, Execution
from toucancourse.protocol import peer_pb2

from .explorer import Exploration, explore

MAX_STATES = 2_000_000
MAX_ATTEMPTS = 2
MAX_LOST_ANSWERS = 1
MAX_SIDECAR_RESTARTS = 1
MAX_CRASHES = 1

Item = Claim | ClaimEnd
#: A call to the sidecar's attempts: "start" or "inquire", entry and attempt.
Call = tuple[str, str, int]


class Actor(NamedTuple):
    """An entry that serves a caller's request with the key."""

    step: str
    attempts: int
    claim: Claim | None


class ModelState(NamedTuple):
    """Everything on which the next steps depend."""

    #: Dump of the claim state as JSON, independent of the steps before.
    claims: str
    #: Appends whose answer was lost and that may still take effect.
    pending: frozenset[Item]
    actors: tuple[Actor, ...]
    #: Calls to the attempts of the sidecar's present process.
    calls: tuple[Call, ...]
    incarnation: int
    #: Nonces of the claims whose request ran at the service.
    runs: tuple[str, ...]
    #: The answer to the caller of each actor, or ''.
    answers: tuple[str, ...]
    losses: int
    crashes: int


NO_CLAIMS = json.dumps(ClaimState().dump())
INITIAL_STATE = ModelState(
    NO_CLAIMS,
    frozenset(),
    (Actor('idle', 0, None),) * 2,
    (),
    0,
    (),
    ('', ''),
    0,
    0,
)


def load_claims(text: str) -> ClaimState:
    """Return the claim state of a dump as JSON."""
    state = ClaimState()
    state.load(json.loads(text))
    return state


@cache
def apply_item(text: str, item: Item) -> str:
    """Return the dump after one more item, both as JSON."""
    state = load_claims(text)
    state.apply(item)
    return json.dumps(state.dump())


@cache
def find_status(text: str) -> ClaimStatus | None:
    """Return the claim that owns the key, if any."""
    return load_claims(text).find_claim_status('c', 'k')


@cache
def ask_sidecar(calls: tuple[Call, ...]) -> str:
    """Return the sidecar's answer to the last of some calls."""
    attempts = AttemptRegistry()
    answer = ''
    for name, incarnation, number in calls:
        key = (incarnation, number)
        if name == 'start':
            opened = peer_pb2.Open(attempt=number)
            execution = Execution(opened, lambda frame: None, lambda _: None)
            answer = 'ran' if attempts.start(key, execution) else 'fenced'
        else:
            answer = 'ended' if attempts.find_or_fence(key) else 'never'
    return answer


def append(
    state: ModelState, item: Item
) -> Iterator[tuple[str, ModelState, bool]]:
    """Yield the outcomes of an append, and whether its answer arrives."""
    appended = state._replace(claims=apply_item(state.claims, item))
    yield 'appended', appended, True
    if state.losses < MAX_LOST_ANSWERS:
        lost = state.losses + 1
        yield 'answer lost', appended._replace(losses=lost), False
        pending = state.pending | {item}
        yield 'in flight', state._replace(pending=pending, losses=lost), False


def make_end(claim: Claim, outcome: str) -> ClaimEnd:
    """Return the end of a claim."""
    return ClaimEnd('c', 'k', claim.nonce, outcome, 0, '', '', 1.0)


class ClaimModel:
    """The steps of the entries, with or without fencing by the sidecar."""

    def __init__(self, *, fenced: bool) -> None:
        """Create a model.

        With `fenced` a sidecar rejects attempts that were meant for an earlier
        process of it.
        """
        self._fenced = fenced

    def explore(self) -> Exploration:
        """Explore all states and return the result."""
        return explore(INITIAL_STATE, self.list_steps, find_problem, MAX_STATES)

    def list_steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield every next state."""
        for index, actor in enumerate(state.actors):
            if actor.step in {'done', 'crashed'}:
                continue
            name = f'entry {index}'
            for label, next_state in self._act(state, index, actor):
                yield f'{name}: {label}', next_state
            if state.crashes < MAX_CRASHES:
                crashed = replace_actor(
                    state, index, actor._replace(step='crashed')
                )
                yield f'{name}: crash', crashed._replace(crashes=1)
        for item in state.pending:
            appended = state._replace(claims=apply_item(state.claims, item))
            remaining = state.pending - {item}
            yield f'late {item.nonce}', appended._replace(pending=remaining)
            # A late append may take effect more than once.
            yield f'again later {item.nonce}', appended
            yield f'dropped {item.nonce}', state._replace(pending=remaining)
        if state.incarnation < MAX_SIDECAR_RESTARTS:
            number = state.incarnation + 1
            yield (
                'sidecar replaced',
                state._replace(incarnation=number, calls=()),
            )

    def _act(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
    ) -> Iterator[tuple[str, ModelState]]:
        if actor.step == 'idle':
            yield from self._read_claim(state, index, actor)
        elif actor.step == 'claiming':
            yield from self._claim(state, index, actor)
        elif actor.step == 'unsure':
            yield from self._claim(state, index, actor)
            yield from self._end(state, index, actor, 'not_run', 'not_run')
        elif actor.step == 'claimed':
            yield from self._read_back(state, index, actor)
        else:
            yield from self._dispatch(state, index, actor)

    def _read_claim(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
    ) -> Iterator[tuple[str, ModelState]]:
        status = find_status(state.claims)
        if status is None and actor.attempts < MAX_ATTEMPTS:
            claim = Claim(
                'c',
                'k',
                'digest',
                f'{index}.{actor.attempts}',
                f'entry-{index}',
                actor.attempts + 1,
                str(state.incarnation),
                1.0,
            )
            claiming = Actor('claiming', actor.attempts + 1, claim)
            yield 'claims', replace_actor(state, index, claiming)
        elif status is None:
            yield 'gives up', answer_caller(state, index, 'not_run')
        elif status.end is not None:
            yield 'reads the end', answer_caller(state, index, 'replayed')
        elif status.claim.incarnation != f'entry-{index}':
            yield from self._inquire(state, status.claim)

    def _inquire(
        self,
        state: ModelState,
        claim: Claim,
    ) -> Iterator[tuple[str, ModelState]]:
        outcome = 'unknown'
        if claim.instance == str(state.incarnation):
            call = ('inquire', claim.incarnation, claim.attempt)
            if call not in state.calls:
                state = state._replace(calls=(*state.calls, call))
            never = ask_sidecar((*state.calls, call)) == 'never'
            outcome = 'not_run' if never else 'done'
        for label, next_state, _ in append(state, make_end(claim, outcome)):
            yield f'resolves the other claim as {outcome}, {label}', next_state

    def _claim(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
    ) -> Iterator[tuple[str, ModelState]]:
        assert actor.claim is not None
        for label, next_state, known in append(state, actor.claim):
            step = 'claimed' if known else 'unsure'
            yield (
                label,
                replace_actor(next_state, index, actor._replace(step=step)),
            )

    def _read_back(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
    ) -> Iterator[tuple[str, ModelState]]:
        assert actor.claim is not None
        status = find_status(state.claims)
        if status is None:
            yield from self._end(state, index, actor, 'not_run', 'not_run')
        elif status.claim.nonce == actor.claim.nonce:
            yield (
                'owns',
                replace_actor(state, index, actor._replace(step='owner')),
            )
        else:
            yield (
                'lost',
                replace_actor(state, index, actor._replace(step='idle')),
            )

    def _dispatch(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
    ) -> Iterator[tuple[str, ModelState]]:
        claim = actor.claim
        assert claim is not None
        is_same_process = claim.instance == str(state.incarnation)
        call = ('start', claim.incarnation, claim.attempt)
        calls = (*state.calls, call)
        if (
            self._fenced
            and not is_same_process
            or ask_sidecar(calls) == 'fenced'
        ):
            yield from self._end(state, index, actor, 'not_run', '')
            return
        ran = state._replace(calls=calls, runs=(*state.runs, claim.nonce))
        yield from self._end(ran, index, actor, 'done', 'done')
        yield from self._end(ran, index, actor, 'unknown', 'unknown')

    def _end(
        self,
        state: ModelState,
        index: int,
        actor: Actor,
        outcome: str,
        answer: str,
    ) -> Iterator[tuple[str, ModelState]]:
        """End the own claim and answer the caller.

        Without an answer the actor tries again.
        """
        assert actor.claim is not None
        end = make_end(actor.claim, outcome)
        for label, next_state, _ in append(state, end):
            if answer:
                after = answer_caller(next_state, index, answer)
            else:
                after = replace_actor(
                    next_state, index, actor._replace(step='idle')
                )
            yield f'ends as {outcome}, {label}', after


def replace_actor(state: ModelState, index: int, actor: Actor) -> ModelState:
    """Return the state with one actor changed."""
    actors = (*state.actors[:index], actor, *state.actors[index + 1 :])
    return state._replace(actors=actors)


def answer_caller(state: ModelState, index: int, answer: str) -> ModelState:
    """Return the state after an actor answered its caller."""
    answers = (*state.answers[:index], answer, *state.answers[index + 1 :])
    done = state.actors[index]._replace(step='done')
    return replace_actor(state._replace(answers=answers), index, done)


def find_problem(state: ModelState) -> str:
    """Return which guarantee a state violates, or ''."""
    if len(state.runs) > 1:
        return f'ran more than once: {state.runs}'
    for index, answer in enumerate(state.answers):
        ran = any(nonce.startswith(f'{index}.') for nonce in state.runs)
        if answer == 'not_run' and ran:
            return f'caller {index} got "not run" for a request that ran'
    return ''


class TestClaims:
    """A request with an idempotency key runs at most once."""

    def test_with_fencing(self) -> None:
        """No reachable state violates a guarantee."""
        explored = ClaimModel(fenced=True).explore()
        assert explored.violation is None
        assert explored.states > 10_000

    def test_without_fencing(self) -> None:
        """A paused owner and a replaced sidecar run a request twice."""
        broken = ClaimModel(fenced=False).explore().violation
        assert broken is not None
        assert 'more than once' in broken.problem
        assert 'sidecar replaced' in broken.steps


LIMIT = 100
DAY = '2026-12-04'
SpendItem = Reserve | BillBatch | AdoptedBill
LINE = ['c', DAY, 'm@1', 'k', 1, 1, 1, 30]
#: The items that each process appends, in this order.
PROGRAMS: tuple[tuple[SpendItem, ...], ...] = (
    (
        Reserve('a', 1, 'c', DAY, 60, LIMIT, 1),
        BillBatch('a', 1, '1', [LINE]),
        BillBatch('a', 2, '2', [LINE]),
    ),
    (
        Reserve('b', 1, 'c', DAY, 60, LIMIT, 1),
        Reserve('b', 2, 'c', DAY, 40, LIMIT, 1),
    ),
    (AdoptedBill('a', 1, LINE), AdoptedBill('a', 2, LINE)),
    (AdoptedBill('a', 1, LINE),),
)


class SpendModelState(NamedTuple):
    """Positions in the programs, appends in flight, and the log."""

    positions: tuple[int, ...]
    pending: tuple[tuple[int, int], ...]
    log: tuple[tuple[int, int], ...]


def list_appends(
    state: SpendModelState,
) -> Iterator[tuple[str, SpendModelState]]:
    """Yield every next append; one append may take effect again later."""
    for process, index in enumerate(state.positions):
        if index == len(PROGRAMS[process]):
            continue
        item = (process, index)
        positions = list(state.positions)
        positions[process] += 1
        next_state = state._replace(
            positions=tuple(positions), log=(*state.log, item)
        )
        yield 'appended', next_state
        if not state.pending:
            yield 'appended, again later', next_state._replace(pending=(item,))
    if state.pending and state.pending[0] != (-1, -1):
        yield (
            'again',
            state._replace(
                pending=((-1, -1),), log=(*state.log, state.pending[0])
            ),
        )


def find_spend_problem(state: SpendModelState) -> str:
    """Return which guarantee the log's spend state violates, or ''."""
    spend = SpendState()
    for process, index in state.log:
        spend.apply(PROGRAMS[process][index])
    if spend.compute_committed('c', DAY) > LIMIT:
        return f'{spend.compute_committed("c", DAY)} committed of {LIMIT}'
    settled = sum(spend.is_settled('a', number) for number in (1, 2))
    if spend.find_billed_cost('c', DAY) != settled * LINE[-1]:
        return f'{settled} requests cost {spend.find_billed_cost("c", DAY)}'
    return ''


class TestSpend:
    """Each request is billed once and no spend limit is exceeded."""

    def test_all_orders(self) -> None:
        """Duplicate, late and adopted bills are applied in every order."""
        # No request is billed before its entry holds an allowance.
        first = SpendModelState((1, 0, 0, 0), (), ((0, 0),))
        explored = explore(first, list_appends, find_spend_problem, MAX_STATES)
        assert explored.violation is None
        assert explored.states > 10_000
