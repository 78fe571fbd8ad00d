"""The sidecar role: the only way to one endpoint."""

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import grpc
from loguru import logger

from ..admission.gate import Gate
from ..admission.window import Window
from ..delivery.dispatch import Dispatcher, EndpointSettings
from ..delivery.peers import Identity, PeerServicer
from ..interfaces.engine import HttpEngine, LoadReport
from ..interfaces.weights import HttpWeightStore, UnlimitedWeightStore
from ..protocol import peer_pb2, peer_pb2_grpc
from ..rollout.placement import PlacementReconciler
from ..routing.offers import OfferWriter
from ..settings.files import Settings
from ..streams.collector import Collector
from .core import Core

MS: Final = 1000
MAX_STREAMS: Final = 600
LOAD_SECONDS: Final = 0.25
#: Tokens must have come this recently for more work than a cold one bears.
PROOF_SECONDS: Final = 0.15
ORDER_SECONDS: Final = 0.5
TEND_SECONDS: Final = 1.0
BILL_WAIT_SECONDS: Final = 3.0
STEP_SECONDS: Final = 0.02


class Sidecar:
    """Wires the sidecar's parts."""

    def __init__(self, settings: Settings) -> None:
        """Build the parts; run() serves."""
        self.core = Core(settings)
        self._settings = settings
        self._kind = settings.get_text('sidecar', 'endpoint_kind')
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
        self._report = LoadReport((), cold=True, running=0)
        self._window = Window(
            slots,
            settings.get_number('sidecar', 'first_token_seconds'),
            PROOF_SECONDS if self._kind == 'model' else float('inf'),
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
            self._offers,
        )
        self._collector = Collector(
            self.core.log,
            self.core.spawn,
            settings.get_number('sidecar', 'collect_seconds'),
        )
        self.servicer = PeerServicer(
            Identity(
                self.core.instance,
                self.core.zone,
                self.core.incarnation,
                self._kind,
                slots,
            ),
            self._dispatcher,
            self._collector,
            self.core.transport,
            self.core.make_gossip,
            self._make_load,
            self.core.heartbeat,
            settings.get_number('sidecar', 'linger_ms') / MS,
        )
        self._offer_writer = OfferWriter(
            self.core.instance, self.core.log, self._offers
        )
        self._server = grpc.server(
            ThreadPoolExecutor(MAX_STREAMS, 'stream'),
            options=[('grpc.so_reuseport', 0)],
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self.servicer, self._server)

    def start(self) -> None:
        """Serve peers."""
        self.core.start()
        self.core.configuration.add_listener(self.servicer.push_status)
        if self._kind == 'model':
            self._poll_engine()
            self.core.every(LOAD_SECONDS, self._poll_engine)
            self.core.every(ORDER_SECONDS, self._give_orders)
        self.core.spawn(self.servicer.publish_entry_offsets)
        self.core.every(TEND_SECONDS, self.servicer.expire_disconnected)
        self.core.every(TEND_SECONDS, self._offer_writer.write)
        address = self._settings.get_text('sidecar', 'peer_address')
        if not self.core.transport.add_port(self._server, address):
            raise OSError(f'address "{address}" is not available')
        self._server.start()
        logger.info('sidecar serves peers at {}', address)

    def drain(self) -> None:
        """Take no new work, finish what runs, hand bills over, stop."""
        core = self.core
        core.leaving = True
        self._gate.is_draining = True
        self.servicer.leaving = True
        self.servicer.push_status()
        limit = time.monotonic() + core.settings.get_number(
            'daemon', 'drain_seconds'
        )
        while self._dispatcher.active and time.monotonic() < limit:
            time.sleep(STEP_SECONDS)
        limit = time.monotonic() + BILL_WAIT_SECONDS
        while len(self.servicer.bills) and time.monotonic() < limit:
            time.sleep(STEP_SECONDS)
        self._collector.close()
        self.servicer.close()
        self._server.stop(1).wait()
        core.close()
        logger.info('sidecar stopped')

    def _give_orders(self) -> None:
        if self.core.freshness.is_current():
            state = self.core.configuration.state
            self._reconciler.reconcile(state, self._report.versions)

    def _offers(self) -> tuple[str, ...]:
        if self._kind == 'service':
            return (self._settings.get_text('sidecar', 'service'),)
        return self._report.versions

    def _make_load(self) -> peer_pb2.Load:
        return peer_pb2.Load(
            running=self._window.running,
            waiting=self._window.waiting,
            window=self._window.size,
            cold=self._window.is_cold(),
            offers=self._offers(),
        )

    def _poll_engine(self) -> None:
        report = self._engine.fetch_load()
        if report is None:
            self._window.record_failure()
            return
        self._window.record_report(cold=report.cold)
        self._report = report
