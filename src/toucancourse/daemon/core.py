"""Services that entries and sidecars share."""

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

#: Interval between fetches of the instance list.
LIST_INTERVAL_SECONDS: Final = 1.0
#: Number of entries that write snapshots; duplicates are harmless.
MAX_SNAPSHOT_WRITERS: Final = 2
MAX_TASK_THREADS: Final = 64
MAX_HEALTH_BODY_BYTES: Final = 4096
HEALTH_SERVER_LIMITS: Final = ServerLimits(4, MAX_HEALTH_BODY_BYTES, 10)


class Core:
    """Configuration, membership, health probes and background tasks."""

    def __init__(self, settings: Settings) -> None:
        """Create the services; start() runs them."""
        self.settings = settings
        self.instance = settings.get_text('daemon', 'instance')
        self.zone = settings.get_text('daemon', 'zone')
        #: Random identifier of this process; differs after a restart.
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
            LIST_INTERVAL_SECONDS,
        )
        self.configuration.add_listener(self._record_offset)
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
        self.is_draining = False
        self._extra_check: Callable[[], str] = str
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(MAX_TASK_THREADS, 'task')
        self._health_server = Server(
            self.health,
            (settings.get_text('daemon', 'health_address'),),
            HEALTH_SERVER_LIMITS,
        )

    def start(self) -> None:
        """Start the log reader, instance directory and health server."""
        self.directory.refresh()
        self.start_task(self.directory.run)
        self.start_task(self.reader.run)
        self.run_periodically(1.0, self._update_gauges)
        self._health_server.start()

    def start_task(self, task: Callable[[], None]) -> None:
        """Run a task in the background; an exception is logged."""
        self._executor.submit(_run_task, task)

    def run_periodically(
        self,
        seconds: float,
        action: Callable[[], object],
    ) -> None:
        """Call an action at a fixed interval until close()."""
        self.run_at_intervals(lambda: seconds, action)

    def run_at_intervals(
        self,
        get_interval: Callable[[], float],
        action: Callable[[], object],
    ) -> None:
        """Call an action at intervals that may change, until close().

        get_interval returns the seconds to wait before the next call.
        """

        def run_until_stopped() -> None:
            while not self._stop.wait(get_interval()):
                _run_task(action)

        self.start_task(run_until_stopped)

    def close(self) -> None:
        """Stop the background tasks."""
        self._stop.set()
        self.directory.stop()
        self.reader.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _record_offset(self) -> None:
        self.freshness.record_offset(self.configuration.offset)

    def make_gossip(self) -> Gossip:
        """Return the initial gossip state for a stream to one peer."""
        return Gossip(self.configuration, self.freshness, self.heartbeat)

    def find_problem(self) -> str:
        """Return why this daemon is not ready, or ''."""
        if self.is_draining:
            return 'leaving'
        if not self.configuration.is_ready():
            return 'no configuration yet'
        if not self.freshness.is_current():
            return 'configuration may be out of date'
        return self._extra_check()

    def set_readiness_check(self, check: Callable[[], str]) -> None:
        """Set a further readiness check, which returns a problem or ''."""
        self._extra_check = check

    def write_snapshot_if_due(self) -> None:
        """Append a configuration snapshot after enough new records.

        Only some of the entries do so.
        """
        state = self.configuration.state
        limit = self.settings.get_integer('configuration', 'snapshot_records')
        records_since_snapshot = (
            state.offset - self.configuration.last_snapshot_offset
        )
        if records_since_snapshot < limit or not self.is_snapshot_writer():
            return
        try:
            self.log.append(STREAM, encode_record(create_snapshot(state)))
        except LogDownError as error:
            logger.warning('configuration snapshot not written: {}', error)

    def is_snapshot_writer(self) -> bool:
        """Return True if this entry is among those that write snapshots.

        The same entries check roll-outs and create the first signing key.
        """
        return self.directory.is_snapshot_writer(
            self.instance, MAX_SNAPSHOT_WRITERS
        )

    def _is_reader(self) -> bool:
        readers = self.settings.get_integer('configuration', 'readers_per_zone')
        return self.directory.is_log_reader(self.instance, self.zone, readers)

    def _describe(self) -> dict[str, object]:
        state = self.configuration.state
        return {'offset': state.offset, 'digest': state.digest()}

    def _update_gauges(self) -> None:
        self.metrics.offset.set(self.configuration.offset)
        self.metrics.proof_age.set(time.monotonic() - self.freshness.proof)


def _make_transport(settings: Settings) -> Transport:
    """Return TLS transport if keys are set; may raise CertificateError."""
    paths = [settings.get_text(TLS_SECTION, key) for key in TLS_KEYS]
    if not any(paths):
        return PlainTransport()
    return TlsTransport(KeyFiles(*map(Path, paths)))


def _run_task(task: Callable[[], object]) -> None:
    try:
        task()
    except Exception:  # noqa: BLE001 - a task's fault must not be silent
        logger.exception('background task failed')
