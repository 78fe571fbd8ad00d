"""Entry point of toucanctl, the command-line tool for operators."""

import argparse
import os
import sys
from typing import Final

from ..errors import CourseError, LogDownError, Outcome
from .arguments import make_parser
from .client import (
    EXIT_FAILURE,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
    AdminClient,
    NoEntryError,
)

ADMIN_VARIABLE: Final = 'TOUCANCTL_ADMIN'
TOKEN_VARIABLE: Final = 'TOUCANCTL_TOKEN'
#: Codes of errors in files that an operator wrote.
FILE_CODES: Final = frozenset(('bad_contract', 'bad_file'))


def main() -> None:
    """Run the command in sys.argv and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


def run(argv: list[str]) -> int:
    """Run one command and return its exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        if arguments.is_local:
            return int(arguments.action(arguments))
        return int(arguments.action(_make_client(arguments), arguments))
    except NoEntryError as error:
        sys.stderr.write(f'{error.code}: {error.text}\n')
        is_unknown = error.outcome is Outcome.unknown
        return EXIT_UNAVAILABLE if is_unknown else EXIT_FAILURE
    except LogDownError as error:
        sys.stderr.write(f'{error.code}: {error.text}\n')
        return EXIT_UNAVAILABLE
    except CourseError as error:
        sys.stderr.write(f'{error.code}: {error.text}\n')
        return EXIT_USAGE if error.code in FILE_CODES else EXIT_REFUSED


def _make_client(arguments: argparse.Namespace) -> AdminClient:
    addresses = arguments.admin or os.environ.get(ADMIN_VARIABLE, '')
    token = os.environ.get(TOKEN_VARIABLE, '')
    if arguments.token_file:
        with open(arguments.token_file, encoding='utf-8') as token_file:
            token = token_file.read().strip()
    if not addresses:
        raise NoEntryError(f'give --admin or set {ADMIN_VARIABLE}')
    return AdminClient(addresses.split(','), token)
