"""The sidecar role: proxies all requests to one endpoint."""

import time
from typing import Final

from loguru import logger

from ..admission.gate import Gate
from ..admission.window import Window
from ..delivery.dispatch import Dispatcher, EndpointSettings
from ..delivery.peers import Identity, PeerServicer
from ..interfaces.engine import HttpEngine, LoadReport
from ..interfaces.weights import HttpWeightStore, UnlimitedWeightStore
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.transports import GrpcLimits, create_server
from ..rollout.placement import PlacementReconciler
from ..routing.offers import OfferWriter
from ..settings.files import Settings
from ..streams.collector import Collector
from .core import Core

MS_PER_SECOND: Final = 1000
#: An entry has one stream on its connection.
STREAMS_PER_ENTRY: Final = 1
#: Size of a message over that of the largest body: JSON that is written again
#: may be longer, and other items share the message.
MESSAGE_FACTOR: Final = 2
MESSAGE_MARGIN_BYTES: Final = 1_048_576
#: Interval between fetches of the engine's load report.
LOAD_INTERVAL_SECONDS: Final = 0.25
#: Longest pause between tokens at which the endpoint counts as warm; after
#: it, only the concurrency of a cold endpoint is allowed.
MAX_TOKEN_PAUSE_SECONDS: Final = 0.15
#: Interval between checks of which models the engine should load.
PLACEMENT_INTERVAL_SECONDS: Final = 0.5
#: Interval of expiry and of offer records.
MAINTENANCE_INTERVAL_SECONDS: Final = 1.0
#: Longest wait for entries to confirm bills at shutdown.
MAX_BILL_WAIT_SECONDS: Final = 3.0
#: Interval between checks for unfinished work while draining.
DRAIN_POLL_SECONDS: Final = 0.02


class Sidecar:
    """Creates the components of a sidecar and runs them."""

    def __init__(self, settings: Settings) -> None:
        """Create the components; start() serves."""
        self.core = Core(settings)
        self._settings = settings
        self._endpoint_kind = settings.get_text('sidecar', 'endpoint_kind')
        url = settings.get_text('sidecar', 'endpoint_url')
        slots = settings.get_integer('sidecar', 'slots')
        self._engine = HttpEngine(url, self.core.timeout)
        weights_url = settings.get_text('platform', 'weights_url')
        self._reconciler = PlacementReconciler(
            self.core.instance,
            self._engine,
            HttpWeightStore(weights_url, self.core.timeout)
            if weights_url
            else UnlimitedWeightStore(),
        )
        self._load_report = LoadReport((), cold=True, running=0)
        self._window = Window(
            slots,
            settings.get_number('sidecar', 'first_token_seconds'),
            MAX_TOKEN_PAUSE_SECONDS
            if self._endpoint_kind == 'model'
            else float('inf'),
        )
        self._gate = Gate(
            self.core.configuration,
            self.core.freshness,
            self.core.reader.catch_up,
            (self.core.zone, self.core.instance),
        )
        service = settings.get_text('sidecar', 'service')
        self._dispatcher = Dispatcher(
            EndpointSettings(
                url, service, settings.get_number('sidecar', 'endpoint_seconds')
            ),
            self._gate,
            self._window,
            self._list_offers,
        )
        self._collector = Collector(
            self.core.log,
            self.core.start_task,
            settings.get_number('sidecar', 'collect_seconds'),
        )
        self.servicer = PeerServicer(
            Identity(
                self.core.instance,
                self.core.zone,
                self.core.incarnation,
                self._endpoint_kind,
                slots,
            ),
            self._dispatcher,
            self._collector,
            self.core.transport,
            self.core.make_gossip,
            self._make_load,
            self.core.heartbeat,
            settings.get_number('sidecar', 'linger_ms') / MS_PER_SECOND,
        )
        self._offer_writer = OfferWriter(
            self.core.instance, self.core.log, self._list_offers
        )
        max_entries = settings.get_integer('sidecar', 'max_entries')
        max_body_bytes = settings.get_integer('sidecar', 'max_body_bytes')
        self._server = create_server(
            GrpcLimits(
                max_entries,
                max_entries,
                STREAMS_PER_ENTRY,
                max_body_bytes * MESSAGE_FACTOR + MESSAGE_MARGIN_BYTES,
            ),
            'stream',
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self.servicer, self._server)

    def start(self) -> None:
        """Serve entries.

        Raises OSError if the address can't be bound.
        """
        self.core.start()
        self.core.configuration.add_listener(self.servicer.push_status)
        if self._endpoint_kind == 'model':
            self._poll_engine()
            self.core.run_periodically(LOAD_INTERVAL_SECONDS, self._poll_engine)
            self.core.run_periodically(
                PLACEMENT_INTERVAL_SECONDS, self._place_models
            )
        self.core.start_task(self.servicer.publish_entry_offsets)
        self.core.run_periodically(
            MAINTENANCE_INTERVAL_SECONDS, self.servicer.expire_disconnected
        )
        self.core.run_periodically(
            MAINTENANCE_INTERVAL_SECONDS, self._offer_writer.write
        )
        address = self._settings.get_text('sidecar', 'peer_address')
        if not self.core.transport.add_port(self._server, address):
            raise OSError(f'address "{address}" is not available')
        self._server.start()
        logger.info('sidecar serves peers at {}', address)

    def drain(self) -> None:
        """Refuse new requests, finish those in flight, and stop.

        Waits for entries to confirm the bills.
        """
        core = self.core
        core.is_draining = True
        self._gate.is_draining = True
        self.servicer.is_draining = True
        self.servicer.push_status()
        deadline = time.monotonic() + core.settings.get_number(
            'daemon', 'drain_seconds'
        )
        while self._dispatcher.active and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        deadline = time.monotonic() + MAX_BILL_WAIT_SECONDS
        while len(self.servicer.bills) and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        self._collector.close()
        self.servicer.close()
        self._server.stop(1).wait()
        core.close()
        logger.info('sidecar stopped')

    def _place_models(self) -> None:
        if self.core.freshness.is_current():
            state = self.core.configuration.state
            self._reconciler.reconcile(state, self._load_report.versions)

    def _list_offers(self) -> tuple[str, ...]:
        if self._endpoint_kind == 'service':
            return (self._settings.get_text('sidecar', 'service'),)
        return self._load_report.versions

    def _make_load(self) -> peer_pb2.Load:
        return peer_pb2.Load(
            running=self._window.running,
            waiting=self._window.waiting,
            window=self._window.size,
            cold=self._window.is_cold(),
            offers=self._list_offers(),
        )

    def _poll_engine(self) -> None:
        report = self._engine.fetch_load()
        if report is None:
            self._window.record_failure()
            return
        self._window.record_report(cold=report.cold)
        self._load_report = report
