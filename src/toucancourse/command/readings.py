"""Commands that only read."""

import argparse
import sys
from typing import Any, Final

from ..contract.files import read_contracts, write_contract
from .client import Client, make_refusal
from .output import (
    diff_bodies,
    format_csv,
    format_json,
    format_table,
    format_time,
)
from .pages import COLUMNS, make_page

#: Characters of a digest that tell two apart by eye.
DIGEST_CHARS: Final = 12
#: Characters shown of a long value in a table.
CELL_CHARS: Final = 40


def list_contracts(client: Client, arguments: argparse.Namespace) -> int:
    """List the contracts."""
    return _list(client, arguments, 'contract')


def list_versions(client: Client, arguments: argparse.Namespace) -> int:
    """List the versions."""
    return _list(client, arguments, 'version')


def list_rollouts(client: Client, arguments: argparse.Namespace) -> int:
    """List the roll-outs."""
    return _list(client, arguments, 'rollout')


def list_keys(client: Client, arguments: argparse.Namespace) -> int:
    """List the keys, without their secrets."""
    return _list(client, arguments, 'key')


def list_services(client: Client, arguments: argparse.Namespace) -> int:
    """List the plain services."""
    return _list(client, arguments, 'service')


def list_placements(client: Client, arguments: argparse.Namespace) -> int:
    """List what each engine is to have loaded."""
    return _list(client, arguments, 'placement')


def list_operators(client: Client, arguments: argparse.Namespace) -> int:
    """List the operators."""
    return _list(client, arguments, 'operator')


def show_contract(client: Client, arguments: argparse.Namespace) -> int:
    """Print a contract as an INI file that can be applied again."""
    revision, body = client.find(f'contract/{arguments.customer}')
    if body is None:
        sys.stderr.write(f'contract "{arguments.customer}" does not exist\n')
        return 1
    if arguments.output == 'json':
        _print(format_json({'revision': revision, 'body': body}))
    else:
        sys.stdout.write(write_contract(arguments.customer, revision, body))
    return 0


def diff_contracts(client: Client, arguments: argparse.Namespace) -> int:
    """Print what a file would change; exit 1 if anything."""
    different = 0
    for contract in read_contracts(arguments.file):
        revision, body = client.find(f'contract/{contract.customer}')
        lines = diff_bodies(body, contract.body)
        if lines:
            different = 1
            _print(f'contract {contract.customer}, now revision {revision}')
            _print('\n'.join(lines))
    return different


def show_status(client: Client, arguments: argparse.Namespace) -> int:
    """Print instances, what they serve and how far they are."""
    body = _read(client, '/status')
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    current = 'current' if body['current'] else 'MAYBE OUT OF DATE'
    _print(
        f'configuration at {body["offset"]}, {current}, last proof '
        f'{body["proof_age_seconds"]} s ago, digest '
        f'{body["digest"][:DIGEST_CHARS]}'
    )
    headers = (
        'instance',
        'role',
        'zone',
        'state',
        'offset',
        'running/window',
        'offers',
    )
    rows = [
        (
            row['name'],
            row['role'],
            row['zone'],
            _describe_state(row),
            row['offset'],
            f'{row["running"]}/{row["window"]}',
            ' '.join(row['offers']),
        )
        for row in body['instances']
    ]
    _print(format_table(headers, rows))
    return 0


def show_history(client: Client, arguments: argparse.Namespace) -> int:
    """Print who changed what, when and against which revision."""
    body = _read(client, f'/history/{arguments.name}')
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    rows = [
        (
            format_time(row['at']),
            row['operator'],
            row['name'],
            row['base'],
            row['offset'] + 1,
            row['code'],
        )
        for row in body['changes']
    ]
    headers = ('time', 'operator', 'object', 'base', 'record', 'verdict')
    _print(format_table(headers, rows))
    return 0


def explain(client: Client, arguments: argparse.Namespace) -> int:
    """Print why a request went where it went."""
    reply = client.explain(arguments.request)
    if 'error' in reply.body:
        raise make_refusal(reply)
    body = reply.body
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    _print(
        f'request {body["request"]} of {body["customer"]}, kind '
        f'{body["kind"]}, configuration {body["offset"]}: {body["outcome"]}'
    )
    headers = ('version', 'price', 'quality at least', 'why')
    _print(format_table(headers, body['candidates']))
    steps = [
        (
            step['version'],
            step['instance'],
            step['code'],
            step['seconds'],
            'yes' if step['may_have_run'] else 'no',
        )
        for step in body['steps']
    ]
    columns = ('tried', 'endpoint', 'code', 'seconds', 'may have run')
    _print(format_table(columns, steps))
    return 0


def show_bill(client: Client, arguments: argparse.Namespace) -> int:
    """Print a customer's billing statement."""
    first, _, last = arguments.period.partition('..')
    query = f'?from={first}&to={last or first}' if first else ''
    body = _read(client, f'/bills/{arguments.customer}{query}')
    if arguments.output == 'json':
        _print(format_json(body))
    elif arguments.output == 'csv':
        _print(format_csv(body['lines']))
    else:
        headers = list(body['lines'][0]) if body['lines'] else ['nothing']
        rows = [list(line.values()) for line in body['lines']]
        _print(format_table(headers, rows))
        _print(f'requests {body["requests"]}, cost {body["cost"]} micro-units')
        held = sum(body['open_allowances'].values())
        _print(f'held by entries for requests to come: {held}')
    return 0


def show_burn(client: Client, arguments: argparse.Namespace) -> int:
    """Print the service-level burn of each contract with objectives."""
    body = _read(client, '/burn')
    if arguments.html:
        with open(arguments.html, 'w', encoding='utf-8') as page:
            page.write(make_page(body))
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    headers = tuple(name.replace('_', ' ') for name in COLUMNS)
    rows = [[row[name] for name in COLUMNS] for row in body['rows']]
    _print(format_table(headers, rows))
    return 0


def show_alerts(client: Client, arguments: argparse.Namespace) -> int:
    """Print Prometheus alert rules for the contracts' objectives."""
    _print(_read(client, '/alerts')['rules'])
    return 0


def _describe_state(row: dict[str, Any]) -> str:
    if row['out']:
        return 'out'
    if row['leaving']:
        return 'leaving'
    if row['role'] == 'entry':
        return 'live'
    return 'live' if row['connected'] else 'NOT CONNECTED'


def _list(client: Client, arguments: argparse.Namespace, kind: str) -> int:
    objects = _read(client, f'/objects/{kind}')['objects']
    if arguments.output == 'json':
        _print(format_json(objects))
        return 0
    keys = sorted({key for row in objects for key in row['body']})
    rows = [
        (
            row['name'].partition('/')[2],
            row['revision'],
            *(_shorten(row['body'].get(key, '')) for key in keys),
        )
        for row in objects
    ]
    _print(format_table((kind, 'revision', *keys), rows))
    return 0


def _shorten(value: Any) -> str:
    text = ','.join(map(str, value)) if isinstance(value, list) else str(value)
    if len(text) <= CELL_CHARS:
        return text
    return f'{text[:CELL_CHARS]}...'


def _read(client: Client, path: str) -> dict[str, Any]:
    reply = client.read(path)
    if 'error' in reply.body:
        raise make_refusal(reply)
    return reply.body


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
