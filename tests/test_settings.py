"""Settings files: one bad setting a case."""

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
    """A file is read whole or refused with one line."""

    def test_good(self, tmp_path: Path) -> None:
        """Defaults fill what is not given."""
        path = tmp_path / 'good.ini'
        path.write_text(GOOD)
        settings = read_settings(str(path))
        assert settings.role == 'sidecar'
        assert settings.whole('sidecar', 'slots') == 16

    @pytest.mark.parametrize(
        ('old', 'new', 'told'),
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
    def test_bad(self, tmp_path: Path, old: str, new: str, told: str) -> None:
        """The line names file, section, key, value and what is allowed."""
        path = tmp_path / 'bad.ini'
        path.write_text(GOOD.replace(old, new, 1))
        with pytest.raises(SettingsError) as raised:
            read_settings(str(path))
        assert told in raised.value.text
        assert str(path) in raised.value.text
        assert '\n' not in raised.value.text

    def test_no_file(self) -> None:
        """A missing file is said so."""
        with pytest.raises(SettingsError):
            read_settings('/nonexistent.ini')
