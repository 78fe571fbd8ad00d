"""Finds the prompt parts that crash endpoints, from reported crashes."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from itertools import combinations
from typing import Final, NamedTuple

from .objects import Call

#: Different endpoints that must have crashed on requests with the same parts.
MIN_CRASHES: Final = 2
#: Prompt parts of a request that are considered.
MAX_PARTS: Final = 200
#: Length from which the identifier of a part is replaced by a digest.
MAX_IDENTIFIER_LENGTH: Final = 40
DIGEST_BYTES: Final = 8

Parts = frozenset[str]


class Crash(NamedTuple):
    """A crash of an endpoint as it began to answer a request."""

    #: Identifier and incarnation of the endpoint.
    endpoint: str
    #: Prompt parts of the request that may be the cause.
    parts: Parts


def list_shared_parts(call: Call) -> Parts:
    """Return the parts of a call's prompt that other calls may share.

    The last part belongs to the call or its session alone.
    """
    count = min(MAX_PARTS, len(call.prompt) - 1)
    return frozenset(
        _shorten(part.identifier) for part in call.prompt[: max(0, count)]
    )


def find_crashing_sets(crashes: Iterable[Crash]) -> set[Parts]:
    """Return the sets of parts that explain the crashes.

    A prompt with all parts of such a set crashes the endpoint. The set that
    explains most crashes comes first, and no crash supports two sets; of two
    sets that explain the same crashes, the larger one affects fewer requests.
    """
    unexplained = list(crashes)
    candidates = {
        first.parts & second.parts
        for first, second in combinations(unexplained, 2)
        if first.endpoint != second.endpoint
    }
    found: set[Parts] = set()
    while candidates:
        support, _, names = max(
            (_count_endpoints(each, unexplained), len(each), sorted(each))
            for each in candidates
        )
        best = frozenset(names)
        candidates.remove(best)
        if best and support >= MIN_CRASHES:
            found.add(best)
            unexplained = [
                crash for crash in unexplained if not best <= crash.parts
            ]
    return found


def hash_parts(parts: Parts) -> str:
    """Return a digest that names a set of parts in all processes."""
    return _digest('\0'.join(sorted(parts)))


def encode_parts(parts: Parts, **fields: int) -> bytes:
    """Return the content of a record with parts and further fields."""
    return json.dumps({'parts': sorted(parts), **fields}).encode()


def decode_parts(content: bytes) -> tuple[Parts, Mapping[str, int]]:
    """Return the parts in a record and its further fields.

    Raises one of errors.DECODE_ERRORS.
    """
    fields = json.loads(content)
    parts = fields.pop('parts')
    if not isinstance(parts, list) or len(parts) > MAX_PARTS:
        raise ValueError('the parts are not a list of bounded length')
    if not all(isinstance(part, str) for part in parts):
        raise TypeError('a part is not a string')
    return (
        frozenset(parts),
        {str(name): int(count) for name, count in fields.items()},
    )


def _count_endpoints(parts: Parts, crashes: Iterable[Crash]) -> int:
    """Return how many endpoints crashed on prompts with all these parts."""
    return len({crash.endpoint for crash in crashes if parts <= crash.parts})


def _shorten(identifier: str) -> str:
    """Return an identifier that callers chose, at a bounded length."""
    if len(identifier) <= MAX_IDENTIFIER_LENGTH:
        return identifier
    return f'digest-{_digest(identifier)}'


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
