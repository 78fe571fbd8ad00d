"""The entry on the users' platform: wires the parts and runs them."""

import importlib
import math
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..admission.limits import WindowBudget
from ..errors import CourseError
from ..forwarding.admission import MAX_PROOF_AGE_SHARE, Admission
from ..forwarding.connections import ConnectionPool
from ..forwarding.context import RelayContext
from ..forwarding.endpoints import Endpoint, EndpointRegistry
from ..forwarding.loads import PeerLoads
from ..forwarding.metrics import ForwardingMetrics
from ..forwarding.peers import EntryRegistry, ListenerGroup
from ..forwarding.prefill import PrefillEstimator
from ..forwarding.relay import Relay
from ..forwarding.rollouts import RolloutController, Rollouts
from ..forwarding.selection import COLD_RATE_SHARE, EndpointSelector
from ..forwarding.shifts import ShiftRegistry
from ..forwarding.tables import OperatorConfig
from ..ingress.server import IngressBounds, IngressServer
from ..membership.feeds import Feed, PollTiming
from ..membership.startup import StartupBarrier
from ..platform import names
from ..platform.messages import PlatformCodec
from ..platform.records import PlatformDecoder
from ..platform.settings import NodeSettings, read_node_settings
from ..platform.store import StoreTopic
from ..routing.endpoints import Outliers
from ..web.health import Health
from ..web.server import Server, ServerLimits

#: Where metrics are served; the deploy file names the same.
METRICS_PORT: Final = 9464
#: Descriptors kept for endpoints, the store and files.
OWN_DESCRIPTORS: Final = 1400
#: Memory for one request's thread and buffers, in MB.
REQUEST_MB: Final = 0.3
MAX_THREADS: Final = 600
#: Largest header and body accepted before a configuration says so.
MAX_HEADER_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 4_194_304
#: How often roll-outs, idle connections and gauges are looked at, seconds.
TICK_SECONDS: Final = 0.25
#: Longest waits of one read of a topic, in seconds. Keys are served with a
#: proof of a few seconds only, so the operators' topic is asked often.
OPERATOR_WAIT: Final = 1.3
ENDPOINT_WAIT: Final = 2.0
STATUS_WAIT: Final = 10.0
#: Longest pauses after a failed call, in seconds. A key is served again once
#: the operators' topic is read; lapsed endpoints have two seconds to return.
OPERATOR_RETRY: Final = 0.4
RETRY: Final = 0.8
#: Pause between reads of the endpoints' records, so that one carries those of
#: many; drained endpoints must be left within two seconds.
ENDPOINT_PAUSE: Final = 1.0
#: The balancer asks once a second and needs two misses; later requests come
#: on kept connections only, and might not end within the grace period.
LEAVE_SECONDS: Final = 2.6
DRAIN_CHECK_SECONDS: Final = 0.05
#: Time kept back from the grace period for the process's end, in seconds.
END_MARGIN: Final = 0.8
#: Share of the retry budget that is used: arrivals that others count as
#: repeats differ a little from ours.
BUDGET_SHARE: Final = 0.85


