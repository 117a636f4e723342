"""Failed starts, wrong keys, TLS, metrics and an unavailable platform."""

import http.client
import json
import re
import socket
import ssl

import pynng
import pytest

from azurewood.operators import client as clients
from azurewood.operators import exceptions
from azurewood.peers import messages
from azurewood.state import effects
from azurewood.state import records
from standins import processes
from standins import testbed
from tests.input import conftest
from tests import small_fleet

MAX_DATAGRAMS = 400
HANDSHAKE_S = 8.0
"""Shorter than the sender timeout, which bounds a stalled handshake."""
ENV = {
    "AZUREWOOD_OPERATORS_TOKEN": testbed.OPERATORS_TOKEN,
    "AZUREWOOD_PEERS_KEY": testbed.PEERS_KEY,
}


@pytest.fixture
def running(tmp_path):
    with processes.Processes(log_dir=tmp_path) as started:
        yield started


def ports(*names):
    return {name: processes.free_port() for name in names}


def start(running, *, platform, taken=None, env=None):
    """Start a daemon; return its process and its ports."""
    found = ports("listen", "operators", "peers") | (taken or {})
    process = running.start(
        "entry",
        *("azurewood", "entry", "--name", "volos-9", "--zone", "volos"),
        *("--listen", f"127.0.0.1:{found['listen']}"),
        *("--operators-listen", f"127.0.0.1:{found['operators']}"),
        *("--peers-listen", f"tcp://127.0.0.1:{found['peers']}"),
        *("--platform-url", platform),
        env=ENV | (env or {}),
    )
    return process, found


def wait_until_listening(process, port):
    processes.wait_for(
        lambda: not process.alive or processes.is_listening("127.0.0.1", port),
        what=f"{process.name} listens on {port}",
    )
    assert process.alive, process.output()


@pytest.mark.parametrize("name", ["listen", "operators", "peers"])
def test_a_port_in_use_makes_the_daemon_exit_with_1(running, name):
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        taken = {name: holder.getsockname()[1]}
        process, _ = start(running, platform="http://127.0.0.1:9", taken=taken)
        assert process.popen.wait(15.0) == 1
    output = process.output()
    assert "cannot listen on" in output
    assert str(taken[name]) in output
    assert "Traceback" not in output


def test_invalid_settings_make_the_daemon_exit_with_2(running):
    process, _ = start(
        running,
        platform="nowhere",
        env={
            "AZUREWOOD_THREADS": "none",
            "AZUREWOOD_PEERS_KEY": "short-secret",
        },
    )
    assert process.popen.wait(15.0) == 2
    assert "3 errors" in process.output()
    assert "short-secret" not in process.output()


def probe(port, path):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        conn.request("GET", path)
        answer = conn.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        conn.close()


