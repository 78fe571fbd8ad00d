"""Visits every state that a small model can reach."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

State = TypeVar('State', bound=Hashable)


class Broken(NamedTuple):
    """A state that breaks a promise, and the steps that led to it."""

    problem: str
    steps: tuple[str, ...]


class Explored(NamedTuple):
    """How many states there were and the first broken one, if any."""

    states: int
    broken: Broken | None


def explore(
    first: State,
    list_steps: Callable[[State], Iterator[tuple[str, State]]],
    find_problem: Callable[[State], str],
    most: int,
) -> Explored:
    """Return what a breadth-first visit of all states found.

    Raises RuntimeError if there are more states than expected, so that a
    visit is never partial without notice.
    """
    parents: dict[State, tuple[str, State] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        problem = find_problem(state)
        if problem:
            steps = _trace(parents, state)
            return Explored(len(parents), Broken(problem, steps))
        for label, following in list_steps(state):
            if following not in parents:
                parents[following] = (label, state)
                waiting.append(following)
        if len(parents) > most:
            raise RuntimeError(f'more than {most} states')
    return Explored(len(parents), None)


def _trace(
    parents: dict[State, tuple[str, State] | None],
    state: State,
) -> tuple[str, ...]:
    steps: list[str] = []
    link = parents[state]
    while link is not None:
        steps.append(link[0])
        link = parents[link[1]]
    return tuple(reversed(steps))
