"""Slopes at small sizes, worked out to the target size.

Writes docs/CAPACITY.md; nothing in its tables is typed by hand.
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

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'CAPACITY.md'
#: Entries and sidecars of each measured fleet.
SIZES = ((2, 3), (8, 24), (8, 48), (3, 84))
#: Peers from which on an entry's statuses no longer grow with its peers.
PACED_PEERS = 20
IDLE_SECONDS = 8.0
CHANGES = 20
#: Idle engines cost less at a slow pace.
STEP_MS = 100
MIB = 1 << 20
DAY_SECONDS = 86400

# The size that the users expect within two years.
DAEMONS = 450
REPLICAS = 2800
ZONES = 14
REQUESTS = 25_000
TOKENS = 11_000_000
CHANGES_A_DAY = 3400
STARTS_A_DAY = 65 + 220
LOG_APPENDS = 300
CPU_SHARE = 0.016
MEMORY_MIB = 256
BYTES_A_SECOND = 3000
#: An entry's max_peers at that size.
MAX_PEERS = 64
#: Longest way of a record from a reader in the measured fleets.
FLEET_HOPS = 2
#: Share of requests that carry an idempotency key.
KEYED_SHARE = 0.01
BILL_SECONDS = 0.5


class Point(NamedTuple):
    """What one fleet of daemons costs, each a mean of its role."""

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
        """Return the peers of an entry."""
        return float(self.sidecars)


class Fit(NamedTuple):
    """A least-squares line through measured points."""

    base: float
    slope: float
    #: Root mean square error of the points.
    error: float

    def at(self, size: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    errors = [(base + slope * x - y) ** 2 for x, y in points]
    return Fit(base, slope, (sum(errors) / count) ** 0.5)


def measure_fleet(entries: int, sidecars: int) -> Point:
    """Return what an idle fleet costs, and how fast changes spread."""
    with BenchFleet(
        sidecars - 1, entries, zones=2, proxied=True, step_ms=STEP_MS
    ) as fleet:
        daemons = list(fleet.daemons.values())
        time.sleep(2)
        before = {row.name: cpu_of(row.process.pid) for row in daemons}
        counts = call(fleet.platform, 'GET', '/counts').json()
        traffic = call(fleet.proxy, 'GET', '/counts').json()
        time.sleep(IDLE_SECONDS)
        traffic_after = call(fleet.proxy, 'GET', '/counts').json()
        counts_after = call(fleet.platform, 'GET', '/counts').json()
        used = {
            row.name: (cpu_of(row.process.pid) - before[row.name])
            / IDLE_SECONDS
            for row in daemons
        }
        seconds = [change(fleet, number) for number in range(CHANGES)]
        memory = {row.name: memory_of(row.process.pid) for row in daemons}
        start = restart(fleet)
    sent = {
        name: (traffic_after[name] - traffic.get(name, 0)) / IDLE_SECONDS
        for name in traffic_after
    }
    peer_bytes = sum(
        value for name, value in sent.items() if name.startswith('peer:')
    )
    roles = {row.name: row.role for row in daemons}

    def mean(values: dict[str, float], role: str) -> float:
        rows = [value for name, value in values.items() if roles[name] == role]
        return sum(rows) / len(rows)

    return Point(
        entries,
        sidecars,
        mean(used, 'entry'),
        mean(used, 'sidecar'),
        mean(memory, 'entry'),
        mean(memory, 'sidecar'),
        peer_bytes / entries,
        peer_bytes / sidecars,
        total(counts_after['reads'], counts['reads']) / IDLE_SECONDS,
        total(counts_after['appends'], counts['appends']) / IDLE_SECONDS,
        sorted(seconds)[len(seconds) // 2],
        max(seconds),
        start,
    )


def total(after: dict[str, int], before: dict[str, int]) -> int:
    """Return how much the sum of some counts grew."""
    return sum(after.values()) - sum(before.values())


def cpu_of(pid: int) -> float:
    """Return the CPU seconds of a process."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def memory_of(pid: int) -> float:
    """Return the resident MiB of a process."""
    return float(psutil.Process(pid).memory_info().rss / MIB)


