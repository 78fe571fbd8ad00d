"""Model checker: visits every reachable state of a small model."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

State = TypeVar('State', bound=Hashable)


class Violation(NamedTuple):
    """A violated invariant, and the steps that lead to the state."""

    problem: str
    steps: tuple[str, ...]


class Exploration(NamedTuple):
    """The number of states visited and the first violation, if any."""

    states: int
    violation: Violation | None


def explore(
    first: State,
    list_steps: Callable[[State], Iterator[tuple[str, State]]],
    find_problem: Callable[[State], str],
    max_states: int,
) -> Exploration:
    """Visit all reachable states breadth-first, until one has a problem.

    find_problem returns '' for a valid state. Raises RuntimeError if there
    are more states than expected, so that an exploration is never partial
    without notice.
    """
    parents: dict[State, tuple[str, State] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        problem = find_problem(state)
        if problem:
            steps = _trace(parents, state)
            return Exploration(len(parents), Violation(problem, steps))
        for label, successor in list_steps(state):
            if successor not in parents:
                parents[successor] = (label, state)
                queue.append(successor)
        if len(parents) > max_states:
            raise RuntimeError(f'more than {max_states} states')
    return Exploration(len(parents), None)


def _trace(
    parents: dict[State, tuple[str, State] | None],
    state: State,
) -> tuple[str, ...]:
    steps: list[str] = []
    parent = parents[state]
    while parent is not None:
        steps.append(parent[0])
        parent = parents[parent[1]]
    return tuple(reversed(steps))
