"""Finds the prompt parts that crash endpoints, from reported crashes."""

import hashlib
import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from itertools import combinations
from typing import Final, NamedTuple

from .objects import Call

#: Different endpoints that must have crashed on requests with the same parts.
MIN_CRASHES: Final = 2
#: The same for indirect evidence, which other requests on these endpoints give
#: too, and the different requests that must be among it.
MIN_INDIRECT_CRASHES: Final = 3
MIN_INDIRECT_REQUESTS: Final = 2
#: Newest crashes with direct evidence that are compared with each other.
MAX_DIRECT_CRASHES: Final = 64
#: Prompt parts of a request that are considered.
MAX_PARTS: Final = 200
#: Length from which the identifier of a part is replaced by a digest.
MAX_IDENTIFIER_LENGTH: Final = 40
DIGEST_BYTES: Final = 8

#: Fields of a crash's record besides its parts.
REQUEST: Final = 'request'
DIRECT: Final = 'direct'

Parts = frozenset[str]


class Crash(NamedTuple):
    """A request that was lost in the crash of an endpoint."""

    #: Identifier and incarnation of the endpoint.
    endpoint: str
    #: Prompt parts of the request that may be the cause.
    parts: Parts
    #: Number that names the request's whole prompt.
    request: int = 0
    #: True if the endpoint had begun to answer just this request. An endpoint
    #: that buffers its output shows this of none.
    is_direct: bool = True


def list_shared_parts(call: Call) -> Parts:
    """Return the parts of a call's prompt that other calls may share.

    The last part belongs to the call or its session alone.
    """
    count = min(MAX_PARTS, len(call.prompt) - 1)
    return frozenset(
        _shorten(part.identifier) for part in call.prompt[: max(0, count)]
    )


def number_prompt(call: Call) -> int:
    """Return a number that names the whole prompt of a call.

    A caller that repeats a request sends the same prompt.
    """
    names = '\0'.join(part.identifier for part in call.prompt)
    return int.from_bytes(bytes.fromhex(_digest(names)))


def find_crashing_sets(
    crashes: Iterable[Crash], sound: Parts = frozenset()
) -> set[Parts]:
    """Return the sets of parts that explain the crashes.

    A prompt with all parts of such a set crashes the endpoint. Parts that are
    known to be sound explain nothing alone, and are no suspects in indirect
    evidence. Each crash has one cause, so one that direct evidence explains
    gives no indirect evidence.
    """
    crashes = tuple(crashes)
    direct = [crash for crash in crashes if crash.is_direct]
    found = _find_direct_sets(direct, sound)
    explained = {
        crash.endpoint
        for crash in direct
        if any(each <= crash.parts for each in found)
    }
    unexplained = [
        crash._replace(parts=crash.parts - sound)
        for crash in crashes
        if crash.endpoint not in explained
    ]
    return found | _find_indirect_sets(unexplained)


def _find_direct_sets(crashes: list[Crash], sound: Parts) -> set[Parts]:
    """Return the sets of parts that crashes have in common.

    The set that explains most crashes comes first; of two sets that explain
    the same crashes, the larger one affects fewer requests.
    """
    unexplained = crashes[-MAX_DIRECT_CRASHES:]
    candidates = {
        first.parts & second.parts
        for first, second in combinations(unexplained, 2)
        if first.endpoint != second.endpoint
    }
    candidates = {each for each in candidates if not each <= sound}
    found: set[Parts] = set()
    while candidates:
        support, _, names = max(
            (_count_endpoints(each, unexplained), len(each), sorted(each))
            for each in candidates
        )
        best = frozenset(names)
        candidates.remove(best)
        if support >= MIN_CRASHES:
            found.add(best)
            explained = {
                crash.endpoint for crash in unexplained if best <= crash.parts
            }
            unexplained = [
                crash
                for crash in unexplained
                if crash.endpoint not in explained
            ]
    return found


def _find_indirect_sets(crashes: Iterable[Crash]) -> set[Parts]:
    """Return the parts that were lost in most crashes, until all are explained.

    A part is joined by those that all lost requests with it had too.
    """
    unexplained = list(crashes)
    found: set[Parts] = set()
    while True:
        losses: dict[str, list[Crash]] = defaultdict(list)
        for crash in unexplained:
            for part in crash.parts:
                losses[part].append(crash)
        suspects = [lost for lost in losses.values() if _is_suspicious(lost)]
        if not suspects:
            return found
        worst = max(suspects, key=_rank_losses)
        found.add(frozenset.intersection(*(crash.parts for crash in worst)))
        explained = {crash.endpoint for crash in worst}
        unexplained = [
            crash for crash in unexplained if crash.endpoint not in explained
        ]


def _is_suspicious(lost: list[Crash]) -> bool:
    """Return True if different requests were lost in different crashes."""
    endpoints = {crash.endpoint for crash in lost}
    requests = {crash.request for crash in lost}
    return (
        len(endpoints) >= MIN_INDIRECT_CRASHES
        and len(requests) >= MIN_INDIRECT_REQUESTS
    )


def _rank_losses(lost: list[Crash]) -> tuple[int, int]:
    """Return a key by which the most likely cause is the greatest."""
    return len({crash.endpoint for crash in lost}), len(lost)


def hash_parts(parts: Parts) -> str:
    """Return a digest that names a set of parts in all processes."""
    return _digest('\0'.join(sorted(parts)))


def encode_parts(parts: Parts, **fields: int) -> bytes:
    """Return the content of a record with parts and further fields."""
    return json.dumps({'parts': sorted(parts), **fields}).encode()


def encode_crash(crash: Crash) -> bytes:
    """Return the content of a crash's record."""
    fields = {REQUEST: crash.request, DIRECT: int(crash.is_direct)}
    return encode_parts(crash.parts, **fields)


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
