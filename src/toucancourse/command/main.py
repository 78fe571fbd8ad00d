"""The operators' command-line tool."""

import argparse
import os
import sys
from typing import Final

from ..errors import CourseError, Outcome
from .arguments import make_parser
from .client import (
    EXIT_OTHER,
    EXIT_REFUSED,
    EXIT_STORE_DOWN,
    EXIT_USAGE,
    Client,
    NoEntryError,
)

ADMIN_VARIABLE: Final = 'TOUCANCTL_ADMIN'
TOKEN_VARIABLE: Final = 'TOUCANCTL_TOKEN'


def main() -> None:
    """Run one command and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(words: list[str]) -> int:
    """Return the exit code of one command."""
    arguments = make_parser().parse_args(words)
    try:
        return int(arguments.action(_make_client(arguments), arguments))
    except NoEntryError as error:
        sys.stderr.write(f'{error.code}: {error.text}\n')
        unknown = error.outcome is Outcome.unknown
        return EXIT_STORE_DOWN if unknown else EXIT_OTHER
    except CourseError as error:
        sys.stderr.write(f'{error.code}: {error.text}\n')
        return EXIT_USAGE if error.code == 'bad_contract' else EXIT_REFUSED


def _make_client(arguments: argparse.Namespace) -> Client:
    addresses = arguments.admin or os.environ.get(ADMIN_VARIABLE, '')
    token = os.environ.get(TOKEN_VARIABLE, '')
    if arguments.token_file:
        with open(arguments.token_file, encoding='utf-8') as token_file:
            token = token_file.read().strip()
    if not addresses:
        raise NoEntryError(f'give --admin or set {ADMIN_VARIABLE}')
    return Client(addresses.split(','), token)