def test_a_daemon_waits_for_an_unavailable_platform(running):
    port = processes.free_port()
    process, found = start(running, platform=f"http://127.0.0.1:{port}")
    processes.wait_for(
        lambda: probe(found["operators"], "/healthz")[0] == 200,
        what="it is live",
    )
    status, answer = probe(found["operators"], "/readyz")
    assert status == 503
    assert "the platform's log cannot be read" in answer["reasons"]
    reply = conftest.exchange(
        found["listen"], b"GET /desk/ HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    assert reply.status == 503
    assert reply.headers["azurewood-outcome"] == "not-run"
    processes.wait_for(
        lambda: "log_unreachable" in process.output(), what="it says so"
    )
    running.start_platform(port=port)
    url = f"http://127.0.0.1:{found['operators']}"
    client = clients.OperatorsClient(
        daemons=[url], token=testbed.OPERATORS_TOKEN
    )
    processes.wait_for(
        lambda: client.status().log_reachable, what="it reads the log"
    )
    publish(client)
    processes.wait_for(
        lambda: probe(found["operators"], "/readyz")[0] == 200,
        what="it is ready",
    )
    assert process.terminate() == 0


def publish(client):
    resolved = client.propose(
        records.Proposal(
            object=records.FLEET,
            base=0,
            change=records.PublishFleet(fleet=small_fleet.load()),
        )
    )
    assert resolved.resolution == effects.Resolution.ACCEPTED


def test_frames_with_a_wrong_key_are_dropped_and_counted(started):
    daemon = started.first
    before = daemon.operate("GET", "/v1/dump")
    beat = messages.Heartbeat(
        zone="volos",
        address="tcp://127.0.0.1:9",
        boot=1,
        incarnation="",
        offset=0,
        revision=1000000,
        log_reachable=True,
    )
    envelope = messages.Envelope(sender="stranger", message=beat)
    good = messages.encode(envelope, key=b"another-key-of-some-length")
    with pynng.Push0(send_timeout=5000) as push:
        push.dial(before["me"]["address"], block=True)
        for frame in (good, b"", b"short", b"\x00" * 5000):
            push.send(frame)
        processes.wait_for(
            lambda: (
                daemon.operate("GET", "/v1/dump")["counters"][
                    "peer_frames_refused"
                ]
                == before["counters"]["peer_frames_refused"] + 4
            ),
            what="four frames are counted",
        )
    assert "stranger" not in daemon.operate("GET", "/v1/dump")["peers"]


def test_both_interfaces_serve_tls(running, certificate):
    _, platform = running.start_platform()
    cert, key = map(str, certificate)
    process, found = start(
        running,
        platform=platform,
        env={"AZUREWOOD_TLS_CERTIFICATE": cert, "AZUREWOOD_TLS_KEY": key},
    )
    trusting = ssl.create_default_context(cafile=cert)
    for name, path in (("operators", "/healthz"), ("listen", "/desk/")):
        wait_until_listening(process, found[name])
        conn = http.client.HTTPSConnection(
            "127.0.0.1", found[name], context=trusting, timeout=5.0
        )
        conn.request("GET", path)
        assert conn.getresponse().status in (200, 503)
        conn.close()
    url = f"https://127.0.0.1:{found['operators']}"
    token = testbed.OPERATORS_TOKEN
    good = clients.OperatorsClient(
        daemons=[url], token=token, ca_certificate=cert
    )
    assert good.status().daemon == "volos-9"
    distrusting = clients.OperatorsClient(daemons=[url], token=token)
    with pytest.raises(exceptions.DaemonsUnreachable):
        distrusting.status()


def test_a_stalled_handshake_blocks_no_other_client(running, certificate):
    _, platform = running.start_platform()
    cert, key = map(str, certificate)
    process, found = start(
        running,
        platform=platform,
        env={"AZUREWOOD_TLS_CERTIFICATE": cert, "AZUREWOOD_TLS_KEY": key},
    )
    address = ("127.0.0.1", found["operators"])
    wait_until_listening(process, found["operators"])
    stalled = [socket.create_connection(address, 5.0) for _ in range(3)]
    try:
        conn = http.client.HTTPSConnection(
            *address,
            context=ssl.create_default_context(cafile=cert),
            timeout=HANDSHAKE_S,
        )
        conn.request("GET", "/healthz")
        assert conn.getresponse().status == 200
        conn.close()
    finally:
        for sock in stalled:
            sock.close()


def test_metrics_and_logs_of_a_running_daemon(running):
    _, platform = running.start_platform()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10.0)
        process, found = start(
            running,
            platform=platform,
            env={"AZUREWOOD_STATSD": f"127.0.0.1:{server.getsockname()[1]}"},
        )
        processes.wait_for(
            lambda: probe(found["operators"], "/healthz"), what="it is live"
        )
        client = clients.OperatorsClient(
            daemons=[f"http://127.0.0.1:{found['operators']}"],
            token=testbed.OPERATORS_TOKEN,
        )
        processes.wait_for(
            lambda: client.status().log_reachable, what="it reads the log"
        )
        publish(client)
        conftest.exchange(
            found["listen"], b"GET /nobody HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        wanted = {
            r"requests\.other\.not-run:1\|c",
            r"request_time\.other\.not-run:[\d.]+\|ms",
            r"roll_out_time:[\d.]+\|ms",
            r"revision:[1-9]\d*\|g",
            r"log_reachable:1\|g",
            r"peers:0\|g",
            r"queued:0\|g",
            r"in_flight\.crew:0\|g",
            r"hosts\.crew\.\w+:[12]\|g",
        }
        for _ in range(MAX_DATAGRAMS):
            text = server.recv(1000).decode()
            name = text.removeprefix("azurewood.volos.volos-9.")
            wanted = {p for p in wanted if not re.fullmatch(p, name)}
            if not wanted:
                break
        assert not wanted
    for line in process.output().splitlines():
        fields = json.loads(line)
        assert (fields["zone"], fields["daemon"]) == ("volos", "volos-9")
    assert testbed.OPERATORS_TOKEN not in process.output()
