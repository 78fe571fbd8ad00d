"""Measures the costs of small fleets and extrapolates to the target size.

Writes docs/CAPACITY.md; every figure in its tables is computed.
"""

import sys
import time
from http.client import HTTPException
from pathlib import Path
from typing import NamedTuple

import psutil

from standins.calls import call
from toucancourse.daemon.entry import APPEND_SECONDS_PER_ENTRY

from .fleet import BenchFleet
from .relay import measure_toucancourse
from .subset import measure as measure_subset

PAGE_PATH = Path(__file__).resolve().parent.parent / 'docs' / 'CAPACITY.md'
#: Number of entries and of sidecars in each measured fleet.
FLEET_SIZES = ((2, 3), (8, 24), (8, 48), (3, 84))
#: From this number of peers on, an entry's status period grows with its peers,
#: so its statuses per second stay the same.
MIN_PACED_PEERS = 20
IDLE_SECONDS = 8.0
CHANGE_COUNT = 20
#: A long step keeps the CPU use of idle engines low.
STEP_MS = 100
MIB = 1 << 20
DAY_SECONDS = 86400

# Target: the size, load and limits that the users expect within two years.
DAEMONS = 450
REPLICAS = 2800
ZONES = 14
REQUESTS_PER_SECOND = 25_000
TOKENS_PER_SECOND = 11_000_000
CHANGES_PER_DAY = 3400
STARTS_PER_DAY = 65 + 220
MAX_APPENDS_PER_SECOND = 300
MAX_IDLE_CORES = 0.016
MAX_MEMORY_MIB = 256
MAX_BYTES_PER_SECOND = 3000
#: Setting max_peers of an entry at the target size.
MAX_PEERS = 64
#: Most messages that carry a record from a log reader to another daemon in
#: the measured fleets.
MEASURED_HOPS = 2
#: Share of requests that carry an idempotency key.
KEYED_SHARE = 0.01
#: Shortest time between two bill records of an entry.
BILL_SECONDS = 0.5


class FleetCosts(NamedTuple):
    """Costs of one fleet; those of entries and sidecars are means by role.

    CPU is in cores, memory in MiB, bytes, reads and appends per second, and
    the changes and the start in seconds.
    """

    entries: int
    sidecars: int
    entry_cpu: float
    sidecar_cpu: float
    entry_mib: float
    sidecar_mib: float
    entry_bytes: float
    sidecar_bytes: float
    log_reads: float
    log_appends: float
    change_p50: float
    change_max: float
    start_seconds: float

    def peers(self) -> float:
        """Return the number of peers of an entry: all sidecars."""
        return float(self.sidecars)


