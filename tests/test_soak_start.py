"""The error of a soak whose entries do not start."""

from pathlib import Path

import pytest

from bench import soak


class TestStart:
    """A fleet that does not start leaves its logs and no process."""

    # Guards against entries that go on running beside later tests.
    def test_error_has_logs(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleets: list[soak.SoakFleet] = []

        def never_ready(fleet: soak.SoakFleet) -> bool:
            fleets.append(fleet)
            fleet.probe(0, 'look', soak.API_KEYS[0])
            return False

        monkeypatch.setattr(soak, 'RECOVERY_TIMEOUT_SECONDS', 1.0)
        monkeypatch.setattr(soak.SoakFleet, 'ensure_ready', never_ready)
        with pytest.raises(TimeoutError, match='entry-0, running: True'):
            soak.SoakFleet(3, tmp_path)
        assert not any(entry.is_running() for entry in fleets[0].entries)
