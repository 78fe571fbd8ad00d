"""Reads and writes customer contracts as INI files."""

from collections.abc import Callable, Iterator, Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from typing import Any, Final, NamedTuple

from ..errors import CourseError
from .objects import check_body

SECTION: Final = 'contract'
REVISION: Final = 'revision'


class ContractFileError(CourseError):
    """The file is not a valid contract; the text names line and key."""

    code = 'bad_contract'


class ContractFile(NamedTuple):
    """One contract of a file and the revision that it is based on."""

    customer: str
    base: int
    body: dict[str, Any]
    #: Key -> line number in the file.
    lines: Mapping[str, int]


def _parse_names(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


#: Key -> parser of its text. Objectives and hedging are optional.
PARSERS: Final[Mapping[str, Callable[[str], Any]]] = {
    'versions': _parse_names,
    'services': _parse_names,
    'quality': float,
    'spend': int,
    'requests_per_second': float,
    'concurrent': int,
    'max_output_tokens': int,
    'priority': int,
    'keys': _parse_names,
    'availability_objective': float,
    'first_token_objective': float,
    'first_token_seconds': float,
    'hedge_seconds': float,
    'quality_objective': float,
}


def read_contracts(path: str) -> list[ContractFile]:
    """Return the contracts of an INI file.

    Raises ContractFileError, which names file, line and key.
    """
    try:
        with open(path, encoding='utf-8') as ini_file:
            text = ini_file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ContractFileError(
            f'file "{path}" is not readable: {error}'
        ) from error
    parser = ConfigParser(interpolation=None, default_section='\0')
    try:
        parser.read_string(text, path)
    except IniError as error:
        line = ' '.join(str(error).split())
        raise ContractFileError(f'file "{path}" is not INI: {line}') from error
    return [
        _read_section(path, parser, section, _find_lines(text, section))
        for section in parser.sections()
    ]


def write_contract(
    customer: str,
    revision: int,
    body: Mapping[str, Any],
) -> str:
    """Return the INI text of a contract."""
    lines = [f'[{SECTION} {customer}]', f'{REVISION} = {revision}']
    for key in PARSERS:
        if key not in body:
            continue
        value = body[key]
        text = ', '.join(value) if isinstance(value, list) else str(value)
        lines.append(f'{key} = {text}')
    lines.append('')
    return '\n'.join(lines)


def _read_section(
    path: str,
    parser: ConfigParser,
    section: str,
    lines: Mapping[str, int],
) -> ContractFile:
    kind, _, customer = section.partition(' ')
    if kind != SECTION or not customer.strip():
        raise ContractFileError(
            f'file "{path}": section "{section}" is not "{SECTION} CUSTOMER"'
        )
    body = {
        key: _parse_value(path, lines.get(key, 0), key, text)
        for key, text in parser.items(section)
    }
    base = int(body.pop(REVISION, 0))
    for problem in check_body(SECTION, body):
        line = lines.get(problem.key, lines[''])
        raise ContractFileError(f'file "{path}", line {line}: {problem.text}')
    return ContractFile(customer.strip(), base, body, lines)


def _parse_value(path: str, line: int, key: str, text: str) -> Any:
    parse = int if key == REVISION else PARSERS.get(key)
    location = f'file "{path}", line {line}, key "{key}"'
    if parse is None:
        allowed = ', '.join((REVISION, *PARSERS))
        raise ContractFileError(f'{location} is unknown; allowed are {allowed}')
    try:
        return parse(text)
    except ValueError as error:
        raise ContractFileError(f'{location} has value "{text}"') from error


def _find_lines(text: str, section: str) -> dict[str, int]:
    """Return key -> line number of a section; key '' is its header."""
    return dict(_scan_lines(text, f'[{section}]'))


def _scan_lines(text: str, header: str) -> Iterator[tuple[str, int]]:
    in_section = False
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith('['):
            in_section = stripped == header
            if in_section:
                yield '', number
        elif in_section and '=' in stripped:
            yield stripped.partition('=')[0].strip().lower(), number
