"""Streams on which entries report their workloads to each other."""

import math
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple, TypeVar

import grpc
from loguru import logger

from ..membership.clock import read_clock
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.transports import (
    CHANNEL_OPTIONS,
    GrpcLimits,
    create_server,
    lengthen_grpc_waits,
)
from .loads import NO_WORKLOAD, STALE_SECONDS, PeerLoads, Workload
from .peerstates import NO_SLOWNESS, LocalState, Slowness, StateListener
from .topicreads import TopicServicer

#: Pause between two reports, in seconds: prefill takes longer, and shorter
#: pauses cost more in traffic between zones than they save in latency.
REPORT_INTERVAL_SECONDS: Final = 0.1
#: Number of other entries from which the pause grows with them: each report
#: received takes processor time, which small instances lack.
FULL_RATE_PEERS: Final = 8
#: Pause after which an empty report is sent if nothing changed.
EMPTY_REPORT_SECONDS: Final = STALE_SECONDS / 2
#: Pause before a broken stream is reopened.
RECONNECT_SECONDS: Final = 0.5
#: Largest number of other entries with which reports are exchanged; the
#: number of streams grows quadratically.
MAX_PEERS: Final = 24
#: Reads of topics that wait at this entry at the same time.
MAX_TOPIC_READS: Final = 120
#: Connections of other entries, and descriptors of the process for each.
MAX_CONNECTIONS: Final = 160
DESCRIPTORS_PER_CONNECTION: Final = 5
#: Streams of a connection; an entry reads three topics at a time.
STREAMS_PER_CONNECTION: Final = 4
#: Size of a message, and the endpoints and sessions that one report holds.
MESSAGE_BYTES: Final = 65_536
ENDPOINTS_PER_REPORT: Final = 100
SESSIONS_PER_REPORT: Final = 2000
MS: Final = 1000
PERCENT: Final = 100
#: Prefill that is reported at most, so that it fits into 32 bits.
MAX_READING_SECONDS: Final = 1e6
#: Pause between keep-alive pings, in milliseconds: after a reset or a network
#: partition a connection may stay open without any response.
KEEPALIVE_MS: Final = 2000
KEEPALIVE_OPTIONS: Final = (
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_MS // 2),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
)


CollectState = Callable[[], LocalState]
_State = TypeVar('_State')
_Item = TypeVar('_Item')
_NO_STATE: Final = (NO_WORKLOAD, NO_SLOWNESS)
#: Pins a session, given its digest and the seconds until it ends.
PinSession = Callable[[int, float], None]


class LoadServicer(peer_pb2_grpc.LoadsServicer):
    """Receives the reports of other entries."""

    def __init__(
        self,
        loads: PeerLoads,
        pin_session: PinSession,
        listeners: Sequence[StateListener] = (),
    ) -> None:
        """Create a servicer that applies workloads and session pins.

        The listeners receive each report whole.
        """
        self._loads = loads
        self._pin_session = pin_session
        self._listeners = listeners

    def Tell(  # noqa: N802  # the name that gRPC generates
        self,
        request_iterator: Iterator[peer_pb2.LoadReport],
        context: grpc.ServicerContext,
    ) -> peer_pb2.LoadEnd:
        """Apply the reports of one stream until it ends."""
        stream = object()
        instance = ''
        try:
            for report in request_iterator:
                instance = report.instance or instance
                state = _decode(report)
                self._loads.update(instance, stream, state.workloads)
                for session in report.sessions:
                    self._pin_session(session.session, session.left_ms / MS)
                for listener in self._listeners:
                    listener.update(instance, stream, state)
        except grpc.RpcError as error:
            logger.debug('report stream broken', peer=instance, why=repr(error))
        finally:
            self._loads.drop(instance, stream)
            for listener in self._listeners:
                listener.drop(instance, stream)
        return peer_pb2.LoadEnd()


class _Snapshot(NamedTuple):
    """This entry's state at one time, and what changed since the one before."""

    number: int
    state: LocalState
    changes: list[peer_pb2.LoadReport]


