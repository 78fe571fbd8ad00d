"""Commands that change nothing; each returns its exit code."""

import argparse
import sys
from typing import Any, Final

from ..contract.files import read_contracts, write_contract
from .burn_page import COLUMNS, render_page
from .client import AdminClient, make_api_error
from .output import (
    diff_bodies,
    format_csv,
    format_json,
    format_table,
    format_time,
)

#: Characters shown of a digest; enough to compare two by eye.
DIGEST_PREFIX_CHARS: Final = 12
#: Longest value that a table shows in full.
MAX_CELL_CHARS: Final = 40


def list_contracts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the contracts."""
    return _list_objects(client, arguments, 'contract')


def list_versions(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the versions."""
    return _list_objects(client, arguments, 'version')


def list_rollouts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the roll-outs."""
    return _list_objects(client, arguments, 'rollout')


def list_keys(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the keys that sign conversation ids, without their secrets."""
    return _list_objects(client, arguments, 'key')


def list_services(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the services other than models."""
    return _list_objects(client, arguments, 'service')


def list_placements(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the versions that each model server is to load."""
    return _list_objects(client, arguments, 'placement')


def list_operators(client: AdminClient, arguments: argparse.Namespace) -> int:
    """List the operators."""
    return _list_objects(client, arguments, 'operator')


def show_contract(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print a contract in the INI format that `contract apply` reads."""
    revision, body = client.get_object(f'contract/{arguments.customer}')
    if body is None:
        sys.stderr.write(f'contract "{arguments.customer}" does not exist\n')
        return 1
    if arguments.output == 'json':
        _print(format_json({'revision': revision, 'body': body}))
    else:
        sys.stdout.write(write_contract(arguments.customer, revision, body))
    return 0


def diff_contracts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print what a file would change; return 1 if it changes anything."""
    exit_code = 0
    for contract in read_contracts(arguments.file):
        revision, body = client.get_object(f'contract/{contract.customer}')
        lines = diff_bodies(body, contract.body)
        if lines:
            exit_code = 1
            _print(f'contract {contract.customer}, now revision {revision}')
            _print('\n'.join(lines))
    return exit_code


def show_status(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print all instances, what they serve and the offsets they reached."""
    body = _fetch(client, '/status')
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    freshness = 'current' if body['current'] else 'MAYBE OUT OF DATE'
    _print(
        f'configuration at {body["offset"]}, {freshness}, last proof '
        f'{body["proof_age_seconds"]} s ago, digest '
        f'{body["digest"][:DIGEST_PREFIX_CHARS]}'
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
            instance['name'],
            instance['role'],
            instance['zone'],
            _describe_state(instance),
            instance['offset'],
            f'{instance["running"]}/{instance["window"]}',
            ' '.join(instance['offers']),
        )
        for instance in body['instances']
    ]
    _print(format_table(headers, rows))
    return 0


def show_history(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the audit trail of an object, or of all objects."""
    body = _fetch(client, f'/history/{arguments.name}')
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    rows = [
        (
            format_time(change['at']),
            change['operator'],
            change['name'],
            change['base'],
            change['offset'] + 1,
            change['code'],
        )
        for change in body['changes']
    ]
    headers = ('time', 'operator', 'object', 'base', 'record', 'verdict')
    _print(format_table(headers, rows))
    return 0


def explain(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the routing decision on a request and its attempts."""
    response = client.explain(arguments.request)
    if 'error' in response.body:
        raise make_api_error(response)
    body = response.body
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


def show_bill(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print a customer's billing statement."""
    first, _, last = arguments.period.partition('..')
    query = f'?from={first}&to={last or first}' if first else ''
    body = _fetch(client, f'/bills/{arguments.customer}{query}')
    if arguments.output == 'json':
        _print(format_json(body))
    elif arguments.output == 'csv':
        _print(format_csv(body['lines']))
    else:
        headers = list(body['lines'][0]) if body['lines'] else ['nothing']
        rows = [list(line.values()) for line in body['lines']]
        _print(format_table(headers, rows))
        _print(f'requests {body["requests"]}, cost {body["cost"]} micro-units')
        reserved = sum(body['open_allowances'].values())
        _print(f'reserved by entries for further requests: {reserved}')
    return 0


def show_burn(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the burn rates of all objectives."""
    body = _fetch(client, '/burn')
    if arguments.html:
        with open(arguments.html, 'w', encoding='utf-8') as page:
            page.write(render_page(body))
    if arguments.output == 'json':
        _print(format_json(body))
        return 0
    headers = tuple(name.replace('_', ' ') for name in COLUMNS)
    rows = [[row[name] for name in COLUMNS] for row in body['rows']]
    _print(format_table(headers, rows))
    return 0


def show_alerts(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print Prometheus alert rules for the contracts' objectives."""
    _print(_fetch(client, '/alerts')['rules'])
    return 0


def _describe_state(instance: dict[str, Any]) -> str:
    if instance['out']:
        return 'out'
    if instance['leaving']:
        return 'leaving'
    if instance['role'] == 'entry':
        return 'live'
    return 'live' if instance['connected'] else 'NOT CONNECTED'


def _list_objects(
    client: AdminClient, arguments: argparse.Namespace, kind: str
) -> int:
    objects = _fetch(client, f'/objects/{kind}')['objects']
    if arguments.output == 'json':
        _print(format_json(objects))
        return 0
    keys = sorted({key for item in objects for key in item['body']})
    rows = [
        (
            item['name'].partition('/')[2],
            item['revision'],
            *(_truncate_cell(item['body'].get(key, '')) for key in keys),
        )
        for item in objects
    ]
    _print(format_table((kind, 'revision', *keys), rows))
    return 0


def _truncate_cell(value: Any) -> str:
    text = ','.join(map(str, value)) if isinstance(value, list) else str(value)
    if len(text) <= MAX_CELL_CHARS:
        return text
    return f'{text[:MAX_CELL_CHARS]}...'


def _fetch(client: AdminClient, path: str) -> dict[str, Any]:
    response = client.fetch(path)
    if 'error' in response.body:
        raise make_api_error(response)
    return response.body


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