def change(fleet: BenchFleet, number: int) -> float:
    """Return the seconds until a change was confirmed by all daemons."""
    began = time.monotonic()
    answer = fleet.put('e1', 'instance/spare', {'out': bool(number % 2)})
    if not answer.json().get('in_force'):
        raise RuntimeError(f'not in force: {answer.body!r}')
    return time.monotonic() - began


def restart(fleet: BenchFleet) -> float:
    """Return the seconds from the start of a replaced sidecar to ready."""
    name = sorted(fleet.engines)[0]
    fleet.daemons[name].kill()
    began = time.monotonic()
    fleet.daemons[name].start()
    fleet.wait_ready(name)
    return time.monotonic() - began


def measure_bills(rate: float) -> tuple[float, float]:
    """Return appends and bytes a second of one entry at a request rate."""
    with BenchFleet(3, 1) as fleet:
        for _ in range(30):
            fleet.chat_once()
        counts = call(fleet.platform, 'GET', '/counts').json()
        began = time.monotonic()
        seconds = 5.0
        sent = 0
        while time.monotonic() - began < seconds:
            due = began + sent / rate
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                fleet.chat_once()
            except (OSError, HTTPException):
                continue
            sent += 1
        after = call(fleet.platform, 'GET', '/counts').json()
    appends = total(after['appends'], counts['appends']) / seconds
    size = (after['bytes_appended'] - counts['bytes_appended']) / seconds
    return appends, size


def mark(value: float, limit: float) -> str:
    """Return whether a value fits its limit."""
    return 'fits' if value <= limit else '**does not fit**'


class Records(NamedTuple):
    """What requests of one entry append, in records and bytes a second."""

    appends: float
    size: float

    def bytes_a_record(self) -> float:
        """Return the mean size of a record."""
        return self.size / max(self.appends, 1e-9)


def measure_claim() -> float:
    """Return the bytes that one keyed booking appends to the log."""
    count = 40
    with BenchFleet(1, 1) as fleet:
        before = call(fleet.platform, 'GET', '/counts').json()
        for number in range(count):
            fleet.book_once(f'capacity-{number}')
        fleet.wait_until_log_idle()
        after = call(fleet.platform, 'GET', '/counts').json()
    return (after['bytes_appended'] - before['bytes_appended']) / count


