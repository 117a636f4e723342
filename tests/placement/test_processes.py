"""Test of failing hosts and a killed worker, with real processes."""

from standins import processes
from tests.moves import deployment

HOSTS = {"h1": "quoting", "h2": "quoting", "h3": "quoting", "h4": "certs"}


def test_bad_hosts_cancelled_jobs_and_a_worker_that_returns(tmp_path):
    with processes.Processes(log_dir=tmp_path) as running:
        dep = deployment.Deployment(running=running, hosts=HOSTS)
        dep.publish()
        daemon = dep.daemons[0]
        dep.controls["h1"].post("/control/behaviour", fail_start=True)
        tasks = {name: daemon.host(name)["task"] for name in HOSTS}
        for task in tasks.values():
            dep.platform.post(f"/v1/tasks/{task}/stop", grace_ms=1000)
        processes.wait_for(
            lambda: daemon.host("h1")["phase"] == "quarantined",
            what="the bad host is quarantined",
        )
        good = [name for name in HOSTS if name != "h1"]
        wait_serving(daemon, good, unlike=tasks)
        tasks = {name: daemon.host(name)["task"] for name in HOSTS}
        dep.worker.kill()
        processes.wait_for(
            lambda: not usable(daemon, "h2"), what="h2 counts as lost"
        )
        assert daemon.host("h2")["pool"] == "quoting"
        dep.start_worker()
        wait_serving(daemon, good, unlike=tasks)
        assert daemon.call("quoting") == (200, "ran")


def usable(daemon, host):
    return daemon.operate("GET", "/v1/dump")["hosts"][host]["usable"]


def wait_serving(daemon, hosts, *, unlike):
    def is_done():
        return all(
            daemon.host(name)["phase"] == "serving"
            and daemon.host(name)["task"] != unlike[name]
            and usable(daemon, name)
            for name in hosts
        )

    processes.wait_for(is_done, what="jobs run under new ids")
