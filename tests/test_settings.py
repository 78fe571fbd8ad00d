"""Settings files of a daemon: defaults and rejected settings."""

from pathlib import Path

import pytest

from toucancourse.settings.files import SettingsError, read_settings

GOOD = """
[daemon]
role = sidecar
instance = m1
zone = east
health_address = 127.0.0.1:1

[platform]
log_url = http://127.0.0.1:2
instances_url = http://127.0.0.1:2

[sidecar]
peer_address = 127.0.0.1:3
endpoint_url = http://127.0.0.1:4
"""


class TestReadSettings:
    """A file is accepted or rejected with a one-line error."""

    def test_good(self, tmp_path: Path) -> None:
        """Missing keys get their defaults."""
        path = tmp_path / 'good.ini'
        path.write_text(GOOD)
        settings = read_settings(str(path))
        assert settings.role == 'sidecar'
        assert settings.get_integer('sidecar', 'slots') == 16

    @pytest.mark.parametrize(
        ('old', 'new', 'expected'),
        [
            ('zone = east', '', 'key "zone" is missing'),
            ('zone = east', 'zone = a b', 'key "zone" has value "a b"'),
            ('zone', 'zonne', 'key "zonne" with value "east" is unknown'),
            ('[platform]', '[plattform]', 'section "plattform" is unknown'),
            ('sidecar\nins', 'leader\nins', 'one of entry, sidecar'),
            (':3', ':99999', 'allowed is IP:PORT'),
            ('http://127.0.0.1:4', 'ftp://x', 'allowed is http://'),
            ('[daemon]', 'daemon', 'is not INI'),
            ('role =', 'role = sidecar\nrole =', 'is not INI'),
        ],
    )
    def test_bad(
        self, tmp_path: Path, old: str, new: str, expected: str
    ) -> None:
        """The error names file, key and value and says what is allowed."""
        path = tmp_path / 'bad.ini'
        path.write_text(GOOD.replace(old, new, 1))
        with pytest.raises(SettingsError) as raised:
            read_settings(str(path))
        assert expected in raised.value.text
        assert str(path) in raised.value.text
        assert '\n' not in raised.value.text

    def test_no_file(self) -> None:
        """A missing file raises SettingsError."""
        with pytest.raises(SettingsError):
            read_settings('/nonexistent.ini')
