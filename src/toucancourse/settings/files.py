"""Reads and validates a daemon's INI file."""

from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from typing import NamedTuple

from ..errors import CourseError
from .schema import (
    ROLE_SECTIONS,
    SCHEMA,
    TLS_KEYS,
    TLS_SECTION,
    Option,
    Setting,
)


class SettingsError(CourseError):
    """The settings file is unreadable or has an invalid setting."""

    code = 'bad_settings'


class Settings(NamedTuple):
    """Validated settings: section -> key -> value."""

    path: str
    role: str
    sections: Mapping[str, Mapping[str, Setting]]

    def get_text(self, section: str, key: str) -> str:
        """Return a text setting."""
        return str(self.sections[section][key])

    def get_number(self, section: str, key: str) -> float:
        """Return a numeric setting."""
        return float(self.sections[section][key])

    def get_integer(self, section: str, key: str) -> int:
        """Return an integer setting."""
        return int(self.sections[section][key])

    def get_boolean(self, section: str, key: str) -> bool:
        """Return a boolean setting, "yes" or "no" in the file."""
        return bool(self.sections[section][key])


def read_settings(path: str) -> Settings:
    """Return the validated settings of a file.

    Raises SettingsError with one line that names the file, section, key and
    value and says which values are allowed.
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
    role = str(_read_setting(path, parser, 'daemon', 'role'))
    sections = {
        section: {
            key: _read_setting(path, parser, section, key)
            for key in SCHEMA[section]
        }
        for section in ROLE_SECTIONS[role]
    }
    _check_all_or_none(path, sections[TLS_SECTION])
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


def _check_all_or_none(path: str, section: Mapping[str, Setting]) -> None:
    """Raise SettingsError if some of the keys are set and some are not."""
    missing = [key for key in TLS_KEYS if not section[key]]
    if missing and len(missing) < len(TLS_KEYS):
        raise SettingsError(
            f'file "{path}", section "{TLS_SECTION}": '
            f'key "{missing[0]}" is missing; '
            f'allowed are all of {", ".join(TLS_KEYS)} or none',
        )


def _read_setting(
    path: str, parser: ConfigParser, section: str, key: str
) -> Setting:
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
