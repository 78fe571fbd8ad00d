"""Measures the cost of relaying tokens, compared with a naive relay.

The naive relay (`bench.naive`) uses its sidecars in turn and sends one gRPC
message for each token.
"""

import sys
from typing import Any, NamedTuple

import psutil

from standins.calls import HOST, call, find_port, wait_until
from standins.fleet import Fleet
from standins.nodes import Node

from .fleet import API_KEY, BenchFleet
from .streams import make_request, percentile, run_streams

STREAM_COUNTS = (8, 200, 800)
ENGINE_COUNT = 6
MEASURED_SECONDS = 6.0
#: Length of one stream; it lasts longer than the measurement.
TOKENS_PER_STREAM = 1500
MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000


class RelayFigures(NamedTuple):
    """What one relay costs at one number of concurrent streams."""

    relay: str
    streams: int
    tokens_per_second: float
    #: CPU time of the entry for each token, in microseconds.
    entry_us: float
    #: CPU time of all sidecars for each token, in microseconds.
    sidecar_us: float
    first_p95_ms: float
    #: Time between two tokens of a stream.
    gap_p95_ms: float
    entry_mib: float


class ProcessMeter:
    """Measures the CPU time and memory of some processes."""

    def __init__(self, nodes: list[Node]) -> None:
        """Record the CPU time that the processes have used so far."""
        self._processes = [
            psutil.Process(node.process.pid)
            for node in nodes
            if node.process is not None
        ]
        self._cpu_before = self._total_cpu()

    def cpu_seconds(self) -> float:
        """Return the CPU time used since the meter was created."""
        return self._total_cpu() - self._cpu_before

    def memory_mib(self) -> float:
        """Return the largest resident size of a process."""
        return max(process.memory_info().rss for process in self._processes) / (
            1 << 20
        )

    def _total_cpu(self) -> float:
        return sum(
            process.cpu_times().user + process.cpu_times().system
            for process in self._processes
        )


def measure(
    relay: str,
    entry: Node,
    address: str,
    sidecars: list[Node],
    streams: int,
) -> RelayFigures:
    """Return the figures of one relay at one number of streams."""
    request = make_request(API_KEY, TOKENS_PER_STREAM)
    meters: list[ProcessMeter] = []
    result = run_streams(
        [address],
        request,
        streams,
        MEASURED_SECONDS,
        lambda: meters.extend((ProcessMeter([entry]), ProcessMeter(sidecars))),
    )
    entry_meter, sidecar_meter = meters
    entry_cpu = entry_meter.cpu_seconds()
    sidecar_cpu = sidecar_meter.cpu_seconds()
    memory_mib = entry_meter.memory_mib()
    tokens = max(1, result.tokens)
    return RelayFigures(
        relay,
        streams,
        result.tokens / result.seconds,
        entry_cpu / tokens * US_PER_SECOND,
        sidecar_cpu / tokens * US_PER_SECOND,
        percentile(result.first_token_seconds, 0.95) * MS_PER_SECOND,
        percentile(result.gap_seconds, 0.95) * MS_PER_SECOND,
        memory_mib,
    )


def measure_toucancourse(streams: int, step_ms: float) -> RelayFigures:
    """Return the figures of toucancourse at one number of streams."""
    with BenchFleet(ENGINE_COUNT, step_ms=step_ms) as fleet:
        warm_up(fleet, streams)
        entry = fleet.daemons['e1']
        sidecars: list[Node] = [fleet.daemons[name] for name in fleet.engines]
        return measure('ours', entry, entry.caller_address, sidecars, streams)


def warm_up(fleet: BenchFleet, streams: int) -> None:
    """Send short requests so that the endpoints' concurrency windows grow."""
    address = fleet.daemons['e1'].caller_address
    request = make_request(API_KEY, 5)
    for size in (8, 32, 128):
        run_streams([address], request, min(size, streams), 1.0)