def write_page(points: list[Point]) -> str:
    """Return the page."""
    paced = [row for row in points if row.sidecars >= PACED_PEERS]
    entry_cpu = fit_line([(row.peers(), row.entry_cpu) for row in paced])
    sidecar_cpu = fit_line([(row.entries, row.sidecar_cpu) for row in points])
    entry_mib = fit_line([(row.peers(), row.entry_mib) for row in points])
    sidecar_mib = fit_line([(row.entries, row.sidecar_mib) for row in points])
    entry_bytes = fit_line([(row.peers(), row.entry_bytes) for row in paced])
    side_bytes = fit_line([(row.entries, row.sidecar_bytes) for row in points])
    slowest = max(row.change_max for row in points)
    reads = fit_line([(row.sidecars, row.log_reads) for row in points])
    graph = measure_subset(MAX_PEERS)
    subset = round(graph.peers)
    bills = Records(*measure_bills(40))
    claim_bytes = measure_claim()
    relay = measure_toucancourse(200, 25.0)
    entries_per_sidecar = graph.peers * DAEMONS / REPLICAS
    tokens = TOKENS / DAEMONS
    replica_tokens = TOKENS / REPLICAS
    changes = CHANGES_A_DAY / DAY_SECONDS
    period = max(BILL_SECONDS, DAEMONS * APPEND_SECONDS_PER_ENTRY)
    records = DAEMONS / period
    inbound = records * bills.bytes_a_record()
    claims_in = REQUESTS * KEYED_SHARE * claim_bytes
    collected = ZONES * 2 / 0.1
    lines = [HEAD]
    lines += [
        '## Measured fleets',
        '',
        'Idle, two zones, every peer stream through the byte-counting proxy.',
        '',
        '| entries | sidecars | entry CPU % | sidecar CPU % | entry MiB '
        '| sidecar MiB | entry B/s | sidecar B/s | log reads/s '
        '| log appends/s | change p50 s | change max s | start s |',
        '|' + ' --- |' * 13,
    ]
    lines += [
        f'| {row.entries} | {row.sidecars} | {row.entry_cpu * 100:.2f} '
        f'| {row.sidecar_cpu * 100:.2f} | {row.entry_mib:.0f} '
        f'| {row.sidecar_mib:.0f} | {row.entry_bytes:.0f} '
        f'| {row.sidecar_bytes:.0f} | {row.log_reads:.1f} '
        f'| {row.log_appends:.2f} | {row.change_p50:.3f} '
        f'| {row.change_max:.3f} | {row.start_seconds:.2f} |'
        for row in points
    ]
    lines += [
        '',
        '## Worked out to the target size',
        '',
        f'{DAEMONS} entries, {REPLICAS} sidecars, {ZONES} zones, '
        f'{subset} peers an entry ({MAX_PEERS} and those that cover every '
        f'version and service), so {entries_per_sidecar:.1f} entries a '
        'sidecar. Slope and error are those of the line through the fleets '
        f'above, per peer; CPU and bytes of an entry from {PACED_PEERS} peers '
        'on, where the pace of its statuses no longer follows its peers.',
        '',
        '| role | what | base | slope | error | at the size | budget | |'
        ' mechanism |',
        '|' + ' --- |' * 9,
    ]

    def line(
        role: str,
        what: str,
        fit: Fit,
        size: float,
        limit: float,
        mechanism: str,
    ) -> None:
        value = fit.at(size)
        lines.append(
            f'| {role} | {what} | {fit.base:.4g} | {fit.slope:.4g} '
            f'| {fit.error:.2g} | {value:.4g} | {limit:g} '
            f'| {mark(value, limit)} | {mechanism} |'
        )

    line(
        'entry',
        'idle CPU, cores',
        entry_cpu,
        subset,
        CPU_SHARE,
        'one status a heartbeat and peer; polls of the small streams',
    )
    line(
        'sidecar',
        'idle CPU, cores',
        sidecar_cpu,
        entries_per_sidecar,
        CPU_SHARE,
        'one status a heartbeat and entry; load polled from the '
        'engine 4 times a second',
    )
    line(
        'entry',
        'memory, MiB',
        entry_mib,
        subset,
        MEMORY_MIB,
        'a channel and threads for each peer, the folded streams',
    )
    line(
        'sidecar',
        'memory, MiB',
        sidecar_mib,
        entries_per_sidecar,
        MEMORY_MIB,
        'a stream for each entry, remembered attempts',
    )
    line(
        'entry',
        'control bytes/s',
        entry_bytes,
        subset,
        BYTES_A_SECOND,
        'status both ways, gRPC and HTTP/2 frames',
    )
    line(
        'sidecar',
        'control bytes/s',
        side_bytes,
        entries_per_sidecar,
        BYTES_A_SECOND,
        'status both ways, gRPC and HTTP/2 frames',
    )
    in_force = slowest * graph.hops / FLEET_HOPS
    lines += [
        f'| all | slowest change in force, s | {slowest:.3f} measured | '
        f'{FLEET_HOPS} hops | | {in_force:.2f} over {graph.hops} hops | 5 '
        f'| {mark(in_force, 5.0)} | readers of each zone push records over '
        'the peer streams |',
        '',
        f'The longest way of a record at the size is {graph.hops} messages '
        '(`python -m bench.subset`): worked out with the rules by which '
        'entries choose their sidecars and zones their readers. An '
        f'endpoint has {graph.least_entries} to {graph.most_entries} entries; '
        f'the spread over model endpoints is {graph.spread:.2f} of the mean. '
        f'Without the offers {graph.missing_percent:.0f}% of the entries '
        'would miss a version or a service.',
        '',
        '## Load',
        '',
        '| role | what | measured | at the size | budget | | mechanism |',
        '|' + ' --- |' * 7,
        f'| entry | relay, cores | {relay.entry_us:.1f} us a token at 200 '
        f'streams | {relay.entry_us * tokens / 1e6:.2f} | 1 '
        f'| {mark(relay.entry_us * tokens / 1e6, 1)} | frames of many '
        'requests share a message; chunks go to the socket past the loop |',
        f'| sidecar | relay, cores | {relay.sidecar_us:.1f} us a token '
        f'| {relay.sidecar_us * replica_tokens / 1e6:.2f} | 1 '
        f'| {mark(relay.sidecar_us * replica_tokens / 1e6, 1)} | one task a '
        'connection; a message is sent 5 ms after its first token |',
        f'| log | bill, rating and count appends/s | one a {period:g} s and '
        f'entry each | {records * 3:.0f} | {LOG_APPENDS} '
        f'| {mark(records * 3, LOG_APPENDS)} | periods follow the number of '
        'entries |',
        f'| log | claim appends/s | at most 10 a collector '
        f'| {collected:.0f} | {LOG_APPENDS} | {mark(collected, LOG_APPENDS)} '
        '| two collectors a zone, one record each 0.1 s |',
        f'| log | all appends/s | the two lines above | '
        f'{collected + records * 3:.0f} | {LOG_APPENDS} '
        f'| {mark(collected + records * 3, LOG_APPENDS)} | |',
        f'| entry | bills received, bytes/s | {bills.bytes_a_record():.0f} a '
        f'record at 40 requests/s | {inbound:.0f} | {BYTES_A_SECOND} '
        f'| {mark(inbound, BYTES_A_SECOND)} | every entry folds all bills |',
        f'| entry | claims received, bytes/s | {claim_bytes:.0f} a keyed call '
        f'| {claims_in:.0f} at {KEYED_SHARE:.0%} keyed | {BYTES_A_SECOND} '
        f'| {mark(claims_in, BYTES_A_SECOND)} | every entry folds all claims |',
        f'| log | reads/s of idle daemons | {reads.base:.1f} and '
        f'{reads.slope:.2f} for each sidecar | {reads.at(REPLICAS):.0f} '
        '| none stated | | two readers a zone; a daemon whose proof is older '
        'than 0.4 of `stale_seconds` reads for itself |',
        f'| log | configuration appends/s | one a change '
        f'| {changes:.3f} | {LOG_APPENDS} | {mark(changes, LOG_APPENDS)} '
        '| compare-and-set in the fold, no lease to renew |',
        f'| log | starts/s that read the stream | one read a start '
        f'| {STARTS_A_DAY / DAY_SECONDS:.4f} | none stated | '
        '| snapshot, or the state from a peer |',
        '',
        TAIL,
    ]
    return '\n'.join(lines)


