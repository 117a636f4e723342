"""Operators' commands against real daemons; tests depend on their order."""

import concurrent.futures

import msgspec
import pytest

from azurewood.fleet import document
from azurewood.fleet import presets
from standins import processes

DELAY_MS = 1500


def test_a_configuration_is_shown_as_it_was_applied(running, fleet):
    shown = running.commands.checked("config", "show")
    assert document.load(shown, "shown") == fleet
    done = running.commands.run("config", "apply", str(running.path))
    assert done.returncode == 0


def test_a_stale_configuration_is_rejected_with_both_sides(running, tmp_path):
    text = running.path.read_text().replace("18401", "18409")
    mine = tmp_path / "mine.yaml"
    mine.write_text(text)
    done = running.commands.run("config", "apply", str(mine), "--base", "1")
    assert done.returncode == 3
    assert "yours:    based on revision 1" in done.stderr
    assert ", by mariam" in done.stderr
    assert "18401" in done.stderr
    assert "18409" in done.stderr


def test_preset_use_waits_for_each_zone(running):
    done = running.commands.run("preset", "use", "peak", "--wait")
    assert done.returncode == 0
    assert "volos: in force on 2 of 2 daemons" in done.stderr
    for daemon in running.deployment.daemons.values():
        assert daemon.status()["in_force"] == "peak"
    rows = running.commands.checked_json("preset", "list")
    assert {row["preset"]: row["in_force"] for row in rows} == {
        "ordinary": False,
        "peak": True,
    }


def test_racing_operators_get_one_winner_and_one_conflict(running):
    base = running.deployment.first.agreed()["in_force_revision"]
    names = ("ordinary", "peak")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        codes = list(
            pool.map(
                lambda name: running.code(
                    "preset", "use", name, "--base", str(base)
                ),
                names,
            )
        )
    assert sorted(codes) == [0, 3]
    winner = names[codes.index(0)]
    assert running.deployment.first.status()["in_force"] == winner


def test_a_preset_is_edited_by_values_and_by_file(running, tmp_path):
    edit = ("preset", "edit", "peak")
    assert running.code(*edit, "--set", "maintenance.drain_ms=4000") == 0
    shown = running.commands.checked("preset", "show", "peak")
    assert presets.load(shown, "shown").maintenance.drain_ms == 4000
    path = tmp_path / "peak.yaml"
    path.write_text(shown.replace("4000", "5000"))
    assert running.code(*edit, "--file", str(path)) == 0
    stale = running.commands.run(*edit, "--file", str(path), "--base", "1")
    assert stale.returncode == 3
    assert "both say the same" in stale.stderr


@pytest.mark.parametrize(
    "args",
    [
        ("preset", "edit", "peak", "--set", "maintenance.drain=1"),
        ("preset", "edit", "peak", "--set", "maintenance.drain_ms=-1"),
        ("preset", "edit", "peak", "--set", "name"),
        ("preset", "edit", "peak"),
        ("preset", "use"),
        ("wave", "start", "empty"),
        ("config", "apply", "/nonexistent/fleet.yaml"),
    ],
)
def test_wrong_usage_and_findings_exit_with_2(running, args):
    assert running.code(*args) == 2


@pytest.mark.parametrize(
    "args",
    [
        ("preset", "use", "nothing"),
        ("preset", "show", "nothing"),
        ("host", "move", "crew-volos-1", "nowhere"),
        ("host", "move", "crew-volos-1", "crew"),
        ("host", "return", "crew-volos-1"),
        ("wave", "pause", "nothing"),
    ],
)
def test_changes_the_state_does_not_allow_exit_with_3(running, args):
    assert running.code(*args) == 3


def test_a_host_is_moved_drained_and_returned(running):
    host = "archive-volos-1"
    running.commands.checked("host", "move", host, "desk", "--wait")
    assert running.hosts()[host]["pool"] == "desk"
    explained = running.commands.checked("host", "explain", host)
    assert "its pool is desk" in explained
    running.commands.checked("host", "drain", host, "--no-reboot", "--wait")
    assert running.hosts()[host]["phase"] == "down"
    running.commands.checked("host", "return", host, "--wait")
    assert running.hosts()[host]["phase"] == "serving"


