"""What is wrong with a configuration, and where."""

from enum import StrEnum
from typing import NamedTuple

from .lines import LocatedObject


class Level(StrEnum):
    """Whether a finding keeps a configuration from being applied."""

    error = 'error'
    warning = 'warning'


class Finding(NamedTuple):
    """What is wrong with a configuration, and where."""

    level: Level
    line: int
    #: Path of the field, such as "routes[2].host", or '' for the whole.
    field: str
    text: str


class Item(NamedTuple):
    """An object of the configuration and its path."""

    fields: LocatedObject
    path: str

    def warn(self, field: str, text: str) -> Finding:
        """Return a warning about a field."""
        return self._find(Level.warning, field, text)

    def refuse(self, field: str, text: str) -> Finding:
        """Return an error in a field."""
        return self._find(Level.error, field, text)

    def read_number(self, field: str) -> float:
        """Return a number, or 0 without one."""
        return float(self.fields.get(field) or 0)

    def _find(self, level: Level, field: str, text: str) -> Finding:
        path = f'{self.path}.{field}' if self.path else field
        return Finding(level, self.fields.find_line(field), path, text)
