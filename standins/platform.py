"""Stand-in for the platform: log, instance list, rater and weight store."""

import hashlib
import random
import re
import threading
import time
from collections import defaultdict
from typing import Any

from .serving import Call, Journal, parse_port, serve, wait_forever


class LogStandIn:
    """Append-only streams with rate limit, retention and outages."""

    def __init__(self, rate: float) -> None:
        """Keep the appends allowed a second, over all streams."""
        self._changed = threading.Condition()
        self._streams: dict[str, list[str]] = defaultdict(list)
        self._earliest: dict[str, int] = defaultdict(int)
        self._rate = rate
        self._tokens = rate
        self._moment = time.monotonic()
        self.down_until = 0.0
        self.lose_answers = 0
        self.delay = 0.0
        self.appends: dict[str, int] = defaultdict(int)
        self.reads: dict[str, int] = defaultdict(int)
        self.bytes_appended = 0

    def handle(self, call: Call) -> None:
        """Answer /streams/NAME."""
        stream = call.path.rsplit('/', 1)[1]
        if self.delay:
            time.sleep(self.delay)
        if time.monotonic() < self.down_until:
            call.reply({'error': 'outage'}, 503)
        elif call.method == 'POST':
            self._append(call, stream)
        else:
            self._read(call, stream)

    def retain(self, stream: str, count: int) -> None:
        """Drop all but the last records of a stream."""
        with self._changed:
            end = self._earliest[stream] + len(self._streams[stream])
            keep = self._streams[stream][-count:] if count else []
            self._streams[stream] = keep
            self._earliest[stream] = end - len(keep)

    def dump(self, stream: str) -> dict[str, Any]:
        """Return all retained records."""
        with self._changed:
            return {
                'earliest': self._earliest[stream],
                'records': list(self._streams[stream]),
            }

    def _append(self, call: Call, stream: str) -> None:
        body = call.json()['body']
        with self._changed:
            if not self._take():
                call.reply({'error': 'too many appends'}, 429)
                return
            self._streams[stream].append(body)
            self.appends[stream] += 1
            self.bytes_appended += len(body)
            offset = self._earliest[stream] + len(self._streams[stream]) - 1
            lost = self.lose_answers > 0
            self.lose_answers -= lost
            self._changed.notify_all()
        if lost:
            call.drop()
        else:
            call.reply({'offset': offset})

    def _take(self) -> bool:
        now = time.monotonic()
        earned = (now - self._moment) * self._rate
        self._tokens = min(self._rate, self._tokens + earned)
        self._moment = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _read(self, call: Call, stream: str) -> None:
        start = int(call.query.get('from', 0))
        limit = int(call.query.get('limit', 1000))
        wait = int(call.query.get('wait_ms', 0)) / 1000
        with self._changed:
            self.reads[stream] += 1
            self._changed.wait_for(
                lambda: self._end(stream) > start, timeout=wait
            )
            earliest = self._earliest[stream]
            end = self._end(stream)
            first = max(start, earliest)
            rows = self._streams[stream][first - earliest :][:limit]
        records = [[first + place, body] for place, body in enumerate(rows)]
        call.reply({'earliest': earliest, 'end': end, 'records': records})

    def _end(self, stream: str) -> int:
        return self._earliest[stream] + len(self._streams[stream])


class ListStandIn:
    """The instance list, as it was some seconds ago."""

    def __init__(self, lag: float) -> None:
        """Keep the lag in seconds."""
        self._lag = lag
        #: Reader ('' for all others) -> times and lists.
        self._versions: dict[str, list[tuple[float, list[Any]]]] = {
            '': [(0.0, [])]
        }
        self.down = False

    def set(self, reader: str, rows: list[Any]) -> None:
        """Publish a new list, seen after the lag."""
        versions = self._versions.setdefault(reader, [(0.0, [])])
        versions.append((time.monotonic(), rows))

    def handle(self, call: Call) -> None:
        """Answer /instances, or /for/READER/instances.

        Readers get lists of their own where each of their links runs through
        a proxy route of its own.
        """
        if call.method == 'POST':
            body = call.json()
            self.set(body.get('reader', ''), body['instances'])
            call.reply({})
        elif self.down:
            call.reply({'error': 'outage'}, 503)
        else:
            limit = time.monotonic() - self._lag
            reader = call.path.split('/')[2] if '/for/' in call.path else ''
            versions = self._versions.get(reader) or self._versions['']
            seen = [rows for at, rows in versions if at <= limit]
            call.reply_tagged({'instances': seen[-1]})


class Platform:
    """All platform services on one port."""

    def __init__(self, rate: float, lag: float, seed: int) -> None:
        """Build the services."""
        self.log = LogStandIn(rate)
        self.list = ListStandIn(lag)
        self._random = random.Random(seed)
        self._journal = Journal()
        self._rater_down = False
        self._weights: list[float] = []

    def route(self, call: Call) -> None:
        """Answer one request."""
        if call.path.startswith('/streams/'):
            self.log.handle(call)
        elif call.path.endswith('/instances'):
            self.list.handle(call)
        elif call.path == '/rate':
            self._rate(call)
        elif call.path.startswith('/weights/'):
            self._weigh(call)
        elif call.path == '/fault':
            self._set_fault(call)
        elif call.path == '/journal':
            call.reply({'rows': self._journal.rows()})
        elif call.path == '/counts':
            call.reply(
                {
                    'appends': self.log.appends,
                    'reads': self.log.reads,
                    'bytes_appended': self.log.bytes_appended,
                }
            )
        elif call.path.startswith('/dump/'):
            call.reply(self.log.dump(call.path.rsplit('/', 1)[1]))
        else:
            call.reply({'error': 'not found'}, 404)

    def _rate(self, call: Call) -> None:
        if self._rater_down:
            call.reply({'error': 'outage'}, 503)
            return
        body = call.json()
        marks = re.findall(r'\[quality ([0-9.]+)\]', body['answer'])
        quality = float(marks[-1]) if marks else 0.5
        noise = self._random.gauss(0, 0.05)
        rating = min(1.0, max(0.0, quality + noise))
        self._journal.add(rated=body['version'], rating=rating)
        call.reply({'rating': rating})

    def _weigh(self, call: Call) -> None:
        """Hand out a model's weights, one download a second at most."""
        now = time.monotonic()
        self._weights = [at for at in self._weights if now - at < 1]
        if self._weights:
            call.reply({'error': 'too many downloads'}, 429)
            return
        self._weights.append(now)
        name = call.path.rsplit('/', 1)[1]
        digest = hashlib.sha256(name.encode()).hexdigest()
        self._journal.add(weights=name)
        call.reply({'sha256': digest})

    def _set_fault(self, call: Call) -> None:
        fault = call.json()
        if 'log_down_seconds' in fault:
            self.log.down_until = time.monotonic() + fault['log_down_seconds']
        if 'lose_answers' in fault:
            self.log.lose_answers = fault['lose_answers']
        if 'log_delay_seconds' in fault:
            self.log.delay = fault['log_delay_seconds']
        if 'retain' in fault:
            self.log.retain(*fault['retain'])
        if 'list_down' in fault:
            self.list.down = fault['list_down']
        if 'rater_down' in fault:
            self._rater_down = fault['rater_down']
        call.reply({})


def main() -> None:
    """Run the platform stand-in."""
    options = parse_port(
        'Log, instance list, rater and weights.', rate=300.0, lag=0.0, seed=1
    )
    platform = Platform(options.rate, options.lag, options.seed)
    serve(options.port, platform.route)
    wait_forever()


if __name__ == '__main__':
    main()
