"""Client of the platform's key-value log store."""

import base64
import json
import struct
import threading
from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
from http.client import HTTPException
from typing import Any, Final, NamedTuple, TypeVar
from urllib.parse import urlencode

from loguru import logger

from ..errors import DECODE_ERRORS, LogDownError
from ..interfaces.responses import CheckedConnection, CheckedResponse
from ..membership.topics import ExpiredError, Record, Records, Topic
from .names import STORE_ERA

#: Timeout of a call, added to the wait of a long poll. A call usually takes
#: 4 ms; the timeout still allows a store that is fifty times slower.
CALL_TIMEOUT_SECONDS: Final = 0.8
#: Start of a page: end offset and first offset of the topic.
PAGE_HEADER: Final = struct.Struct('>QQ')
#: Length prefix of each record in a page, in bytes.
RECORD_LENGTH: Final = struct.Struct('>I')
#: The only partition of the keyed topics.
PARTITION: Final = '0'

_Decoded = TypeVar('_Decoded')
_CALL_ERRORS: Final = (OSError, HTTPException, struct.error, *DECODE_ERRORS)


class _OtherAnswerError(ValueError):
    """The answer may be that to another call."""


class _StoreResponse(NamedTuple):
    status: int
    body: bytes


class _KeyPage(NamedTuple):
    records: tuple[Record, ...]
    end: int
    has_more: bool


