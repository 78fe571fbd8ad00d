"""The operators' command-line tool against a running fleet."""

import json
from pathlib import Path

import pytest

from standins.fleet import OPERATOR_TOKEN
from toucancourse.command.main import run

from .fleet import SmallFleet


@pytest.fixture(autouse=True)
def operator(small_fleet: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Point the tool at the fleet."""
    address = small_fleet.daemons['e1'].address
    monkeypatch.setenv('TOUCANCTL_ADMIN', address)
    monkeypatch.setenv('TOUCANCTL_TOKEN', OPERATOR_TOKEN)


def read_file(
    capsys: pytest.CaptureFixture[str],
    folder: Path,
    customer: str,
) -> Path:
    """Write a contract as `contract show` prints it; return the file."""
    capsys.readouterr()
    assert run(['contract', 'show', customer]) == 0
    path = folder / f'{customer}.ini'
    path.write_text(capsys.readouterr().out)
    return path


class TestContract:
    """Contracts are read, judged, compared and published."""

    def test_round_trip(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        """A shown contract can be edited and applied."""
        path = read_file(capsys, tmp_path, 'garmi')
        text = path.read_text()
        path.write_text(text.replace('priority = 5', 'priority = 7'))
        assert run(['contract', 'check', str(path)]) == 0
        assert run(['contract', 'diff', str(path)]) == 1
        assert 'priority: 5 -> 7' in capsys.readouterr().out
        assert run(['contract', 'apply', str(path)]) == 0
        assert 'in force everywhere' in capsys.readouterr().out
        fresh = read_file(capsys, tmp_path, 'garmi').read_text()
        assert 'priority = 7' in fresh

    def test_lost_race(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
    ) -> None:
        """The second of two changes is told who won and what differs."""
        path = read_file(capsys, tmp_path, 'chikugo')
        edit = ['contract', 'edit', 'chikugo', 'concurrent=321']
        assert run(edit) == 0
        assert run(['contract', 'apply', str(path)]) == 4
        told = capsys.readouterr().out
        assert 'operator "first" changed it first' in told
        assert 'concurrent: 321 -> 500' in told

    @pytest.mark.parametrize(
        ('old', 'new', 'told'),
        [
            ('quality = 0.6', 'quality = 0.99', 'key "quality"'),
            ('large@1', 'large@7', '"large@7" does not exist'),
            ('spend = 1000000000000', 'spend = -1', 'line 6: key "spend"'),
            ('priority = 5', 'prioriti = 5', 'key "prioriti" is unknown'),
        ],
    )
    def test_refused_with_line(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: Path,
        old: str,
        new: str,
        told: str,
    ) -> None:
        """An invalid contract is refused naming the line and key."""
        path = read_file(capsys, tmp_path, 'chikugo')
        assert old in path.read_text()
        path.write_text(path.read_text().replace(old, new))
        assert run(['contract', 'apply', str(path)]) in {2, 3}
        output = capsys.readouterr()
        assert told in output.out + output.err
        assert 'line ' in output.out + output.err


class TestOthers:
    """The remaining commands."""

    def test_status_and_history(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Status lists instances, history the changes."""
        assert run(['status']) == 0
        assert run(['history', 'contract/chikugo']) == 0
        told = capsys.readouterr().out
        assert 'm1' in told
        assert 'accepted' in told

    def test_rollout(self, capsys: pytest.CaptureFixture[str]) -> None:
        """A roll-out goes through its stages."""
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
        """A zone goes out and in; the last one only with --force."""
        assert run(['zone', 'out', 'west']) == 0
        assert run(['zone', 'out', 'east']) == 3
        assert '--force' in capsys.readouterr().out
        assert run(['zone', 'in', 'west']) == 0

    def test_explain(
        self, small_fleet: SmallFleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A request's decision is shown; an unknown one is an error."""
        answer = small_fleet.chat()
        request = answer.headers['x-request-id']
        assert run(['explain', request]) == 0
        assert 'small@1' in capsys.readouterr().out
        assert run(['explain', 'no:1']) == 3

    def test_roles(
        self,
        small_fleet: SmallFleet,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """An apprentice may operate, not administer; secrets stay hidden."""
        add = ['operator', 'add', 'apprentice', '--role', 'operate']
        assert run(add) == 0
        told = capsys.readouterr().out
        token = told.partition('token: ')[2].strip()
        monkeypatch.setenv('TOUCANCTL_TOKEN', token)
        assert run(['contract', 'edit', 'garmi', 'priority=1']) == 3
        assert 'forbidden' in capsys.readouterr().out
        assert run(['instance', 'out', 'm2']) == 0
        assert run(['instance', 'in', 'm2']) == 0
        capsys.readouterr()
        assert run(['--output', 'json', 'key', 'list']) == 0
        keys = json.loads(capsys.readouterr().out)
        assert {row['body']['secret'] for row in keys} == {'(hidden)'}
        monkeypatch.setenv('TOUCANCTL_TOKEN', 'wrong')
        assert run(['status']) == 3

    def test_bill_formats(
        self, small_fleet: SmallFleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The statement comes as text, JSON and CSV."""
        small_fleet.chat()
        small_fleet.wait_billed(1)
        for form in ('text', 'json', 'csv'):
            assert run(['--output', form, 'bill', 'show', 'chikugo']) == 0
        assert 'completion_tokens' in capsys.readouterr().out

    def test_burn(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Objectives give burn rows, a page and alert rules."""
        edit = ['contract', 'edit', 'garmi', 'availability_objective=0.99']
        assert run(edit) == 0
        page = tmp_path / 'burn.html'
        assert run(['report', 'burn', '--html', str(page)]) == 0
        assert '<svg' in page.read_text()
        assert run(['report', 'alerts']) == 0
        assert 'Burn-garmi-availability-1h' in capsys.readouterr().out

    def test_no_entry(self, capsys: pytest.CaptureFixture[str]) -> None:
        """An address where nothing listens is said so."""
        assert run(['--admin', '127.0.0.1:1', 'status']) == 1
        assert 'no entry answers' in capsys.readouterr().err
