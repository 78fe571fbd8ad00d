"""Test certificates for a small fleet."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

DAY = timedelta(days=1)


class Authority:
    """A certificate authority for the instances of a fleet."""

    def __init__(self, folder: Path) -> None:
        """Create a key and write the authority's certificate to the folder."""
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _make_name('test authority')
        builder = _start_builder(
            self._name, self._name, self._key
        ).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        self._write('authority.pem', builder.sign(self._key, hashes.SHA256()))

    def issue(self, instance: str, role: str, file_name: str = '') -> int:
        """Write key and certificate of an instance; return its serial."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.DNSName(f'{instance}.{role}.toucancourse')]
        certificate = (
            _start_builder(_make_name(instance), self._name, key)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        stem = file_name or instance
        # The key is written first, so key and certificate briefly mismatch, as
        # they may during a rotation.
        self._folder.joinpath(f'{stem}.key').write_bytes(
            key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        )
        self._write(f'{stem}.pem', certificate)
        return certificate.serial_number

    def _write(self, name: str, certificate: x509.Certificate) -> None:
        path = self._folder / name
        path.write_bytes(certificate.public_bytes(Encoding.PEM))


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _start_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
) -> x509.CertificateBuilder:
    now = datetime.now(tz=UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
    )
