"""Tests of the roll-out of presets under failures, with real processes."""

import os
import pathlib

import pytest

from azurewood.fleet import document
from azurewood.state import effects
from azurewood.state import records
from standins import command_line
from standins import processes
from standins import testbed

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "karamanlis.yaml"
Resolution = effects.Resolution
ROLL_OUT_S = 4.0


@pytest.fixture(scope="module")
def started(tmp_path_factory):
    fleet = command_line.shift_addresses(
        document.load(EXAMPLE.read_text(), str(EXAMPLE)),
        20 + os.getpid() % 200,
    )
    log_dir = tmp_path_factory.mktemp("processes")
    with processes.Processes(log_dir=log_dir) as running:
        made = testbed.Deployment(running=running, fleet=fleet)
        made.start_workers(per_process=30)
        made.start_daemons(per_zone=2)
        made.publish()
        made.wait_serving()
        yield made


@pytest.fixture
def healthy(started):
    """Yield the deployment, and end all injected faults afterwards."""
    yield started
    started.platform.post(
        "/v1/faults", down=False, delay_ms=0, cut_zones=[], hang=False
    )
    for daemon in started.daemons.values():
        daemon.process.resume()
    for daemon in started.daemons.values():
        processes.wait_for(
            lambda daemon=daemon: daemon.status()["log_reachable"],
            what=f"{daemon.name} reads the log",
        )
    known = started.first.status()["in_force"]
    started.wait_in_force(known)


def accept(daemon, preset):
    resolved = daemon.use_preset(preset)
    assert resolved.resolution == Resolution.ACCEPTED, resolved


def other(daemon):
    """Return a preset that is not in force."""
    in_force = daemon.status()["in_force"]
    return "peak" if in_force != "peak" else "maintenance"


def outcome(daemon, resolved):
    answer = daemon.operate("GET", f"/v1/outcomes/{resolved.id}")
    return answer["knowledge"]


def test_a_preset_is_in_force_in_every_zone(healthy):
    preset = other(healthy.first)
    accept(healthy.daemons["volos-2"], preset)
    healthy.wait_in_force(preset, timeout_s=ROLL_OUT_S)


def test_a_zone_cut_from_the_platform_follows_through_peers(healthy):
    healthy.platform.post("/v1/faults", cut_zones=["trikala"])
    for name in ("trikala-1", "trikala-2"):
        processes.wait_for(
            lambda name=name: (
                not healthy.daemons[name].status()["log_reachable"]
            ),
            what=f"{name} notices the cut",
        )
    preset = other(healthy.first)
    accept(healthy.daemons["larissa-1"], preset)
    healthy.wait_in_force(preset, timeout_s=ROLL_OUT_S)


def test_a_zone_cut_off_cannot_change_what_is_in_force(healthy):
    healthy.platform.post("/v1/faults", cut_zones=["trikala"])
    cut = healthy.daemons["trikala-1"]
    processes.wait_for(
        lambda: not cut.status()["log_reachable"], what="the cut"
    )
    before = healthy.first.status()["in_force"]
    resolved = cut.use_preset(other(cut))
    assert resolved.resolution == Resolution.UNKNOWN
    assert healthy.first.status()["in_force"] == before
    healthy.platform.post("/v1/faults", cut_zones=[])
    processes.wait_for(
        lambda: outcome(healthy.first, resolved) == "not-accepted",
        what="the outcome is known everywhere once the zone is back",
    )


def test_two_operators_race(healthy):
    one, two = healthy.daemons["larissa-1"], healthy.daemons["volos-1"]
    base = one.agreed()["in_force_revision"]
    preset = other(one)
    first = one.propose(records.IN_FORCE, base, records.UsePreset(name=preset))
    second = two.propose(
        records.IN_FORCE, base, records.UsePreset(name="ordinary")
    )
    assert first.resolution == Resolution.ACCEPTED
    assert second.resolution == Resolution.REJECTED
    assert f"revision {first.revision}" in second.reason
    healthy.wait_in_force(preset, timeout_s=ROLL_OUT_S)


def test_a_lost_answer_is_resolved_by_reading_back(healthy):
    healthy.platform.post("/v1/faults", lose_answers=1)
    daemon = healthy.daemons["larissa-2"]
    preset = other(daemon)
    accept(daemon, preset)
    healthy.wait_in_force(preset, timeout_s=ROLL_OUT_S)


def test_a_frozen_daemon_catches_up_and_its_zone_goes_on(healthy):
    frozen = healthy.daemons["volos-1"]
    frozen.process.pause()
    preset = other(healthy.first)
    accept(healthy.daemons["larissa-1"], preset)
    others = [name for name in healthy.daemons if name != "volos-1"]
    healthy.wait_in_force(preset, names=others, timeout_s=ROLL_OUT_S)
    frozen.process.resume()
    healthy.wait_in_force(preset, names=["volos-1"], timeout_s=ROLL_OUT_S)


def test_a_killed_daemon_is_replaced_with_the_platform_down(healthy):
    healthy.daemons.pop("volos-2").process.kill()
    healthy.platform.post("/v1/faults", down=True)
    known = healthy.first.status()["revision"]
    replaced = healthy.start_daemon("volos-2", "volos")
    processes.wait_for(
        lambda: replaced.status()["revision"] >= known,
        what="the new daemon knows what its peers know",
    )
    reply = replaced.call("/crew-desk/lookups/1")
    assert (reply.status, reply.outcome) == (200, "ran")


def test_a_log_that_lost_everything_is_seeded(healthy):
    before = healthy.first.agreed()
    healthy.platform.post("/v1/streams/azurewood/lose")
    healthy.platform.post("/v1/streams/azurewood-snapshots/lose")
    for daemon in healthy.daemons.values():
        processes.wait_for(
            lambda daemon=daemon: (
                daemon.agreed()["incarnation"] != before["incarnation"]
            ),
            what=f"{daemon.name} follows the new log",
        )
        assert daemon.agreed()["in_force"] == before["in_force"]
        assert daemon.agreed()["revision"] >= before["revision"]
    preset = other(healthy.first)
    processes.wait_for(
        lambda: (
            healthy.first.use_preset(preset).resolution == Resolution.ACCEPTED
        ),
        what="changes are accepted again",
    )
    healthy.wait_in_force(preset, timeout_s=ROLL_OUT_S)


def test_one_daemon_stops_gracefully(healthy):
    daemon = healthy.daemons.pop("trikala-2")
    assert daemon.process.terminate() == 0
    accept(healthy.first, other(healthy.first))
