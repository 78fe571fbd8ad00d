"""What entries and sidecars have in common."""

import secrets
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from loguru import logger

from ..contract.records import STREAM, encode_record
from ..contract.snapshots import create_snapshot
from ..errors import LogDownError
from ..interfaces.instances import HttpInstanceList
from ..interfaces.log import HttpLog, Log
from ..membership.configuration import Configuration
from ..membership.directory import InstanceDirectory
from ..membership.freshness import Freshness
from ..membership.gossip import Gossip
from ..membership.reader import LogReader
from ..protocol.transports import (
    KeyFiles,
    PlainTransport,
    TlsTransport,
    Transport,
)
from ..report.metrics import DaemonMetrics
from ..settings.files import Settings
from ..settings.schema import TLS_KEYS, TLS_SECTION
from ..web.health import Health
from ..web.server import Server, ServerLimits

LIST_SECONDS: Final = 1.0
#: Entries that write snapshots; more than one is harmless.
SNAPSHOT_WRITERS: Final = 2
MAX_THREADS: Final = 64
HEALTH_BODY_BYTES: Final = 4096
HEALTH_BOUNDS: Final = ServerLimits(4, HEALTH_BODY_BYTES, 10)


class Core:
    """Configuration, membership, health and background tasks."""

    def __init__(self, settings: Settings) -> None:
        """Build the parts; start() runs them."""
        self.settings = settings
        self.instance = settings.get_text('daemon', 'instance')
        self.zone = settings.get_text('daemon', 'zone')
        self.incarnation = secrets.token_hex(8)
        stale = settings.get_number('configuration', 'stale_seconds')
        timeout = settings.get_number('platform', 'timeout_seconds')
        self.timeout = timeout
        self.heartbeat = settings.get_number(
            'configuration', 'heartbeat_seconds'
        )
        self.log: Log = HttpLog(
            settings.get_text('platform', 'log_url'), timeout
        )
        self.transport = _make_transport(settings)
        self.configuration = Configuration()
        self.freshness = Freshness(self.zone, stale)
        self.directory = InstanceDirectory(
            HttpInstanceList(
                settings.get_text('platform', 'instances_url'), timeout
            ),
            self.freshness,
            self.instance,
            LIST_SECONDS,
        )
        self.configuration.add_listener(self._note_offset)
        self.reader = LogReader(
            self.log,
            self.configuration,
            self.freshness,
            self._is_reader,
            settings.get_number('configuration', 'poll_seconds'),
            stale,
        )
        self.metrics = DaemonMetrics()
        self.health = Health(self.find_problem, self._describe)
        self.leaving = False
        self._extra_problem: Callable[[], str] = str
        self._stop = threading.Event()
        self._workers = ThreadPoolExecutor(MAX_THREADS, 'task')
        self._health_server = Server(
            self.health,
            (settings.get_text('daemon', 'health_address'),),
            HEALTH_BOUNDS,
        )

    def start(self) -> None:
        """Run the reader, the list and the health server."""
        self.directory.refresh()
        self.spawn(self.directory.run)
        self.spawn(self.reader.run)
        self.every(1.0, self._report)
        self._health_server.start()

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task in the background and log its failure."""
        self._workers.submit(_guard, task)

    def every(self, seconds: float, action: Callable[[], object]) -> None:
        """Call an action each period until close()."""
        self.every_paced(lambda: seconds, action)

    def every_paced(
        self,
        find_seconds: Callable[[], float],
        action: Callable[[], object],
    ) -> None:
        """Call an action after periods that may change, until close()."""

        def repeat() -> None:
            while not self._stop.wait(find_seconds()):
                _guard(action)

        self.spawn(repeat)

    def close(self) -> None:
        """Stop the background tasks."""
        self._stop.set()
        self.directory.stop()
        self.reader.stop()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _note_offset(self) -> None:
        self.freshness.record_offset(self.configuration.offset)

    def make_gossip(self) -> Gossip:
        """Return the status exchange for one peer."""
        return Gossip(self.configuration, self.freshness, self.heartbeat)

    def find_problem(self) -> str:
        """Return why this daemon isn't ready, or ''."""
        if self.leaving:
            return 'leaving'
        if not self.configuration.is_ready():
            return 'no configuration yet'
        if not self.freshness.is_current():
            return 'configuration may be out of date'
        return self._extra_problem()

    def add_check(self, check: Callable[[], str]) -> None:
        """Add a check of readiness."""
        self._extra_problem = check

    def write_snapshot_if_due(self) -> None:
        """Append a snapshot of the configuration if many records came."""
        state = self.configuration.state
        limit = self.settings.get_integer('configuration', 'snapshot_records')
        since = state.offset - self.configuration.last_snapshot_offset
        if since < limit or not self.is_writer():
            return
        try:
            self.log.append(STREAM, encode_record(create_snapshot(state)))
        except LogDownError as error:
            logger.warning('no snapshot written: {}', error)

    def is_writer(self) -> bool:
        """Return True if this entry is one of those that write snapshots."""
        return self.directory.is_snapshot_writer(
            self.instance, SNAPSHOT_WRITERS
        )

    def _is_reader(self) -> bool:
        readers = self.settings.get_integer('configuration', 'readers_per_zone')
        return self.directory.is_log_reader(self.instance, self.zone, readers)

    def _describe(self) -> dict[str, object]:
        state = self.configuration.state
        return {'offset': state.offset, 'digest': state.digest()}

    def _report(self) -> None:
        self.metrics.offset.set(self.configuration.offset)
        self.metrics.proof_age.set(time.monotonic() - self.freshness.proof)


def _make_transport(settings: Settings) -> Transport:
    """Return the way to peers; raises CertificateError."""
    names = [settings.get_text(TLS_SECTION, key) for key in TLS_KEYS]
    if not any(names):
        return PlainTransport()
    return TlsTransport(KeyFiles(*map(Path, names)))


def _guard(task: Callable[[], object]) -> None:
    try:
        task()
    except Exception:  # noqa: BLE001 - a task's fault must not be silent
        logger.exception('a background task failed')
