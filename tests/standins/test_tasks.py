import concurrent.futures
import http.client
import json
import socket

import pytest

from standins import processes
from tests.standins import conftest

ADDRESS = conftest.ADDRESS


def get(port, path="/", **headers):
    conn = http.client.HTTPConnection(ADDRESS, port, timeout=30)
    try:
        conn.request(
            "GET",
            path,
            headers={k.replace("_", "-"): v for k, v in headers.items()},
        )
        return json.loads(conn.getresponse().read())
    finally:
        conn.close()


def busy_slots(fleet):
    return fleet.control.get("/control/state")["busy_slots"]


def test_start_is_idempotent(fleet):
    port = fleet.start_task("t1")
    other = processes.free_port(ADDRESS)
    for _ in range(3):
        again = fleet.platform.put(
            "/v1/tasks/t1",
            host="grind-1",
            service="quoting",
            address=ADDRESS,
            port=other,
            lease_ms=60_000,
        )
        assert again["task"]["state"] == "running"
    state = fleet.control.get("/control/state")
    assert state["tasks"] == {"t1": "running"}
    assert get(port)["service"] == "quoting"
    assert not processes.is_listening(ADDRESS, other)


def test_a_stopped_id_never_starts_again(fleet):
    port = fleet.start_task("t1")
    fleet.platform.post("/v1/tasks/t1/stop", grace_ms=0)
    fleet.wait_state("t1", "stopped")
    fleet.platform.put(
        "/v1/tasks/t1",
        host="grind-1",
        service="quoting",
        address=ADDRESS,
        port=port,
        lease_ms=60_000,
    )
    assert fleet.task("t1")["state"] == "stopped"
    assert not processes.is_listening(ADDRESS, port)


def test_lease_expiry_closes_the_port_and_renewal_keeps_it_open(fleet):
    kept = fleet.start_task("kept", lease_ms=60_000)
    port = fleet.start_task("lapsing", lease_ms=500)
    fleet.wait_state("lapsing", "stopped")
    assert fleet.task("lapsing")["reason"] == "lease lapsed"
    assert not processes.is_listening(ADDRESS, port)
    assert processes.is_listening(ADDRESS, kept)
    renewal = fleet.platform.post(
        "/v1/leases", ids=["kept", "lapsing", "never"], lease_ms=60_000
    )
    assert renewal["lapsed"] == ["lapsing", "never"]


def test_graceful_stop_interrupts_no_request(fleet):
    port = fleet.start_task("t1")
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = [
            pool.submit(get, port, f"/{n}", Work_Ms="400") for n in range(12)
        ]
        processes.wait_for(lambda: busy_slots(fleet) == 8, what="8 busy")
        state = fleet.control.get("/control/state")
        assert state["connections"] == 12
        fleet.platform.post("/v1/tasks/t1/stop", grace_ms=20_000)
        processes.wait_for(
            lambda: not processes.is_listening(ADDRESS, port), what="closed"
        )
        answers = [fut.result() for fut in futures]
    assert [a["path"] for a in answers] == [f"/{n}" for n in range(12)]
    fleet.wait_state("t1", "stopped")
    assert {e["ending"] for e in fleet.executions()} == {"finished"}


def test_a_stop_interrupts_requests_after_the_grace_period(fleet):
    port = fleet.start_task("t1")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(get, port, Work_Ms="20000")
        processes.wait_for(lambda: busy_slots(fleet) == 1, what="1 busy")
        fleet.platform.post("/v1/tasks/t1/stop", grace_ms=100)
        with pytest.raises(OSError):
            fut.result()
    fleet.wait_state("t1", "stopped")
    assert [e["ending"] for e in fleet.executions()] == ["cut"]


def test_65th_connection_is_closed_at_once(fleet):
    port = fleet.start_task("t1")
    conns = [socket.create_connection((ADDRESS, port)) for _ in range(64)]
    processes.wait_for(
        lambda: fleet.control.get("/control/state")["connections"] == 64,
        what="64 connections",
    )
    with socket.create_connection((ADDRESS, port), timeout=10) as extra:
        assert extra.recv(1) == b""
    conns.pop().close()
    processes.wait_for(
        lambda: fleet.control.get("/control/state")["connections"] == 63,
        what="one closed",
    )
    assert get(port)["host"] == "grind-1"
    for conn in conns:
        conn.close()


def test_9th_request_waits(fleet):
    port = fleet.start_task("t1")
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        futures = [
            pool.submit(get, port, f"/{n}", Work_Ms="1000") for n in range(9)
        ]
        processes.wait_for(
            lambda: fleet.control.get("/control/state")["connections"] == 9,
            what="9 connections",
        )
        processes.wait_for(lambda: busy_slots(fleet) == 8, what="8 busy")
        assert len(fleet.executions()) == 8
        for fut in futures:
            fut.result()
    executions = fleet.executions()
    assert len(executions) == 9
    first_ms = executions[0]["started_ms"]
    assert executions[8]["started_ms"] - first_ms >= 900


def test_old_connections_get_no_answer_while_new_ones_work(fleet):
    port = fleet.start_task("t1")
    old = http.client.HTTPConnection(ADDRESS, port, timeout=0.5)
    old.request("GET", "/before")
    assert json.loads(old.getresponse().read())["path"] == "/before"
    fleet.control.post("/control/behaviour", silent="old")
    old.request("GET", "/after")
    with pytest.raises(TimeoutError):
        old.getresponse()
    old.close()
    assert get(port, "/new")["path"] == "/new"
    paths = [e["path"] for e in fleet.executions()]
    assert paths == ["/before", "/new"]


def test_the_worker_starts_an_id_once(fleet):
    port = fleet.start_task("t1")
    other = processes.free_port(ADDRESS)
    path = "/control/tasks/t1"
    fleet.control.put(path, service="quoting", port=other)
    assert processes.is_listening(ADDRESS, port)
    assert not processes.is_listening(ADDRESS, other)
    fleet.platform.post("/v1/tasks/t1/stop", grace_ms=0)
    fleet.wait_state("t1", "stopped")
    fleet.control.put(path, service="quoting", port=other)
    assert not processes.is_listening(ADDRESS, other)