class Fit(NamedTuple):
    """A least-squares line through measured points."""

    base: float
    slope: float
    #: Root mean square distance of the points from the line.
    error: float

    def predict(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    squared_errors = [(base + slope * x - y) ** 2 for x, y in points]
    return Fit(base, slope, (sum(squared_errors) / count) ** 0.5)


def measure_fleet(entries: int, sidecars: int) -> FleetCosts:
    """Return the costs of an idle fleet, and its change and start times."""
    with BenchFleet(
        sidecars - 1, entries, zones=2, proxied=True, step_ms=STEP_MS
    ) as fleet:
        daemons = list(fleet.daemons.values())
        time.sleep(2)
        cpu_before = {
            daemon.name: read_cpu_seconds(daemon.process.pid)
            for daemon in daemons
        }
        counts_before = call(fleet.platform, 'GET', '/counts').json()
        bytes_before = call(fleet.proxy, 'GET', '/counts').json()
        time.sleep(IDLE_SECONDS)
        bytes_after = call(fleet.proxy, 'GET', '/counts').json()
        counts_after = call(fleet.platform, 'GET', '/counts').json()
        cpu_cores = {
            daemon.name: (
                read_cpu_seconds(daemon.process.pid) - cpu_before[daemon.name]
            )
            / IDLE_SECONDS
            for daemon in daemons
        }
        change_seconds = [
            time_change(fleet, number) for number in range(CHANGE_COUNT)
        ]
        memory = {
            daemon.name: read_memory_mib(daemon.process.pid)
            for daemon in daemons
        }
        start_seconds = time_restart(fleet)
    byte_rates = {
        name: (bytes_after[name] - bytes_before.get(name, 0)) / IDLE_SECONDS
        for name in bytes_after
    }
    peer_bytes = sum(
        value for name, value in byte_rates.items() if name.startswith('peer:')
    )
    roles = {daemon.name: daemon.role for daemon in daemons}

    def mean(values: dict[str, float], role: str) -> float:
        selected = [
            value for name, value in values.items() if roles[name] == role
        ]
        return sum(selected) / len(selected)

    return FleetCosts(
        entries,
        sidecars,
        mean(cpu_cores, 'entry'),
        mean(cpu_cores, 'sidecar'),
        mean(memory, 'entry'),
        mean(memory, 'sidecar'),
        peer_bytes / entries,
        peer_bytes / sidecars,
        find_growth(counts_after['reads'], counts_before['reads'])
        / IDLE_SECONDS,
        find_growth(counts_after['appends'], counts_before['appends'])
        / IDLE_SECONDS,
        sorted(change_seconds)[len(change_seconds) // 2],
        max(change_seconds),
        start_seconds,
    )


def find_growth(after: dict[str, int], before: dict[str, int]) -> int:
    """Return the difference between the sums of two sets of counters."""
    return sum(after.values()) - sum(before.values())


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system CPU seconds of a process."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def read_memory_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return float(psutil.Process(pid).memory_info().rss / MIB)


def time_change(fleet: BenchFleet, number: int) -> float:
    """Return the seconds until all daemons confirmed a change.

    Raises RuntimeError if the change is not in force.
    """
    started_at = time.monotonic()
    answer = fleet.put('e1', 'instance/spare', {'out': bool(number % 2)})
    if not answer.json().get('in_force'):
        raise RuntimeError(f'change is not in force: {answer.body!r}')
    return time.monotonic() - started_at


def time_restart(fleet: BenchFleet) -> float:
    """Return the seconds from the start of a killed sidecar until ready."""
    name = sorted(fleet.engines)[0]
    fleet.daemons[name].kill()
    started_at = time.monotonic()
    fleet.daemons[name].start()
    fleet.wait_ready(name)
    return time.monotonic() - started_at


def measure_bills(rate: float) -> tuple[float, float]:
    """Return log appends and bytes per second of one entry.

    The rate is in requests per second.
    """
    with BenchFleet(3, 1) as fleet:
        for _ in range(30):
            fleet.chat_once()
        counts_before = call(fleet.platform, 'GET', '/counts').json()
        started_at = time.monotonic()
        seconds = 5.0
        sent = 0
        while time.monotonic() - started_at < seconds:
            due = started_at + sent / rate
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                fleet.chat_once()
            except (OSError, HTTPException):
                continue
            sent += 1
        after = call(fleet.platform, 'GET', '/counts').json()
    records = find_growth(after['appends'], counts_before['appends']) / seconds
    byte_rate = (
        after['bytes_appended'] - counts_before['bytes_appended']
    ) / seconds
    return records, byte_rate


def format_verdict(value: float, limit: float) -> str:
    """Return the table cell that says whether a value is within its limit."""
    return 'fits' if value <= limit else '**does not fit**'


class AppendRate(NamedTuple):
    """Records and bytes per second that requests of one entry append."""

    records: float
    bytes: float

    def bytes_per_record(self) -> float:
        """Return the mean size of a record in bytes."""
        return self.bytes / max(self.records, 1e-9)


def measure_claim_bytes() -> float:
    """Return the bytes that a booking with an idempotency key appends."""
    count = 40
    with BenchFleet(1, 1) as fleet:
        before = call(fleet.platform, 'GET', '/counts').json()
        for number in range(count):
            fleet.book_once(f'capacity-{number}')
        fleet.wait_until_log_idle()
        after = call(fleet.platform, 'GET', '/counts').json()
    return (after['bytes_appended'] - before['bytes_appended']) / count


def render_page(points: list[FleetCosts]) -> str:
    """Return the Markdown text of the page."""
    paced_fleets = [
        fleet for fleet in points if fleet.sidecars >= MIN_PACED_PEERS
    ]
    entry_cpu = fit_line(
        [(fleet.peers(), fleet.entry_cpu) for fleet in paced_fleets]
    )
    sidecar_cpu = fit_line(
        [(fleet.entries, fleet.sidecar_cpu) for fleet in points]
    )
    entry_mib = fit_line([(fleet.peers(), fleet.entry_mib) for fleet in points])
    sidecar_mib = fit_line(
        [(fleet.entries, fleet.sidecar_mib) for fleet in points]
    )
    entry_bytes = fit_line(
        [(fleet.peers(), fleet.entry_bytes) for fleet in paced_fleets]
    )
    sidecar_bytes = fit_line(
        [(fleet.entries, fleet.sidecar_bytes) for fleet in points]
    )
    slowest = max(fleet.change_max for fleet in points)
    reads = fit_line([(fleet.sidecars, fleet.log_reads) for fleet in points])
    graph = measure_subset(MAX_PEERS)
    peers_per_entry = round(graph.peers)
    bills = AppendRate(*measure_bills(40))
    claim_bytes = measure_claim_bytes()
    relay = measure_toucancourse(200, 25.0)
    entries_per_sidecar = graph.peers * DAEMONS / REPLICAS
    tokens_per_entry = TOKENS_PER_SECOND / DAEMONS
    tokens_per_replica = TOKENS_PER_SECOND / REPLICAS
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    period = max(BILL_SECONDS, DAEMONS * APPEND_SECONDS_PER_ENTRY)
    bill_rate = DAEMONS / period
    bill_byte_rate = bill_rate * bills.bytes_per_record()
    claim_byte_rate = REQUESTS_PER_SECOND * KEYED_SHARE * claim_bytes
    claim_rate = ZONES * 2 / 0.1
    lines = [PAGE_HEAD]
    lines += [
        '## Measured fleets',
        '',
        'Idle, in two zones; a byte-counting proxy carries every peer stream.',
        '',
        '| entries | sidecars | entry CPU % | sidecar CPU % | entry MiB '
        '| sidecar MiB | entry B/s | sidecar B/s | log reads/s '
        '| log appends/s | change p50 s | change max s | start s |',
        '|' + ' --- |' * 13,
    ]
    lines += [
        f'| {fleet.entries} | {fleet.sidecars} | {fleet.entry_cpu * 100:.2f} '
        f'| {fleet.sidecar_cpu * 100:.2f} | {fleet.entry_mib:.0f} '
        f'| {fleet.sidecar_mib:.0f} | {fleet.entry_bytes:.0f} '
        f'| {fleet.sidecar_bytes:.0f} | {fleet.log_reads:.1f} '
        f'| {fleet.log_appends:.2f} | {fleet.change_p50:.3f} '
        f'| {fleet.change_max:.3f} | {fleet.start_seconds:.2f} |'
        for fleet in points
    ]
    lines += [
        '',
        '## Worked out to the target size',
        '',
        f'{DAEMONS} entries, {REPLICAS} sidecars, {ZONES} zones, '
        f'{peers_per_entry} peers per entry ({MAX_PEERS}, and those needed to '
        f'cover every version and service), so {entries_per_sidecar:.1f} '
        'entries per sidecar. Slope, per peer, and error are those of the '
        'line through the fleets above. For the CPU and the bytes of an entry '
        f'the line uses the fleets with at least {MIN_PACED_PEERS} peers, '
        'where the rate of its statuses no longer grows with its peers.',
        '',
        '| role | what | base | slope | error | at the size | budget | |'
        ' mechanism |',
        '|' + ' --- |' * 9,
    ]

    def add_row(
        role: str,
        what: str,
        fit: Fit,
        size: float,
        limit: float,
        mechanism: str,
    ) -> None:
        value = fit.predict(size)
        lines.append(
            f'| {role} | {what} | {fit.base:.4g} | {fit.slope:.4g} '
            f'| {fit.error:.2g} | {value:.4g} | {limit:g} '
            f'| {format_verdict(value, limit)} | {mechanism} |'
        )

    add_row(
        'entry',
        'idle CPU, cores',
        entry_cpu,
        peers_per_entry,
        MAX_IDLE_CORES,
        'one status per heartbeat and peer; polls of the small streams',
    )
    add_row(
        'sidecar',
        'idle CPU, cores',
        sidecar_cpu,
        entries_per_sidecar,
        MAX_IDLE_CORES,
        'one status per heartbeat and entry; load polled from the '
        'engine 4 times a second',
    )
    add_row(
        'entry',
        'memory, MiB',
        entry_mib,
        peers_per_entry,
        MAX_MEMORY_MIB,
        'a channel and threads for each peer, the state of the streams',
    )
    add_row(
        'sidecar',
        'memory, MiB',
        sidecar_mib,
        entries_per_sidecar,
        MAX_MEMORY_MIB,
        'a stream for each entry, remembered attempts',
    )
    add_row(
        'entry',
        'control bytes/s',
        entry_bytes,
        peers_per_entry,
        MAX_BYTES_PER_SECOND,
        'status both ways, gRPC and HTTP/2 frames',
    )
    add_row(
        'sidecar',
        'control bytes/s',
        sidecar_bytes,
        entries_per_sidecar,
        MAX_BYTES_PER_SECOND,
        'status both ways, gRPC and HTTP/2 frames',
    )
    in_force = slowest * graph.hops / MEASURED_HOPS
    lines += [
        f'| all | slowest change in force, s | {slowest:.3f} measured | '
        f'{MEASURED_HOPS} hops | | {in_force:.2f} over {graph.hops} hops | 5 '
        f'| {format_verdict(in_force, 5.0)} '
        '| readers of each zone push records over the peer streams |',
        '',
        f'At the target size a record reaches the last daemon after '
        f'{graph.hops} messages (`python -m bench.subset`), computed with the '
        'rules by which entries choose their sidecars and zones their readers. '
        'An '
        f'endpoint has {graph.least_entries} to {graph.most_entries} entries; '
        f'the spread over model endpoints is {graph.spread:.2f} of the mean. '
        'If entries ignored the offers of the sidecars, '
        f'{graph.missing_percent:.0f}% of the entries would reach no endpoint '
        'of some version or service.',
        '',
        '## Load',
        '',
        '| role | what | measured | at the size | budget | | mechanism |',
        '|' + ' --- |' * 7,
        f'| entry | relay, cores | {relay.entry_us:.1f} us per token at 200 '
        f'streams | {relay.entry_us * tokens_per_entry / 1e6:.2f} | 1 '
        f'| {format_verdict(relay.entry_us * tokens_per_entry / 1e6, 1)} '
        '| frames of many requests share a message; chunks are written to '
        'the socket without the event loop |',
        f'| sidecar | relay, cores | {relay.sidecar_us:.1f} us per token '
        f'| {relay.sidecar_us * tokens_per_replica / 1e6:.2f} | 1 '
        f'| {format_verdict(relay.sidecar_us * tokens_per_replica / 1e6, 1)} '
        '| one task per connection; a message is sent 5 ms after its first '
        'token |',
        '| log | bill, rating and count appends/s | one of each per '
        f'{period:g} s and entry | {bill_rate * 3:.0f} '
        f'| {MAX_APPENDS_PER_SECOND} '
        f'| {format_verdict(bill_rate * 3, MAX_APPENDS_PER_SECOND)} '
        '| the period grows with the number of entries |',
        f'| log | claim appends/s | at most 10 per collector '
        f'| {claim_rate:.0f} | {MAX_APPENDS_PER_SECOND} '
        f'| {format_verdict(claim_rate, MAX_APPENDS_PER_SECOND)} '
        '| two collectors per zone, each appends a record every 0.1 s |',
        f'| log | all appends/s | the two lines above | '
        f'{claim_rate + bill_rate * 3:.0f} | {MAX_APPENDS_PER_SECOND} | '
        f'{format_verdict(claim_rate + bill_rate * 3, MAX_APPENDS_PER_SECOND)}'
        ' | |',
        '| entry | bills received, bytes/s '
        f'| {bills.bytes_per_record():.0f} per record at 40 requests/s '
        f'| {bill_byte_rate:.0f} | {MAX_BYTES_PER_SECOND} '
        f'| {format_verdict(bill_byte_rate, MAX_BYTES_PER_SECOND)} '
        '| every entry applies all bills |',
        f'| entry | claims received, bytes/s | {claim_bytes:.0f} per keyed '
        f'call | {claim_byte_rate:.0f} at {KEYED_SHARE:.0%} keyed '
        f'| {MAX_BYTES_PER_SECOND} '
        f'| {format_verdict(claim_byte_rate, MAX_BYTES_PER_SECOND)} '
        '| every entry applies all claims |',
        f'| log | reads/s of idle daemons | {reads.base:.1f} and '
        f'{reads.slope:.2f} for each sidecar | {reads.predict(REPLICAS):.0f} '
        '| none stated | | two readers per zone; a daemon whose freshness '
        'proof is older than 0.4 of `stale_seconds` reads the log itself |',
        f'| log | configuration appends/s | one per change '
        f'| {changes_per_second:.3f} | {MAX_APPENDS_PER_SECOND} '
        f'| {format_verdict(changes_per_second, MAX_APPENDS_PER_SECOND)} '
        '| compare-and-set when a record is applied, no lease to renew |',
        f'| log | starts/s that read the stream | one read per start '
        f'| {STARTS_PER_DAY / DAY_SECONDS:.4f} | none stated | '
        '| snapshot, or the state from a peer |',
        '',
        PAGE_TAIL,
    ]
    return '\n'.join(lines)


PAGE_HEAD = """# Capacity

Written by `make capacity`; every figure in the tables is computed. Slopes come
from fleets of real daemons on one machine, with small stand-ins. Rows that
exceed their budget are marked, with the change that would bring them within it.
"""

PAGE_TAIL = """## What breaks first, and what would mend it

- **Claims.** Every entry applies every claim, so bytes and memory grow with
  all keyed calls. Not built: one stream for each range of keys, followed only
  by the collectors that serve the range and look up its keys for the entries.
- **Control bytes.** An entry receives bills, ratings and counts in addition
  to statuses. A longer `STATUS_SECONDS_PER_PEER` saves bytes, but load reports
  arrive later.
- **Reads.** Those of the small streams grow with the zones, not with the
  entries ([design/collectors.md](design/collectors.md)). Those of the
  configuration grow with the sidecars: with many peers each status comes
  seldom, so a freshness proof is old after several hops. A longer
  `stale_seconds` saves reads, but an entry and a sidecar that are cut off
  from the rest go on working for longer with an old configuration.
- **Confirmation.** An entry knows the offsets of the sidecars that it has a
  stream to. With a subset of sidecars `toucanctl` lists the others as not
  confirmed; they would have to be asked through other entries.
- **Zones starting at once.** A new daemon reads the log once and polls the
  instance list each second with no jitter; the load of many daemons that
  start together was not measured.
- **A region cut off.** Its daemons refuse new work after `stale_seconds`
  (design note on configuration); not measured with several regions.
- **Tokens.** One entry relays 24,000 tokens/s at 800 streams on one core
  (see docs/MEASUREMENTS.md), so the loss of a tenth of the entries leaves no
  spare capacity: run a fifth more than the 450.

## Not measured here

The daily failures and restarts under load, and several regions. They need the
users' own benchmark, which is announced.
"""


def main() -> None:
    """Measure the fleets, print their costs and write the page."""
    points = []
    for entries, sidecars in FLEET_SIZES:
        points.append(measure_fleet(entries, sidecars))
        sys.stdout.write(f'{points[-1]}\n')
        sys.stdout.flush()
    PAGE_PATH.write_text(render_page(points))
    sys.stdout.write(f'{PAGE_PATH} written\n')


if __name__ == '__main__':
    main()
