"""The parser of the command line."""

import argparse
from collections.abc import Callable
from typing import Any

from . import actions, checks, queries

Action = Callable[..., int]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        'toucanctl', description='Operates a toucancourse system.'
    )
    parser.add_argument(
        '--admin',
        help='admin addresses of entries, IP:PORT,... (or TOUCANCTL_ADMIN)',
    )
    parser.add_argument(
        '--token-file', help='file of the operator token (or TOUCANCTL_TOKEN)'
    )
    parser.add_argument(
        '--output', choices=('text', 'json', 'csv'), default='text'
    )
    parser.set_defaults(is_local=False)
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_contract(commands)
    _add_version(commands)
    _add_rollout(commands)
    for kind in ('zone', 'instance'):
        _add_out_of_service(commands, kind)
    _add_queries(commands)
    _add_objects(commands)
    _add_check(commands)
    return parser


def _add_command(
    commands: Any,
    name: str,
    action: Action,
    help_text: str,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=help_text)
    parser.set_defaults(action=action)
    return parser


def _add_group(commands: Any, name: str, help_text: str) -> Any:
    parser = commands.add_parser(name, help=help_text)
    return parser.add_subparsers(required=True, metavar='ACTION')


def _add_change_command(
    commands: Any,
    name: str,
    action: Action,
    help_text: str,
) -> argparse.ArgumentParser:
    """Return the parser of a command that changes the configuration."""
    parser = _add_command(commands, name, action, help_text)
    parser.add_argument(
        '--dry-run', action='store_true', help='only validate the change'
    )
    parser.add_argument(
        '--no-wait',
        action='store_true',
        help='do not wait until all instances confirm',
    )
    parser.add_argument(
        '--wait', type=float, default=10, help='seconds to wait (default 10)'
    )
    parser.add_argument(
        '--force',
        action='store_true',
        help='accept that a customer or service is left with nothing',
    )
    return parser


def _add_contract(commands: Any) -> None:
    group = _add_group(commands, 'contract', "customers' contracts")
    _add_command(group, 'list', queries.list_contracts, 'list all')
    show = _add_command(group, 'show', queries.show_contract, 'print as INI')
    show.add_argument('customer')
    apply = _add_change_command(
        group, 'apply', actions.apply_contracts, 'submit a file'
    )
    apply.add_argument('file')
    check = _add_command(
        group, 'check', actions.check_contracts, 'validate a file'
    )
    check.add_argument('file')
    diff = _add_command(
        group, 'diff', queries.diff_contracts, 'compare with a file'
    )
    diff.add_argument('file')
    edit = _add_change_command(
        group, 'edit', actions.edit_contract, 'change some keys'
    )
    edit.add_argument('customer')
    edit.add_argument('settings', nargs='+', metavar='KEY=VALUE')


def _add_version(commands: Any) -> None:
    group = _add_group(commands, 'version', 'models and versions')
    _add_command(group, 'list', queries.list_versions, 'list all')
    add = _add_change_command(
        group, 'add', actions.add_version, 'add or reprice one'
    )
    add.add_argument('version', metavar='MODEL@VERSION')
    add.add_argument('--prompt-price', type=int, required=True)
    add.add_argument('--completion-price', type=int, required=True)
    add.add_argument(
        '--quality',
        required=True,
        help='KIND=SHARE,...; the kind * stands for all others',
    )
    withdraw = _add_change_command(
        group,
        'withdraw',
        actions.withdraw_version,
        'send no new requests to one',
    )
    withdraw.add_argument('version', metavar='MODEL@VERSION')


