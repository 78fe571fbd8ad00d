"""Emulates the platform's store: topics of keyed records in a log."""

import base64
import struct
import threading
import time
from collections import defaultdict
from http.server import ThreadingHTTPServer
from typing import Any

from .calls import find_port
from .serving import Request, serve

MAX_WAIT_SECONDS = 5.0


class KeyedStore:
    """Serves appends, reads and newest records, with faults set by tests."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.port = find_port()
        self._changed = threading.Condition()
        self._records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
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
            self._kept = {**getattr(self, '_kept', {}), topic: kept}

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _find_newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        newest = dict(getattr(self, '_kept', {}).get(topic, {}))
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
            self._changed.wait_for(
                lambda: start < self._first[topic] + len(self._records[topic]),
                wait,
            )
            first = self._first[topic]
            records = self._records[topic][max(0, start - first) :]
            end = first + len(self._records[topic])
        if start < first:
            request.reply({'firstOffset': first}, 410)
            return
        body = struct.pack('>QQ', end, first)
        for key, content in records:
            name = key.encode()
            record = bytes([len(name)]) + name + content
            body += struct.pack('>I', len(record)) + record
        _send_raw(request, body)

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
    request.handler.end_headers()
    request.handler.wfile.write(body)
