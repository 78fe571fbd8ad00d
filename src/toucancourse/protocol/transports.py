"""gRPC transports between peers: plaintext or mutual TLS."""

import ssl
import threading
from abc import ABC, abstractmethod
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final, NamedTuple

import grpc
from loguru import logger

from ..errors import CourseError

#: Suffix of the DNS names in certificates: INSTANCE.ROLE.toucancourse.
DOMAIN: Final = 'toucancourse'
MAX_MESSAGE_BYTES: Final = 1_073_741_824
CHANNEL_OPTIONS: Final = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
)
#: What a peer may send on a stream before it announces a larger message.
WINDOW_BYTES: Final = 65_536
#: Longest sleep of a gRPC thread that waits for a message; a message ends the
#: sleep at once. The default of gRPC, 0.1 s, lets the main thread notice
#: signals, but here the main thread never waits for a stream.
GRPC_WAIT_SECONDS: Final = 10.0
#: Key of the names in a peer's certificate in the gRPC auth context.
_NAMES_KEY: Final = 'x509_subject_alternative_name'


class CertificateError(CourseError):
    """The certificate, key or authority file is unreadable or mismatched."""

    code = 'bad_certificate'


class Transport(ABC):
    """Opens channels to sidecars and authenticates entries."""

    @abstractmethod
    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a channel to the sidecar of that instance name."""

    @abstractmethod
    def add_port(self, server: grpc.Server, address: str) -> int:
        """Make a server listen; return its port, or 0 if that failed."""

    @abstractmethod
    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True if the peer may act as the entry of that name."""


class PlainTransport(Transport):
    """Plaintext without authentication."""

    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a plaintext channel."""
        return grpc.insecure_channel(address, list(CHANNEL_OPTIONS))

    def add_port(self, server: grpc.Server, address: str) -> int:
        """Make a server listen for plaintext connections."""
        return int(server.add_insecure_port(address))

    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True: peers are not authenticated."""
        return True


class GrpcLimits(NamedTuple):
    """Resource limits of a gRPC server; all bound what peers can make it hold.

    A connection above the limit is closed, a larger message ends its stream.
    """

    #: Threads; each stream occupies one.
    threads: int
    connections: int
    #: Streams of one connection.
    streams: int
    message_bytes: int


class KeyFiles(NamedTuple):
    """Paths of the PEM files of one daemon."""

    authority: Path
    certificate: Path
    key: Path


class KeyContents(NamedTuple):
    """Contents of the PEM files."""

    authority: bytes
    certificate: bytes
    key: bytes


class TlsTransport(Transport):
    """Mutual TLS with certificates that name an instance and its role.

    The files are read again for each new connection, so certificates can be
    rotated without a restart; open streams are kept.
    """

    def __init__(self, files: KeyFiles) -> None:
        """Read the files.

        Raises CertificateError.
        """
        self._files = files
        self._lock = threading.Lock()
        self._pem = read_keys(files)
        #: The contents that the server uses for new connections.
        self._server_pem = self._pem

    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a channel that accepts only that instance's certificate."""
        pem = self._reload()
        credentials = grpc.ssl_channel_credentials(
            pem.authority, pem.key, pem.certificate
        )
        name = make_certificate_name(instance, 'sidecar')
        options = [*CHANNEL_OPTIONS, ('grpc.ssl_target_name_override', name)]
        return grpc.secure_channel(address, credentials, options)

    def add_port(self, server: grpc.Server, address: str) -> int:
        """Make a server listen; clients must present a certificate."""
        credentials = grpc.dynamic_ssl_server_credentials(
            _make_configuration(self._pem),
            self._read_changed,  # type: ignore[arg-type]  # None: no change
            require_client_authentication=True,
        )
        return int(server.add_secure_port(address, credentials))

    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True if the certificate names the entry."""
        # The type stubs declare one value per key; gRPC returns a sequence.
        auth_context: Mapping[str, Any] = context.auth_context()
        entry_name = make_certificate_name(instance, 'entry').encode()
        return entry_name in auth_context.get(_NAMES_KEY, ())

    def _read_changed(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the new TLS configuration, or None if the files are unchanged.

        gRPC calls this for each new connection.
        """
        pem = self._reload()
        with self._lock:
            if pem == self._server_pem:
                return None
            self._server_pem = pem
        return _make_configuration(pem)

    def _reload(self) -> KeyContents:
        """Return the files' contents, or the last usable ones on an error.

        The files don't match while only some of them are replaced.
        """
        try:
            pem = read_keys(self._files)
        except CertificateError as error:
            logger.warning('keeping the previous certificate: {}', error)
            return self._pem
        with self._lock:
            if pem != self._pem:
                logger.info('loaded certificate "{}"', self._files.certificate)
            self._pem = pem
        return pem


def create_server(
    limits: GrpcLimits,
    thread_name: str,
    options: tuple[tuple[str, int], ...] = (),
) -> grpc.Server:
    """Return a gRPC server without ports that keeps to the limits."""
    return grpc.server(
        ThreadPoolExecutor(limits.threads, thread_name),
        options=(
            *options,
            ('grpc.so_reuseport', 0),
            ('grpc.max_allowed_incoming_connections', limits.connections),
            ('grpc.max_concurrent_streams', limits.streams),
            ('grpc.max_receive_message_length', limits.message_bytes),
            # A stream that is refused may still fill its first window.
            ('grpc.http2.lookahead_bytes', WINDOW_BYTES),
            ('grpc.http2.bdp_probe', 0),
        ),
    )


def lengthen_grpc_waits() -> None:
    """Lengthen the polling interval of the gRPC threads that wait.

    By default each idle stream wakes its thread ten times a second. gRPC has
    no option for it; a version without this private constant is unchanged.
    """
    common: Any = getattr(grpc, '_common', None)
    if hasattr(common, 'MAXIMUM_WAIT_TIMEOUT'):
        common.MAXIMUM_WAIT_TIMEOUT = GRPC_WAIT_SECONDS


def make_certificate_name(instance: str, role: str) -> str:
    """Return the DNS name that a daemon's certificate must contain."""
    return f'{instance}.{role}.{DOMAIN}'


def read_keys(files: KeyFiles) -> KeyContents:
    """Return the contents of the files.

    Raises CertificateError if a file is unreadable, if the key does not match
    the certificate, or if the files change while they are read.
    """
    try:
        before = _read(files)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
        pem = _read(files)
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(
            f'certificate "{files.certificate}", key "{files.key}" and '
            f'authority "{files.authority}" are not usable: {error}'
        ) from error
    if pem != before:
        raise CertificateError(f'"{files.certificate}" is being replaced')
    return pem


def _read(files: KeyFiles) -> KeyContents:
    return KeyContents(*(path.read_bytes() for path in files))


def _make_configuration(
    pem: KeyContents,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(pem.key, pem.certificate)], pem.authority
    )