def _add_rollout(commands: Any) -> None:
    group = _add_group(commands, 'rollout', 'staged roll-outs')
    _add_command(group, 'status', queries.list_rollouts, 'list all')
    start = _add_change_command(
        group, 'start', actions.start_rollout, 'begin one'
    )
    start.add_argument('source', metavar='MODEL@FROM')
    start.add_argument('target', metavar='MODEL@TO')
    start.add_argument('--percent', type=int, default=5)
    start.add_argument('--on-bad', choices=('hold', 'back'), default='back')
    advance = _add_change_command(
        group,
        'advance',
        actions.advance_rollout,
        'change the share of the target',
    )
    advance.add_argument('model')
    advance.add_argument('--percent', type=int, required=True)
    for name, help_text in (
        ('hold', 'stop at the present stage'),
        ('back', 'return all new conversations to the source'),
        ('done', 'finish: all new conversations on the target'),
    ):
        parser = _add_change_command(
            group, name, actions.set_rollout_state, help_text
        )
        parser.add_argument('model')
        parser.set_defaults(state=name)


def _add_out_of_service(commands: Any, kind: str) -> None:
    group = _add_group(commands, kind, f'take a {kind} out of service and back')
    for name, out in (('out', True), ('in', False)):
        parser = _add_change_command(
            group, name, actions.set_out_of_service, f'{kind} {name} of service'
        )
        parser.add_argument('name')
        parser.set_defaults(kind=kind, out=out)


def _add_queries(commands: Any) -> None:
    _add_command(
        commands, 'status', queries.show_status, 'instances and offsets'
    )
    history = _add_command(
        commands, 'history', queries.show_history, 'audit trail'
    )
    history.add_argument('name', nargs='?', default='', metavar='KIND/NAME')
    explain = _add_command(
        commands, 'explain', queries.explain, 'show the routing of a request'
    )
    explain.add_argument('request')
    bill = _add_command(
        _add_group(commands, 'bill', 'billing statements'),
        'show',
        queries.show_bill,
        'print a statement',
    )
    bill.add_argument('customer')
    bill.add_argument('--period', default='', metavar='DAY[..DAY]')
    report = _add_group(commands, 'report', 'reports')
    burn = _add_command(
        report, 'burn', queries.show_burn, 'burn rates of objectives'
    )
    burn.add_argument('--html', help='also write a page to this file')
    _add_command(
        report, 'alerts', queries.show_alerts, 'Prometheus alert rules'
    )


def _add_objects(commands: Any) -> None:
    keys = _add_group(commands, 'key', 'keys that sign conversation ids')
    _add_command(keys, 'list', queries.list_keys, 'list all')
    _add_change_command(
        keys, 'rotate', actions.rotate_key, 'sign with a new key'
    )
    placements = _add_group(
        commands, 'placement', 'versions on each model server'
    )
    _add_command(placements, 'list', queries.list_placements, 'list all')
    placement = _add_change_command(
        placements,
        'set',
        actions.set_placement,
        'set what a model server loads',
    )
    placement.add_argument('instance')
    placement.add_argument('versions', nargs='*', metavar='MODEL@VERSION')
    services = _add_group(commands, 'service', 'services other than models')
    _add_command(services, 'list', queries.list_services, 'list all')
    service = _add_change_command(
        services, 'add', actions.add_service, 'add or change one'
    )
    service.add_argument('name')
    service.add_argument(
        '--repeatable', action='append', default=[], metavar='"GET /PREFIX"'
    )
    operators = _add_group(commands, 'operator', 'operators and their roles')
    _add_command(operators, 'list', queries.list_operators, 'list all')
    operator = _add_change_command(
        operators, 'add', actions.add_operator, 'add one'
    )
    operator.add_argument('name')
    operator.add_argument(
        '--role', choices=('read', 'operate', 'administer'), required=True
    )


def _add_check(commands: Any) -> None:
    check = _add_command(
        commands,
        'check',
        checks.check_configuration,
        'check a routing configuration before it is sent',
    )
    # It asks no entry.
    check.set_defaults(is_local=True)
    check.add_argument('file')
    check.add_argument(
        '--against',
        default='',
        metavar=f'FILE|{checks.IN_FORCE}',
        help='also list what differs from another one',
    )
    check.add_argument(
        '--endpoints',
        action='store_true',
        help='also look for services without registered endpoints',
    )
    check.add_argument(
        '--store',
        default='',
        help=f'store address, IP:PORT (or {checks.STORE_VARIABLE})',
    )
