"""A job that repeats has run some thousands of work items."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as worlds  # noqa: E402

TIMED = "00000000000000d0"
LATER = [f"00000000000000e{number}" for number in range(4)]
WIDTH = 24
TIMES = 400
CALM_TIMES = 100
INTERVAL_MS = 110
FINISH_S = 14.0
STALL_S = 6.0


def job(count, cpu, est_ms, **more):
    """Return a job of one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 10, "est_ms": est_ms}
    return {"spec": "scan", "steps": [step], **more}


def case(world, trouble):
    """Return whether all accepted jobs are done."""
    for number in (1, 2):
        world.add_machine(f"m-{number}", "inspection", rack="r1")
    for number in (3, 4):
        world.add_machine(f"m-{number}", "quoting", rack="r2")
    world.configure(
        {"ii": {"service": "inspection"}, "qq": {"service": "quoting"}},
        [
            {"name": "inspection"},
            {"name": "quoting"},
            {"name": "backoffice", "standby": True},
        ],
    )
    daemons = [world.add_daemon(f"127.0.65.{n}") for n in (1, 2, 3)]
    world.wait(world.leader, 20, "no daemon leads")
    times = TIMES if trouble else CALM_TIMES
    body = job(
        WIDTH,
        500,
        100,
        repeat_count=times,
        start_ms=int(time.time() * 1000) + 2000,
        interval_ms=INTERVAL_MS,
    )
    world.wait(
        lambda: daemons[0].submit("ii", TIMED, body) == 200,
        10,
        "the timed job was not accepted",
    )
    wait_for_starts(world, times * WIDTH)
    for later in LATER:
        if daemons[1].submit("qq", later, job(1, 3500, 800)) != 200:
            raise worlds.CannotRun("a later job was not accepted")
    time.sleep(FINISH_S)
    states = [daemons[2].state("qq", later) for later in LATER]
    states.append(daemons[2].state("ii", TIMED))
    world.note(f"{len(world.started)} starts; states {states}")
    return all(state == "completed" for state in states)


def wait_for_starts(world, count):
    """Wait until so many work items have started, or none does any more."""
    known, since = 0, time.monotonic()
    while known < count and time.monotonic() < since + STALL_S:
        time.sleep(0.2)
        if len(world.started) > known:
            known, since = len(world.started), time.monotonic()
    world.note(f"{known} work items of the timed job have started")


if __name__ == "__main__":
    worlds.run(case, HERE)
