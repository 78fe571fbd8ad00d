"""The entry role: callers' requests and the administration API."""

import secrets
import time
import uuid
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..admin.changes import ChangeSubmitter
from ..admin.routes import AdminHandler
from ..admission.limits import ContractLimits, RetryBudget
from ..billing import claims as claim_items
from ..billing.ledger import Ledger
from ..billing.reclaim import AllowanceReclaimer
from ..contract.records import Change
from ..delivery.chat import ChatHandler
from ..delivery.entry import DecisionHistory, EntryContext
from ..delivery.idempotency import IdempotencyClaims
from ..delivery.links import Link
from ..delivery.logcalls import LogCalls
from ..delivery.pins import ConversationPins
from ..delivery.pool import Pool
from ..delivery.ratings import RatingSampler
from ..delivery.services import ServiceHandler
from ..errors import LogDownError
from ..interfaces.instances import Instance
from ..interfaces.rater import HttpRater
from ..protocol import peer_pb2
from ..protocol.versions import PROTOCOL_VERSION
from ..report import levels as level_items
from ..report.levels import Level, LevelRecorder
from ..report.metrics import ChatMetrics
from ..rollout.monitor import RolloutMonitor
from ..routing.endpoints import PowerOfTwo, PrefixAffinity
from ..settings.files import Settings
from ..streams.appender import Appender
from ..streams.collectorlog import CollectorLog
from ..web.server import Server, ServerLimits
from .books import Books
from .core import Core
from .front import CallerFront

#: Section of the settings that the entry reads.
ROLE: Final = 'entry'
CHECK_SECONDS: Final = 0.25
SWEEP_SECONDS: Final = 1.0
IDLE_SECONDS: Final = 10.0
STEP_SECONDS: Final = 0.02
#: Pause between statuses that each peer adds.
PEER_PERIOD_SECONDS: Final = 0.08
#: Pause between records of one kind that each entry adds, so that the log
#: gets no more of them from many entries than from a few.
ENTRY_PERIOD_SECONDS: Final = 0.1
#: Pause between choices of the subset that each listed sidecar adds.
SIDECAR_PERIOD_SECONDS: Final = 0.002
CHANGE_SECONDS: Final = 1.0
SECRET_BYTES: Final = 32
ADMIN_THREADS: Final = 8
ADMIN_BODY_BYTES: Final = 1_048_576


