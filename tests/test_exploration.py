"""Every interleaving of small models around the real claim and spend books.

Two entries want one key. Each may be paused anywhere, crash, lose the answer
of an append, and have an append take effect late or twice; the sidecar may be
replaced. The books and the sidecar's memory of attempts are the real ones;
the steps between are those of `delivery/keyed.py` and `delivery/services.py`.
"""

import json
from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

from toucancourse.billing.claims import Claim, ClaimBook, ClaimEnd, Holding
from toucancourse.billing.spend import (
    AdoptedBill,
    BillBatch,
    Reserve,
    SpendBook,
)
from toucancourse.delivery.executions import AttemptRegistry, Execution
from toucancourse.protocol import peer_pb2

from .explorer import Exploration, explore

MOST_STATES = 2_000_000
MOST_TRIES = 2
MOST_LOSSES = 1
MOST_RESTARTS = 1
MOST_CRASHES = 1

Item = Claim | ClaimEnd
#: One call of the sidecar's memory: "start" or "inquire", entry and attempt.
Op = tuple[str, str, int]


class Actor(NamedTuple):
    """One entry that serves a caller with the key."""

    step: str
    tries: int
    claim: Claim | None


class World(NamedTuple):
    """Everything that the next steps depend on."""

    #: The claim book as JSON; what led to it does not matter.
    book: str
    #: Appends whose answer was lost and that may yet take effect.
    flying: frozenset[Item]
    actors: tuple[Actor, ...]
    #: Calls of the present sidecar's memory.
    ops: tuple[Op, ...]
    incarnation: int
    #: Nonces of the claims whose call ran at the service.
    runs: tuple[str, ...]
    #: What the caller of each actor was told.
    told: tuple[str, ...]
    losses: int
    crashes: int


EMPTY_BOOK = json.dumps(ClaimBook().dump())
FIRST = World(
    EMPTY_BOOK,
    frozenset(),
    (Actor('idle', 0, None),) * 2,
    (),
    0,
    (),
    ('', ''),
    0,
    0,
)


def open_book(text: str) -> ClaimBook:
    """Return a book from its dump as JSON."""
    book = ClaimBook()
    book.load(json.loads(text))
    return book


@cache
def fold(text: str, item: Item) -> str:
    """Return the dump of a book after one more item."""
    book = open_book(text)
    book.apply(item)
    return json.dumps(book.dump())


@cache
def find_holding(text: str) -> Holding | None:
    """Return what holds the key."""
    return open_book(text).holding('c', 'k')


@cache
def ask_sidecar(ops: tuple[Op, ...]) -> str:
    """Return the answer to the last call of a sidecar's memory."""
    attempts = AttemptRegistry()
    answer = ''
    for name, incarnation, number in ops:
        key = (incarnation, number)
        if name == 'start':
            opened = peer_pb2.Open(attempt=number)
            execution = Execution(opened, lambda frame: None, lambda _: None)
            answer = 'ran' if attempts.start(key, execution) else 'barred'
        else:
            answer = 'ended' if attempts.find_or_fence(key) else 'never'
    return answer


def append(world: World, item: Item) -> Iterator[tuple[str, World, bool]]:
    """Yield the ways an append can go, and whether its answer comes."""
    landed = world._replace(book=fold(world.book, item))
    yield 'appended', landed, True
    if world.losses < MOST_LOSSES:
        lost = world.losses + 1
        yield 'answer lost', landed._replace(losses=lost), False
        flying = world.flying | {item}
        yield 'in flight', world._replace(flying=flying, losses=lost), False


def make_end(claim: Claim, outcome: str) -> ClaimEnd:
    """Return the end of a claim."""
    return ClaimEnd('c', 'k', claim.nonce, outcome, 0, '', '', 1.0)


