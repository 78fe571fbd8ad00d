"""Certificates of a small fleet, made for one test."""

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
    """Signs certificates for the instances of a fleet."""

    def __init__(self, folder: Path) -> None:
        """Write the authority's certificate into the folder."""
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _make_name('test authority')
        builder = _begin(self._name, self._name, self._key).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        self._write('authority.pem', builder.sign(self._key, hashes.SHA256()))

    def issue(self, instance: str, role: str, file_name: str = '') -> int:
        """Write certificate and key of an instance; return its serial."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.DNSName(f'{instance}.{role}.toucancourse')]
        certificate = (
            _begin(_make_name(instance), self._name, key)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        path = file_name or instance
        # The key first, so that for a moment the pair does not match.
        self._folder.joinpath(f'{path}.key').write_bytes(
            key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        )
        self._write(f'{path}.pem', certificate)
        return certificate.serial_number

    def _write(self, name: str, certificate: x509.Certificate) -> None:
        path = self._folder / name
        path.write_bytes(certificate.public_bytes(Encoding.PEM))


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _begin(
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
