"""Emulates the platform: log, instance list, rater and weight store."""

import hashlib
import random
import re
import threading
import time
from collections import defaultdict
from typing import Any

from .serving import Journal, Request, parse_port, serve, wait_forever


class LogService:
    """Append-only log streams with a rate limit, retention and outages."""

    def __init__(self, rate: float) -> None:
        """Create the log; `rate` limits appends per second in all streams."""
        self._changed = threading.Condition()
        self._streams: dict[str, list[str]] = defaultdict(list)
        self._earliest: dict[str, int] = defaultdict(int)
        self._rate = rate
        self._tokens = rate
        self._refilled_at = time.monotonic()
        self.down_until = 0.0
        #: Number of next appends that get no response.
        self.lose_answers = 0
        #: Delay of each request, in seconds.
        self.delay = 0.0
        self.appends: dict[str, int] = defaultdict(int)
        self.reads: dict[str, int] = defaultdict(int)
        self.bytes_appended = 0

    def handle(self, request: Request) -> None:
        """Handle an append (POST) to or a read (GET) of /streams/NAME."""
        stream = request.path.rsplit('/', 1)[1]
        if self.delay:
            time.sleep(self.delay)
        if time.monotonic() < self.down_until:
            request.reply({'error': 'outage'}, 503)
        elif request.method == 'POST':
            self._append(request, stream)
        else:
            self._read(request, stream)

    def retain(self, stream: str, count: int) -> None:
        """Drop all but the last `count` records of a stream."""
        with self._changed:
            end = self._earliest[stream] + len(self._streams[stream])
            kept = self._streams[stream][-count:] if count else []
            self._streams[stream] = kept
            self._earliest[stream] = end - len(kept)

    def dump(self, stream: str) -> dict[str, Any]:
        """Return the retained records and the offset of the first."""
        with self._changed:
            return {
                'earliest': self._earliest[stream],
                'records': list(self._streams[stream]),
            }

    def _append(self, request: Request, stream: str) -> None:
        body = request.json()['body']
        with self._changed:
            if not self._take_token():
                request.reply({'error': 'too many appends'}, 429)
                return
            self._streams[stream].append(body)
            self.appends[stream] += 1
            self.bytes_appended += len(body)
            offset = self._earliest[stream] + len(self._streams[stream]) - 1
            lost = self.lose_answers > 0
            self.lose_answers -= lost
            self._changed.notify_all()
        if lost:
            request.drop()
        else:
            request.reply({'offset': offset})

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _read(self, request: Request, stream: str) -> None:
        start = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 1000))
        wait = int(request.query.get('wait_ms', 0)) / 1000
        with self._changed:
            self.reads[stream] += 1
            self._changed.wait_for(
                lambda: self._end(stream) > start, timeout=wait
            )
            earliest = self._earliest[stream]
            end = self._end(stream)
            first = max(start, earliest)
            bodies = self._streams[stream][first - earliest :][:limit]
        records = [[first + index, body] for index, body in enumerate(bodies)]
        request.reply({'earliest': earliest, 'end': end, 'records': records})

    def _end(self, stream: str) -> int:
        return self._earliest[stream] + len(self._streams[stream])


class InstanceListService:
    """The instance list, whose readers see changes after a lag."""

    def __init__(self, lag: float) -> None:
        """Create an empty list; `lag` is in seconds."""
        self._lag = lag
        #: Publication times and lists by reader; '' is for all other readers.
        self._versions: dict[str, list[tuple[float, list[Any]]]] = {
            '': [(0.0, [])]
        }
        self.down = False

    def publish(self, reader: str, instances: list[Any]) -> None:
        """Publish a list for a reader, or for all others if it is ''."""
        versions = self._versions.setdefault(reader, [(0.0, [])])
        versions.append((time.monotonic(), instances))

    def handle(self, request: Request) -> None:
        """Handle /instances and /for/READER/instances.

        A reader has its own list if its connections go through proxy routes of
        its own.
        """
        if request.method == 'POST':
            body = request.json()
            self.publish(body.get('reader', ''), body['instances'])
            request.reply({})
        elif self.down:
            request.reply({'error': 'outage'}, 503)
        else:
            limit = time.monotonic() - self._lag
            reader = (
                request.path.split('/')[2] if '/for/' in request.path else ''
            )
            versions = self._versions.get(reader) or self._versions['']
            visible = [instances for at, instances in versions if at <= limit]
            request.reply_with_etag({'instances': visible[-1]})


class Platform:
    """All services of the platform on one port."""

    def __init__(self, rate: float, lag: float, seed: int) -> None:
        """Create the services; `seed` is for the noise of ratings."""
        self.log = LogService(rate)
        self.list = InstanceListService(lag)
        self._random = random.Random(seed)
        self._journal = Journal()
        self._rater_down = False
        #: Times of the downloads in the last second.
        self._downloads: list[float] = []

    def route(self, request: Request) -> None:
        """Handle an API request or a control request of a test."""
        if request.path.startswith('/streams/'):
            self.log.handle(request)
        elif request.path.endswith('/instances'):
            self.list.handle(request)
        elif request.path == '/rate':
            self._rate(request)
        elif request.path.startswith('/weights/'):
            self._serve_weights(request)
        elif request.path == '/fault':
            self._set_fault(request)
        elif request.path == '/journal':
            request.reply({'rows': self._journal.rows()})
        elif request.path == '/counts':
            request.reply(
                {
                    'appends': self.log.appends,
                    'reads': self.log.reads,
                    'bytes_appended': self.log.bytes_appended,
                }
            )
        elif request.path.startswith('/dump/'):
            request.reply(self.log.dump(request.path.rsplit('/', 1)[1]))
        else:
            request.reply({'error': 'not found'}, 404)

    def _rate(self, request: Request) -> None:
        if self._rater_down:
            request.reply({'error': 'outage'}, 503)
            return
        body = request.json()
        qualities = re.findall(r'\[quality ([0-9.]+)\]', body['answer'])
        quality = float(qualities[-1]) if qualities else 0.5
        noise = self._random.gauss(0, 0.05)
        rating = min(1.0, max(0.0, quality + noise))
        self._journal.add(rated=body['version'], rating=rating)
        request.reply({'rating': rating})

    def _serve_weights(self, request: Request) -> None:
        """Serve a model's weights, at most one download per second."""
        now = time.monotonic()
        self._downloads = [at for at in self._downloads if now - at < 1]
        if self._downloads:
            request.reply({'error': 'too many downloads'}, 429)
            return
        self._downloads.append(now)
        name = request.path.rsplit('/', 1)[1]
        digest = hashlib.sha256(name.encode()).hexdigest()
        self._journal.add(weights=name)
        request.reply({'sha256': digest})

    def _set_fault(self, request: Request) -> None:
        fault = request.json()
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
        request.reply({})


def main() -> None:
    """Run the platform."""
    options = parse_port(
        'Log, instance list, rater and weights.', rate=300.0, lag=0.0, seed=1
    )
    platform = Platform(options.rate, options.lag, options.seed)
    serve(options.port, platform.route)
    wait_forever()


if __name__ == '__main__':
    main()
