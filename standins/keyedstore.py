"""Stand-in for the users' platform's store: keyed topics of a log."""

import base64
import struct
import threading
import time
from collections import defaultdict
from http.server import ThreadingHTTPServer
from typing import Any

from .calls import find_port
from .serving import Call, serve

MAX_WAIT_SECONDS = 5.0


class KeyedStore:
    """Appends, reads and newest records, with faults set by tests."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.port = find_port()
        self._changed = threading.Condition()
        self._records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        #: Status that every call gets, or 0 to serve.
        self.refuse = 0
        #: True to leave calls without an answer.
        self.is_silent = False
        self.calls: dict[str, int] = defaultdict(int)
        self._server: ThreadingHTTPServer = serve(self.port, self._route)

    @property
    def address(self) -> str:
        """Return "host:port"."""
        return f'127.0.0.1:{self.port}'

    def put(self, topic: str, key: str, content: bytes | None) -> int:
        """Append a record as another writer would; return its offset."""
        with self._changed:
            rows = self._records[topic]
            rows.append((key, content or b''))
            self._changed.notify_all()
            return self._first[topic] + len(rows) - 1

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest record of each key."""
        return {
            key: content
            for key, (content, _) in self._find_newest(topic).items()
        }

    def forget(self, topic: str) -> None:
        """Drop the history; the newest record of each key is kept."""
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
        found = dict(getattr(self, '_kept', {}).get(topic, {}))
        for offset, (key, content) in enumerate(
            self._records[topic], self._first[topic]
        ):
            if content:
                found[key] = (content, offset)
            else:
                found.pop(key, None)
        return found

    def _route(self, call: Call) -> None:
        self.calls[call.path] += 1
        if self.is_silent:
            time.sleep(MAX_WAIT_SECONDS)
            call.drop()
        elif self.refuse:
            call.reply({}, self.refuse)
        elif call.path == '/log-append':
            self._append(call)
        elif call.path == '/log-read':
            self._read(call)
        else:
            self._reply_newest(call)

    def _append(self, call: Call) -> None:
        topic = call.query['topic']
        with self._changed:
            end = self._first[topic] + len(self._records[topic])
            if 'at' in call.query and int(call.query['at']) != end:
                call.reply({'endOffset': end}, 412)
                return
            place = 0
            while place < len(call.raw):
                length = struct.unpack_from('>I', call.raw, place)[0]
                record = call.raw[place + 4 : place + 4 + length]
                name_end = 1 + record[0]
                key = record[1:name_end].decode()
                self._records[topic].append((key, record[name_end:]))
                place += 4 + length
            self._changed.notify_all()
            total = self._first[topic] + len(self._records[topic])
        call.reply({'offset': end, 'endOffset': total})

    def _read(self, call: Call) -> None:
        topic = call.query['topic']
        start = int(call.query['source'])
        wait = min(int(call.query.get('waitMs', 0)) / 1000, MAX_WAIT_SECONDS)
        with self._changed:
            self._changed.wait_for(
                lambda: start < self._first[topic] + len(self._records[topic]),
                wait,
            )
            first = self._first[topic]
            rows = self._records[topic][max(0, start - first) :]
            end = first + len(self._records[topic])
        if start < first:
            call.reply({'firstOffset': first}, 410)
            return
        body = struct.pack('>QQ', end, first)
        for key, content in rows:
            name = key.encode()
            record = bytes([len(name)]) + name + content
            body += struct.pack('>I', len(record)) + record
        _send_raw(call, body)

    def _reply_newest(self, call: Call) -> None:
        topic = call.query['topic']
        with self._changed:
            end = self._first[topic] + len(self._records[topic])
            rows = sorted(self._find_newest(topic).items())
        items: list[dict[str, Any]] = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (content, offset) in rows
        ]
        call.reply({'items': items, 'hasMore': False, 'endOffset': end})


def _send_raw(call: Call, body: bytes) -> None:
    call.handler.send_response(200)
    call.handler.send_header('Content-Length', str(len(body)))
    call.handler.end_headers()
    call.handler.wfile.write(body)
