"""Leaders lose power; the workers must stay reachable for the next ones."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import world as worlds  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANNELS = 64
STEP = {"count": 40, "cpu": 1500, "mem_mb": 128, "est_ms": 800}
LOSSES = 3
DOWN_S = 3.5
PAUSE_S = 7.0
FINISH_S = 14.0
IDLE_S = 3.0


class Caller:
    """Hands in a job each second, at any daemon that answers."""

    def __init__(self, world):
        self.world = world
        self.accepted = []
        self._next_at = 0.0

    def step(self):
        """Hand in a job if one is due."""
        if time.monotonic() < self._next_at:
            return
        self._next_at = time.monotonic() + 1.0
        job = f"{len(self.accepted) + 1:016x}"
        for daemon in self.world.daemons:
            status, _ = self.world.ask(
                daemon,
                "POST",
                f"/quotes/{job}",
                {"spec": "ms=800", "steps": [STEP]},
                timeout=1.5,
            )
            if status == 200:
                self.accepted.append(job)
                return

    def state(self, job):
        """Return the state of a job that a daemon shows."""
        for daemon in self.world.daemons:
            status, text = self.world.ask(
                daemon, "GET", f"/quotes/{job}", timeout=1.5
            )
            if status == 200:
                return text
        return "no answer"

    def play(self, seconds):
        """Hand in jobs for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.step()
            time.sleep(0.05)


def lose_power(world):
    """Let the leader's machine lose power, and come back later."""
    leader = world.leader()
    if leader is None:
        return
    dark = [worker.proxy.lose_power() for worker in world.workers.values()]
    leader.kill()
    world.record.add(
        leader.name, f"lost power; channels left open at workers: {dark}"
    )


def judge(world):
    """Play the day; return the exit status."""
    if not world.start_daemons(3):
        return 2
    caller = Caller(world)
    caller.play(4.0)
    for _ in range(LOSSES):
        if TROUBLE:
            lose_power(world)
        caller.play(DOWN_S)
        for daemon in world.daemons:
            if daemon.process.poll() is not None:
                daemon.start()
        caller.play(PAUSE_S - DOWN_S)
    world.record.add("verdict", "the traffic ends")
    time.sleep(FINISH_S)
    idle_since = time.monotonic()
    while time.monotonic() < idle_since + IDLE_S:
        if world.running():
            break
        time.sleep(0.02)
    idle = not world.running()
    states = {job: caller.state(job) for job in caller.accepted}
    open_jobs = [job for job in states if "completed" not in states[job]]
    for name, worker in world.workers.items():
        world.record.add(
            name,
            f"channels {len(worker.server.connections)}, resets"
            f" {worker.server.resets}",
        )
    world.record.add(
        "verdict",
        f"{len(states)} jobs accepted, {len(open_jobs)} not completed"
        f" {FINISH_S + IDLE_S:.0f} s after the traffic; nothing ran for"
        f" {IDLE_S:.0f} s: {idle}",
    )
    if not states:
        return 2
    return 1 if open_jobs and idle else 0


def main():
    """Run the case."""
    world = worlds.World(
        HERE,
        {"quoting": 3},
        queues={"quotes": "quoting"},
        channels=CHANNELS,
        with_proxies=True,
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
