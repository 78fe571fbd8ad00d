"""Runs toucanctl against a fleet of real processes."""

import json
from pathlib import Path

import pytest

from standins.fleet import OPERATOR_TOKEN
from toucancourse.command.main import run

from .fleet import SmallFleet


@pytest.fixture(autouse=True)
def admin_environment(
    small_fleet: SmallFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Set the admin address and operator token of the fleet."""
    address = small_fleet.daemons['e1'].address
    monkeypatch.setenv('TOUCANCTL_ADMIN', address)
    monkeypatch.setenv('TOUCANCTL_TOKEN', OPERATOR_TOKEN)


def write_contract_file(
    capsys: pytest.CaptureFixture[str],
    folder: Path,
    customer: str,
) -> Path:
    """Write the output of `contract show` to a file and return its path."""
    capsys.readouterr()
    assert run(['contract', 'show', customer]) == 0
    path = folder / f'{customer}.ini'
    path.write_text(capsys.readouterr().out)
    return path


class TestContract:
    """The commands that show, validate, compare and apply contracts."""

    def test_round_trip(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        """The output of `contract show`, once edited, can be applied."""
        path = write_contract_file(capsys, tmp_path, 'garmi')
        text = path.read_text()
        path.write_text(text.replace('priority = 5', 'priority = 7'))
        assert run(['contract', 'check', str(path)]) == 0
        assert run(['contract', 'diff', str(path)]) == 1
        assert 'priority: 5 -> 7' in capsys.readouterr().out
        assert run(['contract', 'apply', str(path)]) == 0
        assert 'in force everywhere' in capsys.readouterr().out
        applied = write_contract_file(capsys, tmp_path, 'garmi').read_text()
        assert 'priority = 7' in applied

    def test_conflict(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        """A change of an old revision is rejected with the conflicting change.

        The output names the operator who changed the object first and lists
        the keys that differ.
        """
        path = write_contract_file(capsys, tmp_path, 'chikugo')
        edit = ['contract', 'edit', 'chikugo', 'concurrent=321']
        assert run(edit) == 0
        assert run(['contract', 'apply', str(path)]) == 4
        output = capsys.readouterr().out
        assert 'operator "first" changed it first' in output
        assert 'concurrent: 321 -> 500' in output

    @pytest.mark.parametrize(
        ('old', 'new', 'expected'),
        [
            ('quality = 0.6', 'quality = 0.99', 'key "quality"'),
            ('large@1', 'large@7', '"large@7" does not exist'),
            ('spend = 1000000000000', 'spend = -1', 'line 6: key "spend"'),
            ('priority = 5', 'prioriti = 5', 'key "prioriti" is unknown'),
        ],
    )
    def test_invalid_contract(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
        old: str,
        new: str,
        expected: str,
    ) -> None:
        """An invalid contract is rejected; the output names line and key."""
        path = write_contract_file(capsys, tmp_path, 'chikugo')
        assert old in path.read_text()
        path.write_text(path.read_text().replace(old, new))
        assert run(['contract', 'apply', str(path)]) in {2, 3}
        output = capsys.readouterr()
        assert expected in output.out + output.err
        assert 'line ' in output.out + output.err


class TestOthers:
    """The commands that are not about contracts."""

    def test_status_and_history(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """`status` lists the instances and `history` the changes."""
        assert run(['status']) == 0
        assert run(['history', 'contract/chikugo']) == 0
        output = capsys.readouterr().out
        assert 'm1' in output
        assert 'accepted' in output

    def test_rollout(self, capsys: pytest.CaptureFixture[str]) -> None:
        """A roll-out is started, advanced, held and rolled back."""
        add = ['version', 'add', 'small@2', '--prompt-price', '9']
        add += ['--completion-price', '20', '--quality', '*=0.7']
        assert run(add) == 0
        assert run(['rollout', 'start', 'small@1', 'small@2']) == 0
        assert run(['rollout', 'advance', 'small', '--percent', '50']) == 0
        assert run(['rollout', 'hold', 'small']) == 0
        assert run(['rollout', 'back', 'small']) == 0
        assert run(['rollout', 'status']) == 0
        assert 'back' in capsys.readouterr().out

    def test_zone(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Taking the last zone out of service is refused without --force."""
        assert run(['zone', 'out', 'west']) == 0
        assert run(['zone', 'out', 'east']) == 3
        assert '--force' in capsys.readouterr().out
        assert run(['zone', 'in', 'west']) == 0

    def test_explain(
        self, small_fleet: SmallFleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """`explain` shows a request's decision; an unknown id is an error."""
        response = small_fleet.chat()
        request = response.headers['x-request-id']
        assert run(['explain', request]) == 0
        assert 'small@1' in capsys.readouterr().out
        assert run(['explain', 'no:1']) == 3

    def test_roles(
        self,
        small_fleet: SmallFleet,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Role "operate" may take instances out but not change contracts.

        Secrets are replaced in responses, and an unknown token is rejected.
        """
        add = ['operator', 'add', 'apprentice', '--role', 'operate']
        assert run(add) == 0
        output = capsys.readouterr().out
        token = output.partition('token: ')[2].strip()
        monkeypatch.setenv('TOUCANCTL_TOKEN', token)
        assert run(['contract', 'edit', 'garmi', 'priority=1']) == 3
        assert 'forbidden' in capsys.readouterr().out
        assert run(['instance', 'out', 'm2']) == 0
        assert run(['instance', 'in', 'm2']) == 0
        capsys.readouterr()
        assert run(['--output', 'json', 'key', 'list']) == 0
        keys = json.loads(capsys.readouterr().out)
        assert {key['body']['secret'] for key in keys} == {'(hidden)'}
        monkeypatch.setenv('TOUCANCTL_TOKEN', 'wrong')
        assert run(['status']) == 3

    def test_bill_formats(
        self, small_fleet: SmallFleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A bill is printed as text, JSON and CSV."""
        small_fleet.chat()
        small_fleet.wait_billed(1)
        for output in ('text', 'json', 'csv'):
            assert run(['--output', output, 'bill', 'show', 'chikugo']) == 0
        assert 'completion_tokens' in capsys.readouterr().out

    def test_burn(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """An objective gives a page with a plot and alert rules."""
        edit = ['contract', 'edit', 'garmi', 'availability_objective=0.99']
        assert run(edit) == 0
        page = tmp_path / 'burn.html'
        assert run(['report', 'burn', '--html', str(page)]) == 0
        assert '<svg' in page.read_text()
        assert run(['report', 'alerts']) == 0
        assert 'Burn-garmi-availability-1h' in capsys.readouterr().out

    def test_no_entry(self, capsys: pytest.CaptureFixture[str]) -> None:
        """The error says that no entry listens at the address."""
        assert run(['--admin', '127.0.0.1:1', 'status']) == 1
        assert 'no entry answers' in capsys.readouterr().err
