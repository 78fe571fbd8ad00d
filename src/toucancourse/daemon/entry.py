"""The entry role: serves callers and the administration API."""

import secrets
import time
import uuid
from collections.abc import Callable
from typing import Final

from loguru import logger

from ..admin.changes import ChangeSubmitter
from ..admin.routes import AdminHandler
from ..admission.limits import ContractLimits, RetryBudget
from ..admission.slots import StreamSlots
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
from .application import CallerApplication
from .core import Core
from .followers import Followers

#: Section of the settings file with the entry's settings.
SECTION: Final = 'entry'
#: Interval between checks of links and roll-outs.
CHECK_INTERVAL_SECONDS: Final = 0.25
#: Interval of expiry, snapshots and other upkeep.
MAINTENANCE_INTERVAL_SECONDS: Final = 1.0
#: Interval between returns of unused allowances and updates of the pool.
RECONCILE_INTERVAL_SECONDS: Final = 10.0
#: Interval between checks for unfinished work while draining.
DRAIN_POLL_SECONDS: Final = 0.02
#: Added to the interval between statuses by each connected peer.
STATUS_SECONDS_PER_PEER: Final = 0.08
#: Added by each entry to the interval between records of one kind, so that
#: the log's append rate does not grow with the number of entries.
APPEND_SECONDS_PER_ENTRY: Final = 0.1
#: Added by each listed sidecar to the interval between subset choices.
SUBSET_SECONDS_PER_SIDECAR: Final = 0.002
#: Timeout of a configuration change that the entry submits itself.
CHANGE_TIMEOUT_SECONDS: Final = 1.0
#: Length of a key that signs conversation ids.
SECRET_BYTES: Final = 32
#: Copies of a body on its way to a sidecar: received, parsed, encoded again
#: and in a message; a character may take four bytes of a text in memory.
BODY_COPIES: Final = 12
ADMIN_THREADS: Final = 8
ADMIN_BODY_BYTES: Final = 1_048_576


