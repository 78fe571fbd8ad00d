"""How peers reach each other: in the clear, or with mutual TLS."""

import ssl
import threading
from abc import ABC, abstractmethod
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import grpc
from loguru import logger

from ..errors import CourseError

#: Last part of the names in certificates: INSTANCE.ROLE.toucancourse.
DOMAIN: Final = 'toucancourse'
MAX_MESSAGE_BYTES: Final = 1_073_741_824
CHANNEL_OPTIONS: Final = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.use_local_subchannel_pool', 1),
)
#: Longest sleep of a thread of gRPC that waits for a message. Messages end it
#: at once; gRPC's own 0.1 s lets a main thread see signals, which here never
#: waits for a stream.
WAIT_SECONDS: Final = 10.0
#: Names of a peer's certificate in gRPC's authentication context.
_NAMES_KEY: Final = 'x509_subject_alternative_name'


class CertificateError(CourseError):
    """Certificate, key and authority are not readable or don't match."""

    code = 'bad_certificate'


class Transport(ABC):
    """Opens channels to sidecars and serves entries."""

    @abstractmethod
    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a channel to the sidecar of that instance name."""

    @abstractmethod
    def add_port(self, server: grpc.Server, address: str) -> int:
        """Let a server listen; return its port, 0 if that failed."""

    @abstractmethod
    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True if a caller may act as the entry of that name."""


class PlainTransport(Transport):
    """No encryption; every peer is believed."""

    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a channel in the clear."""
        return grpc.insecure_channel(address, list(CHANNEL_OPTIONS))

    def add_port(self, server: grpc.Server, address: str) -> int:
        """Let a server listen in the clear."""
        return int(server.add_insecure_port(address))

    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True."""
        return True


class KeyFiles(NamedTuple):
    """PEM files of one daemon."""

    authority: Path
    certificate: Path
    key: Path


class KeyTexts(NamedTuple):
    """Contents of the PEM files."""

    authority: bytes
    certificate: bytes
    key: bytes


class TlsTransport(Transport):
    """Mutual TLS with certificates that name an instance and its role.

    The files are read again for each new connection, so certificates are
    replaced without a restart; open streams go on.
    """

    def __init__(self, files: KeyFiles) -> None:
        """Read the files.

        Raises CertificateError.
        """
        self._files = files
        self._lock = threading.Lock()
        self._texts = read_keys(files)
        #: What the server was last told to use.
        self._served = self._texts

    def open_channel(self, instance: str, address: str) -> grpc.Channel:
        """Return a channel that only that instance's sidecar can serve."""
        texts = self._refresh()
        credentials = grpc.ssl_channel_credentials(
            texts.authority, texts.key, texts.certificate
        )
        name = make_name(instance, 'sidecar')
        options = [*CHANNEL_OPTIONS, ('grpc.ssl_target_name_override', name)]
        return grpc.secure_channel(address, credentials, options)

    def add_port(self, server: grpc.Server, address: str) -> int:
        """Let a server listen for peers with a certificate."""
        credentials = grpc.dynamic_ssl_server_credentials(
            _configure(self._texts),
            self._fetch,  # type: ignore[arg-type]  # None: no change
            require_client_authentication=True,
        )
        return int(server.add_secure_port(address, credentials))

    def is_entry(self, context: grpc.ServicerContext, instance: str) -> bool:
        """Return True if the certificate names the entry."""
        # The stubs say one value a key; gRPC gives a sequence.
        found: Mapping[str, Any] = context.auth_context()
        wanted = make_name(instance, 'entry').encode()
        return wanted in found.get(_NAMES_KEY, ())

    def _fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the files' contents for a new connection if they changed."""
        texts = self._refresh()
        with self._lock:
            if texts == self._served:
                return None
            self._served = texts
        return _configure(texts)

    def _refresh(self) -> KeyTexts:
        """Return the newest good contents; half-replaced files are not."""
        try:
            texts = read_keys(self._files)
        except CertificateError as error:
            logger.warning('the former certificate stays: {}', error)
            return self._texts
        with self._lock:
            if texts != self._texts:
                logger.info('certificate "{}" read', self._files.certificate)
            self._texts = texts
        return texts


def relax_waits() -> None:
    """Let idle streams sleep: each wakes its thread ten times a second else.

    gRPC has no option for it; a version without the constant keeps its own.
    """
    common: Any = getattr(grpc, '_common', None)
    if hasattr(common, 'MAXIMUM_WAIT_TIMEOUT'):
        common.MAXIMUM_WAIT_TIMEOUT = WAIT_SECONDS


def make_name(instance: str, role: str) -> str:
    """Return the DNS name that a daemon's certificate holds."""
    return f'{instance}.{role}.{DOMAIN}'


def read_keys(files: KeyFiles) -> KeyTexts:
    """Return the contents of the files.

    Raises CertificateError if one is not readable or the key is of another
    certificate.
    """
    try:
        before = _read(files)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
        texts = _read(files)
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(
            f'certificate "{files.certificate}", key "{files.key}" and '
            f'authority "{files.authority}" are not usable: {error}'
        ) from error
    if texts != before:
        raise CertificateError(f'"{files.certificate}" is being replaced')
    return texts


def _read(files: KeyFiles) -> KeyTexts:
    return KeyTexts(*(path.read_bytes() for path in files))


def _configure(texts: KeyTexts) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(texts.key, texts.certificate)], texts.authority
    )
