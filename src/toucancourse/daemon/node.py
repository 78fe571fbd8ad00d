"""The entry that forwards raw requests on the users' platform."""

import importlib
import math
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from socket import socket
from typing import Any, Final

from loguru import logger

from ..admission.limits import WindowBudget
from ..admission.slots import StreamSlots
from ..errors import CourseError
from ..forwarding.admission import MAX_PROOF_AGE_SHARE, Admission
from ..forwarding.buffers import ResponseBuffers
from ..forwarding.connections import ConnectionPool
from ..forwarding.context import RelayContext
from ..forwarding.endpoints import Endpoint, EndpointRegistry
from ..forwarding.loads import PeerLoads
from ..forwarding.metrics import ForwardingMetrics
from ..forwarding.peers import EntryRegistry, ListenerGroup
from ..forwarding.prefill import PrefillEstimator
from ..forwarding.quarantine import Quarantine
from ..forwarding.relay import Relay
from ..forwarding.rollouts import RolloutController, Rollouts, Turns
from ..forwarding.selection import COLD_RATE_SHARE, EndpointSelector
from ..forwarding.shifts import ShiftRegistry
from ..forwarding.shutdown import Shutdown
from ..forwarding.slowness import PeerSlowness
from ..forwarding.tables import OperatorConfig
from ..ingress.server import IngressLimits, IngressServer
from ..membership.feeds import Feed, PollTiming
from ..membership.restores import LostRecordWriter
from ..membership.sharing import (
    MAX_PROOF_AGE_SECONDS,
    SharedTopic,
    TopicReader,
)
from ..membership.startup import StartupBarrier
from ..platform import names
from ..platform.messages import PlatformCodec
from ..platform.records import PlatformDecoder
from ..platform.settings import NodeSettings, read_node_settings
from ..platform.store import StoreTopic
from ..routing.endpoints import Outliers
from ..web.health import Health
from ..web.server import Server, ServerLimits

#: Port of the metrics; must equal the one in the deployment file.
METRICS_PORT: Final = 9464
#: File descriptors reserved for endpoints, the store and files.
RESERVED_DESCRIPTORS: Final = 1400
#: Memory of one request's thread and buffers.
MEMORY_PER_REQUEST_MB: Final = 0.3
MAX_REQUEST_THREADS: Final = 600
#: Share of the memory for the bodies of responses.
RESPONSE_MEMORY_SHARE: Final = 0.1
#: Share of the memory for the requests of callers, and the least number of the
#: largest bodies that it must hold.
REQUEST_MEMORY_SHARE: Final = 0.15
MIN_LARGEST_BODIES: Final = 4
BYTES_PER_MB: Final = 1_048_576
#: Largest header and body of a caller's request.
MAX_HEADER_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 4_194_304
#: Interval of roll-out checks, expiry of idle connections and gauge updates.
MAINTENANCE_INTERVAL_SECONDS: Final = 0.25
#: Longest wait of one long poll of a topic. Keys are accepted only while the
#: configuration was proved current within a few seconds, so the operators'
#: topic is polled often.
OPERATOR_POLL_SECONDS: Final = 1.3
ENDPOINT_POLL_SECONDS: Final = 2.0
STATUS_POLL_SECONDS: Final = 2.0
#: Longest backoff after a failed call. Keys are accepted again once the
#: operators' topic has been read; expired endpoints have two seconds to return.
MAX_OPERATOR_BACKOFF_SECONDS: Final = 0.4
MAX_BACKOFF_SECONDS: Final = 0.8
#: Pause between reads of the endpoints' topic, so that one read returns the
#: records of many; a draining endpoint must be avoided within two seconds.
ENDPOINT_PAUSE_SECONDS: Final = 1.0
#: Pause between reads of the operators' topic: configurations may come in quick
#: succession, and each would end the long polls of all that read it.
OPERATOR_PAUSE_SECONDS: Final = 0.25
#: The same for the statuses' topic: entries register and report on roll-outs
#: at the same time, and each record would end the long polls of all others.
STATUS_PAUSE_SECONDS: Final = 0.25
#: Topic -> how often an entry reads it for itself.
TIMINGS: Final = {
    names.OPERATOR_TOPIC: PollTiming(
        OPERATOR_POLL_SECONDS,
        OPERATOR_PAUSE_SECONDS,
        MAX_OPERATOR_BACKOFF_SECONDS,
    ),
    names.ENDPOINT_TOPIC: PollTiming(
        ENDPOINT_POLL_SECONDS, ENDPOINT_PAUSE_SECONDS, MAX_BACKOFF_SECONDS
    ),
    names.STATUS_TOPIC: PollTiming(
        STATUS_POLL_SECONDS, STATUS_PAUSE_SECONDS, MAX_BACKOFF_SECONDS
    ),
}
#: The same for an entry that reads for others, to whom its freshness proof is
#: only good for a second.
READER_POLL_SECONDS: Final = 0.5
READER_PAUSE_SECONDS: Final = 0.4
#: The same for the statuses' topic, with the age at which such a proof is too
#: old: nothing there must be known within less than four seconds.
STATUS_READER_POLL_SECONDS: Final = 1.0
MAX_STATUS_PROOF_AGE_SECONDS: Final = 2.4
READER_TIMINGS: Final = {
    names.OPERATOR_TOPIC: PollTiming(
        READER_POLL_SECONDS,
        OPERATOR_PAUSE_SECONDS,
        MAX_OPERATOR_BACKOFF_SECONDS,
    ),
    names.ENDPOINT_TOPIC: PollTiming(
        READER_POLL_SECONDS, READER_PAUSE_SECONDS, MAX_BACKOFF_SECONDS
    ),
    names.STATUS_TOPIC: PollTiming(
        STATUS_READER_POLL_SECONDS, READER_PAUSE_SECONDS, MAX_BACKOFF_SECONDS
    ),
}
#: Topic -> age of another entry's proof from which the store is read instead.
MAX_PROOF_AGES: Final = {
    names.OPERATOR_TOPIC: MAX_PROOF_AGE_SECONDS,
    names.ENDPOINT_TOPIC: MAX_PROOF_AGE_SECONDS,
    names.STATUS_TOPIC: MAX_STATUS_PROOF_AGE_SECONDS,
}
#: Time from failing readiness to closing idle connections. The load balancer
#: probes once a second and removes the entry after two failures; later requests
#: come on keep-alive connections only, and might exceed the grace period.
BALANCER_NOTICE_SECONDS: Final = 2.6
FEED_STACK_BYTES: Final = 2_097_152
DRAIN_POLL_SECONDS: Final = 0.05
#: Interval of checks that this entry is registered.
REGISTRATION_INTERVAL_SECONDS: Final = 0.25
#: Part of the grace period that is reserved for the removal of the registration
#: and the exit of the process.
EXIT_MARGIN_SECONDS: Final = 0.8
#: Time before that at which requests that still run are ended, so that their
#: callers get an answer.
ANSWER_MARGIN_SECONDS: Final = 0.3
#: Share of the retry budget that is used. Others that count retries may see
#: slightly different arrivals than this entry.
RETRY_BUDGET_SHARE: Final = 0.85


