"""A maintenance wave over a pool under traffic, with real processes."""

import concurrent.futures
import threading

import pytest

from azurewood.fleet import model
from azurewood.state import records
from standins import processes
from tests.moves import deployment

HOSTS = {"h1": "quoting", "h2": "quoting", "h3": "quoting"}
BASELINE = ("tests.maintenance.baseline_entry", "entry")
REBOOT_MS = 800
DEADLINE_MS = 900


def preset(at_once, spare_share):
    return model.Preset(
        name="ordinary",
        maintenance=model.Maintenance(
            at_once=at_once,
            min_budget=0.0,
            spare_share=spare_share,
            drain_ms=5000,
        ),
    )


def run_wave(tmp_path, module, rules):
    """Reboot every host under traffic; return statuses and cut requests."""
    done = threading.Event()
    with (
        processes.Processes(log_dir=tmp_path) as running,
        concurrent.futures.ThreadPoolExecutor(6) as pool,
    ):
        dep = deployment.Deployment(
            running=running,
            hosts=HOSTS,
            preset=rules,
            module=module,
            reboot_ms=REBOOT_MS,
        )
        dep.publish()
        callers = [
            pool.submit(call_until, done, dep.daemons[n % 2]) for n in range(6)
        ]
        daemon = dep.daemons[0]
        try:
            start_wave(daemon)
            processes.wait_for(
                lambda: daemon.agreed()["waves"]["w1"]["phase"] == "done",
                what="the wave is done",
                timeout_s=30.0,
            )
        finally:
            done.set()
        statuses = [status for fut in callers for status in fut.result(20)]
        cut = [
            entry
            for host in HOSTS
            for entry in dep.executions(host)
            if entry["ending"] == "cut"
        ]
        tasks = {name: daemon.host(name)["task"] for name in HOSTS}
    return statuses, cut, tasks


def start_wave(daemon):
    change = records.StartWave(hosts=tuple(HOSTS))
    assert daemon.propose("wave:w1", 0, change).resolution == "accepted"


def call_until(done, daemon):
    statuses = []
    while not done.is_set():
        status, _ = daemon.call(
            "quoting", Work_Ms=100, Azurewood_Deadline_Ms=DEADLINE_MS
        )
        statuses.append(status)
    return statuses


def test_gated_wave_fails_and_cuts_no_request(tmp_path):
    statuses, cut, tasks = run_wave(
        tmp_path, deployment.ENTRY, preset(1, 0.05)
    )
    assert len(statuses) > 50
    assert set(statuses) == {200}
    assert cut == []
    assert len(set(tasks.values())) == len(HOSTS)


def test_baseline_wave_fails_requests(tmp_path):
    statuses, _, _ = run_wave(tmp_path, BASELINE, preset(100, 0.0))
    assert set(statuses) != {200}


def test_wave_pauses_while_the_preset_forbids_it(tmp_path):
    forbidding = model.Preset(
        name="peak", maintenance=model.Maintenance(allowed=False)
    )
    allowing = preset(1, 0.0)
    with processes.Processes(log_dir=tmp_path) as running:
        dep = deployment.Deployment(
            running=running, hosts=HOSTS, preset=allowing
        )
        dep.fleet.presets = (allowing, forbidding)
        dep.publish()
        daemon = dep.daemons[0]
        use(daemon, "peak")
        start_wave(daemon)
        wait_phase(daemon, "paused")
        phases = {daemon.host(name)["phase"] for name in HOSTS}
        assert phases == {"serving"}
        use(daemon, "ordinary")
        wait_phase(daemon, "done")


def use(daemon, name):
    base = daemon.agreed()["in_force_revision"]
    resolved = daemon.propose("in-force", base, records.UsePreset(name=name))
    assert resolved.resolution == "accepted"


def wait_phase(daemon, phase):
    processes.wait_for(
        lambda: daemon.agreed()["waves"]["w1"]["phase"] == phase,
        what=f"the wave is {phase}",
    )


@pytest.fixture(autouse=True)
def bounded(request):
    request.node.add_marker(pytest.mark.timeout(60))
