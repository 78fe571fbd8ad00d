"""Reads the TOML settings file that the platform writes for a process."""

import tomllib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ..settings.files import SettingsError

MS_PER_SECOND: Final = 1000.0
#: Defaults of optional keys in [bounds]; each is the strict choice.
DEFAULT_REVOCATION_MS: Final = 5000.0
DEFAULT_SESSION_SECONDS: Final = 5.0
DEFAULT_RETRY_SHARE: Final = 0.2
DEFAULT_RETRY_EXTRA: Final = 10.0
DEFAULT_RETRY_WINDOW_SECONDS: Final = 10.0


class NodeSettings(NamedTuple):
    """Validated settings of one process; times are in seconds."""

    path: str
    instance: str
    zone: str
    host: str
    #: "host:port" on which callers are served.
    callers: str
    #: "host:port" of the readiness probe.
    readiness: str
    memory_mb: int
    descriptors: int
    #: "host:port" of the store.
    store: str
    #: "host:port" on which other entries connect, or '' if no port is given.
    peers: str
    grace: float
    #: Time within which every entry must refuse a withdrawn key.
    revocation: float
    session: float
    retry_share: float
    retry_extra: float
    retry_window: float
    #: Factor and surplus by which requests to a cold endpoint may exceed its
    #: configured rate.
    cold_factor: float
    cold_excess: float


def read_node_settings(path: str) -> NodeSettings:
    """Return the validated settings of a file.

    Raises SettingsError with a one-line message of file, key and value.
    """
    try:
        with open(path, 'rb') as toml_file:
            tables = tomllib.load(toml_file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'file "{path}" is not readable: {error}'
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f'file "{path}" is not TOML: {error}') from error
    return _SettingsReader(path, tables).read()


class _SettingsReader:
    """Looks up and validates values in the parsed TOML tables."""

    def __init__(self, path: str, tables: Mapping[str, Any]) -> None:
        self._path = path
        self._tables = tables

    def read(self) -> NodeSettings:
        """Return all settings; raises SettingsError at the first bad one."""
        return NodeSettings(
            path=self._path,
            instance=self._get_text('nodeName'),
            zone=self._get_text('zone'),
            host=self._get_text('ipAddress'),
            callers=self._get_address('listenAddresses', 'frontend'),
            readiness=self._get_address('listenAddresses', 'ready'),
            memory_mb=int(self._get_number('limits', 'memoryMb')),
            descriptors=int(self._get_number('limits', 'fileDescriptors')),
            store=self._get_address('platform', 'address'),
            peers=self._get_peer_address(),
            grace=self._get_number('bounds', 'gracePeriodS'),
            revocation=self._get_number(
                'bounds', 'revocationMs', DEFAULT_REVOCATION_MS
            )
            / MS_PER_SECOND,
            session=self._get_number(
                'bounds', 'sessionTtlS', DEFAULT_SESSION_SECONDS
            ),
            retry_share=self._get_number(
                'bounds', 'retryBudgetRatio', DEFAULT_RETRY_SHARE
            ),
            retry_extra=self._get_number(
                'bounds', 'retryBudgetExtra', DEFAULT_RETRY_EXTRA
            ),
            retry_window=self._get_number(
                'bounds', 'retryWindowS', DEFAULT_RETRY_WINDOW_SECONDS
            ),
            cold_factor=self._get_number('bounds', 'coldOverrun', 1),
            cold_excess=self._get_number('bounds', 'coldTolerance', 0),
        )

    def _get_peer_address(self) -> str:
        """Return the address for other entries, on the first internal port."""
        setting = self._get_value('internalPortRange')
        if not isinstance(setting, list) or not setting:
            return ''
        if isinstance(setting[0], bool) or not isinstance(setting[0], int):
            raise self._make_error(('internalPortRange',), setting, 'two ports')
        return f'{self._get_text("ipAddress")}:{setting[0]}'

    def _get_value(self, *names: str) -> Any:
        setting: Any = self._tables
        for name in names:
            if not isinstance(setting, Mapping) or name not in setting:
                return None
            setting = setting[name]
        return setting

    def _get_text(self, *names: str) -> str:
        setting = self._get_value(*names)
        if not isinstance(setting, str) or not setting:
            raise self._make_error(names, setting, 'a string')
        return setting

    def _get_address(self, *names: str) -> str:
        setting = self._get_text(*names)
        host, _, port = setting.rpartition(':')
        if not host or not port.isdigit():
            raise self._make_error(names, setting, '"host:port"')
        return setting

    def _get_number(
        self,
        section: str,
        name: str,
        default: float | None = None,
    ) -> float:
        setting = self._get_value(section, name)
        if setting is None and default is not None:
            return default
        if isinstance(setting, bool) or not isinstance(setting, int | float):
            raise self._make_error((section, name), setting, 'a number')
        if setting < 0:
            raise self._make_error(
                (section, name), setting, 'a number of at least 0'
            )
        return float(setting)

    def _make_error(
        self,
        names: tuple[str, ...],
        setting: object,
        expected: str,
    ) -> SettingsError:
        return SettingsError(
            f'file "{self._path}": key "{".".join(names)}" has value '
            f'{setting!r}; expected {expected}'
        )