class Node:
    """Creates the components of an entry and runs them."""

    def __init__(
        self, settings: NodeSettings, listener: socket | None = None
    ) -> None:
        """Create the components and bind the addresses; start() serves.

        The listener listens at the callers' address already.
        """
        self._settings = settings
        self._started_at = time.monotonic()
        decoder = PlatformDecoder()
        codec = PlatformCodec()
        self._connections = ConnectionPool(
            codec,
            ResponseBuffers(
                int(settings.memory_mb * RESPONSE_MEMORY_SHARE * BYTES_PER_MB)
            ),
        )
        self._endpoints = EndpointRegistry(decoder, self._close_connections)
        self._operators = OperatorConfig(
            decoder, self._endpoints.presume_zone_cold
        )
        self._shifts = ShiftRegistry()
        self._rollouts = Rollouts(
            decoder,
            self._operators,
            settings.session,
            self._shifts,
            settings.instance,
        )
        self._entries = EntryRegistry(
            settings.instance,
            settings.peers,
            lambda: self._status_feed.proof_age(),
        )
        self._loads = PeerLoads(self._entries.count)
        self._slowness = PeerSlowness()
        self._metrics = ForwardingMetrics()
        self._status_topic = StoreTopic(settings.store, names.STATUS_TOPIC)
        self._quarantine = Quarantine(
            self._status_topic,
            lambda: self._status_feed.find_next_offset(),
            self._metrics,
        )
        self._build_feeds()
        self._startup = StartupBarrier(
            (
                self._operator_feed.caught_up,
                self._endpoint_feed.caught_up,
                self._status_feed.caught_up,
            )
        )
        self._rollout_controller = RolloutController(
            self._rollouts,
            self._operators,
            self._status_topic,
            decoder,
            self._status_feed,
            self._shifts,
            Turns(self._entries.count, self._entries.find_turn),
        )
        self._lost_writer = LostRecordWriter(self._status_topic)
        self._budgets: dict[str, WindowBudget] = defaultdict(self._make_budget)
        self._draining = threading.Event()
        self._stopped = threading.Event()
        self._shutdown = Shutdown()
        outliers = Outliers()
        prefill = PrefillEstimator()
        selector = EndpointSelector(
            settings.zone,
            outliers,
            prefill,
            self._find_cold_rate,
            self._loads,
            self._slowness,
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
                prefill=prefill,
                quarantine=self._quarantine,
                startup=self._startup,
                streams=StreamSlots(_count_threads(settings)),
                find_retry_budget=self._budgets.__getitem__,
                find_fleet_share=self._entries.find_fleet_share,
                find_proof_age=self._operator_feed.proof_age,
                revocation_seconds=settings.revocation,
                shutdown=self._shutdown,
            )
        )
        self._build_servers(listener)

    def start(self) -> None:
        """Follow the store's topics and serve callers."""
        # Deeply nested records are rejected at the interpreter's recursion
        # limit, which needs more than the stack of a request's thread.
        request_stack = threading.stack_size(FEED_STACK_BYTES)
        for feed in (
            self._operator_feed,
            self._endpoint_feed,
            self._status_feed,
        ):
            _start_thread(feed.run)
        threading.stack_size(request_stack)
        _start_thread(self._register)
        _start_thread(self._run_maintenance)
        _start_thread(lambda: self._quarantine.run(self._stopped))
        if self._settings.peers:
            _start_thread(self._exchange_loads)
        self._health_server.start()
        self._ingress.start()
        logger.info(
            'started',
            callers=self._settings.callers,
            zone=self._settings.zone,
            store=self._settings.store,
        )

    def reload(self) -> None:
        """Read the settings file again and log which settings changed.

        The running process keeps its settings.
        """
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
        """Fail readiness, finish the requests in flight, and return.

        Returns at the latest when the grace period is nearly over.
        """
        started = time.monotonic()
        deadline = started + self._settings.grace - EXIT_MARGIN_SECONDS
        self._shutdown.begin(deadline - ANSWER_MARGIN_SECONDS)
        self._draining.set()
        self._ingress.is_draining = True
        logger.info('draining', running=self._ingress.count_running())
        time.sleep(BALANCER_NOTICE_SECONDS)
        self._ingress.close_idle()
        while time.monotonic() < deadline and self._ingress.count_open():
            time.sleep(DRAIN_POLL_SECONDS)
            self._ingress.close_idle()
            self._end_requests()
        # Until here, this entry used its share of the fleet's limits.
        removal = _start_thread(self._deregister)
        removal.join(EXIT_MARGIN_SECONDS / 2)
        self._stopped.set()
        logger.info(
            'stopped',
            seconds=round(time.monotonic() - started, 2),
            running=self._ingress.count_running(),
        )

    def _end_requests(self) -> None:
        """Let the callers of requests that still run know that they end."""
        if self._shutdown.find_remaining() > 0:
            return
        cancelled = self._connections.cancel_all()
        if cancelled:
            logger.warning('requests ended by the shutdown', running=cancelled)

    def _build_feeds(self) -> None:
        store = self._settings.store
        self._topics = {
            name: SharedTopic(StoreTopic(store, name), name, max_proof_age)
            for name, max_proof_age in MAX_PROOF_AGES.items()
        }
        self._operator_feed = Feed(
            'operators',
            self._topics[names.OPERATOR_TOPIC],
            self._operators,
            TIMINGS[names.OPERATOR_TOPIC],
        )
        self._endpoint_feed = Feed(
            'endpoints',
            self._topics[names.ENDPOINT_TOPIC],
            self._endpoints,
            TIMINGS[names.ENDPOINT_TOPIC],
        )
        self._status_feed = Feed(
            'statuses',
            self._topics[names.STATUS_TOPIC],
            ListenerGroup(
                self._rollouts, self._shifts, self._entries, self._quarantine
            ),
            TIMINGS[names.STATUS_TOPIC],
        )

    def _build_servers(self, listener: socket | None) -> None:
        settings = self._settings
        self._ingress = IngressServer(
            self._relay.serve,
            settings.callers,
            IngressLimits(
                max(100, settings.descriptors - RESERVED_DESCRIPTORS),
                _count_threads(settings),
                MAX_HEADER_BYTES,
                MAX_BODY_BYTES,
                max(
                    MIN_LARGEST_BODIES * MAX_BODY_BYTES,
                    int(
                        settings.memory_mb * REQUEST_MEMORY_SHARE * BYTES_PER_MB
                    ),
                ),
            ),
            listener,
        )
        health = Health(
            self._find_problem, self._describe, names.READINESS_PATH
        )
        self._health_server = Server(
            health,
            (settings.readiness, f'{settings.host}:{METRICS_PORT}'),
            ServerLimits(1, MAX_HEADER_BYTES, 60),
        )

    def _find_problem(self) -> str:
        if self._draining.is_set():
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
        """Return this entry's share of a cold endpoint's rate, per second."""
        table = self._operators.table
        config = table.services.get(service) if table else None
        if config is None or not config.cold_rate:
            return math.inf
        settings = self._settings
        rate = config.cold_rate * settings.cold_factor + settings.cold_excess
        return self._entries.compute_share(COLD_RATE_SHARE * rate, identifier)

    def _make_budget(self) -> WindowBudget:
        settings = self._settings
        return WindowBudget(
            settings.retry_share * RETRY_BUDGET_SHARE,
            settings.retry_extra * RETRY_BUDGET_SHARE,
            settings.retry_window,
            self._started_at,
        )

    def _close_connections(self, endpoint: Endpoint) -> None:
        self._connections.close_idle(endpoint.record)

    def _register(self) -> None:
        while not self._stopped.wait(REGISTRATION_INTERVAL_SECONDS):
            self._entries.ensure_registered(
                self._status_topic, self._status_feed
            )

    def _deregister(self) -> None:
        self._entries.deregister(self._status_topic, self._status_feed)

    def _exchange_loads(self) -> None:
        """Exchange load reports with the other entries until drained."""
        # gRPC takes longer to import than everything else, so callers are
        # served first.
        self._startup.wait(math.inf)
        reporting = importlib.import_module(
            '..forwarding.reporting', __package__
        )
        reporters = reporting.LoadReporters(
            self._settings.instance,
            lambda: reporting.LocalState(
                self._endpoints.snapshot_workloads(),
                self._rollouts.list_baseline_sessions(),
                self._endpoints.snapshot_slowness(),
            ),
            reporting.LoadServicer(
                self._loads,
                self._rollouts.pin_baseline_session,
                (self._slowness,),
            ),
        )
        topicreads = importlib.import_module(
            '..forwarding.topicreads', __package__
        )
        topics = self._feeds()
        tails = {name: feed.tail for name, feed in topics.items()}
        try:
            reporters.serve(
                self._settings.peers,
                topicreads.TopicServicer(tails),
                reporting.find_connections(self._settings.descriptors),
            )
        except RuntimeError as error:
            # Requests are still served, with the load that endpoints report.
            logger.error('load reporting failed to start', why=str(error))
            return
        readers: dict[str, Any] = {}
        while not self._stopped.wait(MAINTENANCE_INTERVAL_SECONDS):
            reporters.set_peers(self._entries.list_others())
            self._loads.sweep()
            self._select_readers(readers, topicreads.GrpcTopicReader)

    def _select_readers(
        self,
        readers: dict[str, Any],
        connect: Callable[[str], TopicReader],
    ) -> None:
        """Read topics at the entries that the registry names.

        readers maps addresses to the clients that were created before.
        """
        addresses = self._entries.list_readers()
        for address in addresses:
            if address not in readers:
                readers[address] = connect(address)
        selected = tuple(readers[address] for address in addresses)
        is_reader = self._entries.is_reader()
        for name, feed in self._feeds().items():
            self._topics[name].readers = selected
            feed.timing = (READER_TIMINGS if is_reader else TIMINGS)[name]

    def _feeds(self) -> dict[str, Feed]:
        return {
            names.OPERATOR_TOPIC: self._operator_feed,
            names.ENDPOINT_TOPIC: self._endpoint_feed,
            names.STATUS_TOPIC: self._status_feed,
        }

    def _run_maintenance(self) -> None:
        while not self._stopped.wait(MAINTENANCE_INTERVAL_SECONDS):
            self._rollout_controller.check()
            self._lost_writer.check(
                self._status_feed.lost, self._status_feed.find_next_offset()
            )
            self._connections.close_expired()
            self._metrics.proof_age.set(self._operator_feed.proof_age())
            table = self._operators.table
            if table is not None:
                self._ingress.idle_seconds = table.limits.idle_seconds
                self._ingress.care.head_seconds = table.limits.head_seconds


def _count_threads(settings: NodeSettings) -> int:
    """Return the number of requests that are served at the same time."""
    threads = int(settings.memory_mb / 2 / MEMORY_PER_REQUEST_MB)
    return min(MAX_REQUEST_THREADS, threads)


def _start_thread(target: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=target, daemon=True)
    thread.start()
    return thread