def measure_naive(streams: int, step_ms: float) -> RelayFigures:
    """Return the figures of the naive relay at one number of streams."""
    with Fleet() as fleet:
        sidecars: list[Node] = []
        peers = []
        for number in range(ENGINE_COUNT):
            engine = fleet.run_standin(
                f'engine-{number}',
                'engine',
                '/load',
                versions='small@1',
                slots=400,
                step_ms=step_ms,
            )
            peer = f'{HOST}:{find_port()}'
            peers.append(peer)
            command = ['bench.naive', 'sidecar', peer, engine]
            sidecars.append(start_module(fleet, f'naive-{number}', command))
        address = f'{HOST}:{find_port()}'
        entry = start_module(
            fleet,
            'naive-entry',
            ['bench.naive', 'entry', address, ','.join(peers)],
        )
        wait_until(lambda: is_serving(address), 20, 'start of the naive relay')
        return measure('naive', entry, address, sidecars, streams)


def is_serving(address: str) -> bool:
    """Return True if the naive relay serves a request."""
    body: dict[str, Any] = {
        'model': 'small@1',
        'messages': [],
        'stream': True,
        'max_tokens': 1,
    }
    try:
        response = call(address, 'POST', '/v1/chat/completions', body)
    except OSError:
        return False
    return b'[DONE]' in response.body


def start_module(fleet: Fleet, name: str, arguments: list[str]) -> Node:
    """Start a Python module as a process of the fleet."""
    command = [sys.executable, '-m', *arguments]
    node = Node(name, command, fleet.folder / f'{name}.log')
    fleet.nodes[name] = node
    node.start()
    return node


def measure_latency(fleet: BenchFleet) -> list[tuple[str, float, float, float]]:
    """Return the latency and rate of one caller at a time.

    There is one row for an engine called directly and one for a call through
    an entry: name, first-token p50 and p95 in ms, and requests per second.
    """
    engine = next(iter(fleet.engines.values()))
    rows = []
    for name, address in (
        ('direct', engine),
        ('through', fleet.daemons['e1'].caller_address),
    ):
        request = make_request(API_KEY, 1)
        result = run_streams([address], request, 1, 4.0)
        rows.append(
            (
                name,
                percentile(result.first_token_seconds, 0.5) * MS_PER_SECOND,
                percentile(result.first_token_seconds, 0.95) * MS_PER_SECOND,
                result.completed / result.seconds,
            )
        )
    return rows


def measure_request_rate(fleet: BenchFleet) -> float:
    """Return the requests per second of one entry, with one token each."""
    request = make_request(API_KEY, 1)
    address = fleet.daemons['e1'].caller_address
    result = run_streams([address], request, 64, 5.0)
    return result.completed / result.seconds


def main(stream_counts: tuple[int, ...] = STREAM_COUNTS) -> list[RelayFigures]:
    """Print all figures; return those of each relay and stream count."""
    with BenchFleet(ENGINE_COUNT, step_ms=5.0) as fleet:
        warm_up(fleet, 64)
        idle = ProcessMeter([fleet.daemons['e1'], fleet.daemons['m0']])
        sys.stdout.write(f'idle daemon: {idle.memory_mib():.0f} MiB\n')
        for name, p50, p95, rate in measure_latency(fleet):
            sys.stdout.write(
                f'one caller, {name}: first token p50 {p50:.1f} ms, p95 '
                f'{p95:.1f} ms, {rate:.0f} requests/s\n'
            )
        sys.stdout.write(
            'one entry, 64 callers: '
            f'{measure_request_rate(fleet):.0f} requests/s\n'
        )
    rows = []
    sys.stdout.write(
        'relay  streams  tokens/s  entry us/token  sidecar us/token  '
        'first p95 ms  gap p95 ms  entry MiB\n'
    )
    for streams in stream_counts:
        step_ms = 25.0 if streams <= 200 else 33.0
        for measure_relay in (measure_naive, measure_toucancourse):
            figures = measure_relay(streams, step_ms)
            rows.append(figures)
            sys.stdout.write(
                f'{figures.relay:5}  {figures.streams:7}  '
                f'{figures.tokens_per_second:8.0f}  '
                f'{figures.entry_us:14.1f}  {figures.sidecar_us:16.1f}  '
                f'{figures.first_p95_ms:12.1f}  {figures.gap_p95_ms:10.1f}  '
                f'{figures.entry_mib:9.0f}\n'
            )
            sys.stdout.flush()
    return rows


if __name__ == '__main__':
    main(tuple(int(word) for word in sys.argv[1:]) or STREAM_COUNTS)
