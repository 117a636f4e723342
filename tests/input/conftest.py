import dataclasses
import datetime
import ipaddress
import json
import os
import socket

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import pytest

from standins import command_line
from standins import processes
from standins import testbed
from tests import small_fleet

NETWORK = 60 + os.getpid() % 190
"""Differs between test runs, as two may run on one machine at once."""
TIMEOUT_S = 10.0
MAX_BODY = 20000
SENDER_TIMEOUT_MS = 700


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """An answer read from a raw connection."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)


def exchange(port, *chunks, timeout_s=TIMEOUT_S):
    """Send raw bytes and return the answer, or None if there is none."""
    with socket.create_connection(("127.0.0.1", port), timeout_s) as sock:
        for chunk in chunks:
            sock.sendall(chunk)
        return read_answer(sock)


def read_answer(sock):
    """Read one answer; return None if the connection ends without one."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    while len(body) < int(headers.get("content-length", 0)):
        body += sock.recv(65536)
    return Answer(status=int(first.split()[1]), headers=headers, body=body)


@pytest.fixture(scope="package")
def started(tmp_path_factory):
    """Return a deployment of two daemons per zone with low limits.

    Its configuration is published and all its hosts serve.
    """
    fleet = command_line.shift_addresses(small_fleet.load(), NETWORK)
    log_dir = tmp_path_factory.mktemp("input")
    with processes.Processes(log_dir=log_dir) as running:
        deployment = testbed.Deployment(running=running, fleet=fleet)
        deployment.start_daemons(
            per_zone=2,
            extra=(
                *("--max-body-bytes", str(MAX_BODY)),
                *("--sender-timeout-ms", str(SENDER_TIMEOUT_MS)),
                *("--threads", "8"),
            ),
        )
        deployment.start_workers()
        deployment.publish()
        deployment.wait_serving()
        yield deployment


@pytest.fixture
def daemon(started):
    """Return a daemon; then check that it answers and no thread failed."""
    yield started.first
    reply = started.first.call("/desk/after")
    assert (reply.status, reply.outcome) == (200, "ran")
    assert started.first.process.alive
    assert "Traceback" not in started.first.process.output()


@pytest.fixture(scope="session")
def certificate(tmp_path_factory):
    """Return paths of a certificate for 127.0.0.1 and its private key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.timezone.utc)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    cert = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(key, hashes.SHA256())
    )
    directory = tmp_path_factory.mktemp("tls")
    paths = directory / "cert.pem", directory / "key.pem"
    paths[0].write_bytes(cert.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return paths
