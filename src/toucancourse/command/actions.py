"""Commands that change something."""

import argparse
import hashlib
import secrets
import sys
from collections.abc import Mapping
from typing import Any, Final

from ..contract.files import PARSERS, read_contracts
from ..contract.objects import MAX_PERCENT, split_version
from ..errors import CourseError
from .client import Client, Reply
from .output import describe_change, format_json

SECRET_BYTES: Final = 32
TOKEN_BYTES: Final = 24
#: How each command changes a roll-out.
ENDS: Final[Mapping[str, Mapping[str, Any]]] = {
    'hold': {'state': 'held'},
    'back': {'state': 'back', 'percent': 0},
    'done': {'state': 'done', 'percent': MAX_PERCENT},
}


class ArgumentError(CourseError):
    """An argument has a bad value."""

    code = 'bad_argument'


def apply_contracts(client: Client, arguments: argparse.Namespace) -> int:
    """Publish each contract of a file against the revision it names."""
    worst = 0
    for contract in read_contracts(arguments.file):
        code = _submit(
            client,
            arguments,
            f'contract/{contract.customer}',
            contract.base,
            contract.body,
            contract.lines,
        )
        worst = max(worst, code)
    return worst


def check_contracts(client: Client, arguments: argparse.Namespace) -> int:
    """Judge each contract of a file without publishing it."""
    arguments.dry_run = True
    arguments.force = False
    arguments.no_wait = True
    return apply_contracts(client, arguments)


def edit_contract(client: Client, arguments: argparse.Namespace) -> int:
    """Change some keys of a contract against its present revision."""
    name = f'contract/{arguments.customer}'
    base, body = client.find(name)
    if body is None:
        raise ArgumentError(f'contract "{arguments.customer}" does not exist')
    for setting in arguments.settings:
        key, separator, text = setting.partition('=')
        if not separator or key not in PARSERS:
            allowed = ', '.join(PARSERS)
            raise ArgumentError(f'key "{key}" is unknown; allowed: {allowed}')
        try:
            body[key] = PARSERS[key](text)
        except ValueError as error:
            raise ArgumentError(f'key "{key}" has value "{text}"') from error
    return _submit(client, arguments, name, base, body)


def add_version(client: Client, arguments: argparse.Namespace) -> int:
    """Add a version, or change prices and qualities of one."""
    name = f'version/{arguments.version}'
    base, _ = client.find(name)
    body = {
        'state': 'live',
        'prompt_price': arguments.prompt_price,
        'completion_price': arguments.completion_price,
        'quality': _parse_quality(arguments.quality),
    }
    return _submit(client, arguments, name, base, body)


def withdraw_version(client: Client, arguments: argparse.Namespace) -> int:
    """Withdraw a version, so that it gets no new work."""
    name = f'version/{arguments.version}'
    base, body = client.find(name)
    if body is None:
        raise ArgumentError(f'version "{arguments.version}" does not exist')
    changed = {**body, 'state': 'withdrawn'}
    return _submit(client, arguments, name, base, changed)


def start_rollout(client: Client, arguments: argparse.Namespace) -> int:
    """Start a roll-out between two versions of one model."""
    model, _ = split_version(arguments.target)
    base, _ = client.find(f'rollout/{model}')
    body = {
        'source': arguments.source,
        'target': arguments.target,
        'percent': arguments.percent,
        'state': 'running',
        'on_bad': arguments.on_bad,
    }
    return _submit(client, arguments, f'rollout/{model}', base, body)


def advance_rollout(client: Client, arguments: argparse.Namespace) -> int:
    """Give a roll-out's target another share of new conversations."""
    changes = {'percent': arguments.percent, 'state': 'running'}
    return _change_rollout(client, arguments, changes)


def end_rollout(client: Client, arguments: argparse.Namespace) -> int:
    """Hold a roll-out, turn it back or finish it."""
    return _change_rollout(client, arguments, ENDS[arguments.state])


