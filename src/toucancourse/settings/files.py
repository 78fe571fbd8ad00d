"""Reads and checks a daemon's INI file."""

from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from typing import NamedTuple

from ..errors import CourseError
from .schema import KEYS, ROLE_SECTIONS, SCHEMA, TLS, Option, Setting


class SettingsError(CourseError):
    """The file holds an unknown or bad setting."""

    code = 'bad_settings'


class Settings(NamedTuple):
    """Checked settings: section -> key -> value."""

    path: str
    role: str
    sections: Mapping[str, Mapping[str, Setting]]

    def text(self, section: str, key: str) -> str:
        """Return a text setting."""
        return str(self.sections[section][key])

    def number(self, section: str, key: str) -> float:
        """Return a numeric setting."""
        return float(self.sections[section][key])

    def whole(self, section: str, key: str) -> int:
        """Return a whole-number setting."""
        return int(self.sections[section][key])

    def switch(self, section: str, key: str) -> bool:
        """Return a yes-or-no setting."""
        return bool(self.sections[section][key])


def read_settings(path: str) -> Settings:
    """Return the checked settings of a file.

    Raises SettingsError with one line that names file, section, key, value
    and what is allowed.
    """
    parser = ConfigParser(interpolation=None, default_section='\0')
    try:
        with open(path, encoding='utf-8') as ini_file:
            parser.read_file(ini_file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'file "{path}" is not readable: {error}'
        ) from error
    except IniError as error:
        line = ' '.join(str(error).split())
        raise SettingsError(f'file "{path}" is not INI: {line}') from error
    _check_names(path, parser)
    role = str(_read(path, parser, 'daemon', 'role'))
    sections = {
        section: {
            key: _read(path, parser, section, key) for key in SCHEMA[section]
        }
        for section in ROLE_SECTIONS[role]
    }
    _check_whole(path, sections[TLS])
    return Settings(path, role, sections)


def _check_names(path: str, parser: ConfigParser) -> None:
    for section in parser.sections():
        options = SCHEMA.get(section)
        if options is None:
            allowed = ', '.join(SCHEMA)
            raise SettingsError(
                f'file "{path}": section "{section}" is unknown; '
                f'allowed are {allowed}',
            )
        for key, text in parser.items(section):
            if key not in options:
                allowed = ', '.join(options)
                raise SettingsError(
                    f'file "{path}", section "{section}": key "{key}" with '
                    f'value "{text}" is unknown; allowed are {allowed}',
                )


def _check_whole(path: str, section: Mapping[str, Setting]) -> None:
    """Raise SettingsError if some of the keys are set and some are not."""
    missing = [key for key in KEYS if not section[key]]
    if missing and len(missing) < len(KEYS):
        raise SettingsError(
            f'file "{path}", section "{TLS}": key "{missing[0]}" is missing; '
            f'allowed are all of {", ".join(KEYS)} or none',
        )


def _read(path: str, parser: ConfigParser, section: str, key: str) -> Setting:
    option: Option = SCHEMA[section][key]
    text = parser.get(section, key, fallback=None)
    if text is None:
        if option.default is not None:
            return option.default
        raise SettingsError(
            f'file "{path}", section "{section}": key "{key}" is missing; '
            f'allowed is {option.allowed}',
        )
    try:
        return option.parse(text)
    except (ValueError, KeyError) as error:
        raise SettingsError(
            f'file "{path}", section "{section}": key "{key}" has value '
            f'"{text}"; allowed is {option.allowed}',
        ) from error
