"""The check of a configuration before it is sent."""

import base64
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.operator_config import HOST, KEY, make_operator_config
from standins.rawserver import RawServer
from standins.replica import make_record
from toucancourse.command.main import run
from toucancourse.errors import DECODE_ERRORS
from toucancourse.forwarding.comparison import compare_tables
from toucancourse.forwarding.tables import OperatorConfig
from toucancourse.platform.checks import check_table
from toucancourse.platform.findings import Finding, Level
from toucancourse.platform.lines import LocatedObject, decode_located
from toucancourse.platform.records import PlatformDecoder, decode_table

Change = Callable[[dict[str, Any]], object]

JSON: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)
#: What a field may hold beside what it should.
ODD: Final = st.sampled_from(
    (None, '', 'x', '/a/', 0, -1, 1.5, 10**400, float('nan'), float('inf'))
) | st.sampled_from((True, [], [None], ['a'], {}, 'NaN', '12', '-5'))


def make_object(**fields: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    """Return objects whose fields may be odd, or missing."""
    return st.fixed_dictionaries(
        {}, optional={name: each | ODD for name, each in fields.items()}
    )


NUMBERS: Final = st.integers(0, 50_000)
SHARES: Final = make_object(
    service=st.sampled_from(('desk', 'other')), weight=st.integers(0, 3)
)
ROUTES: Final = make_object(
    name=st.sampled_from(('a', 'b')),
    host=st.sampled_from((HOST, 'Desk.example')),
    pathPrefix=st.sampled_from(('/a/', '/a/b/', 'a')),
    kind=st.sampled_from(('safe', 'unsafe', 'streaming')),
    service=st.just('desk'),
    trafficSplit=st.lists(SHARES, max_size=2),
    timeoutMs=NUMBERS,
    targetLatencyMs=NUMBERS,
    gapTargetMs=NUMBERS,
    priority=st.integers(0, 9),
    maxAttempts=st.integers(0, 6),
    anonymous=st.booleans(),
    streamResumption=st.booleans(),
    sizes=st.just(['small', 'large']),
)
CONFIGURATIONS: Final = make_object(
    version=st.integers(1, 9),
    routes=st.lists(ROUTES | ODD, max_size=2),
    services=st.lists(
        make_object(name=st.just('desk'), coldPerS=NUMBERS) | ODD, max_size=2
    ),
    tenants=st.lists(
        make_object(
            name=st.just('t'),
            apiKeys=st.lists(st.sampled_from(('k', 'l', '')), max_size=2),
            priority=st.integers(0, 9),
        )
        | ODD,
        max_size=2,
    ),
    limits=make_object(idleTimeoutMs=NUMBERS, maxBodyBytes=NUMBERS),
)


def change(edit: Change) -> bytes:
    """Return the sound configuration, changed, one field a line."""
    fields = json.loads(make_operator_config())
    edit(fields)
    return json.dumps(fields, indent=1).encode()


def has_error(findings: list[Finding]) -> bool:
    """Return True if a configuration would be refused."""
    return any(finding.level is Level.error for finding in findings)


def check_agreement(raw: bytes) -> None:
    """Check that what has no error is applied, and the refused has one."""
    is_refused = has_error(check_table(raw))
    try:
        table = decode_table(raw)
    except DECODE_ERRORS:
        assert is_refused
        return
    if not is_refused:
        operators = OperatorConfig(PlatformDecoder())
        operators.apply('config', raw)
        assert operators.table == table


class TestAgreement:
    """The check and the daemon's decoder agree."""

    @given(CONFIGURATIONS)
    def test_odd_configurations(self, fields: Any) -> None:
        check_agreement(json.dumps(fields).encode())

    # The same, with one or two odd fields in a sound configuration.
    @given(st.data())
    def test_odd_fields(self, data: st.DataObject) -> None:
        fields = json.loads(make_operator_config())
        for _ in range(data.draw(st.integers(0, 2))):
            place = fields
            while isinstance(place, dict | list) and place:
                keys = (
                    list(place)
                    if isinstance(place, dict)
                    else range(len(place))
                )
                key = data.draw(st.sampled_from(list(keys)))
                if data.draw(st.booleans()) or not isinstance(
                    place[key], dict | list
                ):
                    place[key] = data.draw(ODD)
                    break
                place = place[key]
        check_agreement(json.dumps(fields).encode())

    @given(st.integers(0, 3000), st.binary(max_size=3))
    def test_broken_texts(self, place: int, content: bytes) -> None:
        raw = make_operator_config()
        check_agreement(raw[:place] + content + raw[place:])
        check_agreement(raw[:place] + content)

    @given(JSON)
    def test_other_documents(self, value: Any) -> None:
        check_agreement(json.dumps(value).encode())

    def test_deep_nesting(self) -> None:
        check_agreement(b'[' * 100_000)
        check_agreement(b'{"version": ' * 100_000)

    def test_sound_configuration_has_no_findings(self) -> None:
        raw = change(lambda fields: fields['routes'].pop(2))
        assert not check_table(raw)


class TestLines:
    """JSON objects know where their fields are."""

    @given(JSON)
    def test_value_is_that_of_json(self, value: Any) -> None:
        raw = json.dumps(value).encode()
        located = decode_located(raw)
        assert json.dumps(located) == json.dumps(json.loads(raw))

    @given(JSON, st.sampled_from((None, 0, 2)))
    def test_line_is_that_of_the_field(
        self, value: Any, indent: int | None
    ) -> None:
        text = json.dumps({'top': value}, indent=indent)
        pending = [decode_located(text.encode())]
        while pending:
            place = pending.pop()
            if isinstance(place, list):
                pending.extend(place)
            elif isinstance(place, LocatedObject):
                pending.extend(place.values())
                for name in place:
                    line = text.split('\n')[place.find_line(name) - 1]
                    assert json.dumps(name) in line

    def test_line_of_a_syntax_error(self) -> None:
        (finding,) = check_table(b'{"version": 1,\n"routes": ]}')
        assert finding.line == 2

    def test_repeated_field(self) -> None:
        raw = b'{"version": 1, "version": 2, "routes": [], "services": []}'
        (finding,) = check_table(raw)
        assert (finding.level, finding.field) == (Level.warning, 'version')


#: Change of the sound configuration, and field and text of a finding.
FINDINGS: Final[tuple[tuple[Change, str, str], ...]] = (
    (lambda f: f['routes'][1].update(pathPrefix='/book/'), '[1].pathPrefix',
     'never matches: routes[0]'),
    (lambda f: f['routes'][0].update(pathPrefix='book/'), '[0].pathPrefix',
     'never matches'),
    (lambda f: f['routes'][0].update(pathPrefix='/book'), '[0].pathPrefix',
     'ends without'),
    (lambda f: f['routes'][0].update(host='Desk.example'), '[0].host',
     'lower case'),
    (lambda f: f['routes'][0].update(name='look'), '[1].name',
     'routes[0] as well'),
    (lambda f: f['routes'][0].update(service='gone'), '[0].service',
     'not defined'),
    (lambda f: f['routes'][0].update(trafficSplit=[
        {'service': 'desk', 'weight': 0}]), 'trafficSplit', 'all weights'),
    (lambda f: f['routes'][0].update(trafficSplit=[
        {'service': 'desk', 'weight': 1}, {'service': 'gone', 'weight': 0}]),
     'trafficSplit[1].weight', 'gets nothing'),
    (lambda f: f['routes'][0].update(timeoutMs=500), '[0].timeoutMs',
     'below the target'),
    (lambda f: f['routes'][0].update(timeoutMs=50_000), '[0].timeoutMs',
     'beyond'),
    (lambda f: f['routes'][3].update(gapTargetMs=3000), '[3].gapTargetMs',
     'above the timeout'),
    (lambda f: f['routes'][0].update(gapTargetMs=30), '[0].gapTargetMs',
     'no effect'),
    (lambda f: f['routes'][0].update(maxAttempts=2), '[0].maxAttempts',
     'only once'),
    (lambda f: f['routes'][1].update(maxAttempts=9), '[1].maxAttempts',
     'no more than'),
    (lambda f: f['routes'][1].update(timeoutMs=1000), '[1].maxAttempts',
     'longer than the timeout'),
    (lambda f: f['routes'][1].update(streamResumption=True),
     '[1].streamResumption', 'no effect'),
    (lambda f: f['services'].append({'name': 'idle'}), 'services[1].name',
     'no route'),
    (lambda f: f['limits'].update(maxBodyBytes=0), 'limits.maxBodyBytes',
     'allows nothing'),
    (lambda f: f['tenants'].append({'name': 'b', 'apiKeys': [KEY]}),
     'tenants[1].apiKeys', 'tenants[0] as well'),
    (lambda f: f['tenants'].append({'name': 'b', 'apiKeys': []}),
     'tenants[1].apiKeys', 'nobody'),
    (lambda f: f.update(tenants=[]), 'tenants', 'only anonymous'),
    (lambda f: f.update(version=1), 'routes[2].anonymous', 'no key'),
)  # fmt: skip
ERRORS: Final[tuple[tuple[Change, str], ...]] = (
    (lambda f: f.pop('version'), 'version'),
    (lambda f: f['routes'][0].update(kind='other'), 'routes[0].kind'),
    (lambda f: f['routes'][0].update(timeoutMs='2s'), 'routes[0].timeoutMs'),
    (lambda f: f['routes'][0].pop('service'), 'routes[0].service'),
    (lambda f: f['routes'][0].update(trafficSplit=[{'service': 'desk'}]),
     'routes[0].trafficSplit[0].weight'),
    (lambda f: f['tenants'][0].pop('apiKeys'), 'tenants[0].apiKeys'),
    (lambda f: f.update(limits=3), 'limits'),
    (lambda f: f['routes'].append(3), 'routes'),
)  # fmt: skip


class TestFindings:
    """Each kind of finding names its field and line."""

    @pytest.mark.parametrize(('edit', 'field', 'text'), FINDINGS)
    def test_warning(self, edit: Change, field: str, text: str) -> None:
        raw = change(edit)
        findings = check_table(raw)
        assert not has_error(findings)
        found = [
            finding
            for finding in findings
            if finding.field.endswith(field) and text in finding.text
        ]
        assert found
        line = raw.decode().split('\n')[found[0].line - 1]
        assert f'"{field.rpartition(".")[2]}"' in line

    @pytest.mark.parametrize(('edit', 'field'), ERRORS)
    def test_error(self, edit: Change, field: str) -> None:
        findings = check_table(change(edit))
        assert [
            finding
            for finding in findings
            if finding.field == field and finding.level is Level.error
        ]


#: Change of the sound configuration, and the text of a difference's effect.
DIFFERENCES: Final[tuple[tuple[Change, str], ...]] = (
    (lambda f: f['routes'].pop(0), '404 from then on'),
    (lambda f: f['routes'][0].update(pathPrefix='/pay/'), '404 before'),
    (lambda f: f['routes'].append(
        {**f['routes'][0], 'pathPrefix': '/book/x/'}), 'takes requests of'),
    (lambda f: f['routes'][0].update(timeoutMs=9), 'keep the old one'),
    (lambda f: f['routes'][0].update(service='other'), 'end where they are'),
    (lambda f: f['routes'][0].update(kind='safe'), 'run twice'),
    (lambda f: f['routes'][1].update(kind='unsafe'), 'not repeated'),
    (lambda f: f['routes'][0].update(anonymous=True), 'let in'),
    (lambda f: f['routes'][1].update(maxAttempts=3), 'requests that run'),
    (lambda f: f['routes'][1].update(priority=3), 'new attempts'),
    (lambda f: f['tenants'][0].update(apiKeys=['other']), 'revocation time'),
    (lambda f: f['tenants'][0].update(name='b'), 'old account'),
    (lambda f: f.pop('tenants'), 'without a key'),
    (lambda f: f['services'][0].update(coldPerS=1), 'new attempts'),
    (lambda f: f['limits'].update(idleTimeoutMs=9), 'open connections'),
)  # fmt: skip


class TestDifferences:
    """A comparison tells what a configuration does to callers."""

    @pytest.mark.parametrize(('edit', 'effect'), DIFFERENCES)
    def test_effect(self, edit: Change, effect: str) -> None:
        old = decode_table(make_operator_config())
        differences = compare_tables(old, decode_table(change(edit)))
        assert [each for each in differences if effect in each.effect]

    def test_equal_tables(self) -> None:
        table = decode_table(make_operator_config())
        assert not compare_tables(table, table)

    def test_keys_are_not_shown(self) -> None:
        old = decode_table(make_operator_config())
        edited = change(lambda f: f['tenants'][0].update(apiKeys=['other']))
        differences = compare_tables(old, decode_table(edited))
        assert KEY not in str(differences)


def make_newest(key: str, content: bytes) -> bytes:
    """Return a store's answer with the newest records of a topic."""
    item = {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'offset': 0,
    }
    body = json.dumps({'items': [item], 'endOffset': 1}).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


class TestCommand:
    """`toucanctl check` prints findings and tells them by its exit code."""

    def write(self, folder: Path, name: str, raw: bytes) -> str:
        """Write a file and return its path."""
        path = folder / name
        path.write_bytes(raw)
        return str(path)

    @pytest.mark.parametrize(
        ('edit', 'code'),
        [
            (lambda f: f['routes'].pop(2), 0),
            (lambda f: f, 1),
            (lambda f: f.pop('version'), 3),
        ],
    )
    def test_exit_code(self, tmp_path: Path, edit: Change, code: int) -> None:
        assert run(['check', self.write(tmp_path, 'f', change(edit))]) == code

    def test_missing_file(self, tmp_path: Path) -> None:
        assert run(['check', str(tmp_path / 'none')]) == 2

    def test_against_file(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = self.write(tmp_path, 'old', change(lambda f: f))
        new = self.write(
            tmp_path,
            'new',
            change(lambda f: (f['routes'].pop(2), f.update(version=2))),
        )
        assert run(['check', new, '--against', old]) == 0
        assert '404 from then on' in capsys.readouterr().out
        assert run(['--output', 'json', 'check', old, '--against', new]) == 3
        report = json.loads(capsys.readouterr().out)
        assert ('error', 'version') in {
            (finding['level'], finding['field'])
            for finding in report['findings']
        }
        assert report['differences'][0]['text'] == 'added'

    def test_against_the_store(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        server = RawServer(make_newest('config', make_operator_config()))
        new = self.write(
            tmp_path,
            'new',
            change(lambda f: (f['routes'].pop(2), f.update(version=2))),
        )
        arguments = ['check', new, '--store', server.address]
        assert run([*arguments, '--against', 'in-force']) == 0
        assert '404 from then on' in capsys.readouterr().out
        server.content = make_newest('i-0', make_record(1, service='other'))
        assert run([*arguments, '--endpoints']) == 1
        assert 'has no endpoint' in capsys.readouterr().out
        server.content = make_newest('i-0', make_record(1))
        assert run([*arguments, '--endpoints']) == 0
        server.close()
        assert run([*arguments, '--endpoints']) == 5

    def test_store_is_not_known(self, tmp_path: Path) -> None:
        path = self.write(tmp_path, 'f', change(lambda f: f))
        assert run(['check', path, '--against', 'in-force']) == 2
