"""Case 4: a wave is reported as completed and has hardly begun.

The leader's process is restarted while the operator's records can't be read.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

JOB = "5c0e7a21d94b36f8"
MACHINES = ["m-0", "m-1", "m-2", "m-3"]
OUTAGE_S = 6.4
"""The site's longest outage of a part of the store's partitions."""
KILL_AFTER_S = 1.5
"""Time from the beginning of the first upkeep to the leader's end."""
RECLAIM_S = 8.0
"""Time of leading before the wave, so that the term is ten seconds old."""
WAIT_S = 40.0


async def _accept(run):
    """Hand in work that lets the wave go on slowly."""
    step = {
        "count": 8,
        "cpu": 30000,
        "mem_mb": 256,
        "est_ms": 2500,
    }
    after = [step | {"after": [index]} for index in range(5)]
    body = {"spec": '{"ms": 2500}', "steps": [step, *after]}
    status, _ = await run.ask(1, "POST", f"/q/{JOB}", body)
    if status != 200:
        raise deployment.CouldNotRun("the job was not accepted")


async def case(run, trouble):
    """Ask for a wave, and restart the leader during an outage."""
    begun = []
    run.cloud.on_upkeep = lambda worker: begun.append(worker.machine)
    await asyncio.sleep(RECLAIM_S)
    await _accept(run)
    wave = {"tranche": 1, "nodes": MACHINES, "finish_by_s": 60, "max_count": 1}
    run.note("the operator writes op/wave/1")
    run.store.put("keyed.op", "wave/1", wave)
    end = run.now() + 20
    while not begun and run.now() < end:
        await asyncio.sleep(0.01)
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        leader = run.leader()
        run.note(f"reads of op/ are answered with 503 for {OUTAGE_S} s")
        run.store.down.add("keyed.op")
        run.kill(leader)
        run.start_daemon(leader)
        await asyncio.sleep(OUTAGE_S)
        run.store.down.clear()
        run.note("the store serves all again")
    end = run.now() + WAIT_S
    while run.now() < end:
        report = run.store.value("keyed.status", "wave/1")
        if report and report["state"] == "completed":
            break
        await asyncio.sleep(0.02)
    left = [name for name in MACHINES if name not in begun]
    run.note(f"status/wave/1 is {report}; no upkeep has begun of {left}")
    await asyncio.sleep(10.0)
    later = [name for name in MACHINES if name not in begun]
    run.note(f"10 s later, no upkeep has begun of {later}")
    return not (report and report["state"] == "completed" and left)


if __name__ == "__main__":
    sys.exit(deployment.play(__file__, case, workers=6))