class Node:
    """One entry."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build the parts and bind the addresses."""
        self._settings = settings
        decoder = PlatformDecoder()
        codec = PlatformCodec()
        self._connections = ConnectionPool(codec)
        self._endpoints = EndpointRegistry(decoder, self._forget)
        self._operators = OperatorConfig(
            decoder, self._endpoints.presume_zone_cold
        )
        self._moves = ShiftRegistry()
        self._rollouts = Rollouts(
            decoder, self._operators, settings.session, self._moves
        )
        self._entries = EntryRegistry(settings.instance, settings.peers)
        self._loads = PeerLoads(self._entries.count)
        self._metrics = ForwardingMetrics()
        self._build_feeds()
        self._startup = StartupBarrier(
            (
                self._operator_feed.caught_up,
                self._endpoint_feed.caught_up,
                self._status_feed.caught_up,
            )
        )
        self._judge = RolloutController(
            self._rollouts,
            self._operators,
            self._status_topic,
            decoder,
            self._status_feed,
            self._moves,
        )
        self._budgets: dict[str, WindowBudget] = defaultdict(self._make_budget)
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        outliers = Outliers()
        pace = PrefillEstimator()
        selector = EndpointSelector(
            settings.zone,
            outliers,
            pace,
            self._find_cold_rate,
            self._loads,
        )
        self._relay = Relay(
            RelayContext(
                codec=codec,
                admission=Admission(
                    self._operators, self._endpoints, self._rollouts, selector
                ),
                connections=self._connections,
                rollouts=self._rollouts,
                outliers=outliers,
                metrics=self._metrics,
                prefill=pace,
                startup=self._startup,
                find_retry_budget=self._budgets.__getitem__,
                count_entries=self._entries.count,
                find_proof_age=self._operator_feed.proof_age,
                revocation_seconds=settings.revocation,
            )
        )
        self._build_servers()

    def start(self) -> None:
        """Serve and follow the store."""
        for feed in (
            self._operator_feed,
            self._endpoint_feed,
            self._status_feed,
        ):
            _start_thread(feed.run)
        _start_thread(self._register)
        _start_thread(self._tick)
        if self._settings.peers:
            _start_thread(self._tell)
        self._health_server.start()
        self._ingress.start()
        logger.info(
            'started',
            callers=self._settings.callers,
            zone=self._settings.zone,
            store=self._settings.store,
        )

    def reload(self) -> None:
        """Read the settings file again; what is bound stays as it is."""
        try:
            settings = read_node_settings(self._settings.path)
        except CourseError as error:
            logger.error('settings not reloaded', why=error.text)
            return
        changed = [
            name
            for name, text in settings._asdict().items()
            if text != getattr(self._settings, name)
        ]
        logger.info('settings reloaded', changed=changed)

    def drain(self) -> None:
        """Leave the balancer, finish what runs, and return."""
        began = time.monotonic()
        self._leaving.set()
        self._ingress.is_draining = True
        end = began + self._settings.grace - END_MARGIN
        logger.info('draining', running=self._ingress.count_running())
        _start_thread(self._leave)
        time.sleep(LEAVE_SECONDS)
        self._ingress.close_idle()
        while time.monotonic() < end and self._ingress.count_running():
            time.sleep(DRAIN_CHECK_SECONDS)
            self._ingress.close_idle()
        self._stopped.set()
        logger.info(
            'stopped',
            seconds=round(time.monotonic() - began, 2),
            running=self._ingress.count_running(),
        )

    def _build_feeds(self) -> None:
        store = self._settings.store
        self._status_topic = StoreTopic(store, names.STATUS_TOPIC)
        self._operator_feed = Feed(
            'operators',
            StoreTopic(store, names.OPERATOR_TOPIC),
            self._operators,
            PollTiming(OPERATOR_WAIT, 0, OPERATOR_RETRY),
        )
        self._endpoint_feed = Feed(
            'endpoints',
            StoreTopic(store, names.ENDPOINT_TOPIC),
            self._endpoints,
            PollTiming(ENDPOINT_WAIT, ENDPOINT_PAUSE, RETRY),
        )
        self._status_feed = Feed(
            'statuses',
            StoreTopic(store, names.STATUS_TOPIC),
            ListenerGroup(self._rollouts, self._moves, self._entries),
            PollTiming(STATUS_WAIT, 0, RETRY),
        )

    def _build_servers(self) -> None:
        settings = self._settings
        threads = min(MAX_THREADS, int(settings.memory_mb / 2 / REQUEST_MB))
        self._ingress = IngressServer(
            self._relay.serve,
            settings.callers,
            IngressBounds(
                max(100, settings.descriptors - OWN_DESCRIPTORS),
                threads,
                MAX_HEADER_BYTES,
                MAX_BODY_BYTES,
            ),
        )
        health = Health(self._find_problem, self._describe, names.READY_PATH)
        self._health_server = Server(
            health,
            (settings.readiness, f'{settings.host}:{METRICS_PORT}'),
            ServerLimits(1, MAX_HEADER_BYTES, 60),
        )

    def _find_problem(self) -> str:
        if self._leaving.is_set():
            return 'leaving'
        if self._operators.table is None:
            return 'no configuration is known'
        if not self._startup.is_complete():
            return 'endpoints or roll-outs are not known'
        if (
            self._operator_feed.proof_age()
            > MAX_PROOF_AGE_SHARE * self._settings.revocation
        ):
            return 'the configuration may be out of date'
        return ''

    def _describe(self) -> dict[str, object]:
        table = self._operators.table
        return {'revision': table.revision if table else None}

    def _find_cold_rate(self, service: str, identifier: str) -> float:
        """Return this entry's requests a second for a cold endpoint."""
        table = self._operators.table
        found = table.services.get(service) if table else None
        if found is None or not found.cold_rate:
            return math.inf
        settings = self._settings
        rate = found.cold_rate * settings.cold_factor + settings.cold_excess
        return self._entries.compute_share(COLD_RATE_SHARE * rate, identifier)

    def _make_budget(self) -> WindowBudget:
        settings = self._settings
        return WindowBudget(
            settings.retry_share * BUDGET_SHARE,
            settings.retry_extra * BUDGET_SHARE,
            settings.retry_window,
        )

    def _forget(self, endpoint: Endpoint) -> None:
        self._connections.close_idle(endpoint.record)

    def _register(self) -> None:
        self._entries.register(self._status_topic, self._status_feed)

    def _leave(self) -> None:
        self._entries.deregister(self._status_topic, self._status_feed)

    def _tell(self) -> None:
        """Exchange the work at endpoints with the other entries."""
        # gRPC takes longer to load than all else; callers are served before.
        self._startup.wait(math.inf)
        reporting = importlib.import_module(
            '..forwarding.reporting', __package__
        )
        links = reporting.LoadReporters(
            self._settings.instance,
            lambda: reporting.LocalState(
                self._endpoints.snapshot_workloads(),
                self._rollouts.list_baseline_sessions(),
            ),
            reporting.LoadServicer(
                self._loads, self._rollouts.pin_baseline_session
            ),
        )
        try:
            links.serve(self._settings.peers)
        except RuntimeError as error:
            # Requests are served all the same, by the endpoints' reports.
            logger.error('peers not served', why=str(error))
            return
        while not self._stopped.wait(TICK_SECONDS):
            links.set_peers(self._entries.list_others())
            self._loads.sweep()

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            self._judge.check()
            self._connections.close_expired()
            self._metrics.proof_age.set(self._operator_feed.proof_age())
            table = self._operators.table
            if table is not None:
                self._ingress.idle_seconds = table.limits.idle_seconds


def _start_thread(target: Callable[[], None]) -> None:
    threading.Thread(target=target, daemon=True).start()