class Entry:
    """Wires the entry's parts."""

    def __init__(self, settings: Settings) -> None:
        """Build the parts; start() serves."""
        core = Core(settings)
        self.core = core
        self._settings = settings
        self._follows_offers = False
        #: Offset of the offers, and time.monotonic(), at the last choice.
        self._offers_seen = 0
        self._pool_updated = 0.0
        self._log = CollectorLog(core.log, self._find_collectors, core.timeout)
        self._books = Books(
            self._log, settings.get_number('configuration', 'poll_seconds')
        )
        self.pool = Pool(
            core.directory,
            self._make_link,
            core.instance,
            core.zone,
            settings.get_integer(ROLE, 'max_peers'),
            self._books.offers,
        )
        self._levels = LevelRecorder(core.incarnation, self._log)
        self._bill_seconds = settings.get_number(ROLE, 'bill_seconds')
        self._rating_seconds = settings.get_number(ROLE, 'rating_seconds')
        hold_seconds = settings.get_number(ROLE, 'allowance_hold_seconds')
        self.ledger = Ledger(
            core.incarnation, self._log, self._books.spend, hold_seconds
        )
        # A holder itself stops spending after half of this silence.
        self._absence = AllowanceReclaimer(
            core.incarnation, self.ledger, self._books.spend, hold_seconds * 2
        )
        self._appender = Appender(
            self._log,
            claim_items.STREAM,
            settings.get_number(ROLE, 'claim_seconds'),
        )
        self.claims = IdempotencyClaims(
            core.incarnation, self._appender, self._books.claims, self.pool
        )
        near = PowerOfTwo(core.zone)
        self.context = EntryContext(
            core.instance,
            core.incarnation,
            core.configuration,
            core.freshness,
            core.directory,
            self.pool,
            self.ledger,
            ContractLimits(),
            RetryBudget(settings.get_number(ROLE, 'retry_share')),
            DecisionHistory(),
            near,
            PrefixAffinity(near),
            settings.get_number(ROLE, 'request_seconds'),
        )
        rater_url = settings.get_text('platform', 'rater_url')
        self._sampler = RatingSampler(
            HttpRater(rater_url, core.timeout) if rater_url else None,
            settings.get_number(ROLE, 'rating_share'),
            self._log,
            self._books.quality,
            self._note_rating,
        )
        metrics = ChatMetrics()
        pins = ConversationPins(self._appender, self._books.claims)
        max_body = settings.get_integer(ROLE, 'max_body_bytes')
        self._front = CallerFront(
            core.configuration,
            core.health,
            ChatHandler(
                self.context, pins, self._sampler, metrics, self._levels
            ),
            ServiceHandler(self.context, self.claims, metrics),
            max_body,
        )
        self._caller_server = Server(
            self._front,
            (settings.get_text(ROLE, 'caller_address'),),
            ServerLimits(
                settings.get_integer(ROLE, 'threads'),
                max_body,
                settings.get_integer(ROLE, 'idle_caller_seconds'),
            ),
        )
        self._changes = ChangeSubmitter(
            core.log, core.configuration, core.reader
        )
        self._watch = RolloutMonitor(
            core.configuration,
            self._books.quality,
            lambda change: self._changes.submit(change, CHANGE_SECONDS),
        )
        admin = AdminHandler(
            self.context,
            self._changes,
            self._books.spend,
            self._books.levels,
            settings.get_text(ROLE, 'operator_token_sha256'),
        )
        self._admin_server = Server(
            admin,
            (settings.get_text(ROLE, 'admin_address'),),
            ServerLimits(ADMIN_THREADS, ADMIN_BODY_BYTES, 60),
        )

    def start(self) -> None:
        """Serve callers and operators."""
        core = self.core
        core.start()
        core.directory.add_listener(self._update_pool)
        core.configuration.add_listener(self.pool.push_status)
        self._update_pool()
        self._books.run(core.spawn)
        core.spawn(self._appender.run)
        core.spawn(lambda: self._sampler.run(self._pace(self._rating_seconds)))
        core.spawn(
            lambda: self.ledger.run(
                self._pace(self._bill_seconds), self._tell_durable
            )
        )
        self._start_timers()
        core.add_check(self._find_problem)
        self._caller_server.start()
        self._admin_server.start()
        logger.info(
            'entry serves callers at {}',
            self._settings.get_text(ROLE, 'caller_address'),
        )

    def _start_timers(self) -> None:
        core = self.core
        core.every(CHECK_SECONDS, self.pool.check_links)
        core.every(SWEEP_SECONDS, self._sweep)
        core.every(CHECK_SECONDS, self._check_rollouts)
        core.every(IDLE_SECONDS, self._give_back)
        core.every(IDLE_SECONDS, self._update_pool)
        core.every_paced(
            self._pace(level_items.PUBLISH_INTERVAL_SECONDS),
            self._levels.publish,
        )

    def drain(self) -> None:
        """Refuse new work, finish what runs, bill it, give back, stop."""
        core = self.core
        core.leaving = True
        for link in self.pool.links():
            link.entry_leaving = True
        self.pool.push_status()
        # The balancer needs a moment to see /readyz fail; callers that it
        # still sends meanwhile are served.
        time.sleep(core.settings.get_number('daemon', 'drain_notice_seconds'))
        limit = time.monotonic() + core.settings.get_number(
            'daemon', 'drain_seconds'
        )
        self._front.drain(limit)
        self._caller_server.stop_accepting()
        self.ledger.stop()
        while time.monotonic() < limit:
            if self.ledger.flush_once(self._tell_durable) and not (
                self.ledger.count_unbilled() or self.claims.count_active()
            ):
                break
            time.sleep(STEP_SECONDS)
        self._return_allowances()
        self._levels.publish()
        self._appender.stop()
        self._sampler.publish()
        self._sampler.stop()
        # Sidecars drop their copies of the bills just confirmed.
        time.sleep(core.heartbeat / 2)
        self.pool.close()
        self._books.stop()
        core.close()
        logger.info('entry stopped')

    def _make_link(self, instance: Instance) -> Link:
        hello = peer_pb2.Hello(
            version=PROTOCOL_VERSION,
            instance=self.core.instance,
            zone=self.core.zone,
            incarnation=self.core.incarnation,
        )
        return Link(
            instance,
            hello,
            self.core.make_gossip,
            self._adopt_bill,
            self._find_period,
            self.core.transport,
        )

    def _find_period(self) -> float:
        """Return the pause between statuses: many peers share a pace."""
        peers = len(self.pool.links())
        return max(self.core.heartbeat, peers * PEER_PERIOD_SECONDS)

    def _pace(self, seconds: float) -> Callable[[], float]:
        """Return a function of a period that many entries stretch."""
        return lambda: max(
            seconds, self.context.count_entries() * ENTRY_PERIOD_SECONDS
        )

    def _update_pool(self) -> None:
        """Follow the offers once a subset of the sidecars has to be chosen."""
        if self.pool.needs_offers() and not self._follows_offers:
            self._follows_offers = True
            self.core.spawn(self._books.offers.run)
        self._offers_seen = self._books.offers.offset
        self._pool_updated = time.monotonic()
        self.pool.update()

    def _heed_offers(self) -> None:
        """Choose the subset anew soon after other endpoints were offered."""
        sidecars = len(self.core.directory.sidecars())
        pause = sidecars * SIDECAR_PERIOD_SECONDS
        waited = time.monotonic() - self._pool_updated
        if self._books.offers.offset != self._offers_seen and waited > pause:
            self._update_pool()

    def _find_collectors(self) -> list[LogCalls]:
        """Return the collectors to use; a small fleet needs none."""
        wanted = self._settings.get_integer(ROLE, 'collect_entries')
        if len(self.core.directory.entries()) < wanted:
            return []
        return [link.log_calls for link in self.pool.collectors()]

    def _adopt_bill(self, copy: peer_pb2.BillCopy) -> None:
        state = self.core.configuration.state
        self.ledger.adopt_bill(copy, state.version(copy.version))

    def _note_rating(self, customer: str, rating: float) -> None:
        contract = self.core.configuration.state.contract(customer)
        if contract is not None:
            bad = rating < contract['quality']
            self._levels.record(customer, Level.quality, bad=bad)

    def _tell_durable(self, requests: list[str]) -> None:
        for link in self.pool.links():
            link.confirm_bills(requests)

    def _find_problem(self) -> str:
        if not any(link.is_usable() for link in self.pool.links()):
            return 'no endpoint is connected'
        if not self.core.configuration.state.keys():
            return 'no key signs conversation ids yet'
        if self._absence.is_retired():
            return 'others returned its allowances; it has to be replaced'
        return ''

    def _sweep(self) -> None:
        self._heed_offers()
        self.claims.release_stray()
        self.core.write_snapshot_if_due()
        self._ensure_key()
        if self.core.is_writer():
            self._books.write_snapshots()
        self._retire_gone()

    def _check_rollouts(self) -> None:
        if self.core.is_writer():
            self._watch.check()

    def _ensure_key(self) -> None:
        """Create the first key for conversation ids; one entry's is kept."""
        state = self.core.configuration.state
        if not self.core.configuration.is_ready() or state.keys():
            return
        if state.revision('key/first') or not self.core.is_writer():
            return
        body = {'secret': secrets.token_hex(SECRET_BYTES), 'state': 'signing'}
        change = Change(str(uuid.uuid4()), 'key/first', 0, 'toucancourse', body)
        self._changes.submit(change, CHANGE_SECONDS)

    def _give_back(self) -> None:
        try:
            self.ledger.release_idle()
        except LogDownError as error:
            logger.warning('allowances not given back: {}', error)

    def _return_allowances(self) -> None:
        try:
            self.ledger.release_idle(everything=True)
        except LogDownError as error:
            logger.warning('allowances not given back: {}', error)

    def _retire_gone(self) -> None:
        """Return what entries hold that nobody has heard of for long."""
        live: set[str] = set()
        for link in self.pool.links():
            live.update(link.connected_entries.incarnations)
        self._absence.check(live)
