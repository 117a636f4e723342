"""A job that lasts, under which its worker crashes four times."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as worlds  # noqa: E402

JOB = "00000000000000a2"
ITEM = f"{JOB}.0.0.0"
CRASHES = 4
DOWN_S = 4.5
AT_WORK_S = 3.0
WATCH_S = 10.0
BODY = {
    "spec": "serve",
    "steps": [
        {
            "count": 1,
            "cpu": 5000,
            "mem_mb": 1000,
            "est_ms": 900,
            "long_running": True,
            "max_unavailable": 1,
        }
    ],
}


def case(world, trouble):
    """Return whether the job, which nobody cancelled, goes on."""
    for number in range(1, 8):
        rack = f"r{1 + number // 4}"
        world.add_machine(f"m-{number}", "quoting", rack=rack)
    world.configure(
        {"qq": {"service": "quoting"}},
        [{"name": "quoting"}, {"name": "backoffice", "standby": True}],
    )
    daemons = [world.add_daemon(f"127.0.62.{n}") for n in (1, 2, 3)]
    world.wait(world.leader, 20, "no daemon leads")
    world.wait(
        lambda: daemons[0].submit("qq", JOB, BODY) == 200,
        10,
        "the job was not accepted",
    )
    for _ in range(CRASHES):
        world.wait(
            lambda: ITEM in world.running(), 20, "the item is not at work"
        )
        time.sleep(AT_WORK_S)
        if trouble:
            worker = next(
                one
                for one in world.workers.values()
                if one.up and ITEM in one.running()
            )
            world.crash(worker, DOWN_S)
        time.sleep(DOWN_S)
    return goes_on(world, daemons)


def goes_on(world, daemons):
    """Return whether no daemon shows an end that nobody asked for."""
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        time.sleep(1.0)
        states = [daemon.state("qq", JOB) for daemon in daemons]
        if any(state in ("failed", "cancelled") for state in states):
            return False
    return True


if __name__ == "__main__":
    worlds.run(case, HERE)
