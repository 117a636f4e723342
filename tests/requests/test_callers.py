"""What callers get of one daemon with real processes."""

import socket

import pytest

from standins import processes
from tests.requests import deployment as deployments

SLOTS = 8


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with processes.Processes(log_dir=tmp_path_factory.mktemp("one")) as all_:
        yield deployments.Deployment(all_, net=57, hosts=1).start(1)


def paths(fleet):
    return [entry["path"] for entry in fleet.executions()]


def test_a_caller_that_left_is_not_served(fleet):
    daemon = fleet.daemons[0]
    calls = [
        deployments.later(daemon.call, "/busy", Work_Ms=1500)
        for _ in range(SLOTS)
    ]
    processes.wait_for(
        lambda: fleet.control().get("/control/state")["busy_slots"] == SLOTS,
        what="all slots busy",
    )
    with socket.create_connection(("127.0.0.1", daemon.port)) as conn:
        conn.sendall(b"GET /certs/gone HTTP/1.1\r\nHost: x\r\n\r\n")
        processes.wait_for(
            lambda: daemon.dump()["waiting"] == 1, what="it waits"
        )
    processes.wait_for(lambda: daemon.dump()["waiting"] == 0, what="left")
    assert {fut.result().outcome for fut in calls} == {"ran"}
    assert daemon.call("/next").outcome == "ran"
    assert "/gone" not in paths(fleet)
