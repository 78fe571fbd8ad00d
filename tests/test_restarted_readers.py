"""Clients of HTTP services take no answer that is another's or two in one."""

import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.rawserver import RawServer
from toucancourse.command.client import AdminClient, NoEntryError
from toucancourse.errors import LogDownError, Outcome
from toucancourse.interfaces.engine import HttpEngine
from toucancourse.interfaces.weights import HttpWeightStore
from toucancourse.membership.topics import Record
from toucancourse.platform.store import StoreTopic

#: Pause after which a second answer is late.
LATE_SECONDS = 0.03
#: Longer than any pause of the server.
SETTLE_SECONDS = 0.12
#: Records that are longer than the read buffer of a connection.
LONG_RECORD = b'v' * 20_000


def make_sized(body: bytes, status: bytes = b'200 OK') -> bytes:
    """Return the bytes of a response with a length."""
    head = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n'
    return head % (status, len(body)) + body


def make_appended(offset: int) -> bytes:
    """Return the store's answer to an append."""
    body = b'{"offset": %d, "endOffset": %d}' % (offset, offset + 1)
    return make_sized(body)


def make_refused(end: int) -> bytes:
    """Return the store's answer to an append whose condition is not met."""
    return make_sized(b'{"endOffset": %d}' % end, b'412 Precondition Failed')


def make_page(end: int, *contents: bytes) -> bytes:
    """Return the store's answer to a read, with records of the key "k"."""
    records = b''.join(
        (len(content) + 2).to_bytes(4) + b'\x01k' + content
        for content in contents
    )
    return make_sized(end.to_bytes(8) + (0).to_bytes(8) + records)


UNAVAILABLE = make_sized(b'{}', b'503 Service Unavailable')


@pytest.fixture
def server() -> Iterator[RawServer]:
    """Return a server of given bytes."""
    server = RawServer()
    yield server
    server.close()


@pytest.fixture
def topic(server: RawServer) -> StoreTopic:
    """Return a client of the server."""
    return StoreTopic(server.address, 'topic')


