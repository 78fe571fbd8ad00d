"""Tests of mutual TLS between entries and sidecars."""

import socket
import ssl
import threading
from collections.abc import Iterator
from pathlib import Path

import grpc
import pytest
from cryptography import x509

from standins.calls import wait_until
from toucancourse.protocol import peer_pb2, peer_pb2_grpc
from toucancourse.protocol.transports import (
    CertificateError,
    KeyFiles,
    PlainTransport,
    TlsTransport,
    Transport,
    read_keys,
)
from toucancourse.settings.files import SettingsError, read_settings

from .certificates import Authority
from .fleet import SmallFleet
from .test_settings import GOOD

ROLES = {
    'e1': 'entry',
    'e2': 'entry',
    'm1': 'sidecar',
    'm2': 'sidecar',
    'b1': 'sidecar',
}


class SecureFleet(SmallFleet):
    """The small test fleet with a certificate for each daemon."""

    def _build(self, *arguments: object) -> None:
        self.tls_folder = self.folder
        self.authority = Authority(self.folder)
        for name, role in ROLES.items():
            self.authority.issue(name, role)
        super()._build(*arguments)  # type: ignore[arg-type]

    def files(self, name: str) -> KeyFiles:
        """Return the paths of a daemon's PEM files."""
        return KeyFiles(
            self.folder / 'authority.pem',
            self.folder / f'{name}.pem',
            self.folder / f'{name}.key',
        )


@pytest.fixture(scope='module')
def secure() -> Iterator[SecureFleet]:
    """Return a running fleet with mutual TLS."""
    with SecureFleet(proxy=True) as fleet:
        yield fleet


def say_hello(
    fleet: SecureFleet,
    transport: Transport,
    instance: str = 'e1',
    sidecar: str = 'm1',
) -> grpc.StatusCode | None:
    """Send a Hello to m1; return the error code, or None if it answered."""
    address = fleet.daemons['m1'].address
    hello = peer_pb2.Hello(version=1, instance=instance, incarnation='test')
    with transport.open_channel(sidecar, address) as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        try:
            messages = iter([peer_pb2.EntryMessage(hello=hello)])
            next(iter(stub.Connect(messages, timeout=5)))
        except grpc.RpcError as error:
            return error.code()
    return None


def read_serial(fleet: SecureFleet, name: str) -> int:
    """Return the serial number of a sidecar's certificate on connecting."""
    files = fleet.files('e1')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(files.authority)
    context.load_cert_chain(files.certificate, files.key)
    context.set_alpn_protocols(['h2'])
    host, _, port = fleet.daemons[name].address.rpartition(':')
    with (
        socket.create_connection((host, int(port))) as plain,
        context.wrap_socket(
            plain, server_hostname=f'{name}.sidecar.toucancourse'
        ) as secured,
    ):
        certificate = secured.getpeercert(binary_form=True)
    assert certificate is not None
    return x509.load_der_x509_certificate(certificate).serial_number