def move_place(client: Client, arguments: argparse.Namespace) -> int:
    """Take a zone or an instance out of service, or back in."""
    name = f'{arguments.place}/{arguments.name}'
    base, _ = client.find(name)
    return _submit(client, arguments, name, base, {'out': arguments.out})


def rotate_key(client: Client, arguments: argparse.Namespace) -> int:
    """Sign new conversation ids with a new key; the old one still verifies."""
    listed = client.read('/objects/key').body.get('objects', [])
    numbers = [len(listed) + 1]
    name = f'key/k{numbers[0]}-{secrets.token_hex(4)}'
    body = {'secret': secrets.token_hex(SECRET_BYTES), 'state': 'signing'}
    code = _submit(client, arguments, name, 0, body)
    if code:
        return code
    for row in listed:
        if row['body']['state'] == 'signing':
            sys.stdout.write(
                f'key "{row["name"]}" still signs older ids until it is '
                'retired; the newest name signs new ones\n'
            )
    return code


def add_service(client: Client, arguments: argparse.Namespace) -> int:
    """Add a plain service, or change what of it is repeatable."""
    name = f'service/{arguments.name}'
    base, _ = client.find(name)
    body = {'repeatable': arguments.repeatable}
    return _submit(client, arguments, name, base, body)


def place_versions(client: Client, arguments: argparse.Namespace) -> int:
    """Say which versions an instance's engine is to have loaded."""
    name = f'placement/{arguments.instance}'
    base, _ = client.find(name)
    body = {'versions': arguments.versions}
    return _submit(client, arguments, name, base, body)


def add_operator(client: Client, arguments: argparse.Namespace) -> int:
    """Add an operator and print the new token once."""
    name = f'operator/{arguments.name}'
    base, _ = client.find(name)
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    body = {'token_sha256': digest, 'role': arguments.role}
    code = _submit(client, arguments, name, base, body)
    if not code and not arguments.dry_run:
        sys.stdout.write(f'token: {token}\n')
    return code


def _change_rollout(
    client: Client,
    arguments: argparse.Namespace,
    changes: Mapping[str, Any],
) -> int:
    name = f'rollout/{arguments.model}'
    base, body = client.find(name)
    if body is None:
        raise ArgumentError(f'model "{arguments.model}" has no roll-out')
    return _submit(client, arguments, name, base, {**body, **changes})


def _submit(
    client: Client,
    arguments: argparse.Namespace,
    name: str,
    base: int,
    body: Mapping[str, Any],
    lines: Mapping[str, int] | None = None,
) -> int:
    reply = client.change(
        name,
        {
            'base': base,
            'body': body,
            'force': arguments.force,
            'dry_run': arguments.dry_run,
            'wait_seconds': 0 if arguments.no_wait else arguments.wait,
        },
    )
    if arguments.output == 'json':
        text = format_json(reply.body)
    else:
        text = describe_change(name, _add_lines(reply, lines or {}), body)
    sys.stdout.write(f'{text}\n')
    if arguments.no_wait and reply.body.get('code') == 'accepted':
        return 0
    return reply.exit_code()


def _add_lines(reply: Reply, lines: Mapping[str, int]) -> Reply:
    """Return the reply with the file's line in each problem."""
    problems = [
        {
            **problem,
            'text': f'line {lines[problem["key"]]}, key "{problem["key"]}": '
            f'{problem["text"]}',
        }
        if problem['key'] in lines and problem['key']
        else problem
        for problem in reply.body.get('problems', ())
    ]
    return Reply(reply.status, {**reply.body, 'problems': problems})


def _parse_quality(text: str) -> dict[str, float]:
    quality: dict[str, float] = {}
    for part in text.split(','):
        kind, _, share = part.partition('=')
        try:
            quality[kind.strip()] = float(share)
        except ValueError as error:
            raise ArgumentError(f'--quality has value "{part}"') from error
    return quality