HEAD = """# Capacity

Written by `make capacity`; the tables are not typed by hand. Slopes come from
fleets of real daemons on one machine, with small stand-ins, and lines that
don't fit are marked with the change that would make them fit.
"""

TAIL = """## What breaks first, and what would mend it

- **Claims.** Every entry folds every claim, so bytes and memory grow with
  all keyed calls. Not built: one stream for each range of keys, followed by
  the collectors that serve it, who answer for a key.
- **Control bytes.** What an entry receives of bills, ratings and counts adds
  to its statuses. A longer `PEER_PERIOD_SECONDS` buys bytes with later news
  of load.
- **Reads.** Those of the small streams grow with the zones, not with the
  entries ([design/collectors.md](design/collectors.md)). Those of the
  configuration grow with the sidecars: with many peers each status comes
  seldom, so proof that came over several of them is old. A longer
  `stale_seconds` saves reads and lengthens what an isolated pair may do.
- **Confirmation.** An entry knows the offsets of the sidecars that it has a
  stream to. With a subset of sidecars the tool names the rest as not
  confirmed; they would have to be asked through other entries.
- **Zones starting at once.** A new daemon reads the log once and polls the
  instance list each second with no jitter; the herd was not measured.
- **A region cut off.** Its daemons refuse new work after `stale_seconds`
  (design note on configuration); not measured at several regions.
- **Tokens.** One entry carries 24,000 tokens/s at 800 streams on one core
  (see docs/MEASUREMENTS.md), so a lost tenth of the entries leaves no room:
  run a fifth more than the 450.

## Not measured here

The daily failures and restarts under load;
regions. They need the users' own bench, which is announced.
"""


def main() -> None:
    """Measure and write the page."""
    points = []
    for entries, sidecars in SIZES:
        points.append(measure_fleet(entries, sidecars))
        sys.stdout.write(f'{points[-1]}\n')
        sys.stdout.flush()
    PAGE.write_text(write_page(points))
    sys.stdout.write(f'{PAGE} written\n')


if __name__ == '__main__':
    main()
