"""Large requests on their way from an entry to a sidecar."""

import json
from http.client import HTTPConnection

import pytest

from toucancourse.delivery.links import MESSAGE_BYTES, _split_batch
from toucancourse.protocol import peer_pb2
from toucancourse.web.intake import Intake, IntakeLimits
from toucancourse.web.messages import encode_json

from .crowds import ANSWER_SECONDS
from .fleet import CHIKUGO_KEY, SmallFleet

CAPACITY_BYTES = 1_000_000


def make_open(size: int) -> peer_pb2.Open:
    """Return a message that opens an attempt with a body."""
    return peer_pb2.Open(body=bytes(size))


class TestSplitBatch:
    """Requests that wait for the same link."""

    def test_bodies_that_fit_share_a_message(self) -> None:
        batch = [make_open(MESSAGE_BYTES // 2) for _ in range(2)]
        assert list(_split_batch(batch)) == [batch]

    def test_others_get_one_each_in_their_order(self) -> None:
        batch = [make_open(MESSAGE_BYTES), None, make_open(1)]
        assert list(_split_batch(batch)) == [batch[:2], batch[2:]]

    def test_heartbeat_is_a_message(self) -> None:
        assert list(_split_batch([])) == [[]]


class TestEncodeJson:
    """JSON that is written again."""

    @pytest.mark.parametrize('text', ['b', '\u00e9', '\u6f22', '\ud83d'])
    def test_value_is_the_same(self, text: str) -> None:
        assert json.loads(encode_json({'a': text})) == {'a': text}

    def test_letters_are_not_escaped(self) -> None:
        assert encode_json(['\u6f22']) == '["\u6f22"]'.encode()


class TestWeight:
    """Requests that count more than a server may hold."""

    def test_one_is_kept_alone_beside_ordinary_ones(self) -> None:
        intake = Intake(IntakeLimits(CAPACITY_BYTES, 10))
        size = intake.weigh(2 * CAPACITY_BYTES)
        assert intake.keep(size, 0)[0]
        assert not intake.keep(size, 0)[0]
        assert intake.keep(intake.weigh(1000), 0)[0]
        intake.free(size)
        assert intake.keep(size, 0)[0]


class TestGrowth:
    """A body that is much longer once it is written again."""

    def test_it_is_refused_once(self, small_fleet: SmallFleet) -> None:
        numbers = ','.join(['1e15'] * 100_000)
        address = small_fleet.daemons['e1'].caller_address
        body = {
            'model': 'auto',
            'messages': [{'role': 'user', 'content': 'Which?'}],
            'numbers': [],
        }
        text = json.dumps(body).replace('[]', f'[{numbers}]')
        assert send_text(address, text) == 413
        assert small_fleet.chat().status == 200


def send_text(address: str, text: str) -> int:
    """Send a chat completion request; return the status of its response."""
    connection = HTTPConnection(address, timeout=ANSWER_SECONDS)
    headers = {
        'Content-Type': 'application/json',
        'Authorization': f'Bearer {CHIKUGO_KEY}',
    }
    connection.request('POST', '/v1/chat/completions', text, headers)
    status = connection.getresponse().status
    connection.close()
    return status
