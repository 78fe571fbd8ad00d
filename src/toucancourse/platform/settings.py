"""Reads the settings file that the platform gives to a process."""

import tomllib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..settings.files import SettingsError

MS: Final = 1000.0
#: Values of bounds that a file may leave out; the strict side of each.
REVOCATION_MS: Final = 5000.0
SESSION_SECONDS: Final = 5.0
RETRY_SHARE: Final = 0.2
RETRY_EXTRA: Final = 10.0
RETRY_WINDOW: Final = 10.0


class NodeSettings(NamedTuple):
    """Checked settings of one process; times are in seconds."""

    path: str
    instance: str
    zone: str
    host: str
    #: "host:port" for callers.
    callers: str
    #: "host:port" for readiness.
    readiness: str
    memory_mb: int
    descriptors: int
    #: "host:port" of the store.
    store: str
    #: "host:port" for other entries, or '' if there is no port for it.
    peers: str
    grace: float
    #: Time after which a withdrawn key must be refused everywhere.
    revocation: float
    session: float
    retry_share: float
    retry_extra: float
    retry_window: float
    #: Factor and excess allowed of a cold endpoint's rate.
    cold_factor: float
    cold_excess: float


def read_node_settings(path: str) -> NodeSettings:
    """Return the checked settings of a file.

    Raises SettingsError with one line that names file, key and value.
    """
    try:
        with open(path, 'rb') as toml_file:
            row = tomllib.load(toml_file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'file "{path}" is not readable: {error}'
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f'file "{path}" is not TOML: {error}') from error
    return _Reader(path, row).read()


class _Reader:
    """Takes settings out of nested tables."""

    def __init__(self, path: str, row: Mapping[str, Any]) -> None:
        self._path = path
        self._row = row

    def read(self) -> NodeSettings:
        """Return the settings."""
        return NodeSettings(
            path=self._path,
            instance=self._text('nodeName'),
            zone=self._text('zone'),
            host=self._text('ipAddress'),
            callers=self._address('listenAddresses', 'frontend'),
            readiness=self._address('listenAddresses', 'ready'),
            memory_mb=int(self._number('limits', 'memoryMb')),
            descriptors=int(self._number('limits', 'fileDescriptors')),
            store=self._address('platform', 'address'),
            peers=self._find_peers(),
            grace=self._number('bounds', 'gracePeriodS'),
            revocation=self._number('bounds', 'revocationMs', REVOCATION_MS)
            / MS,
            session=self._number('bounds', 'sessionTtlS', SESSION_SECONDS),
            retry_share=self._number('bounds', 'retryBudgetRatio', RETRY_SHARE),
            retry_extra=self._number('bounds', 'retryBudgetExtra', RETRY_EXTRA),
            retry_window=self._number('bounds', 'retryWindowS', RETRY_WINDOW),
            cold_factor=self._number('bounds', 'coldOverrun', 1),
            cold_excess=self._number('bounds', 'coldTolerance', 0),
        )

    def _find_peers(self) -> str:
        """Return the address on the first port for calls between daemons."""
        found = self._find('internalPortRange')
        if not isinstance(found, list) or not found:
            return ''
        if isinstance(found[0], bool) or not isinstance(found[0], int):
            raise self._error(('internalPortRange',), found, 'two ports')
        return f'{self._text("ipAddress")}:{found[0]}'

    def _find(self, *names: str) -> Any:
        found: Any = self._row
        for name in names:
            if not isinstance(found, Mapping) or name not in found:
                return None
            found = found[name]
        return found

    def _text(self, *names: str) -> str:
        found = self._find(*names)
        if not isinstance(found, str) or not found:
            raise self._error(names, found, 'a text')
        return found

    def _address(self, *names: str) -> str:
        found = self._text(*names)
        host, _, port = found.rpartition(':')
        if not host or not port.isdigit():
            raise self._error(names, found, '"host:port"')
        return found

    def _number(
        self,
        section: str,
        name: str,
        default: float | None = None,
    ) -> float:
        found = self._find(section, name)
        if found is None and default is not None:
            return default
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise self._error((section, name), found, 'a number')
        if found < 0:
            raise self._error((section, name), found, 'a number from 0 on')
        return float(found)

    def _error(
        self,
        names: tuple[str, ...],
        found: object,
        allowed: str,
    ) -> SettingsError:
        return SettingsError(
            f'file "{self._path}": key "{".".join(names)}" has value '
            f'{found!r}; allowed is {allowed}'
        )