class StateSource:
    """Collects this entry's state once for the streams to all entries."""

    def __init__(
        self, collect: CollectState, count_peers: Callable[[], int]
    ) -> None:
        """Create a source without state; count_peers counts the streams."""
        self._collect = collect
        self._count_peers = count_peers
        self._changed = threading.Condition()
        self._stopped = threading.Event()
        self.newest = _Snapshot(0, LocalState({}, {}), [])

    def run(self) -> None:
        """Collect the state again and again while there are streams."""
        while not self._stopped.wait(self.find_interval()):
            if self._count_peers():
                self._try_to_collect()

    def stop(self) -> None:
        """Make run() return."""
        self._stopped.set()

    def find_interval(self) -> float:
        """Return the seconds between two reports."""
        crowding = self._count_peers() / FULL_RATE_PEERS
        return REPORT_INTERVAL_SECONDS * max(1.0, crowding)

    def collect(self) -> None:
        """Collect the state, and wake the streams if it has changed."""
        known = self.newest
        state = self._collect()
        changes = _find_changes(known.state, state)
        if not any(changes):
            return
        with self._changed:
            self.newest = _Snapshot(
                known.number + 1, state, _encode('', changes)
            )
            self._changed.notify_all()

    def _try_to_collect(self) -> None:
        try:
            self.collect()
        except Exception:  # noqa: BLE001 - streams would send the old state
            logger.exception('states not collected')

    def wait_for_change(self, number: int, timeout: float) -> _Snapshot:
        """Return the newest state once its number is another one.

        Returns that with the same number after a timeout in seconds.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self.newest.number != number, timeout
            )
            return self.newest


class LoadReporter:
    """Client that reports this entry's state to one other entry."""

    def __init__(
        self, instance: str, address: str, source: StateSource
    ) -> None:
        """Create a client of an entry at "host:port".

        The instance is the name of this entry.
        """
        self._instance = instance
        self._address = address
        self._source = source
        self._stopped = threading.Event()
        self._is_disconnected = False

    def run(self) -> None:
        """Send reports and reconnect, until stopped."""
        while not self._stopped.is_set():
            channel = grpc.insecure_channel(
                self._address, CHANNEL_OPTIONS + KEEPALIVE_OPTIONS
            )
            try:
                peer_pb2_grpc.LoadsStub(channel).Tell(self._make_reports())
            except grpc.RpcError as error:
                self._record_disconnect(error)
            channel.close()
            self._stopped.wait(RECONNECT_SECONDS)

    def stop(self) -> None:
        """Make run() return."""
        self._stopped.set()

    def _make_reports(self) -> Iterator[peer_pb2.LoadReport]:
        sent = self._source.newest
        yield from _encode(
            self._instance, _find_changes(LocalState({}, {}), sent.state)
        )
        while not self._stopped.is_set():
            newest = self._source.wait_for_change(
                sent.number, EMPTY_REPORT_SECONDS
            )
            if self._is_disconnected:
                self._is_disconnected = False
                logger.info('peer reconnected', peer=self._address)
            if newest.number == sent.number:
                yield peer_pb2.LoadReport()
            elif newest.number == sent.number + 1:
                yield from newest.changes
            else:
                yield from _encode('', _find_changes(sent.state, newest.state))
            sent = newest

    def _record_disconnect(self, error: grpc.RpcError) -> None:
        if not self._is_disconnected:
            self._is_disconnected = True
            logger.info(
                'peer disconnected',
                peer=self._address,
                why=_describe_error(error),
            )


