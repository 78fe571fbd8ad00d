"""Cost of relaying tokens, ours beside the naive relay."""

import sys
from typing import Any, NamedTuple

import psutil

from standins.calls import HOST, call, find_port, wait_until
from standins.fleet import Fleet
from standins.nodes import Node

from .streams import make_request, percentile, run_streams
from .worlds import KEY, BenchWorld

SIZES = (8, 200, 800)
ENGINES = 6
SECONDS = 6.0
#: Tokens of one stream, long enough for a whole measurement.
TOKENS = 1500
MS = 1000
US = 1_000_000


class Row(NamedTuple):
    """One measured relay at one size."""

    relay: str
    streams: int
    tokens_a_second: float
    entry_us: float
    sidecar_us: float
    first_p95_ms: float
    gap_p95_ms: float
    entry_mib: float


class Meters:
    """CPU and memory of some processes around a measurement."""

    def __init__(self, nodes: list[Node]) -> None:
        """Start measuring."""
        self._processes = [
            psutil.Process(node.process.pid)
            for node in nodes
            if node.process is not None
        ]
        self._before = self._cpu()

    def cpu_seconds(self) -> float:
        """Return the CPU spent since the start."""
        return self._cpu() - self._before

    def memory_mib(self) -> float:
        """Return the largest resident size."""
        return max(process.memory_info().rss for process in self._processes) / (
            1 << 20
        )

    def _cpu(self) -> float:
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
) -> Row:
    """Return the figures of one relay at one size."""
    request = make_request(KEY, TOKENS)
    meters: list[Meters] = []
    result = run_streams(
        [address],
        request,
        streams,
        SECONDS,
        lambda: meters.extend((Meters([entry]), Meters(sidecars))),
    )
    entry_meter, sidecar_meter = meters
    entry_cpu = entry_meter.cpu_seconds()
    sidecar_cpu = sidecar_meter.cpu_seconds()
    memory = entry_meter.memory_mib()
    tokens = max(1, result.tokens)
    return Row(
        relay,
        streams,
        result.tokens / result.seconds,
        entry_cpu / tokens * US,
        sidecar_cpu / tokens * US,
        percentile(result.first, 0.95) * MS,
        percentile(result.gaps, 0.95) * MS,
        memory,
    )


def measure_ours(streams: int, step_ms: float) -> Row:
    """Return our figures at one size."""
    with BenchWorld(ENGINES, step_ms=step_ms) as world:
        warm_up(world, streams)
        entry = world.daemons['e1']
        sidecars: list[Node] = [world.daemons[name] for name in world.engines]
        return measure('ours', entry, entry.caller_address, sidecars, streams)


def warm_up(world: BenchWorld, streams: int) -> None:
    """Serve short requests until the windows have opened."""
    address = world.daemons['e1'].caller_address
    request = make_request(KEY, 5)
    for size in (8, 32, 128):
        run_streams([address], request, min(size, streams), 1.0)


def measure_naive(streams: int, step_ms: float) -> Row:
    """Return the naive relay's figures at one size."""
    with Fleet() as fleet:
        sidecars: list[Node] = []
        peers = []
        for number in range(ENGINES):
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
        wait_until(lambda: answers(address), 20, 'start of the naive relay')
        return measure('naive', entry, address, sidecars, streams)


def answers(address: str) -> bool:
    """Return True once the naive relay serves a request."""
    body: dict[str, Any] = {
        'model': 'small@1',
        'messages': [],
        'stream': True,
        'max_tokens': 1,
    }
    try:
        answer = call(address, 'POST', '/v1/chat/completions', body)
    except OSError:
        return False
    return b'[DONE]' in answer.body


def start_module(fleet: Fleet, name: str, words: list[str]) -> Node:
    """Start a module of the bench as a process of the fleet."""
    command = [sys.executable, '-m', *words]
    node = Node(name, command, fleet.folder / f'{name}.log')
    fleet.nodes[name] = node
    node.start()
    return node


def find_latency(world: BenchWorld) -> list[tuple[str, float, float, float]]:
    """Return p50, p95 and first-token p50 in ms, direct and through us."""
    engine = next(iter(world.engines.values()))
    rows = []
    for name, address in (
        ('direct', engine),
        ('through', world.daemons['e1'].caller_address),
    ):
        request = make_request(KEY, 1)
        result = run_streams([address], request, 1, 4.0)
        rows.append(
            (
                name,
                percentile(result.first, 0.5) * MS,
                percentile(result.first, 0.95) * MS,
                result.whole / result.seconds,
            )
        )
    return rows


def find_rate(world: BenchWorld) -> float:
    """Return the one-token requests a second of one entry."""
    request = make_request(KEY, 1)
    address = world.daemons['e1'].caller_address
    result = run_streams([address], request, 64, 5.0)
    return result.whole / result.seconds


def main(sizes: tuple[int, ...] = SIZES) -> list[Row]:
    """Print all figures and return the rows."""
    with BenchWorld(ENGINES, step_ms=5.0) as world:
        warm_up(world, 64)
        idle = Meters([world.daemons['e1'], world.daemons['m0']])
        sys.stdout.write(f'idle daemon: {idle.memory_mib():.0f} MiB\n')
        for name, median, high, rate in find_latency(world):
            sys.stdout.write(
                f'one caller, {name}: first token p50 {median:.1f} ms, p95 '
                f'{high:.1f} ms, {rate:.0f} requests/s\n'
            )
        sys.stdout.write(
            f'one entry, 64 callers: {find_rate(world):.0f} requests/s\n'
        )
    rows = []
    sys.stdout.write(
        'relay  streams  tokens/s  entry us/token  sidecar us/token  '
        'first p95 ms  gap p95 ms  entry MiB\n'
    )
    for streams in sizes:
        step = 25.0 if streams <= 200 else 33.0
        for measure_one in (measure_naive, measure_ours):
            row = measure_one(streams, step)
            rows.append(row)
            sys.stdout.write(
                f'{row.relay:5}  {row.streams:7}  {row.tokens_a_second:8.0f}  '
                f'{row.entry_us:14.1f}  {row.sidecar_us:16.1f}  '
                f'{row.first_p95_ms:12.1f}  {row.gap_p95_ms:10.1f}  '
                f'{row.entry_mib:9.0f}\n'
            )
            sys.stdout.flush()
    return rows


if __name__ == '__main__':
    main(tuple(int(word) for word in sys.argv[1:]) or SIZES)