class TestPeers:
    """A peer may act only as the instance and role in its certificate."""

    def test_serves(self, secure: SecureFleet) -> None:
        """Chat requests and bookings work as they do without TLS."""
        assert secure.chat('e1').status == 200
        assert secure.book('e2', key='secure').status == 201

    def test_own_certificate(self, secure: SecureFleet) -> None:
        """An entry can open a stream with its own certificate."""
        transport = TlsTransport(secure.files('e1'))
        assert say_hello(secure, transport) is None

    def test_sidecar_as_entry(self, secure: SecureFleet) -> None:
        """A sidecar can't act as an entry with its certificate."""
        transport = TlsTransport(secure.files('m2'))
        for name in ('e1', 'm2'):
            status_code = say_hello(secure, transport, name)
            assert status_code is grpc.StatusCode.PERMISSION_DENIED

    def test_other_entry(self, secure: SecureFleet) -> None:
        """An entry can't act as another entry with its certificate."""
        transport = TlsTransport(secure.files('e2'))
        status_code = say_hello(secure, transport, 'e1')
        assert status_code is grpc.StatusCode.PERMISSION_DENIED

    def test_other_sidecar(self, secure: SecureFleet) -> None:
        """An entry rejects the certificate of another sidecar."""
        transport = TlsTransport(secure.files('e1'))
        status_code = say_hello(secure, transport, sidecar='m2')
        assert status_code is grpc.StatusCode.UNAVAILABLE

    def test_plaintext(self, secure: SecureFleet) -> None:
        """A peer without TLS can't connect."""
        status_code = say_hello(secure, PlainTransport())
        assert status_code is grpc.StatusCode.UNAVAILABLE

    def test_other_authority(
        self,
        secure: SecureFleet,
        tmp_path: Path,
    ) -> None:
        """A certificate signed by another authority is rejected."""
        Authority(tmp_path).issue('e1', 'entry')
        forged = KeyFiles(
            secure.folder / 'authority.pem',
            tmp_path / 'e1.pem',
            tmp_path / 'e1.key',
        )
        status_code = say_hello(secure, TlsTransport(forged))
        assert status_code is grpc.StatusCode.UNAVAILABLE


class TestRotation:
    """Certificates are rotated without a restart."""

    def test_under_traffic(self, secure: SecureFleet) -> None:
        """No request fails; new streams use the new certificates."""
        stop = threading.Event()
        statuses: list[int] = []

        def ask(entry: str) -> None:
            while not stop.is_set():
                statuses.append(secure.chat(entry, max_tokens=3).status)

        callers = [
            threading.Thread(target=ask, args=(entry,))
            for entry in ('e1', 'e2')
        ]
        for caller in callers:
            caller.start()
        serials = {
            name: secure.authority.issue(name, role)
            for name, role in ROLES.items()
        }
        for name in ('m1', 'm2', 'b1'):
            assert read_serial(secure, name) == serials[name]
        secure.set_proxy_fault('peer:*:m1', 'cut')
        secure.set_proxy_fault('peer:*:m1', 'none')
        wait_until(secure.all_connected, 20, 'links with new certificates')
        answered = len(statuses)
        wait_until(lambda: len(statuses) > answered + 10, 20, 'more answers')
        stop.set()
        for caller in callers:
            caller.join()
        assert set(statuses) == {200}

    def test_half_replaced(self, secure: SecureFleet) -> None:
        """While key and certificate don't match, the previous pair is used."""
        key = secure.folder / 'm2.key'
        good = key.read_bytes()
        before = read_serial(secure, 'm2')
        key.write_bytes((secure.folder / 'm1.key').read_bytes())
        assert read_serial(secure, 'm2') == before
        key.write_bytes(good)
        assert (
            'keeping the previous certificate'
            in secure.daemons['m2'].log_text()
        )

    def test_no_secret_in_logs(self, secure: SecureFleet) -> None:
        """The logs contain no line of a private key."""
        for name in ROLES:
            lines = (secure.folder / f'{name}.key').read_text().splitlines()
            logged = secure.daemons[name].log_text()
            assert not any(line in logged for line in lines[1:-1])


class TestFiles:
    """Unusable files or incomplete settings are rejected at start."""

    def test_wrong_key(self, tmp_path: Path) -> None:
        """The error names the files when the key does not match."""
        authority = Authority(tmp_path)
        authority.issue('m1', 'sidecar')
        authority.issue('m2', 'sidecar')
        files = KeyFiles(
            tmp_path / 'authority.pem',
            tmp_path / 'm1.pem',
            tmp_path / 'm2.key',
        )
        with pytest.raises(CertificateError) as raised:
            read_keys(files)
        assert 'm2.key' in raised.value.text

    def test_missing_setting(self, tmp_path: Path) -> None:
        """Section [tls] with only some of its keys is rejected."""
        path = tmp_path / 'm1.ini'
        path.write_text(f'{GOOD}\n[tls]\nkey_file = m1.key\n')
        with pytest.raises(SettingsError) as raised:
            read_settings(str(path))
        assert 'key "authority_file" is missing' in raised.value.text