class LoadReporters:
    """Clients of all other entries, and the server for their reports."""

    def __init__(
        self,
        instance: str,
        collect: CollectState,
        servicer: LoadServicer,
    ) -> None:
        """Create them without peers; instance is the name of this entry."""
        self._instance = instance
        self._source = StateSource(collect, self.count)
        self._servicer = servicer
        #: Address -> client.
        self._reporters: dict[str, LoadReporter] = {}
        self._server: grpc.Server | None = None

    def serve(
        self,
        address: str,
        topics: TopicServicer,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Listen for the other entries, which also read topics here.

        Raises RuntimeError if the address is in use.
        """
        lengthen_grpc_waits()
        server = create_server(
            GrpcLimits(
                MAX_PEERS + MAX_TOPIC_READS,
                connections,
                STREAMS_PER_CONNECTION,
                MESSAGE_BYTES,
            ),
            'peer',
            KEEPALIVE_OPTIONS,
        )
        # gRPC stops a server once it has no references.
        self._server = server
        peer_pb2_grpc.add_LoadsServicer_to_server(self._servicer, server)
        peer_pb2_grpc.add_TopicsServicer_to_server(topics, server)
        server.add_insecure_port(address)
        server.start()
        threading.Thread(
            target=self._source.run, name='peer states', daemon=True
        ).start()

    def close(self) -> None:
        """End all streams and the server."""
        self.set_peers(set())
        self._source.stop()
        if self._server is not None:
            self._server.stop(None)

    def count(self) -> int:
        """Return the number of entries that get reports."""
        return len(self._reporters)

    def set_peers(self, addresses: set[str]) -> None:
        """Report to the entries at these addresses and no others.

        More than MAX_PEERS addresses stop all reports.
        """
        peers = addresses if len(addresses) <= MAX_PEERS else set()
        for address in self._reporters.keys() - peers:
            self._reporters.pop(address).stop()
        for address in peers - self._reporters.keys():
            reporter = LoadReporter(self._instance, address, self._source)
            self._reporters[address] = reporter
            threading.Thread(
                target=reporter.run, name=f'peer {address}', daemon=True
            ).start()


def find_connections(descriptors: int) -> int:
    """Return the connections of other entries that descriptors suffice for."""
    return min(MAX_CONNECTIONS, descriptors // DESCRIPTORS_PER_CONNECTION)


def _find_changes(reported: LocalState, state: LocalState) -> LocalState:
    """Return what differs from the state that was reported."""
    endpoints = _find_changed(
        _join_endpoints(reported), _join_endpoints(state), _NO_STATE
    )
    extended = {
        digest: until
        for digest, until in state.sessions.items()
        if until > reported.sessions.get(digest, 0.0)
    }
    return LocalState(
        {digest: workload for digest, (workload, _) in endpoints.items()},
        extended,
        {digest: slowness for digest, (_, slowness) in endpoints.items()},
        _find_changed(reported.accounts, state.accounts, 0.0),
    )


def _join_endpoints(
    state: LocalState,
) -> dict[int, tuple[Workload, Slowness]]:
    """Return workload and slowness of each endpoint that has one of them."""
    return {
        digest: (
            state.workloads.get(digest, NO_WORKLOAD),
            state.slowness.get(digest, NO_SLOWNESS),
        )
        for digest in state.workloads.keys() | state.slowness.keys()
    }


def _find_changed(
    reported: Mapping[int, _State],
    current: Mapping[int, _State],
    default: _State,
) -> dict[int, _State]:
    """Return the states that were not reported as they are now."""
    return {
        digest: current.get(digest, default)
        for digest in reported.keys() | current.keys()
        if reported.get(digest, default) != current.get(digest, default)
    }


def _encode(instance: str, changed: LocalState) -> list[peer_pb2.LoadReport]:
    """Return reports of a state, as many as the size of a message needs."""
    now = read_clock()
    endpoints = [
        _encode_endpoint(digest, workload, slowness)
        for digest, (workload, slowness) in _join_endpoints(changed).items()
    ]
    sessions = [
        peer_pb2.OldSession(
            session=digest, left_ms=max(0, int((until - now) * MS))
        )
        for digest, until in changed.sessions.items()
    ]
    count = max(
        1,
        math.ceil(len(endpoints) / ENDPOINTS_PER_REPORT),
        math.ceil(len(sessions) / SESSIONS_PER_REPORT),
    )
    reports = [
        peer_pb2.LoadReport(
            loads=_take(endpoints, row, ENDPOINTS_PER_REPORT),
            sessions=_take(sessions, row, SESSIONS_PER_REPORT),
        )
        for row in range(count)
    ]
    reports[0].instance = instance
    reports[0].accounts.extend(
        peer_pb2.AccountUse(account=digest, work_ms=int(use * MS))
        for digest, use in changed.accounts.items()
    )
    return reports


def _take(items: list[_Item], row: int, size: int) -> list[_Item]:
    """Return one row of items, each row of some size."""
    return items[row * size : (row + 1) * size]


def _encode_endpoint(
    digest: int, workload: Workload, slowness: Slowness
) -> peer_pb2.EndpointLoad:
    return peer_pb2.EndpointLoad(
        endpoint=digest,
        running=workload.running,
        reading_ms=[
            int(min(MAX_READING_SECONDS, seconds) * MS)
            for seconds in workload.prefill_seconds
        ],
        slowness_percent=round(slowness.ratio * PERCENT),
        samples=slowness.samples,
    )


def _decode(report: peer_pb2.LoadReport) -> LocalState:
    now = read_clock()
    return LocalState(
        {
            load.endpoint: Workload(
                load.running, tuple(prefill / MS for prefill in load.reading_ms)
            )
            for load in report.loads
        },
        {
            session.session: now + session.left_ms / MS
            for session in report.sessions
        },
        {
            load.endpoint: Slowness(
                load.slowness_percent / PERCENT or 1.0, load.samples
            )
            for load in report.loads
        },
        {use.account: use.work_ms / MS for use in report.accounts},
    )


def _describe_error(error: grpc.RpcError) -> str:
    """Return an error's status code, or its repr() if it has none."""
    code = getattr(error, 'code', None)
    return str(code()) if callable(code) else repr(error)
