"""Tests of decoding the platform's records, settings and messages."""

import json
import math
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.operator_config import make_operator_config
from toucancourse.errors import DECODE_ERRORS
from toucancourse.forwarding.endpoints import EndpointRegistry
from toucancourse.forwarding.messages import RawRequest
from toucancourse.forwarding.objects import Load, RouteKind
from toucancourse.forwarding.records import RolloutStatus
from toucancourse.forwarding.tables import OperatorConfig
from toucancourse.platform.messages import (
    MAX_DEADLINE_MS,
    MAX_TOKENS,
    PlatformCodec,
)
from toucancourse.platform.records import PlatformDecoder, decode_table
from toucancourse.platform.settings import read_node_settings
from toucancourse.settings.files import SettingsError

from .forwarding import make_request


def make_record(**changes: Any) -> bytes:
    """Return an endpoint's registration with the given fields changed."""
    fields = {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'coldRemainingMs': 0,
        'born': 1,
    }
    return json.dumps({**fields, **changes}).encode()


SETTINGS = """
nodeName = "frontend-1"
zone = "zone-a"
ipAddress = "127.0.0.1"
internalPortRange = [7340, 7355]
unheardOf = 1
[listenAddresses]
frontend = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
[limits]
memoryMb = 300
fileDescriptors = 4200
[bounds]
gracePeriodS = 8
revocationMs = 5000
[platform]
address = "127.0.0.1:8223"
"""


class TestConfiguration:
    """The operators' configuration is decoded into a routing table."""

    def test_routes(self) -> None:
        table = decode_table(make_operator_config())
        routes = {route.name: route for route in table.routes}
        assert routes['draft'].kind is RouteKind.stream
        assert routes['draft'].timeout == 2.0
        assert routes['book'].is_repeatable() is False
        assert routes['auto'].models == ('small', 'middle', 'large')
        assert table.accounts['key-of-a'].name == 'account-a'

    def test_invalid_configuration_is_ignored(self) -> None:
        config = OperatorConfig(PlatformDecoder())
        config.apply('config', make_operator_config(3))
        config.apply('config', b'{"version": 4}')
        config.apply('config', b'\xff\x00')
        assert config.table is not None
        assert config.table.revision == 3


class TestEndpointRecords:
    """A malformed record registers no endpoint and affects no other record.

    Other processes write to the same topic.
    """

    @given(
        st.one_of(
            st.binary(),
            st.recursive(
                st.none() | st.booleans() | st.floats() | st.text(),
                lambda children: (
                    st.lists(children)
                    | st.dictionaries(
                        st.sampled_from(
                            ['service', 'address', 'state', 'zone', 'slots']
                        ),
                        children,
                    )
                ),
            ).map(lambda fields: json.dumps(fields).encode()),
        )
    )
    def test_invalid_records_are_ignored(self, content: bytes) -> None:
        registry = EndpointRegistry(PlatformDecoder(), lambda _: None)
        registry.apply('i-1', make_record())
        registry.apply('i-2', content)
        registry.apply('i-3', make_record())
        names = {
            endpoint.record.identifier
            for endpoint in registry.list_service('desk')
        }
        assert {'i-1', 'i-3'} <= names

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'sleeping'},
            {'service': 7},
            {'address': 'nowhere'},
            {'slots': 'many'},
            {'zone': None},
            {'address': '127.0.0.1:99999'},
            {'address': '127.0.0.1:0'},
            {'address': '127.0.0.1:-1'},
            {'address': 'no.address:80'},
            {'slots': math.inf},
            {'slots': 1e999},
            {'born': math.inf},
            {'coldRemainingMs': math.nan},
            {'coldRemainingMs': math.inf},
            {'coldRemainingMs': 10**400},
        ],
    )
    def test_record_with_bad_field_is_rejected(
        self, changes: dict[str, Any]
    ) -> None:
        with pytest.raises(DECODE_ERRORS):
            PlatformDecoder().decode_endpoint('i-1', make_record(**changes))


class TestStatuses:
    """An encoded status decodes to the same status."""

    @pytest.mark.parametrize('state', ['running', 'done', 'back'])
    def test_round_trip(self, state: str) -> None:
        decoder = PlatformDecoder()
        status = RolloutStatus('desk', state, 'v2')
        assert decoder.decode_status(*decoder.encode_status(status)) == status


class TestMessages:
    """Headers of requests and responses are decoded into typed fields."""

    def test_call(self) -> None:
        call = PlatformCodec().decode_call(
            make_request(
                '/draft/x',
                X_Token_Usage='1460,80',
                X_Prompt_Prefix='5c1e:800,91bd:410',
                X_Length_Hint='17',
                Session='s-1',
            )
        )
        assert call.prompt_tokens == 1460
        assert call.expected_tokens == 17
        assert [part.tokens for part in call.prompt] == [800, 410]
        assert call.session == 's-1'
        assert not call.any_model

    def test_head(self) -> None:
        head = PlatformCodec().decode_head(
            503,
            (
                ('X-Not-Executed', '1'),
                ('X-Server-Load', '3,1,8'),
                ('Keep-Alive', 'timeout=5'),
                ('X-Routing-Confidence', '40'),
                ('Connection', 'close, X-Hop'),
                ('X-Hop', '1'),
            ),
        )
        assert head.not_run
        assert head.load is not None
        assert head.load.waiting == 1
        assert head.keep_alive == 5
        assert head.confidence == 0.4
        assert 'X-Hop' not in dict(head.headers)


