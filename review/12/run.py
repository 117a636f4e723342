"""One worker crashes, another is lost; the last one must take new jobs."""

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
NOTICED_S = 10.0
SHORT_JOBS = 3
FINISH_S = 14.0
STILL_S = 3.0


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
    # By then the daemons have seen the loss; the last run is long over.
    time.sleep(NOTICED_S)
    jobs = []
    for number in range(SHORT_JOBS):
        path = f"/quotes/{0xA1 + number:016x}"
        body = {"spec": "ms=500", "steps": [SHORT]}
        status, _ = world.ask(world.daemons[0], "POST", path, body)
        if status == 200:
            jobs.append(path)
        time.sleep(1.0)
    # LOST: finish_s after the traffic, nothing of them runs for 3 s.
    time.sleep(FINISH_S)
    still_until = time.monotonic() + STILL_S
    idle = True
    while time.monotonic() < still_until:
        idle = idle and not any(machines_of(world, job) for job in jobs)
        time.sleep(0.02)
    shown = [world.ask(world.daemons[0], "GET", job)[1] for job in jobs]
    waiting = [text for text in shown if "completed" not in text]
    room = {
        name: f"{len(worker.runs)} runs"
        for name, worker in world.workers.items()
        if worker.up and world.machines[name]["pool"] == "quoting"
    }
    world.record.add(
        "verdict",
        f"{len(jobs)} short jobs accepted, {len(waiting)} not completed"
        f" {FINISH_S + STILL_S:.0f} s after the last; nothing of them ran for"
        f" {STILL_S:.0f} s: {idle}; workers of their pool: {room}; states:"
        f" {shown}",
    )
    if not jobs or not room:
        return 2
    return 1 if waiting and idle else 0


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
