"""Seeded courses of accounts with limits on hosts that crash or are replaced.

``python -m tests.scheduling.account_courses`` plays more of them by hand.
"""

import dataclasses
import random
import sys

import click
from loguru import logger
import msgspec

from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.scheduling import messages
from standins.fleet import disturbances
from standins.fleet import hosts
from standins.fleet import members
from standins.fleet import rules
from standins.fleet import world as worlds
from tests.scheduling import accounts
from tests.scheduling import deployment
from tests.scheduling import restarted_hosts
from tests.scheduling import test_intake

STEPS = 70
PAUSES_S = (0.05, 0.2, 0.5)
COUNTS = (1, 4, 8, 13)
CORES = (300, 500, 900)
"""Thousandths of a core."""
MEMORY_MB = 300
ESTIMATES_MS = (500, 1000, 2000)
CORES_OF_C = 8
"""The limit of account c."""
SETTLE_S = restarted_hosts.SETTLE_S + 6.0
"""Limits add to the time that jobs wait for each other."""
VISIBLE_S = 3.0
"""Time from which each daemon in touch has to know an accepted job."""
POWER_SHARE = 0.07
POWER_DOWN_S = (0.5, 0.7, 1.5, 3.0)
BEFORE_LOSS_S = (0.0, 0.05, 0.3)
BACK_S = (0.0, 0.5, 2.0, 5.0)
SLOW_BEFORE_S = 1.5
SLOW_AFTER_S = (0.0, 2.0, 5.0)
JOBS_WHILE_SLOW = 6
TAKES = ("replaced", "moved", "parked")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Mode:
    """What a course draws beside crashes and losses of single daemons.

    With ``cancel``, callers cancel jobs. With ``power``, all daemons are lost
    at once while machines get other hosts, are moved or are parked, at times
    beside a slow store with jobs in the intake.
    """

    cancel: bool = False
    power: bool = False


MODES = {"plain": Mode(), "power": Mode(power=True)}
HAND_MODES = {
    "cancel": Mode(cancel=True),
    "power-cancel": Mode(cancel=True, power=True),
}
"""Modes that are known to break rules, and are played by hand only."""


