"""One worker crashes, another is lost; the last one must take the work."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import world as worlds  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LASTING = "/quotes/5c0e7a21d94b36f8"
OTHER = "/scans/5c0e7a21d94b36f9"
PLAIN = "/quotes/00000000000000a1"
STEP = {
    "count": 4,
    "cpu": 4000,
    "mem_mb": 256,
    "est_ms": 900,
    "long_running": True,
    "max_unavailable": 1,
}
SHORT = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_ms": 500}
DOWN_S = 2.0
CALM_S = 4.0
AFTER_RUN_S = 6.0
STILL_S = 3.0
WATCH_S = 40.0


def machines_of(world, job):
    """Return the machines on which work items of a job are at work."""
    return world.running(job.rpartition("/")[2])


def busiest(world):
    """Return the machine with most of the work items that last."""
    found = list(machines_of(world, LASTING).values())
    return max(set(found), key=found.count)


def play(world):
    """Let one worker crash, and lose the one that its work went to."""
    at_work = machines_of(world, LASTING)
    world.crash(at_work[max(at_work)], DOWN_S)
    world.wait(lambda: len(machines_of(world, LASTING)) == 4, 10)
    time.sleep(6.0)
    world.crash(busiest(world))


def judge(world):
    """Play the day; return the exit status."""
    if not world.start_daemons(3):
        return 2
    time.sleep(4.0)
    status, _ = world.ask(
        world.daemons[0], "POST", LASTING, {"spec": "last", "steps": [STEP]}
    )
    world.ask(
        world.daemons[0], "POST", OTHER, {"spec": "last", "steps": [STEP]}
    )
    if status != 200 or not world.wait(
        lambda: len(machines_of(world, LASTING)) == 4, 20
    ):
        return 2
    time.sleep(4.0)
    if TROUBLE:
        play(world)
    began = time.monotonic()
    # LOST: no disturbance for 4 s, 6 s after the last run, and then for 3 s.
    time.sleep(max(CALM_S, AFTER_RUN_S))
    world.ask(
        world.daemons[0], "POST", PLAIN, {"spec": "ms=500", "steps": [SHORT]}
    )
    still_since = None
    longest = 0.0
    while time.monotonic() < began + WATCH_S:
        now = time.monotonic()
        sound = [
            name
            for name, worker in world.workers.items()
            if worker.up and world.machines[name]["pool"] == "quoting"
        ]
        if sound and not machines_of(world, LASTING):
            still_since = still_since or now
            longest = max(longest, now - still_since)
        else:
            still_since = None
        time.sleep(0.05)
    _, shown = world.ask(world.daemons[0], "GET", PLAIN)
    world.record.add(
        "verdict",
        f"workers up: {[n for n, w in world.workers.items() if w.up]}; for"
        f" {longest:.1f} s, from {AFTER_RUN_S:.0f} s after the last run on, no"
        f" work item of the job that lasts ran; a short job handed in"
        f" {WATCH_S - AFTER_RUN_S:.0f} s ago: {shown}",
    )
    return 1 if longest >= STILL_S else 0


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
