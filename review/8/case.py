"""A wave takes both machines of a small pool, whose lasting job must stay."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as worlds  # noqa: E402

JOB = "00000000000000a1"
OTHER = "00000000000000b1"
LATER = "00000000000000c1"
COUNT = 5
OTHER_COUNT = 3
FINISH_BY_S = 24.0
CALM_S = 7.0
"""The 3 s and the 4 s before them, which have to be calm."""
IDLE_S = 3.0
LOOK_S = 12.0


def lasting(count, cpu, **more):
    """Return a job of work items that last, one of which may be away."""
    step = {
        "count": count,
        "cpu": cpu,
        "mem_mb": 1000,
        "est_ms": 900,
        "long_running": True,
        "max_unavailable": 1,
        **more,
    }
    return {"spec": "serve", "steps": [step]}


def timed():
    """Return a small job that ends."""
    step = {"count": 1, "cpu": 3500, "mem_mb": 1000, "est_ms": 800}
    return {"spec": "quote", "steps": [step]}


def names(job, count):
    """Return the names of a job's work items."""
    return {f"{job}.0.0.{index}" for index in range(count)}


def case(world, trouble):
    """Return whether each work item that lasts was run."""
    for name in ("m-1", "m-2"):
        world.add_machine(name, "quoting", rack="r1")
    for name in ("m-3", "m-4"):
        world.add_machine(name, "certs", rack="r2")
    world.add_machine("m-5", "backoffice", rack="r3")
    world.configure(
        {"qq": {"service": "quoting"}, "cc": {"service": "certs"}},
        [
            {"name": "quoting"},
            {"name": "certs"},
            {"name": "backoffice", "standby": True},
        ],
    )
    daemons = [world.add_daemon(f"127.0.61.{n}") for n in (1, 2, 3)]
    world.wait(world.leader, 20, "no daemon leads")
    first = daemons[0]
    world.wait(
        lambda: first.submit("cc", OTHER, lasting(OTHER_COUNT, 40000)) == 200,
        10,
        "the other job was not accepted",
    )
    world.wait(
        lambda: (
            first.submit("qq", JOB, lasting(COUNT, 4000, anti_affinity=3))
            == 200
        ),
        10,
        "the job was not accepted",
    )
    wanted = names(JOB, COUNT)
    everything = wanted | names(OTHER, OTHER_COUNT)
    world.wait(lambda: everything <= world.running(), 20, "not all is at work")
    world.note("all work items are at work")
    time.sleep(2.0)
    if trouble:
        world.request_wave(
            1, ["m-1", "m-2"], max_count=1, finish_by_s=int(FINISH_BY_S)
        )
    time.sleep(2.0)
    if first.submit("qq", LATER, timed()) != 200:
        raise worlds.CannotRun("a later job was not accepted")
    time.sleep(FINISH_BY_S + CALM_S - 2.0)
    held = is_run(world, wanted)
    return first.state("qq", LATER) == "completed" and held


def is_run(world, wanted):
    """Return whether no work item is without a run for three seconds."""
    idle_since = {}
    longest = 0.0
    until = time.monotonic() + LOOK_S
    while time.monotonic() < until:
        now = time.monotonic()
        idle = wanted - world.running()
        idle_since = {name: idle_since.get(name, now) for name in idle}
        for since in idle_since.values():
            longest = max(longest, now - since)
        time.sleep(0.05)
    world.note(f"without a run at the end: {sorted(idle_since)}")
    world.note(f"longest time without a run while calm: {longest:.1f} s")
    for name, found in sorted(world.machines.items()):
        world.note(f"machine {name}: {found['state']} in {found['pool']}")
    world.note(f"status/wave/1: {world.store.value('keyed.status', 'wave/1')}")
    return longest < IDLE_S


if __name__ == "__main__":
    worlds.run(case, HERE)
