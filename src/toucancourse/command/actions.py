"""Commands that change the configuration; each returns its exit code."""

import argparse
import hashlib
import secrets
import sys
from collections.abc import Mapping
from typing import Any, Final

from ..contract.files import PARSERS, read_contracts
from ..contract.objects import MAX_PERCENT, split_version
from ..errors import CourseError
from .client import AdminClient, ApiResponse
from .output import describe_change, format_json

SECRET_BYTES: Final = 32
TOKEN_BYTES: Final = 24
#: Keys of a roll-out that each command sets.
ROLLOUT_CHANGES: Final[Mapping[str, Mapping[str, Any]]] = {
    'hold': {'state': 'held'},
    'back': {'state': 'back', 'percent': 0},
    'done': {'state': 'done', 'percent': MAX_PERCENT},
}


class ArgumentError(CourseError):
    """An argument of the command line is invalid."""

    code = 'bad_argument'


def apply_contracts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Submit each contract of a file, based on the revision it names.

    Returns the highest exit code of all contracts.
    """
    highest_code = 0
    for contract in read_contracts(arguments.file):
        exit_code = _submit(
            client,
            arguments,
            f'contract/{contract.customer}',
            contract.base,
            contract.body,
            contract.lines,
        )
        highest_code = max(highest_code, exit_code)
    return highest_code


def check_contracts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Validate each contract of a file without submitting it."""
    arguments.dry_run = True
    arguments.force = False
    arguments.no_wait = True
    return apply_contracts(client, arguments)


def edit_contract(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Change some keys of a contract, based on its present revision."""
    name = f'contract/{arguments.customer}'
    base, body = client.get_object(name)
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


def add_version(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Add a version, or replace its prices and qualities."""
    name = f'version/{arguments.version}'
    base, _ = client.get_object(name)
    body = {
        'state': 'live',
        'prompt_price': arguments.prompt_price,
        'completion_price': arguments.completion_price,
        'quality': _parse_quality(arguments.quality),
    }
    return _submit(client, arguments, name, base, body)


def withdraw_version(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Withdraw a version, so that it gets no new requests."""
    name = f'version/{arguments.version}'
    base, body = client.get_object(name)
    if body is None:
        raise ArgumentError(f'version "{arguments.version}" does not exist')
    changed = {**body, 'state': 'withdrawn'}
    return _submit(client, arguments, name, base, changed)


def start_rollout(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Start a roll-out between two versions of one model."""
    model, _ = split_version(arguments.target)
    base, _ = client.get_object(f'rollout/{model}')
    body = {
        'source': arguments.source,
        'target': arguments.target,
        'percent': arguments.percent,
        'state': 'running',
        'on_bad': arguments.on_bad,
    }
    return _submit(client, arguments, f'rollout/{model}', base, body)


def advance_rollout(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Set the share of new conversations that go to the target version."""
    changes = {'percent': arguments.percent, 'state': 'running'}
    return _change_rollout(client, arguments, changes)


def set_rollout_state(
    client: AdminClient, arguments: argparse.Namespace
) -> int:
    """Hold a roll-out, roll it back or finish it."""
    return _change_rollout(client, arguments, ROLLOUT_CHANGES[arguments.state])


def set_out_of_service(
    client: AdminClient, arguments: argparse.Namespace
) -> int:
    """Take a zone or an instance out of service, or back in."""
    name = f'{arguments.kind}/{arguments.name}'
    base, _ = client.get_object(name)
    return _submit(client, arguments, name, base, {'out': arguments.out})


def rotate_key(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Add a key that signs new conversation ids; older keys stay valid."""
    keys = client.fetch('/objects/key').body.get('objects', [])
    key_numbers = [len(keys) + 1]
    name = f'key/k{key_numbers[0]}-{secrets.token_hex(4)}'
    body = {'secret': secrets.token_hex(SECRET_BYTES), 'state': 'signing'}
    exit_code = _submit(client, arguments, name, 0, body)
    if exit_code:
        return exit_code
    for key in keys:
        if key['body']['state'] == 'signing':
            sys.stdout.write(
                f'key "{key["name"]}" stays valid for older ids until it is '
                'retired; the key with the greatest name signs new ids\n'
            )
    return exit_code


def add_service(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Add a service other than a model, or replace its repeatable requests."""
    name = f'service/{arguments.name}'
    base, _ = client.get_object(name)
    body = {'repeatable': arguments.repeatable}
    return _submit(client, arguments, name, base, body)


def set_placement(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Set the versions that the model server of an instance is to load."""
    name = f'placement/{arguments.instance}'
    base, _ = client.get_object(name)
    body = {'versions': arguments.versions}
    return _submit(client, arguments, name, base, body)


def add_operator(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Add an operator and print the new token, which is not stored."""
    name = f'operator/{arguments.name}'
    base, _ = client.get_object(name)
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    body = {'token_sha256': digest, 'role': arguments.role}
    exit_code = _submit(client, arguments, name, base, body)
    if not exit_code and not arguments.dry_run:
        sys.stdout.write(f'token: {token}\n')
    return exit_code


def _change_rollout(
    client: AdminClient,
    arguments: argparse.Namespace,
    changes: Mapping[str, Any],
) -> int:
    name = f'rollout/{arguments.model}'
    base, body = client.get_object(name)
    if body is None:
        raise ArgumentError(f'model "{arguments.model}" has no roll-out')
    return _submit(client, arguments, name, base, {**body, **changes})


def _submit(
    client: AdminClient,
    arguments: argparse.Namespace,
    name: str,
    base: int,
    body: Mapping[str, Any],
    line_numbers: Mapping[str, int] | None = None,
) -> int:
    response = client.put_object(
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
        text = format_json(response.body)
    else:
        text = describe_change(
            name, _add_line_numbers(response, line_numbers or {}), body
        )
    sys.stdout.write(f'{text}\n')
    if arguments.no_wait and response.body.get('code') == 'accepted':
        return 0
    return response.exit_code()


def _add_line_numbers(
    response: ApiResponse, line_numbers: Mapping[str, int]
) -> ApiResponse:
    """Return the response with line numbers of the file in its problems."""
    problems = [
        {
            **problem,
            'text': f'line {line_numbers[problem["key"]]}, '
            f'key "{problem["key"]}": {problem["text"]}',
        }
        if problem['key'] in line_numbers and problem['key']
        else problem
        for problem in response.body.get('problems', ())
    ]
    return ApiResponse(response.status, {**response.body, 'problems': problems})


def _parse_quality(text: str) -> dict[str, float]:
    quality: dict[str, float] = {}
    for item in text.split(','):
        kind, _, quality_text = item.partition('=')
        try:
            quality[kind.strip()] = float(quality_text)
        except ValueError as error:
            raise ArgumentError(f'--quality has value "{item}"') from error
    return quality