class StoreTopic(Topic):
    """One keyed topic, read and written over a single keep-alive connection.

    Calls are serialized.
    """

    def __init__(self, address: str, topic: str) -> None:
        """Create a client; address is the store's "host:port"."""
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._topic = topic
        self._lock = threading.Lock()
        self._connection: CheckedConnection | None = None
        #: Number of calls on the connection. The answer to the first can't be
        #: that to an earlier call.
        self._calls = 0
        #: The topic's end as of the newest answer, and the era of that offset.
        self._end = 0
        self._era = 0

    def fetch_newest(self) -> Records:
        """Return the newest record of each key, read page by page.

        Raises LogDownError.
        """
        records: list[Record] = []
        after = ''
        end = -1
        while True:
            query = {'after': after} if after else {}
            page = self._send_request(
                'GET', '/log-newest', partial(self._decode_keys, after), query
            )
            records.extend(page.records)
            if end < 0:
                end = page.end
            if not page.has_more or not page.records:
                return Records(tuple(records), end, era=self._era)
            after = records[-1].key

    def read(self, start: int, wait_seconds: float) -> Records:
        """Return the records from an offset on, in a long poll if none exist.

        Raises ExpiredError if the topic begins later, and LogDownError.
        """
        wait_ms = int(wait_seconds * 1000)
        return self._send_request(
            'GET',
            '/log-read',
            partial(self._decode_page, start),
            {'source': start, 'waitMs': wait_ms},
            wait_seconds=wait_seconds,
        )

    def append(
        self, key: str, content: bytes | None, at: int | None = None
    ) -> bool:
        """Append a record; with `at`, only if the topic ends at that offset.

        Returns False if it has grown. Raises LogDownError.
        """
        return self._append(_encode_record(key, content), at)

    def append_all(self, changes: Mapping[str, bytes | None], at: int) -> bool:
        """Append a record for each key, or none if the topic ends elsewhere.

        Returns False in that case. Raises LogDownError.
        """
        records = (
            _encode_record(key, content) for key, content in changes.items()
        )
        return self._append(b''.join(records), at)

    def _append(self, body: bytes, at: int | None) -> bool:
        return self._send_request(
            'POST',
            '/log-append',
            partial(self._decode_appended, at),
            {} if at is None else {'at': at},
            body,
        )

    def _decode_keys(self, after: str, response: _StoreResponse) -> _KeyPage:
        """Return the newest records of the keys after one."""
        self._check_status(response)
        page = json.loads(response.body)
        records = tuple(_decode_item(item) for item in page['items'])
        end = int(page['endOffset'])
        self._check_own(all(record.key != after for record in records))
        self._record_end(end)
        return _KeyPage(records, end, bool(page.get('hasMore')))

    def _decode_page(self, start: int, response: _StoreResponse) -> Records:
        """Return the records from an offset on; raise ExpiredError."""
        if response.status == HTTPStatus.GONE:
            first = int(json.loads(response.body)['firstOffset'])
            raise ExpiredError(
                f'topic "{self._topic}" begins at {first}, not at {start}',
                first,
            )
        self._check_status(response)
        end, _ = PAGE_HEADER.unpack_from(response.body)
        records = _decode_records(response.body, start)
        next_offset = start + len(records)
        self._check_own(next_offset <= end)
        self._record_end(end)
        return Records(records, max(end, next_offset), era=self._era)

    def _decode_appended(
        self, at: int | None, response: _StoreResponse
    ) -> bool:
        """Return True for an appended record, False if the topic has grown."""
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            end = int(json.loads(response.body)['endOffset'])
            self._check_own(at is not None and at < end)
            self._record_end(end)
            return False
        self._check_status(response)
        appended = json.loads(response.body)
        offset = int(appended['offset'])
        self._check_own(offset >= self._end and at in {None, offset})
        self._record_end(int(appended['endOffset']))
        return True

    def _record_era(self, text: str | None) -> None:
        """Record the era of an answer, which is never before an earlier one."""
        if not text or not text.isdecimal() or int(text) == self._era:
            return
        era = int(text)
        self._check_own(era > self._era)
        self._era = era
        self._end = 0

    def _record_end(self, end: int) -> None:
        """Record the topic's end, which is never before an earlier one."""
        self._check_own(end >= self._end)
        self._end = end

    def _check_own(self, is_plausible: bool) -> None:
        """Raise _OtherAnswerError if an answer is that to an earlier call.

        The first answer on a connection can't be, whatever its offsets.
        """
        if self._calls > 1 and not is_plausible:
            raise _OtherAnswerError('the answer is that to another call')

    def _check_status(self, response: _StoreResponse) -> None:
        if response.status != HTTPStatus.OK:
            raise LogDownError(
                f'topic "{self._topic}": store returned {response.status}'
            )

    def _send_request(
        self,
        method: str,
        path: str,
        decode: Callable[[_StoreResponse], _Decoded],
        query: dict[str, Any],
        body: bytes | None = None,
        wait_seconds: float = 0,
    ) -> _Decoded:
        """Return the decoded answer to a call; raise LogDownError."""
        full_query = {'topic': self._topic, 'part': PARTITION, **query}
        with self._lock:
            connection = self._get_connection(
                CALL_TIMEOUT_SECONDS + wait_seconds
            )
            try:
                connection.request(
                    method, f'{path}?{urlencode(full_query)}', body
                )
                response = connection.getresponse()
                content = response.read()
                self._check_trailing(response)
                self._record_era(response.getheader(STORE_ERA))
                return decode(_StoreResponse(response.status, content))
            except _CALL_ERRORS as error:
                # After a failed or timed out call the connection is unusable: a
                # late response would be taken for that of the next call.
                self._drop_connection()
                raise LogDownError(
                    f'call for topic "{self._topic}" failed: {error!r}'
                ) from error

    def _check_trailing(self, response: CheckedResponse) -> None:
        """Drop the connection if it ended or data follow the response.

        Raises _OtherAnswerError if those may be the answer to the call.
        """
        trailing = response.peek_trailing()
        response.close()
        if trailing == b'' and not response.will_close:
            return
        self._drop_connection()
        if not trailing:
            return
        logger.warning(
            'data after the response of the store',
            topic=self._topic,
            received=response.count_received(),
        )
        if self._calls > 1:
            raise _OtherAnswerError('two answers to one call')

    def _get_connection(self, timeout: float) -> CheckedConnection:
        """Return the open or a new connection, with a timeout in seconds.

        An open one that has ended, or has unread data, is not used again.
        """
        unread = self._connection and self._connection.peek_unread()
        if unread:
            logger.warning(
                'late data from the store', topic=self._topic, start=unread
            )
        if unread != b'':
            self._drop_connection()
        if self._connection is None:
            self._connection = CheckedConnection(self._host, self._port)
            self._calls = 0
        self._calls += 1
        self._connection.timeout = timeout
        if self._connection.sock is not None:
            self._connection.sock.settimeout(timeout)
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _encode_record(key: str, content: bytes | None) -> bytes:
    name = key.encode()
    record = bytes([len(name)]) + name + (content or b'')
    return RECORD_LENGTH.pack(len(record)) + record


def _decode_item(item: dict[str, Any]) -> Record:
    content = base64.b64decode(item['value'])
    return Record(str(item['key']), content, int(item['offset']))


def _decode_records(body: bytes, start: int) -> tuple[Record, ...]:
    position = PAGE_HEADER.size
    records: list[Record] = []
    while position < len(body):
        length = RECORD_LENGTH.unpack_from(body, position)[0]
        position += RECORD_LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise struct.error(f'{len(record)} of {length} bytes of a record')
        position += length
        records.append(_decode_record(record, start + len(records)))
    return tuple(records)


def _decode_record(record: bytes, offset: int) -> Record:
    key_end = 1 + record[0] if record else 0
    key = record[1:key_end].decode('utf-8', 'replace')
    return Record(key, record[key_end:] or None, offset)
