"""The command line's words and options."""

import argparse
from collections.abc import Callable
from typing import Any

from . import actions, readings

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
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_contract(commands)
    _add_version(commands)
    _add_rollout(commands)
    for place in ('zone', 'instance'):
        _add_place(commands, place)
    _add_others(commands)
    _add_objects(commands)
    return parser


def _add(
    commands: Any,
    name: str,
    action: Action,
    text: str,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=text)
    parser.set_defaults(action=action)
    return parser


def _group(commands: Any, name: str, text: str) -> Any:
    parser = commands.add_parser(name, help=text)
    return parser.add_subparsers(required=True, metavar='ACTION')


def _change(
    commands: Any,
    name: str,
    action: Action,
    text: str,
) -> argparse.ArgumentParser:
    """Return the parser of a command that changes something."""
    parser = _add(commands, name, action, text)
    parser.add_argument('--dry-run', action='store_true', help='only judge it')
    parser.add_argument(
        '--no-wait', action='store_true', help='do not wait until in force'
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
    group = _group(commands, 'contract', "customers' contracts")
    _add(group, 'list', readings.list_contracts, 'list all')
    show = _add(group, 'show', readings.show_contract, 'print as INI')
    show.add_argument('customer')
    apply = _change(group, 'apply', actions.apply_contracts, 'publish a file')
    apply.add_argument('file')
    check = _add(group, 'check', actions.check_contracts, 'judge a file')
    check.add_argument('file')
    diff = _add(group, 'diff', readings.diff_contracts, 'compare with a file')
    diff.add_argument('file')
    edit = _change(group, 'edit', actions.edit_contract, 'change some keys')
    edit.add_argument('customer')
    edit.add_argument('settings', nargs='+', metavar='KEY=VALUE')


def _add_version(commands: Any) -> None:
    group = _group(commands, 'version', 'models and versions')
    _add(group, 'list', readings.list_versions, 'list all')
    add = _change(group, 'add', actions.add_version, 'add or reprice one')
    add.add_argument('version', metavar='MODEL@VERSION')
    add.add_argument('--prompt-price', type=int, required=True)
    add.add_argument('--completion-price', type=int, required=True)
    add.add_argument(
        '--quality',
        required=True,
        help='KIND=SHARE,...; the kind * stands for all others',
    )
    withdraw = _change(
        group, 'withdraw', actions.withdraw_version, 'stop all new work on one'
    )
    withdraw.add_argument('version', metavar='MODEL@VERSION')


def _add_rollout(commands: Any) -> None:
    group = _group(commands, 'rollout', 'staged roll-outs')
    _add(group, 'status', readings.list_rollouts, 'list all')
    start = _change(group, 'start', actions.start_rollout, 'begin one')
    start.add_argument('source', metavar='MODEL@FROM')
    start.add_argument('target', metavar='MODEL@TO')
    start.add_argument('--percent', type=int, default=5)
    start.add_argument('--on-bad', choices=('hold', 'back'), default='back')
    advance = _change(
        group, 'advance', actions.advance_rollout, 'give the target more'
    )
    advance.add_argument('model')
    advance.add_argument('--percent', type=int, required=True)
    for name, text in (
        ('hold', 'stop at the present stage'),
        ('back', 'return all new conversations to the source'),
        ('done', 'finish: all new conversations on the target'),
    ):
        parser = _change(group, name, actions.end_rollout, text)
        parser.add_argument('model')
        parser.set_defaults(state=name)


def _add_place(commands: Any, place: str) -> None:
    group = _group(commands, place, f'take a {place} out of service and back')
    for name, out in (('out', True), ('in', False)):
        parser = _change(
            group, name, actions.move_place, f'{place} {name} of service'
        )
        parser.add_argument('name')
        parser.set_defaults(place=place, out=out)


def _add_others(commands: Any) -> None:
    _add(commands, 'status', readings.show_status, 'instances and offsets')
    history = _add(commands, 'history', readings.show_history, 'audit trail')
    history.add_argument('name', nargs='?', default='', metavar='KIND/NAME')
    explain = _add(commands, 'explain', readings.explain, 'why a request went')
    explain.add_argument('request')
    bill = _add(
        _group(commands, 'bill', 'billing statements'),
        'show',
        readings.show_bill,
        'print a statement',
    )
    bill.add_argument('customer')
    bill.add_argument('--period', default='', metavar='DAY[..DAY]')
    report = _group(commands, 'report', 'reports')
    burn = _add(report, 'burn', readings.show_burn, 'service-level burn')
    burn.add_argument('--html', help='also write a page to this file')
    _add(report, 'alerts', readings.show_alerts, 'Prometheus alert rules')


def _add_objects(commands: Any) -> None:
    keys = _group(commands, 'key', 'keys that sign conversation ids')
    _add(keys, 'list', readings.list_keys, 'list all')
    _change(keys, 'rotate', actions.rotate_key, 'sign with a new key')
    placements = _group(commands, 'placement', 'versions of each engine')
    _add(placements, 'list', readings.list_placements, 'list all')
    placement = _change(
        placements, 'set', actions.place_versions, 'say what an engine loads'
    )
    placement.add_argument('instance')
    placement.add_argument('versions', nargs='*', metavar='MODEL@VERSION')
    services = _group(commands, 'service', 'plain services')
    _add(services, 'list', readings.list_services, 'list all')
    service = _change(services, 'add', actions.add_service, 'add or change one')
    service.add_argument('name')
    service.add_argument(
        '--repeatable', action='append', default=[], metavar='"GET /PREFIX"'
    )
    operators = _group(commands, 'operator', 'operators and their roles')
    _add(operators, 'list', readings.list_operators, 'list all')
    operator = _change(operators, 'add', actions.add_operator, 'add one')
    operator.add_argument('name')
    operator.add_argument(
        '--role', choices=('read', 'operate', 'administer'), required=True
    )
