"""Jobs are handed in just after all workers of a rack went dark."""

import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as worlds  # noqa: E402

JOBS = [f"00000000000000c{number}" for number in range(8)]
DARK_S = 7.5
VISIBLE_S = 3.0
OLD_S = VISIBLE_S + 2.0
WATCH_S = 4.0
BODY = {
    "spec": "quote",
    "steps": [{"count": 1, "cpu": 3500, "mem_mb": 5000, "est_ms": 800}],
}


def case(world, trouble):
    """Return whether ``waiting`` tells of the jobs that have not begun."""
    for number in (1, 2):
        world.add_machine(f"m-{number}", "quoting", rack="r1")
    for number in (3, 4):
        world.add_machine(f"m-{number}", "certs", rack="r2")
    world.configure(
        {"qq": {"service": "quoting"}, "cc": {"service": "certs"}},
        [
            {"name": "quoting"},
            {"name": "certs"},
            {"name": "backoffice", "standby": True},
        ],
    )
    daemons = [world.add_daemon(f"127.0.63.{n}") for n in (1, 2, 3)]
    world.wait(world.leader, 20, "no daemon leads")
    world.wait(
        lambda: daemons[0].submit("qq", "0" * 16, BODY) == 200,
        10,
        "a first job was not accepted",
    )
    time.sleep(4.0)
    if trouble:
        rack = [w for w in world.workers.values() if w.labels[1] == "r1"]
        world.darken(rack, DARK_S)
    time.sleep(0.2)
    for number, job in enumerate(JOBS):
        if daemons[number % 3].submit("qq", job, BODY) != 200:
            raise worlds.CannotRun("a job was not accepted")
    time.sleep(OLD_S)
    return tells_waiting(world, daemons)


def tells_waiting(world, daemons):
    """Return whether no daemon leaves out over half of the waiting jobs."""
    until = time.monotonic() + WATCH_S
    held = True
    while time.monotonic() < until:
        for daemon in daemons:
            status, body = daemon.call("GET", "/qq/")
            begun = {task.partition(".")[0] for task in world.started}
            truth = len([job for job in JOBS if job not in begun])
            shown = json.loads(body)["waiting"] if status == 200 else None
            world.note(f"{daemon.name} says {shown}; {truth} have not begun")
            if shown is not None and 2 * shown < truth:
                held = False
        time.sleep(0.5)
    return held


if __name__ == "__main__":
    worlds.run(case, HERE)