class Entry:
    """Creates the components of an entry and runs them."""

    def __init__(self, settings: Settings) -> None:
        """Create the components; start() serves."""
        core = Core(settings)
        self.core = core
        self._settings = settings
        self._follows_offers = False
        #: Offset of the offer stream, and time.monotonic(), when the subset was
        #: last chosen.
        self._offers_offset = 0
        self._pool_updated = 0.0
        self._log = CollectorLog(core.log, self._find_collectors, core.timeout)
        self._followers = Followers(
            self._log, settings.get_number('configuration', 'poll_seconds')
        )
        self.pool = Pool(
            core.directory,
            self._make_link,
            core.instance,
            core.zone,
            settings.get_integer(SECTION, 'max_peers'),
            self._followers.offers,
        )
        self._levels = LevelRecorder(core.incarnation, self._log)
        self._bill_seconds = settings.get_number(SECTION, 'bill_seconds')
        self._rating_seconds = settings.get_number(SECTION, 'rating_seconds')
        hold_seconds = settings.get_number(SECTION, 'allowance_hold_seconds')
        self.ledger = Ledger(
            core.incarnation, self._log, self._followers.spend, hold_seconds
        )
        # Allowances are reclaimed after twice the hold time: an entry that is
        # cut off stops spending its own after half of this period.
        self._reclaimer = AllowanceReclaimer(
            core.incarnation,
            self.ledger,
            self._followers.spend,
            hold_seconds * 2,
        )
        self._appender = Appender(
            self._log,
            claim_items.STREAM,
            settings.get_number(SECTION, 'claim_seconds'),
        )
        self.claims = IdempotencyClaims(
            core.incarnation, self._appender, self._followers.claims, self.pool
        )
        power_of_two = PowerOfTwo(core.zone)
        self.context = EntryContext(
            core.instance,
            core.incarnation,
            core.configuration,
            core.freshness,
            core.directory,
            self.pool,
            self.ledger,
            ContractLimits(),
            RetryBudget(settings.get_number(SECTION, 'retry_share')),
            DecisionHistory(),
            power_of_two,
            PrefixAffinity(power_of_two),
            settings.get_number(SECTION, 'request_seconds'),
        )
        rater_url = settings.get_text('platform', 'rater_url')
        self._sampler = RatingSampler(
            HttpRater(rater_url, core.timeout) if rater_url else None,
            settings.get_number(SECTION, 'rating_share'),
            self._log,
            self._followers.quality,
            self._record_rating,
        )
        metrics = ChatMetrics()
        pins = ConversationPins(self._appender, self._followers.claims)
        threads = settings.get_integer(SECTION, 'threads')
        max_body_bytes = settings.get_integer(SECTION, 'max_body_bytes')
        self._caller_application = CallerApplication(
            core.configuration,
            core.health,
            ChatHandler(
                self.context,
                pins,
                self._sampler,
                metrics,
                self._levels,
                StreamSlots(threads),
            ),
            ServiceHandler(self.context, self.claims, metrics),
            max_body_bytes,
        )
        self._caller_server = Server(
            self._caller_application,
            (settings.get_text(SECTION, 'caller_address'),),
            ServerLimits(
                threads,
                max_body_bytes,
                settings.get_integer(SECTION, 'idle_caller_seconds'),
                settings.get_integer(SECTION, 'request_memory_bytes'),
                BODY_COPIES,
            ),
        )
        self._changes = ChangeSubmitter(
            core.log, core.configuration, core.reader
        )
        self._rollout_monitor = RolloutMonitor(
            core.configuration,
            self._followers.quality,
            lambda change: self._changes.submit(change, CHANGE_TIMEOUT_SECONDS),
        )
        admin = AdminHandler(
            self.context,
            self._changes,
            self._followers.spend,
            self._followers.levels,
            settings.get_text(SECTION, 'operator_token_sha256'),
        )
        self._admin_server = Server(
            admin,
            (settings.get_text(SECTION, 'admin_address'),),
            ServerLimits(ADMIN_THREADS, ADMIN_BODY_BYTES, 60),
        )

    def start(self) -> None:
        """Serve callers and operators."""
        core = self.core
        core.start()
        core.directory.add_listener(self._update_pool)
        core.configuration.add_listener(self.pool.push_status)
        self._update_pool()
        self._followers.start(core.start_task)
        core.start_task(self._appender.run)
        core.start_task(
            lambda: self._sampler.run(
                self._scale_interval(self._rating_seconds)
            )
        )
        core.start_task(
            lambda: self.ledger.run(
                self._scale_interval(self._bill_seconds), self._confirm_bills
            )
        )
        self._start_timers()
        core.set_readiness_check(self._find_problem)
        self._caller_server.start()
        self._admin_server.start()
        logger.info(
            'entry serves callers at {}',
            self._settings.get_text(SECTION, 'caller_address'),
        )

    def _start_timers(self) -> None:
        core = self.core
        core.run_periodically(CHECK_INTERVAL_SECONDS, self.pool.check_links)
        core.run_periodically(
            MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance
        )
        core.run_periodically(CHECK_INTERVAL_SECONDS, self._check_rollouts)
        core.run_periodically(
            RECONCILE_INTERVAL_SECONDS, self._return_unused_allowances
        )
        core.run_periodically(RECONCILE_INTERVAL_SECONDS, self._update_pool)
        core.run_at_intervals(
            self._scale_interval(level_items.PUBLISH_INTERVAL_SECONDS),
            self._levels.publish,
        )

    def drain(self) -> None:
        """Refuse new requests, finish and bill those in flight, and stop.

        Allowances that are not spent are returned.
        """
        core = self.core
        core.is_draining = True
        for link in self.pool.links():
            link.entry_draining = True
        self.pool.push_status()
        # The load balancer takes a moment to see /readyz fail; requests that
        # it still sends meanwhile are served.
        time.sleep(core.settings.get_number('daemon', 'drain_notice_seconds'))
        deadline = time.monotonic() + core.settings.get_number(
            'daemon', 'drain_seconds'
        )
        self._caller_application.drain(deadline)
        self._caller_server.stop_accepting()
        self.ledger.stop()
        while time.monotonic() < deadline:
            if self.ledger.flush_once(self._confirm_bills) and not (
                self.ledger.count_unbilled() or self.claims.count_active()
            ):
                break
            time.sleep(DRAIN_POLL_SECONDS)
        self._return_all_allowances()
        self._levels.publish()
        self._appender.stop()
        self._sampler.publish()
        self._sampler.stop()
        # Gives the sidecars time to drop their copies of the confirmed bills.
        time.sleep(core.heartbeat / 2)
        self.pool.close()
        self._followers.stop()
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
            self._find_status_interval,
            self.core.transport,
        )

    def _find_status_interval(self) -> float:
        """Return the seconds between statuses to one peer.

        The interval grows with the number of peers, which bounds the total
        rate.
        """
        peers = len(self.pool.links())
        return max(self.core.heartbeat, peers * STATUS_SECONDS_PER_PEER)

    def _scale_interval(self, seconds: float) -> Callable[[], float]:
        """Return a function for an interval that grows with the entries."""
        return lambda: max(
            seconds, self.context.count_entries() * APPEND_SECONDS_PER_ENTRY
        )

    def _update_pool(self) -> None:
        """Choose the sidecars to connect to.

        Starts to follow the offers once a subset has to be chosen.
        """
        if self.pool.needs_offers() and not self._follows_offers:
            self._follows_offers = True
            self.core.start_task(self._followers.offers.run)
        self._offers_offset = self._followers.offers.offset
        self._pool_updated = time.monotonic()
        self.pool.update()

    def _update_stale_subset(self) -> None:
        """Update the pool if the offers changed since the last choice.

        The rate of updates is limited by the number of sidecars.
        """
        sidecars = len(self.core.directory.sidecars())
        interval = sidecars * SUBSET_SECONDS_PER_SIDECAR
        elapsed = time.monotonic() - self._pool_updated
        if (
            self._followers.offers.offset != self._offers_offset
            and elapsed > interval
        ):
            self._update_pool()

    def _find_collectors(self) -> list[LogCalls]:
        """Return the collectors to use; none in a small fleet."""
        min_entries = self._settings.get_integer(SECTION, 'collect_entries')
        if len(self.core.directory.entries()) < min_entries:
            return []
        return [link.log_calls for link in self.pool.collectors()]

    def _adopt_bill(self, copy: peer_pb2.BillCopy) -> None:
        state = self.core.configuration.state
        self.ledger.adopt_bill(copy, state.version(copy.version))

    def _record_rating(self, customer: str, rating: float) -> None:
        contract = self.core.configuration.state.contract(customer)
        if contract is not None:
            bad = rating < contract['quality']
            self._levels.record(customer, Level.quality, bad=bad)

    def _confirm_bills(self, requests: list[str]) -> None:
        for link in self.pool.links():
            link.confirm_bills(requests)

    def _find_problem(self) -> str:
        if not any(link.is_usable() for link in self.pool.links()):
            return 'no endpoint is connected'
        if not self.core.configuration.state.keys():
            return 'no key signs conversation ids yet'
        if self._reclaimer.is_retired():
            return 'others returned its allowances; it has to be replaced'
        return ''

    def _run_maintenance(self) -> None:
        self._update_stale_subset()
        self.claims.release_orphaned()
        self.core.write_snapshot_if_due()
        self._ensure_key()
        if self.core.is_snapshot_writer():
            self._followers.write_snapshots()
        self._retire_absent_entries()

    def _check_rollouts(self) -> None:
        if self.core.is_snapshot_writer():
            self._rollout_monitor.check()

    def _ensure_key(self) -> None:
        """Create the first signing key for conversation ids if there is none.

        If several entries try, the first change in the log is applied.
        """
        state = self.core.configuration.state
        if not self.core.configuration.is_ready() or state.keys():
            return
        if state.revision('key/first') or not self.core.is_snapshot_writer():
            return
        body = {'secret': secrets.token_hex(SECRET_BYTES), 'state': 'signing'}
        change = Change(str(uuid.uuid4()), 'key/first', 0, 'toucancourse', body)
        self._changes.submit(change, CHANGE_TIMEOUT_SECONDS)

    def _return_unused_allowances(self) -> None:
        try:
            self.ledger.release_idle()
        except LogDownError as error:
            logger.warning('allowances not returned: {}', error)

    def _return_all_allowances(self) -> None:
        try:
            self.ledger.release_idle(everything=True)
        except LogDownError as error:
            logger.warning('allowances not returned: {}', error)

    def _retire_absent_entries(self) -> None:
        """Reclaim the allowances of entries that have long been absent."""
        connected: set[str] = set()
        for link in self.pool.links():
            connected.update(link.connected_entries.incarnations)
        self._reclaimer.check(connected)
