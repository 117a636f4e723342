import pathlib
import socket

import pytest

from azurewood.conf import kinds
from azurewood.log import metrics
from azurewood.log import reference

DOCS = pathlib.Path(__file__).parents[2] / "docs" / "reference"
TIMEOUT_S = 5.0


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(TIMEOUT_S)
        yield sock


def client(port):
    return metrics.Metrics(
        address=kinds.Address(host="127.0.0.1", port=port),
        zone="nizwa-1",
        daemon="entry.1",
    )


def test_metrics_are_sent_under_their_declared_names(server):
    sender = client(server.getsockname()[1])
    sender.count(metrics.REQUESTS, "certs", "not run:x|c", by=2)
    sender.gauge(metrics.QUEUED, value=3)
    sender.time(metrics.ROLL_OUT_TIME, ms=1.5)
    scope = "azurewood.nizwa-1.entry_1"
    assert [server.recv(1000).decode() for _ in range(3)] == [
        f"{scope}.requests.certs.not_run_x_c:2|c",
        f"{scope}.queued:3|g",
        f"{scope}.roll_out_time:1.500000|ms",
    ]
    sender.close()
    sender.gauge(metrics.QUEUED, value=3)


def test_missing_receiver_label_or_address_raises_nothing(server):
    sender = client(1)
    for _ in range(3):
        sender.count(metrics.REQUESTS, "certs", "ran")
    sender.count(metrics.REQUESTS)
    off = metrics.Metrics(address=None, zone="z", daemon="d")
    off.count(metrics.REQUESTS, "certs", "ran")
    off.close()


def test_the_socket_does_not_block(server):
    sender = client(server.getsockname()[1])
    assert sender._client._sock.getblocking() is False
    sender.close()


def test_the_committed_page_equals_the_generated_page():
    committed = (DOCS / "metrics.md").read_text()
    assert committed == reference.page()
