"""The check of a configuration before it is sent; returns its exit code."""

import argparse
import os
import sys
from pathlib import Path
from typing import Final

from ..errors import DECODE_ERRORS, CourseError
from ..forwarding.comparison import Difference, compare_tables
from ..forwarding.objects import RoutingTable
from ..platform.checks import (
    check_endpoints,
    check_revision,
    check_table,
)
from ..platform.findings import Finding, Level
from ..platform.in_force import fetch_configuration, fetch_endpoints
from ..platform.records import decode_table
from .client import EXIT_FAILURE, EXIT_REFUSED
from .output import format_json

STORE_VARIABLE: Final = 'TOUCANCTL_STORE'
#: Value of --against that stands for the store's configuration.
IN_FORCE: Final = 'in-force'


class FileError(CourseError):
    """A file can't be read, or is no configuration to compare with."""

    code = 'bad_file'


def check_configuration(arguments: argparse.Namespace) -> int:
    """Print the findings in a file, and what it changes.

    Returns EXIT_REFUSED with an error, EXIT_FAILURE with warnings only. Raises
    FileError and LogDownError.
    """
    raw = _read(arguments.file)
    findings = check_table(raw)
    differences: list[Difference] = []
    if not _has_error(findings):
        table = decode_table(raw)
        if arguments.endpoints:
            services = {
                endpoint.service
                for endpoint in fetch_endpoints(_find_store(arguments))
                if not endpoint.draining
            }
            findings += check_endpoints(raw, services)
        old = _read_other(arguments)
        if old is not None:
            findings += check_revision(raw, old)
            differences = compare_tables(old, table)
    _print_report(arguments, findings, differences)
    if _has_error(findings):
        return EXIT_REFUSED
    return EXIT_FAILURE if findings else 0


def _has_error(findings: list[Finding]) -> bool:
    return any(finding.level is Level.error for finding in findings)


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise FileError(f'"{path}" can not be read: {error}') from error


def _read_other(arguments: argparse.Namespace) -> RoutingTable | None:
    """Return the table to compare with, or None without one."""
    if not arguments.against:
        return None
    if arguments.against == IN_FORCE:
        raw = fetch_configuration(_find_store(arguments))
    else:
        raw = _read(arguments.against)
    if raw is None:
        return None
    try:
        return decode_table(raw)
    except DECODE_ERRORS as error:
        raise FileError(
            f'"{arguments.against}" is no configuration: {error!r}'
        ) from error


def _find_store(arguments: argparse.Namespace) -> str:
    address = arguments.store or os.environ.get(STORE_VARIABLE, '')
    if not address.rpartition(':')[-1].isdecimal():
        raise FileError(f'give --store or set {STORE_VARIABLE}, as IP:PORT')
    return str(address)


def _find_line(finding: Finding) -> int:
    return finding.line


def _print_report(
    arguments: argparse.Namespace,
    findings: list[Finding],
    differences: list[Difference],
) -> None:
    if arguments.output == 'json':
        report = {
            'findings': [
                finding._asdict()
                for finding in sorted(findings, key=_find_line)
            ],
            'differences': [each._asdict() for each in differences],
        }
        sys.stdout.write(f'{format_json(report)}\n')
        return
    for finding in sorted(findings, key=_find_line):
        place = f'line {finding.line}, {finding.field}'.rstrip(', ')
        sys.stdout.write(f'{finding.level}: {place}: {finding.text}\n')
    for each in differences:
        sys.stdout.write(f'{each.subject}: {each.text}; {each.effect}\n')