class TestLoadReports:
    """Endpoints on machines whose speed changes from moment to moment."""

    @pytest.mark.parametrize(
        ('text', 'load'),
        [
            ('3,1,8', Load(3, 1, 8, 1.0)),
            ('3,1,8,250', Load(3, 1, 8, 2.5)),
            ('3, 1, 8, 50', Load(3, 1, 8, 0.5)),
            ('3,1,8,0', Load(3, 1, 8, 1.0)),
            ('3,1,8,100,7,x', Load(3, 1, 8, 1.0)),
            ('3,1', None),
            ('3,1,8,x', None),
        ],
    )
    def test_known_figures_count(self, text: str, load: Load | None) -> None:
        head = PlatformCodec().decode_head(200, (('X-Server-Load', text),))
        assert head.load == load


class TestOddHeaders:
    """Numbers in headers that make no sense neither count nor do harm."""

    # Guards against requests that end without an answer.
    @pytest.mark.parametrize(
        ('name', 'text'),
        [
            ('Keep-Alive', 'timeout=\xb2'),
            ('X-Server-Load', '\xb2,0,8'),
            ('X-Cold-Remaining-Ms', 'inf'),
            ('X-Cold-Remaining-Ms', 'nan'),
            ('X-Routing-Confidence', 'nan'),
            ('Retry-After', 'nan'),
        ],
    )
    def test_odd_number_of_an_endpoint_is_ignored(
        self, name: str, text: str
    ) -> None:
        head = PlatformCodec().decode_head(200, ((name, text),))
        assert head.keep_alive is None
        assert head.load is None
        assert head.cold_seconds is None
        assert head.confidence is None
        assert head.retry_after is None

    @pytest.mark.parametrize('text', ['inf', 'nan', '-inf', '1e999'])
    def test_odd_deadline_is_a_bad_request(self, text: str) -> None:
        raw = RawRequest('GET', '/', (('X-Deadline-Ms', text),), b'', 0.0)
        with pytest.raises(DECODE_ERRORS):
            PlatformCodec().decode_call(raw)


class TestAbsurdCounts:
    """Counts of tokens or requests and times that no sender can mean."""

    @pytest.mark.parametrize('text', ['1e13', '1e300'])
    def test_deadline_is_bounded(self, text: str) -> None:
        raw = RawRequest('GET', '/', (('X-Deadline-Ms', text),), b'', 0.0)
        call = PlatformCodec().decode_call(raw)
        assert call.deadline == MAX_DEADLINE_MS / 1000

    @pytest.mark.parametrize('digits', [12, 400])
    def test_tokens_are_bounded(self, digits: int) -> None:
        count = '9' * digits
        headers = (
            ('X-Token-Usage', f'{count},{count}'),
            ('X-Prompt-Prefix', f'a:{count}'),
        )
        raw = RawRequest('GET', '/', headers, b'', 0.0)
        call = PlatformCodec().decode_call(raw)
        assert call.prompt_tokens == MAX_TOKENS
        assert call.expected_tokens == MAX_TOKENS
        assert call.prompt[0].tokens == MAX_TOKENS

    @pytest.mark.parametrize('digits', [12, 400, 5000])
    def test_load_is_ignored(self, digits: int) -> None:
        load = f'{"9" * digits},1,8'
        head = PlatformCodec().decode_head(200, (('X-Server-Load', load),))
        assert head.load is None


class TestSettings:
    """Settings files are validated; an error is a single line."""

    def test_unknown_keys_are_ignored(self, tmp_path: Path) -> None:
        path = tmp_path / 'boot.toml'
        path.write_text(SETTINGS)
        settings = read_node_settings(str(path))
        assert settings.revocation == 5.0
        assert settings.store == '127.0.0.1:8223'
        assert settings.peers == '127.0.0.1:7340'

    def test_no_peer_address_without_internal_ports(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / 'boot.toml'
        path.write_text(SETTINGS.replace('[7340, 7355]', '[]'))
        assert read_node_settings(str(path)).peers == ''

    @pytest.mark.parametrize(
        ('old', 'new', 'key'),
        [
            ('"127.0.0.1:8227"', '8227', 'listenAddresses.frontend'),
            ('"127.0.0.1:8223"', '"here"', 'platform.address'),
            ('memoryMb = 300', 'memoryMb = "big"', 'limits.memoryMb'),
            ('gracePeriodS = 8', 'gracePeriodS = -1', 'bounds.gracePeriodS'),
            ('zone = "zone-a"', '', 'zone'),
            ('[7340, 7355]', '["a", "b"]', 'internalPortRange'),
        ],
    )
    def test_error_names_file_and_key(
        self, tmp_path: Path, old: str, new: str, key: str
    ) -> None:
        path = tmp_path / 'boot.toml'
        path.write_text(SETTINGS.replace(old, new))
        with pytest.raises(SettingsError) as caught:
            read_node_settings(str(path))
        assert key in caught.value.text
        assert str(path) in caught.value.text
        assert '\n' not in caught.value.text
