"""Emulates the platform's store: topics of keyed records in a log."""

import base64
import copy
import struct
import threading
import time
from collections import defaultdict
from http.server import ThreadingHTTPServer
from typing import Any, NamedTuple

from .calls import find_port
from .serving import Request, serve

MAX_WAIT_SECONDS = 5.0


class StoreCopy(NamedTuple):
    """The content of a store at some time."""

    records: dict[str, list[tuple[str, bytes]]]
    first: dict[str, int]
    kept: dict[str, dict[str, tuple[bytes, int]]]


class KeyedStore:
    """Serves appends, reads and newest records, with faults set by tests."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.port = find_port()
        self._changed = threading.Condition()
        self._records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        #: Topic -> newest record of each key when it was compacted.
        self._kept: dict[str, dict[str, tuple[bytes, int]]] = {}
        #: How often the store came back from a copy, and one more.
        self.era = 1
        #: Error status of every response, or 0 to serve requests.
        self.error_status = 0
        #: True to close every connection without a response, after 5 s.
        self.is_silent = False
        #: Number of requests by path.
        self.calls: dict[str, int] = defaultdict(int)
        self._server: ThreadingHTTPServer = serve(self.port, self._route)

    @property
    def address(self) -> str:
        """Return "host:port"."""
        return f'127.0.0.1:{self.port}'

    def put(self, topic: str, key: str, content: bytes | None) -> int:
        """Append a record, as another writer; return its offset.

        None as content deletes the key.
        """
        with self._changed:
            records = self._records[topic]
            records.append((key, content or b''))
            self._changed.notify_all()
            return self._first[topic] + len(records) - 1

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the content of each key's newest record."""
        return {
            key: content
            for key, (content, _) in self._find_newest(topic).items()
        }

    def compact(self, topic: str) -> None:
        """Compact a topic to the newest record of each key.

        Readers can no longer read the offsets before its end.
        """
        with self._changed:
            end = self._first[topic] + len(self._records[topic])
            kept = self._find_newest(topic)
            self._records[topic] = []
            self._first[topic] = end
            self._kept[topic] = kept

    def trim(self, topic: str, before: int) -> None:
        """Drop the records before an offset, but for each key's newest."""
        with self._changed:
            kept = self._find_newest(topic)
            count = before - self._first[topic]
            self._records[topic] = self._records[topic][count:]
            self._first[topic] = before
            self._kept[topic] = {
                key: newest
                for key, newest in kept.items()
                if newest[1] < before
            }

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        with self._changed:
            content = (dict(self._records), dict(self._first), self._kept)
            return StoreCopy(*copy.deepcopy(content))

    def restore(self, content: StoreCopy) -> None:
        """Come back from a copy; what was written since is gone.

        Reads that wait get no answer.
        """
        with self._changed:
            records, first, kept = copy.deepcopy(content)
            self._records = defaultdict(list, records)
            self._first = defaultdict(int, first)
            self._kept = kept
            self.era += 1
            self._changed.notify_all()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _find_newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        newest = dict(self._kept.get(topic, {}))
        for offset, (key, content) in enumerate(
            self._records[topic], self._first[topic]
        ):
            if content:
                newest[key] = (content, offset)
            else:
                newest.pop(key, None)
        return newest

    def _route(self, request: Request) -> None:
        self.calls[request.path] += 1
        request.added_headers['Store-Era'] = str(self.era)
        if self.is_silent:
            time.sleep(MAX_WAIT_SECONDS)
            request.drop()
        elif self.error_status:
            request.reply({}, self.error_status)
        elif request.path == '/log-append':
            self._append(request)
        elif request.path == '/log-read':
            self._read(request)
        else:
            self._reply_newest(request)

    def _append(self, request: Request) -> None:
        topic = request.query['topic']
        with self._changed:
            end = self._first[topic] + len(self._records[topic])
            if 'at' in request.query and int(request.query['at']) != end:
                request.reply({'endOffset': end}, 412)
                return
            position = 0
            while position < len(request.body):
                length = struct.unpack_from('>I', request.body, position)[0]
                record = request.body[position + 4 : position + 4 + length]
                name_end = 1 + record[0]
                key = record[1:name_end].decode()
                self._records[topic].append((key, record[name_end:]))
                position += 4 + length
            self._changed.notify_all()
            total = self._first[topic] + len(self._records[topic])
        request.reply({'offset': end, 'endOffset': total})

    def _read(self, request: Request) -> None:
        topic = request.query['topic']
        start = int(request.query['source'])
        wait = min(int(request.query.get('waitMs', 0)) / 1000, MAX_WAIT_SECONDS)
        with self._changed:
            era = self.era
            if start <= self._find_end(topic):
                self._changed.wait_for(
                    lambda: start < self._find_end(topic) or self.era != era,
                    wait,
                )
            first = self._first[topic]
            records = self._records[topic][max(0, start - first) :]
            end = self._find_end(topic)
        if self.era != era:
            request.drop()
            return
        if not first <= start <= end:
            request.reply({'firstOffset': first}, 410)
            return
        body = struct.pack('>QQ', end, first)
        for key, content in records:
            name = key.encode()
            record = bytes([len(name)]) + name + content
            body += struct.pack('>I', len(record)) + record
        _send_raw(request, body)

    def _find_end(self, topic: str) -> int:
        return self._first[topic] + len(self._records[topic])

    def _reply_newest(self, request: Request) -> None:
        topic = request.query['topic']
        with self._changed:
            end = self._first[topic] + len(self._records[topic])
            records = sorted(self._find_newest(topic).items())
        items: list[dict[str, Any]] = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (content, offset) in records
        ]
        request.reply({'items': items, 'hasMore': False, 'endOffset': end})


def _send_raw(request: Request, body: bytes) -> None:
    request.handler.send_response(200)
    request.handler.send_header('Content-Length', str(len(body)))
    for name, text in request.added_headers.items():
        request.handler.send_header(name, text)
    request.handler.end_headers()
    request.handler.wfile.write(body)
