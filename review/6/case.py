"""A late start reaches a later lifetime, after its work item's end."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as worlds  # noqa: E402

JOB = "00000000000000a4"
ITEM = f"{JOB}.0.0.0"
FULL = "00000000000000b4"
OTHER = "00000000000000c4"
JOBS_PER_S = 20
CUT_S = 5.5
LATE_S = 11.5
PAUSE_S = 1.0
"""Time from the noted end to the cut."""
WAIT_S = 20.0


def job(count, cpu, **more):
    """Return a job of one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 500, "est_ms": 300, **more}
    return {"spec": "quote", "steps": [step]}


class Load:
    """Hands in small jobs at a steady rate until it is stopped."""

    def __init__(self, daemons):
        self._daemons = daemons
        self.stopped = threading.Event()
        for number in range(4):
            threading.Thread(
                target=self._run, args=(number,), daemon=True
            ).start()

    def _run(self, number):
        count = 0
        while not self.stopped.wait(4 / JOBS_PER_S):
            daemon = self._daemons[count % len(self._daemons)]
            daemon.submit("qq", f"{number:04x}{count:012x}", job(1, 5000))
            count += 1


def case(world, trouble):
    """Return whether the work item isn't started after its noted end."""
    for number in (1, 2):
        world.add_machine(f"m-{number}", "quoting", rack="r1")
    for number in range(3, 8):
        world.add_machine(f"m-{number}", "certs", rack="r2")
    world.configure(
        {"qq": {"service": "quoting"}, "cc": {"service": "certs"}},
        [
            {"name": "quoting"},
            {"name": "certs"},
            {"name": "backoffice", "standby": True},
        ],
    )
    daemons = [world.add_daemon(f"127.0.67.{n}") for n in (1, 2, 3)]
    world.wait(world.leader, 20, "no daemon leads")
    lasting = {"long_running": True, "max_unavailable": 1}
    world.wait(
        lambda: (
            daemons[0].submit(
                "cc", OTHER, job(5, 40000, anti_affinity=1, **lasting)
            )
            == 200
        ),
        10,
        "a job was not accepted",
    )
    daemons[0].submit("qq", FULL, job(1, 62000, **lasting))
    world.wait(lambda: len(world.running()) == 6, 20, "not all is at work")
    return play(world, daemons, trouble)


def play(world, daemons, trouble):
    """Hand in the job beside a load, and look for its starts."""
    full = f"{FULL}.0.0.0"
    (worker,) = (
        one
        for one in world.workers.values()
        if one.service == "quoting" and full not in one.running()
    )
    noted = threading.Event()

    def on_noted(row):
        if row[1] == ITEM and row[3] == "done":
            world.note(f"the end of {ITEM} run {row[2]} is taken note of")
            noted.set()

    worker.on_noted = on_noted
    load = Load(daemons)
    time.sleep(3.0)
    if trouble:
        worker.late_s = LATE_S
        worker.late_task = ITEM
    if daemons[0].submit("qq", JOB, job(1, 5000)) != 200:
        raise worlds.CannotRun("the job was not accepted")
    began = time.monotonic()
    if not noted.wait(WAIT_S):
        raise worlds.CannotRun("the end was never taken note of")
    after_s = time.monotonic() - began
    world.note(f"noted {after_s:.1f} s after the job was accepted")
    before = world.started.count(ITEM)
    if trouble and after_s < LATE_S - PAUSE_S - 0.5:
        time.sleep(PAUSE_S)
        worker.cut()
        worker.be_reborn()
        threading.Timer(CUT_S, worker.join).start()
    time.sleep(max(0.0, began + LATE_S + 3.0 - time.monotonic()))
    load.stopped.set()
    time.sleep(3.0)
    again = world.started.count(ITEM) - before
    world.note(f"starts of {ITEM} after its end was noted: {again}")
    return not again


if __name__ == "__main__":
    worlds.run(case, HERE)
