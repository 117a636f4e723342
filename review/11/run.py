"""Workers crash one after the other; a job that lasts must go on."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import world as worlds  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "/quotes/5c0e7a21d94b36f8"
STEP = {
    "count": 3,
    "cpu": 4000,
    "mem_mb": 256,
    "est_ms": 900,
    "long_running": True,
    "max_unavailable": 1,
}
CRASHES = 14
DOWN_S = 2.0
PAUSE_S = 4.0


def state_of(world):
    """Return the state of the job that the daemons show."""
    for daemon in world.daemons:
        status, text = world.ask(daemon, "GET", JOB)
        if status is not None and status != 503:
            return f"{status} {text}"
    return "no answer"


def judge(world):
    """Play the day; return the exit status."""
    if not world.start_daemons(3):
        return 2
    status, _ = world.ask(
        world.daemons[0], "POST", JOB, {"spec": "last", "steps": [STEP]}
    )
    if status != 200 or not world.wait(lambda: len(world.running()) == 3, 20):
        return 2
    names = list(world.workers)
    for number in range(CRASHES):
        if TROUBLE:
            world.crash(names[number % len(names)], DOWN_S)
        time.sleep(PAUSE_S)
        shown = state_of(world)
        if "failed" in shown:
            break
    time.sleep(3.0)
    failed = any(end[4] == "failed" for end in world.ends)
    # AVAIL: an item at work is told to stop while one other or more is away.
    stopped = [s for s in world.stops if s[3] and s[4] < STEP["count"] - 1]
    shown = state_of(world)
    world.record.add(
        "verdict",
        f"shown {shown}; ends 'failed': {failed}; work items at work that were"
        f" told to stop beside others that are away: {len(stopped)}; at work"
        f" now: {world.running()}",
    )
    if failed:
        return 2
    return 1 if stopped or "failed" in shown or "cancelled" in shown else 0


def main():
    """Run the case."""
    world = worlds.World(HERE, {"quoting": 3}, queues={"quotes": "quoting"})
    try:
        return judge(world)
    finally:
        world.close()


if __name__ == "__main__":
    status = main()
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
