"""A rack crashes twice; the service must then take new jobs."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import world as worlds  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LASTING_JOBS = 3
OTHER = "/scans/5c0e7a21d94b36f9"
STEP = {
    "count": 8,
    "cpu": 2000,
    "mem_mb": 256,
    "est_ms": 900,
    "long_running": True,
    "max_unavailable": 1,
}
SHORT = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_ms": 500}
SHORT_JOBS = 4
DOWN_S = 2.0
BETWEEN_S = 10.0
FINISH_S = 14.0
STILL_S = 3.0


def lasting(number):
    """Return the path of a job that lasts."""
    return f"/quotes/{0x5C0E7A21D94B3600 + number:016x}"


def items_of(world, path):
    """Return the work items of a job that run, and their machines."""
    return world.running(path.rpartition("/")[2])


def crash_rack(world):
    """Let all workers of the pool, which share a rack, crash at once."""
    for name, entry in list(world.machines.items()):
        if entry["pool"] == "quoting":
            world.crash(name, DOWN_S)


def play(world):
    """Let the rack crash twice; return when it has been back for 1 s."""
    for pause_s in (BETWEEN_S, DOWN_S + 1.0):
        if TROUBLE:
            crash_rack(world)
        time.sleep(pause_s)


def submit(world, path, spec, step):
    """Hand in a job; return whether it was accepted."""
    body = {"spec": spec, "steps": [step]}
    return world.ask(world.daemons[0], "POST", path, body)[0] == 200


def judge(world):
    """Play the day; return the exit status."""
    if not world.start_daemons(3):
        return 2
    time.sleep(4.0)
    submit(world, OTHER, "last", STEP | {"count": 4})
    taken = [
        submit(world, lasting(n), "last", STEP) for n in range(LASTING_JOBS)
    ]
    wanted = LASTING_JOBS * STEP["count"]
    if not all(taken) or not world.wait(
        lambda: len(items_of(world, "/5c0e7a21d94b360")) == wanted, 20
    ):
        return 2
    time.sleep(4.0)
    play(world)
    paths = [f"/quotes/{0xA1 + n:016x}" for n in range(SHORT_JOBS)]
    jobs = [path for path in paths if submit(world, path, "ms=500", SHORT)]
    # LOST: finish_s after the traffic, nothing of them runs for 3 s, with
    # room for them and under half of the service's capacity in use.
    time.sleep(FINISH_S)
    still_until = time.monotonic() + STILL_S
    idle = True
    while time.monotonic() < still_until:
        idle = idle and not any(items_of(world, job) for job in jobs)
        time.sleep(0.02)
    used = {
        name: STEP["cpu"] * len(worker.runs) / worker.cpu
        for name, worker in world.workers.items()
        if worker.up and world.machines[name]["pool"] == "quoting"
    }
    shown = [world.ask(world.daemons[0], "GET", job)[1] for job in jobs]
    waiting = [text for text in shown if "completed" not in text]
    world.record.add(
        "verdict",
        f"{len(jobs)} short jobs accepted, {len(waiting)} not completed"
        f" {FINISH_S + STILL_S:.0f} s after the last; nothing of them ran for"
        f" {STILL_S:.0f} s: {idle}; used of the workers' cores: {used}",
    )
    if not jobs or len(used) < 2:
        return 2
    half = sum(used.values()) < 0.5 * len(used)
    return 1 if waiting and idle and half else 0


def main():
    """Run the case."""
    world = worlds.World(
        HERE,
        {"quoting": 2, "inspection": 2},
        queues={"quotes": "quoting", "scans": "inspection"},
    )
    try:
        return judge(world)
    finally:
        world.close()


if __name__ == "__main__":
    status = main()
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
