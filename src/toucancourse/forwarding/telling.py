"""Streams on which entries tell each other of their work at endpoints."""

import threading
import time
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

import grpc
from loguru import logger

from ..membership.clock import read_clock
from ..protocol import peer_pb2, peer_pb2_grpc
from ..protocol.transports import CHANNEL_OPTIONS, lengthen_grpc_waits
from .loads import NO_WORK, STALE_SECONDS, LoadBook, Work

#: Pause between two reports, in seconds: prompts take longer to read, and
#: shorter pauses cost more bytes between zones than they save time.
TELL_SECONDS: Final = 0.1
#: Time after which something is told though nothing changed.
KEEP_SECONDS: Final = STALE_SECONDS / 2
#: Pause before a broken stream is opened again.
RETRY_SECONDS: Final = 0.5
#: Other entries up to which all tell each other; streams grow as the square.
MAX_PEERS: Final = 24
MS: Final = 1000
#: A stream whose peer is silent for this long is broken, in milliseconds;
#: a reset or a cut may leave connections that never answer.
KEEPALIVE_MS: Final = 2000
KEEPALIVE_OPTIONS: Final = (
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_MS // 2),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
)


class OwnState(NamedTuple):
    """What an entry has to tell."""

    #: Endpoint's digest -> this entry's work there.
    work: Mapping[int, Work]
    #: Digest of a session that stays on an old version -> read_clock() of
    #: its end.
    sessions: Mapping[int, float]


Collect = Callable[[], OwnState]
#: Takes a session's digest and the seconds that it has left.
HoldSession = Callable[[int, float], None]


class LoadServicer(peer_pb2_grpc.LoadsServicer):
    """Takes what other entries tell."""

    def __init__(self, book: LoadBook, hold_session: HoldSession) -> None:
        """Keep what is told of work and of sessions."""
        self._book = book
        self._hold_session = hold_session

    def Tell(  # noqa: N802  # the name that gRPC generates
        self,
        request_iterator: Iterator[peer_pb2.LoadReport],
        context: grpc.ServicerContext,
    ) -> peer_pb2.LoadEnd:
        """Return once the caller has left."""
        owner = object()
        instance = ''
        try:
            for report in request_iterator:
                instance = report.instance or instance
                self._book.take(instance, owner, _decode(report))
                for row in report.sessions:
                    self._hold_session(row.session, row.left_ms / MS)
        except grpc.RpcError as error:
            logger.debug('entry left', peer=instance, why=repr(error))
        finally:
            self._book.drop(instance, owner)
        return peer_pb2.LoadEnd()


class LoadLink:
    """Tells one other entry of this one's work."""

    def __init__(self, instance: str, address: str, collect: Collect) -> None:
        """Keep this entry's name and the other's "host:port"."""
        self._instance = instance
        self._address = address
        self._collect = collect
        self._stopped = threading.Event()
        self._is_lost = False

    def run(self) -> None:
        """Tell until stopped."""
        while not self._stopped.is_set():
            channel = grpc.insecure_channel(
                self._address, CHANNEL_OPTIONS + KEEPALIVE_OPTIONS
            )
            try:
                peer_pb2_grpc.LoadsStub(channel).Tell(self._make_reports())
            except grpc.RpcError as error:
                self._note_lost(error)
            channel.close()
            self._stopped.wait(RETRY_SECONDS)

    def stop(self) -> None:
        """End run()."""
        self._stopped.set()

    def _make_reports(self) -> Iterator[peer_pb2.LoadReport]:
        told: dict[int, Work] = {}
        sessions: Mapping[int, float] = {}
        last = 0.0
        while not self._stopped.is_set():
            state = self._collect()
            changed = _find_changes(told, state.work)
            told.update(changed)
            held = _find_held(sessions, state.sessions)
            sessions = state.sessions
            now = time.monotonic()
            if self._is_lost and last:
                self._is_lost = False
                logger.info('peer back', peer=self._address)
            if changed or held or now - last >= KEEP_SECONDS:
                name = '' if last else self._instance
                yield _encode(name, changed, held)
                last = now
            self._stopped.wait(TELL_SECONDS)

    def _note_lost(self, error: grpc.RpcError) -> None:
        if not self._is_lost:
            self._is_lost = True
            logger.info('peer lost', peer=self._address, why=_describe(error))