def test_a_wave_is_started_paused_and_resumed(running):
    def phase():
        (wave,) = running.commands.checked_json("wave", "list")
        return wave["phase"], len(wave["hosts"])

    running.commands.checked("preset", "use", "ordinary", "--wait")
    running.commands.checked("wave", "start", "w1", "--rack", "a")
    running.commands.checked("wave", "pause", "w1")
    assert phase() == ("paused", 3)
    running.commands.checked("wave", "resume", "w1")
    assert phase() == ("running", 3)
    watched = running.commands.run("wave", "watch", "w1", "--timeout-s", "0")
    assert watched.returncode in (0, 1)
    assert "of 3 hosts done" in watched.stderr


def test_status_and_dump_show_daemons_pools_and_budgets(running):
    text = running.commands.checked("status")
    in_force = running.deployment.first.status()["in_force"]
    for word in ("volos-1", "volos-2", "archive", "BUDGET LEFT", in_force):
        assert word in text
    status = running.commands.checked_json("status")
    assert sum(pool["hosts"] for pool in status["pools"]) == 6
    assert len(status["daemons"]) == 2
    dump = running.commands.checked_json("dump")
    assert dump["me"]["zone"] == "volos"
    assert dump["counters"] == {"peer_frames_refused": 0}


def test_a_wrong_token_and_no_daemon_exit_with_1(running):
    free = f"http://127.0.0.1:{processes.free_port()}"
    lost = running.commands.run("status", "--daemon", free)
    assert lost.returncode == 1
    assert free in lost.stderr
    first, *others = running.deployment.daemons.values()
    found = running.commands.run(
        "status", "--daemon", free, "--daemon", first.operators_url
    )
    assert found.returncode == 0
    wrong = running.commands.run(
        "status", env={"AZUREWOOD_OPERATORS_TOKEN": "not-the-daemons-token"}
    )
    assert wrong.returncode == 1
    assert "wrong or no token" in wrong.stderr
    assert "not-the-daemons-token" not in wrong.stderr + wrong.stdout


def test_json_output_is_json(running):
    for args in (("wave", "list"), ("host", "list"), ("config", "show")):
        msgspec.json.decode(
            running.commands.checked(*args, "--output", "json")
        )


def test_while_the_platform_is_down_nothing_is_accepted(running):
    deployment = running.deployment
    before = deployment.first.agreed()["in_force_revision"]
    deployment.platform.post("/v1/faults", down=True)
    try:
        done = running.commands.run(
            "preset", "use", "peak", "--proposal-timeout-s", "1"
        )
    finally:
        deployment.platform.post("/v1/faults", down=False)
    assert done.returncode == 4, done.stderr
    assert "was not changed" in done.stderr
    processes.wait_for(
        lambda: all(
            daemon.status()["log_reachable"]
            for daemon in deployment.daemons.values()
        ),
        what="the log is read again",
    )
    assert deployment.first.agreed()["in_force_revision"] == before


def test_a_proposal_whose_daemon_dies_is_unknown_until_queried(
    running,
):
    """The daemon is killed while its append to the log is in progress."""
    deployment = running.deployment
    third = deployment.start_daemon("volos-3", "volos")
    processes.wait_for(
        lambda: third.operate("GET", "/readyz")["ready"], what="it is ready"
    )
    name = "ordinary" if third.status()["in_force"] == "peak" else "peak"
    deployment.platform.post("/v1/faults", delay_ms=DELAY_MS)
    try:
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(
                running.commands.run,
                *("preset", "use", name, "--daemon", third.operators_url),
            )
            for _ in range(2):
                processes.wait_for(
                    lambda: third.operate("GET", "/v1/dump")["outbox"]["sent"],
                    what="the append is under way",
                )
            third.process.kill()
            done = fut.result()
    finally:
        deployment.platform.post("/v1/faults", delay_ms=0)
    assert done.returncode == 5, done.stderr
    proposal = done.stderr.split("azurewood outcome ")[1].split()[0]
    processes.wait_for(
        lambda: running.code("outcome", proposal) == 0,
        what="the outcome is known",
    )
    assert deployment.first.status()["in_force"] == name
