import http.client

import pytest

from standins import client
from standins import processes


def test_trimmed_offset_answers_410(fleet):
    for _ in range(3):
        fleet.platform.append("s", b"x")
    fleet.platform.post("/v1/streams/s/trim", before=2)
    with pytest.raises(client.StatusError) as caught:
        fleet.platform.get("/v1/streams/s/records?from=1")
    assert caught.value.status == 410
    assert fleet.platform.get("/v1/streams/s/records?from=2")["first"] == 2


def test_lost_answer_took_effect_and_failed_append_did_not(fleet):
    fleet.platform.post("/v1/faults", lose_answers=1)
    with pytest.raises(http.client.HTTPException):
        fleet.platform.append("s", b"lost answer")
    fleet.platform.post("/v1/faults", append_fails=1)
    with pytest.raises(client.StatusError) as caught:
        fleet.platform.append("s", b"failed")
    assert caught.value.status == 503
    fleet.platform.append("s", b"answered")
    page = fleet.platform.get("/v1/streams/s/records?from=0")
    data = [record["data"] for record in page["records"]]
    assert data == [b"lost answer", b"answered"]


def test_downtime_ends_long_polls_but_faults_can_be_set(fleet):
    address = fleet.platform.url.removeprefix("http://")
    polls = []
    for _ in range(20):
        conn = http.client.HTTPConnection(address, timeout=15)
        conn.request("GET", "/v1/streams/s/records?from=0&wait_ms=25000")
        polls.append(conn)
    # All polls were sent; this answer shows that other calls still succeed.
    assert fleet.platform.get("/v1/hosts")["hosts"]
    fleet.platform.post("/v1/faults", down=True)
    assert [conn.getresponse().status for conn in polls] == [503] * 20
    for conn in polls:
        conn.close()
    fleet.platform.post("/v1/faults", down=False)
    fleet.platform.append("s", b"x")


def test_a_partitioned_zone_gets_no_answer(fleet):
    fleet.platform.post("/v1/faults", cut_zones=["nizwa-b"])
    path = "/v1/hosts"
    with pytest.raises(http.client.HTTPException):
        fleet.platform.call("GET", path, headers={"Azurewood-Zone": "nizwa-b"})
    other = {"Azurewood-Zone": "nizwa-a"}
    assert fleet.platform.call("GET", path, headers=other)["hosts"]


def test_abandoned_calls_to_a_hanging_platform_free_threads(tmp_path):
    with processes.Processes(log_dir=tmp_path) as started:
        _, url = started.start_platform("--threads", "3")
        platform = client.Client(url=url, timeout_s=10)
        platform.post("/v1/faults", hang=True)
        impatient = client.Client(url=url, timeout_s=0.2)
        for _ in range(6):
            with pytest.raises(TimeoutError):
                impatient.get("/v1/hosts")
        platform.post("/v1/faults", hang=False)
        assert platform.get("/v1/hosts")["hosts"] == []


def host_state(fleet):
    return fleet.platform.get("/v1/hosts")["hosts"][0]["state"]


def test_host_list_and_tasks_follow_a_dead_worker(fleet):
    fleet.start_task("t1")
    assert host_state(fleet) == "live"
    fleet.worker.kill()
    processes.wait_for(lambda: host_state(fleet) == "gone", what="host gone")
    assert fleet.task("t1")["state"] == "failed"


def test_host_paused_and_resumed_keeps_its_task(fleet):
    port = fleet.start_task("t1")
    fleet.worker.pause()
    processes.wait_for(lambda: host_state(fleet) == "gone", what="host gone")
    fleet.worker.resume()
    processes.wait_for(lambda: host_state(fleet) == "live", what="host back")
    fleet.wait_state("t1", "running")
    assert processes.is_listening("127.1.77.1", port)


def test_reboot_stops_what_runs_and_comes_back(fleet):
    fleet.start_task("t1")
    seen = []
    fleet.platform.post("/v1/hosts/grind-1/reboot")

    def is_live_again():
        seen.append(host_state(fleet))
        return "gone" in seen and seen[-1] == "live"

    processes.wait_for(is_live_again, what="rebooted")
    order = list(dict.fromkeys(seen))
    assert order in (["live", "leaving", "gone"], ["live", "gone"])
    assert fleet.task("t1")["state"] in ("stopped", "failed")


def test_stop_requested_while_a_host_is_gone_takes_effect_later(fleet):
    port = fleet.start_task("t1")
    fleet.worker.pause()
    processes.wait_for(lambda: host_state(fleet) == "gone", what="host gone")
    fleet.platform.post("/v1/tasks/t1/stop", grace_ms=0)
    fleet.worker.resume()
    fleet.wait_state("t1", "stopped")
    assert not processes.is_listening("127.1.77.1", port)


def test_start_in_a_partitioned_zone_takes_effect_later(fleet):
    port = processes.free_port("127.1.77.1")
    fleet.platform.post("/v1/faults", cut_zones=["nizwa-a"])
    fleet.platform.put(
        "/v1/tasks/t1",
        host="grind-1",
        service="quoting",
        port=port,
        lease_ms=60_000,
    )
    processes.wait_for(lambda: host_state(fleet) == "gone", what="host gone")
    assert not processes.is_listening("127.1.77.1", port)
    fleet.platform.post("/v1/faults", cut_zones=[])
    fleet.wait_state("t1", "running")
    assert processes.is_listening("127.1.77.1", port)