class TestStoreConnections:
    """Calls of the store take no data that were there before the call."""

    # Guards against an append that counts as done by the answer before.
    def test_late_copy_between_appends_is_not_the_next_answer(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        appended = make_appended(0)
        server.script = [[appended, LATE_SECONDS, appended], [UNAVAILABLE]]
        assert topic.append('k', b'one')
        time.sleep(SETTLE_SECONDS)
        with pytest.raises(LogDownError):
            topic.append('k', b'two')
        assert server.requests == 2

    # Guards against an old page that proves that nothing newer exists.
    def test_late_copy_between_reads_is_not_the_next_page(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        empty = make_page(0)
        server.script = [[empty, LATE_SECONDS, empty], [make_page(1, b'new')]]
        assert not topic.read(0, 0.1).records
        time.sleep(SETTLE_SECONDS)
        assert topic.read(0, 0.1).records == (Record('k', b'new', 0),)
        assert server.requests == 2

    # Guards against the same where a connection is only looked at once.
    @pytest.mark.parametrize('content', [b'', LONG_RECORD])
    def test_copy_at_once_costs_no_call(
        self,
        server: RawServer,
        topic: StoreTopic,
        lines: list[dict[str, Any]],
        content: bytes,
    ) -> None:
        page = make_page(1, content)
        server.script = [[page + page], [make_page(2, b'new')]]
        topic.read(0, 0.1)
        assert topic.read(1, 0.1).records == (Record('k', b'new', 1),)
        assert server.connections == server.requests == 2
        assert any('data after' in line['message'] for line in lines)

    # Guards against calls that fail since the connection ended before them.
    def test_ended_connection_is_not_used(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        server.content = make_appended(0)
        assert topic.append('k', b'one')
        time.sleep(SETTLE_SECONDS)
        server.content = make_appended(1)
        assert topic.append('k', b'two')

    # Guards against a connection for each call.
    def test_silent_connection_is_kept(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        server.script = [[make_appended(number)] for number in range(5)]
        for _ in range(5):
            assert topic.append('k', b'content')
        assert server.connections == 1

    # Guards against one of two answers that is taken for the call's own.
    def test_two_answers_on_a_used_connection_are_an_error(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        empty = make_page(0)
        server.script = [
            [empty],
            [empty + make_page(1, b'new')],
            [make_page(1, b'new')],
        ]
        topic.read(0, 0.1)
        with pytest.raises(LogDownError):
            topic.read(0, 0.1)
        assert topic.read(0, 0.1).records == (Record('k', b'new', 0),)


class TestStoreAnswers:
    """Answers tell by their offsets if they belong to an earlier call."""

    # Guards against an append that counts as done by a copy in flight.
    @pytest.mark.parametrize('at', [None, 1])
    def test_copy_before_the_answer_of_an_append_is_an_error(
        self, server: RawServer, topic: StoreTopic, at: int | None
    ) -> None:
        appended = make_appended(0)
        server.script = [
            [appended],
            [appended, LATE_SECONDS, UNAVAILABLE],
            [make_appended(1)],
        ]
        assert topic.append('k', b'one')
        with pytest.raises(LogDownError):
            topic.append('k', b'two', at)
        assert topic.append('k', b'two', at)
        assert server.connections == 2

    # Guards against an append that was done and counts as refused.
    def test_copy_of_a_refusal_is_an_error(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        server.script = [[make_refused(5)], [make_refused(5)]]
        assert not topic.append('k', b'one', 3)
        with pytest.raises(LogDownError):
            topic.append('k', b'two', 5)

    # Guards against records that are applied again at later offsets.
    def test_copy_of_a_page_is_an_error(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        page = make_page(1, b'one')
        server.script = [[page], [page, LATE_SECONDS, make_page(1)]]
        topic.read(0, 0.1)
        with pytest.raises(LogDownError):
            topic.read(1, 0.1)

    # Guards against an old page that ends before records that are known.
    def test_page_that_ends_before_a_known_end_is_an_error(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        server.script = [[make_page(1)], [make_appended(1)], [make_page(1)]]
        topic.read(1, 0.1)
        topic.append('k', b'one')
        with pytest.raises(LogDownError):
            topic.read(1, 0.1)

    # Guards against keys that are missing from the newest records.
    def test_copy_of_a_page_of_keys_is_an_error(
        self, server: RawServer, topic: StoreTopic
    ) -> None:
        item = b'{"key": "a", "value": "", "offset": 0}'
        page = b'{"items": [%b], "endOffset": 1, "hasMore": %b}'
        first = make_sized(page % (item, b'true'))
        server.script = [
            [first],
            [first],
            [make_sized(page % (b'', b'false'))],
        ]
        with pytest.raises(LogDownError):
            topic.fetch_newest()

    # Guards against offsets that are taken for those of another store's call.
    @pytest.mark.parametrize('body', [b'', b'[]', b'{"offset": 0}', b'{"off'])
    def test_append_without_offsets_is_an_error(
        self, server: RawServer, topic: StoreTopic, body: bytes
    ) -> None:
        server.content = make_sized(body)
        with pytest.raises(LogDownError):
            topic.append('k', b'one')


class TestAdminClient:
    """The command line reports answers that are no JSON objects."""

    BODIES = (b'{"revision": HTTP/1.1 200 OK', b'[]', b'\xff', b'')

    # Guards against a traceback where the outcome of a change is unknown.
    @pytest.mark.parametrize('body', BODIES)
    def test_change_has_an_unknown_outcome(
        self, server: RawServer, body: bytes
    ) -> None:
        server.content = make_sized(body)
        other = RawServer(make_sized(b'{}'))
        client = AdminClient([server.address, other.address], 'token')
        with pytest.raises(NoEntryError) as raised:
            client.put_object('customer/x', {})
        assert raised.value.outcome is Outcome.unknown
        assert not other.connections
        other.close()

    # Guards against a traceback where the next entry can be asked.
    @pytest.mark.parametrize('body', BODIES)
    def test_next_entry_is_asked(self, server: RawServer, body: bytes) -> None:
        server.content = make_sized(body)
        other = RawServer(make_sized(b'{"x": 1}'))
        client = AdminClient([server.address, other.address], 'token')
        assert client.fetch('/x').body == {'x': 1}
        assert client.explain('r').body == {'x': 1}
        other.close()

    # Guards against errors of entries that leave no trace.
    def test_failure_of_all_entries_has_their_errors(
        self, server: RawServer
    ) -> None:
        server.content = make_sized(b'[]')
        client = AdminClient([server.address], 'token')
        with pytest.raises(NoEntryError, match='no object'):
            client.explain('r')


class TestSwallowedErrors:
    """Services that may be absent leave a log line when they are."""

    # Guards against a model server that is unusable without any trace.
    @pytest.mark.parametrize('body', [b'{"versions": HTTP/1.1 200 OK', b'[]'])
    def test_invalid_load_report_is_logged(
        self, server: RawServer, lines: list[dict[str, Any]], body: bytes
    ) -> None:
        server.content = make_sized(body)
        assert HttpEngine(f'http://{server.address}', 2).fetch_load() is None
        assert [line['message'] for line in lines] == ['no load report']

    # Guards against downloads that fail without any trace.
    def test_failed_download_is_logged(
        self, server: RawServer, lines: list[dict[str, Any]]
    ) -> None:
        server.content = make_sized(b'{"HTTP/1.1')
        store = HttpWeightStore(f'http://{server.address}', 2)
        assert not store.request_download('small@1')
        assert [line['message'] for line in lines] == ['download not granted']