class Course:
    """A course of jobs and faults, which its seed and mode determine.

    Losses of all power have draws of their own, so that a seed's other draws
    are the same in each mode.
    """

    __slots__ = (
        "_accepted_at",
        "_ids",
        "_mode",
        "_power",
        "_random",
        "_submissions",
        "made",
    )

    def __init__(self, *, seed: int, mode: Mode) -> None:
        self._random = draws = random.Random(seed)
        self._power = random.Random(f"power {seed}")
        self._mode = mode
        self._ids: list[str] = []
        self._submissions: dict[str, worlds.Submission] = {}
        self._accepted_at: dict[str, float] = {}
        pools = {"s-one": draws.choice((6, 10, 16))}
        pools["s-two"] = draws.choice((3, 6))
        self.made: worlds.World = accounts.world(
            seed=seed,
            pools=pools,
            a=draws.choice((20, 40)),
            b=draws.choice((12, 30)),
            c=CORES_OF_C,
        )
        self.made.deadly_keeps_id = draws.random() < 0.5
        self.made.late_share = draws.choice((0.0, 0.0, 0.2, 0.4))
        if mode.power:
            self.made.pools_off = frozenset({"spare"})

    def play(self) -> list[rules.Breach]:
        """Play the course up to its first breach; return all breaches."""
        for _ in range(STEPS):
            self._step()
            if self.made.rules.breaches:
                return self.made.rules.breaches
        self._settle()
        return self.made.rules.breaches

    def _step(self) -> None:
        live = self._live()
        if live and self._random.random() < 0.6:
            self._submit(self._random, live)
        self._disturb(self._random.random(), live)
        if self._mode.power and self._power.random() < POWER_SHARE:
            self._lose_power()
        self.made.run(self._random.choice(PAUSES_S))
        self._check_known()

    def _settle(self) -> None:
        made = self.made
        if self._random.random() < 0.5:
            for member in self._live():
                member.kill()
            made.run(self._random.choice((0.5, 3.0)))
        for member in made.members:
            if not member.up:
                member.start()
        disturbances.heal(made)
        self._end_slow()
        made.run(SETTLE_S)
        self._check_known()
        made.check_shown_phases()

    # Jobs

    def _live(self) -> list[members.SimMember]:
        return [member for member in self.made.members if member.up]

    def _submit(
        self, draws: random.Random, live: list[members.SimMember]
    ) -> None:
        step = model.Step(
            count=draws.choice(COUNTS),
            needs=model.Resources(draws.choice(CORES), MEMORY_MB, 0),
            estimate_ms=draws.choice(ESTIMATES_MS),
        )
        steps = draws.choice(((step,), (step, step), (deployment.LONG_LIVED,)))
        queue = draws.choice(("one", "one", "two"))
        number = len(self._ids) + 1
        job = deployment.job(self.made, number, *steps, queue=queue)
        job = msgspec.structs.replace(job, account=draws.choice("aabc"))
        if draws.random() < 0.04:
            self.made.deadly_jobs.add(job.id)
        asked = self.made.submit(draws.choice(live), job)
        self._ids.append(job.id)
        self._submissions[job.id] = asked

    def _check_known(self) -> None:
        """Check that no daemon denies a job that was accepted."""
        now = self.made.clock.now
        for job_id, submission in self._submissions.items():
            if submission.verdict == verdicts.Taken():
                accepted_at = self._accepted_at.setdefault(job_id, now)
                if now > accepted_at + VISIBLE_S and self._is_denied(job_id):
                    self.made.rules.breach("accepted and isn't known", job_id)

    def _is_denied(self, job_id: str) -> bool:
        account = self.made.rules.asked[job_id].account
        return any(
            member.member.job_service.show(job_id, account)
            == verdicts.NotThere()
            for member in self._live()
            if not member.frozen
        )

    # Faults

    def _disturb(self, draw: float, live: list[members.SimMember]) -> None:
        made = self.made
        if draw < 0.15:
            self._crash_some()
        elif draw < 0.25:
            member = self._random.choice(made.members)
            if member.up:
                member.kill()
            else:
                member.start()
        elif draw < 0.30 and made.leaders():
            made.leaders()[0].kill()
        elif draw < 0.35:
            made.cut_hosts ^= set(self._some(self._random.choice((1, 3))))
        elif draw < 0.40 and self._ids and live and self._mode.cancel:
            count = min(4, len(self._ids))
            for job_id in self._random.sample(self._ids, count):
                made.cancel(self._random.choice(live), job_id)
        elif draw < 0.44:
            self._lose_store()
        elif draw < 0.47 and made.leaders():
            made.leaders()[0].freeze(self._random.choice((1, 3, 5)))
        elif draw < 0.50:
            a = self._random.choice((10, 40))
            b = self._random.choice((12, 30))
            accounts.configure(made, a=a, b=b, c=CORES_OF_C)

    def _some(self, count: int) -> list[str]:
        up = sorted(id for id, host in self.made.hosts.items() if host.up)
        return self._random.sample(up, min(count, len(up)))

    def _crash_some(self) -> None:
        for host_id in self._some(self._random.choice((1, 2, 4))):
            host = self.made.hosts[host_id]
            host.crash()
            down_s = self._random.choice((0.1, 0.5, 2.0))
            self.made.clock.after(down_s, lambda h=host: self._restart(h))

    def _restart(self, host: hosts.SimHost) -> None:
        if self.made.machines[host.machine].host == host.id and not host.up:
            host.restart()

    def _lose_store(self) -> None:
        made = self.made
        made.store_down = True
        down_s = self._random.uniform(0.5, 4)
        made.clock.after(down_s, lambda: setattr(made, "store_down", False))

    # Losses of all power

    def _lose_power(self) -> None:
        """End all daemons; while they are away, machines lose their hosts."""
        made = self.made
        slow = self._power.random() < 0.4
        if slow:
            self._slow_store()
        for member in self._live():
            member.kill()
        made.run(self._power.choice(BEFORE_LOSS_S))
        self._take_hosts(self._power.choice((0, 1, 2, 4)))
        made.run(self._power.choice(POWER_DOWN_S))
        for member in made.members:
            member.start()
        if slow:
            after_s = self._power.choice(SLOW_AFTER_S)
            made.clock.after(after_s, self._end_slow)

    def _slow_store(self) -> None:
        """Slow the store until daemons use the intake, and hand in jobs."""
        self.made.append_s = test_intake.APPEND_S
        self.made.slow = test_intake.SLOW
        self.made.run(SLOW_BEFORE_S)
        for _ in range(JOBS_WHILE_SLOW):
            live = self._live()
            if live:
                self._submit(self._power, live)
            self.made.run(0.05)

    def _end_slow(self) -> None:
        self.made.slow = 1.0
        self.made.append_s = 0.0

    def _take_hosts(self, count: int) -> None:
        """Have machines replaced, moved or parked that have a host."""
        up = [
            machine
            for _, machine in sorted(self.made.machines.items())
            if machine.host and machine.state is messages.MachineState.UP
        ]
        for machine in self._power.sample(up, min(count, len(up))):
            self._take_host(machine, self._power.choice(TAKES))

    def _take_host(self, machine: messages.MachineEntry, how: str) -> None:
        made = self.made
        moving = messages.MachineState.MOVING
        match how:
            case "replaced":
                self._replace_host(machine)
            case "moved":
                pool = "s-one" if machine.pool == "s-two" else "s-two"
                made._replace(machine, pool, moving, worlds.MOVE_S)
            case "parked":
                made._replace(machine, "spare", moving, worlds.MOVE_S)

    def _replace_host(self, machine: messages.MachineEntry) -> None:
        """Crash a machine's host; another one is there at once or later."""
        made = self.made
        host = made.hosts[machine.host]
        host.crash()
        down = messages.MachineState.DOWN
        made._set_machine(machine.name, machine.pool, down, "")
        made.clock.after(worlds.SILENCE_S, lambda: made._remove_entry(host))
        back_s = self._power.choice(BACK_S)
        if back_s:
            made.clock.after(back_s, lambda: made._back(machine))
        else:
            made._back(machine)


@click.command()
@click.option(
    "--mode",
    "names",
    type=click.Choice([*MODES, *HAND_MODES]),
    multiple=True,
    default=list(MODES),
    help="Several may be given; the default is all that hold.",
)
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--seeds", default=60, show_default=True, help="How many.")
def main(names, first, seeds):
    """Play seeds; exit with 1 if any broke a rule."""
    logger.disable("azurewood")
    broken = 0
    modes = {**MODES, **HAND_MODES}
    for name in names:
        bad = []
        for seed in range(first, first + seeds):
            breaches = Course(seed=seed, mode=modes[name]).play()
            if breaches:
                bad.append(seed)
                click.echo(f"{name} {seed}: {breaches[0]}")
        click.echo(f"{name}: {len(bad)} of {seeds} seeds with a breach: {bad}")
        broken += len(bad)
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