class LoadLinks:
    """Links to all other entries, and the server that they tell."""

    def __init__(
        self,
        instance: str,
        collect: Collect,
        servicer: LoadServicer,
    ) -> None:
        """Keep this entry's name."""
        self._instance = instance
        self._collect = collect
        self._servicer = servicer
        #: Address -> link.
        self._links: dict[str, LoadLink] = {}
        self._server: grpc.Server | None = None

    def serve(self, address: str) -> None:
        """Listen for the other entries.

        Raises RuntimeError if the address is in use.
        """
        lengthen_grpc_waits()
        server = grpc.server(
            ThreadPoolExecutor(MAX_PEERS, 'peer'),
            options=(*KEEPALIVE_OPTIONS, ('grpc.so_reuseport', 0)),
        )
        # It ends with the last reference to it.
        self._server = server
        peer_pb2_grpc.add_LoadsServicer_to_server(self._servicer, server)
        server.add_insecure_port(address)
        server.start()

    def close(self) -> None:
        """End all streams and the server."""
        self.follow(set())
        if self._server is not None:
            self._server.stop(None)

    def count(self) -> int:
        """Return the entries that are told."""
        return len(self._links)

    def follow(self, addresses: set[str]) -> None:
        """Tell the entries at these addresses and no others."""
        wanted = addresses if len(addresses) <= MAX_PEERS else set()
        for address in self._links.keys() - wanted:
            self._links.pop(address).stop()
        for address in wanted - self._links.keys():
            link = LoadLink(self._instance, address, self._collect)
            self._links[address] = link
            threading.Thread(
                target=link.run, name=f'peer {address}', daemon=True
            ).start()


def _find_changes(
    told: Mapping[int, Work],
    work: Mapping[int, Work],
) -> dict[int, Work]:
    """Return the work that differs from what was told."""
    changed = {
        digest: found
        for digest, found in work.items()
        if told.get(digest, NO_WORK) != found
    }
    gone = (digest for digest in told if digest not in work)
    changed.update(
        (digest, NO_WORK) for digest in gone if told[digest] != NO_WORK
    )
    return changed


def _find_held(
    told: Mapping[int, float],
    sessions: Mapping[int, float],
) -> dict[int, float]:
    """Return the sessions whose end was not told yet."""
    return {
        digest: until
        for digest, until in sessions.items()
        if until - told.get(digest, 0.0) > 0
    }


def _encode(
    instance: str,
    changed: Mapping[int, Work],
    held: Mapping[int, float],
) -> peer_pb2.LoadReport:
    now = read_clock()
    return peer_pb2.LoadReport(
        instance=instance,
        loads=[
            peer_pb2.EndpointLoad(
                endpoint=digest,
                running=work.running,
                reading_ms=[int(seconds * MS) for seconds in work.reading],
            )
            for digest, work in changed.items()
        ],
        sessions=[
            peer_pb2.OldSession(
                session=digest, left_ms=max(0, int((until - now) * MS))
            )
            for digest, until in held.items()
        ],
    )


def _decode(report: peer_pb2.LoadReport) -> dict[int, Work]:
    return {
        row.endpoint: Work(
            row.running, tuple(reading / MS for reading in row.reading_ms)
        )
        for row in report.loads
    }


def _describe(error: grpc.RpcError) -> str:
    """Return an error's status, without its trace."""
    code = getattr(error, 'code', None)
    return str(code()) if callable(code) else repr(error)