class Model:
    """The steps of the entries, with or without the sidecar's fence."""

    def __init__(self, *, fenced: bool) -> None:
        """Keep whether sidecars refuse attempts meant for an earlier run."""
        self._fenced = fenced

    def explore(self) -> Exploration:
        """Return what a visit of all states found."""
        return explore(FIRST, self.list_steps, find_problem, MOST_STATES)

    def list_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every next state."""
        for place, actor in enumerate(world.actors):
            if actor.step in {'done', 'crashed'}:
                continue
            name = f'entry {place}'
            for label, following in self._act(world, place, actor):
                yield f'{name}: {label}', following
            if world.crashes < MOST_CRASHES:
                crashed = put(world, place, actor._replace(step='crashed'))
                yield f'{name}: crash', crashed._replace(crashes=1)
        for item in world.flying:
            landed = world._replace(book=fold(world.book, item))
            left = world.flying - {item}
            yield f'late {item.nonce}', landed._replace(flying=left)
            # It takes effect more than once.
            yield f'again later {item.nonce}', landed
            yield f'gone {item.nonce}', world._replace(flying=left)
        if world.incarnation < MOST_RESTARTS:
            number = world.incarnation + 1
            yield 'sidecar replaced', world._replace(incarnation=number, ops=())

    def _act(
        self,
        world: World,
        place: int,
        actor: Actor,
    ) -> Iterator[tuple[str, World]]:
        if actor.step == 'idle':
            yield from self._look(world, place, actor)
        elif actor.step == 'claiming':
            yield from self._claim(world, place, actor)
        elif actor.step == 'unsure':
            yield from self._claim(world, place, actor)
            yield from self._end(world, place, actor, 'not_run', 'not_run')
        elif actor.step == 'claimed':
            yield from self._read_back(world, place, actor)
        else:
            yield from self._dispatch(world, place, actor)

    def _look(
        self,
        world: World,
        place: int,
        actor: Actor,
    ) -> Iterator[tuple[str, World]]:
        holding = find_holding(world.book)
        if holding is None and actor.tries < MOST_TRIES:
            claim = Claim(
                'c',
                'k',
                'digest',
                f'{place}.{actor.tries}',
                f'entry-{place}',
                actor.tries + 1,
                str(world.incarnation),
                1.0,
            )
            fresh = Actor('claiming', actor.tries + 1, claim)
            yield 'claims', put(world, place, fresh)
        elif holding is None:
            yield 'gives up', tell(world, place, 'not_run')
        elif holding.end is not None:
            yield 'reads the end', tell(world, place, 'replayed')
        elif holding.claim.incarnation != f'entry-{place}':
            yield from self._look_into(world, holding.claim)

    def _look_into(
        self,
        world: World,
        claim: Claim,
    ) -> Iterator[tuple[str, World]]:
        outcome = 'unknown'
        if claim.instance == str(world.incarnation):
            op = ('inquire', claim.incarnation, claim.attempt)
            if op not in world.ops:
                world = world._replace(ops=(*world.ops, op))
            never = ask_sidecar((*world.ops, op)) == 'never'
            outcome = 'not_run' if never else 'done'
        for label, following, _ in append(world, make_end(claim, outcome)):
            yield f'ends the other as {outcome}, {label}', following

    def _claim(
        self,
        world: World,
        place: int,
        actor: Actor,
    ) -> Iterator[tuple[str, World]]:
        assert actor.claim is not None
        for label, following, known in append(world, actor.claim):
            step = 'claimed' if known else 'unsure'
            yield label, put(following, place, actor._replace(step=step))

    def _read_back(
        self,
        world: World,
        place: int,
        actor: Actor,
    ) -> Iterator[tuple[str, World]]:
        assert actor.claim is not None
        holding = find_holding(world.book)
        if holding is None:
            yield from self._end(world, place, actor, 'not_run', 'not_run')
        elif holding.claim.nonce == actor.claim.nonce:
            yield 'owns', put(world, place, actor._replace(step='owner'))
        else:
            yield 'lost', put(world, place, actor._replace(step='idle'))

    def _dispatch(
        self,
        world: World,
        place: int,
        actor: Actor,
    ) -> Iterator[tuple[str, World]]:
        claim = actor.claim
        assert claim is not None
        meant = claim.instance == str(world.incarnation)
        op = ('start', claim.incarnation, claim.attempt)
        ops = (*world.ops, op)
        if self._fenced and not meant or ask_sidecar(ops) == 'barred':
            yield from self._end(world, place, actor, 'not_run', '')
            return
        ran = world._replace(ops=ops, runs=(*world.runs, claim.nonce))
        yield from self._end(ran, place, actor, 'done', 'done')
        yield from self._end(ran, place, actor, 'unknown', 'unknown')

    def _end(
        self,
        world: World,
        place: int,
        actor: Actor,
        outcome: str,
        word: str,
    ) -> Iterator[tuple[str, World]]:
        """End the own claim; tell the caller, or go on if no word is given."""
        assert actor.claim is not None
        end = make_end(actor.claim, outcome)
        for label, following, _ in append(world, end):
            if word:
                after = tell(following, place, word)
            else:
                after = put(following, place, actor._replace(step='idle'))
            yield f'ends as {outcome}, {label}', after


def put(world: World, place: int, actor: Actor) -> World:
    """Return the world with one actor changed."""
    actors = (*world.actors[:place], actor, *world.actors[place + 1 :])
    return world._replace(actors=actors)


def tell(world: World, place: int, word: str) -> World:
    """Return the world after an actor answered its caller."""
    told = (*world.told[:place], word, *world.told[place + 1 :])
    done = world.actors[place]._replace(step='done')
    return put(world._replace(told=told), place, done)


def find_problem(world: World) -> str:
    """Return which promise a state breaks, or ''."""
    if len(world.runs) > 1:
        return f'ran more than once: {world.runs}'
    for place, word in enumerate(world.told):
        ran = any(nonce.startswith(f'{place}.') for nonce in world.runs)
        if word == 'not_run' and ran:
            return f'caller {place} was told "not run" of a call that ran'
    return ''


class TestClaims:
    """A keyed call runs at most once, whatever happens in whatever order."""

    def test_fenced(self) -> None:
        """No state breaks a promise."""
        explored = Model(fenced=True).explore()
        assert explored.violation is None
        assert explored.states > 10_000

    def test_without_fence(self) -> None:
        """A paused owner and a replaced sidecar ran a call twice."""
        broken = Model(fenced=False).explore().violation
        assert broken is not None
        assert 'more than once' in broken.problem
        assert 'sidecar replaced' in broken.steps


LIMIT = 100
DAY = '2026-12-04'
SpendItem = Reserve | BillBatch | AdoptedBill
LINE = ['c', DAY, 'm@1', 'k', 1, 1, 1, 30]
#: What each process appends, in its own order.
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


class Appended(NamedTuple):
    """Places in the programs, appends still in flight, and the log."""

    places: tuple[int, ...]
    flying: tuple[tuple[int, int], ...]
    log: tuple[tuple[int, int], ...]


def list_appends(state: Appended) -> Iterator[tuple[str, Appended]]:
    """Yield every next append; one of all may come again later."""
    for process, place in enumerate(state.places):
        if place == len(PROGRAMS[process]):
            continue
        item = (process, place)
        places = list(state.places)
        places[process] += 1
        following = state._replace(places=tuple(places), log=(*state.log, item))
        yield 'appended', following
        if not state.flying:
            yield 'appended, again later', following._replace(flying=(item,))
    if state.flying and state.flying[0] != (-1, -1):
        yield (
            'again',
            state._replace(
                flying=((-1, -1),), log=(*state.log, state.flying[0])
            ),
        )


def find_spend_problem(state: Appended) -> str:
    """Return which promise the folded log breaks, or ''."""
    book = SpendBook()
    for process, place in state.log:
        book.apply(PROGRAMS[process][place])
    if book.committed('c', DAY) > LIMIT:
        return f'{book.committed("c", DAY)} committed of {LIMIT}'
    settled = sum(book.is_settled('a', number) for number in (1, 2))
    if book.billed('c', DAY) != settled * LINE[-1]:
        return f'{settled} requests cost {book.billed("c", DAY)}'
    return ''


class TestSpend:
    """Each request is billed once and no limit is passed."""

    def test_all_orders(self) -> None:
        """Repeated, late and adopted bills in every order."""
        # Nothing is billed before its entry holds an allowance.
        first = Appended((1, 0, 0, 0), (), ((0, 0),))
        explored = explore(first, list_appends, find_spend_problem, MOST_STATES)
        assert explored.violation is None
        assert explored.states > 10_000
