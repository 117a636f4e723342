"""Seeded courses in which hosts restart under their id and calls are late.

``python -m tests.scheduling.restarted_hosts`` plays more of them by hand.
"""

import dataclasses
import random
import sys

import click
from loguru import logger

from azurewood.jobs import model
from standins.fleet import disturbances
from standins.fleet import hosts
from standins.fleet import progress
from standins.fleet import rules
from standins.fleet import world as worlds
from tests.scheduling import deployment

LONG = model.Step(
    count=4, needs=model.Resources(500, 500, 0), estimate_ms=2500
)
GANG = model.Step(
    count=3, needs=model.Resources(700, 500, 0), estimate_ms=1500, gang=True
)
SHAPES = ((), (LONG,), (deployment.LONG_LIVED,))
STEPS = 60
PAUSES_S = (0.05, 0.2, 0.5)
LATE_SHARES = (0.1, 0.3, 0.5)
LATE_RENEWAL_SHARE = 0.1
SHORT_DOWN_S = (0.0, 0.05, 0.3)
LONG_DOWN_S = (1.0, 2.0, 3.0)
MAX_CUT_S = 6.0
SETTLE_S = progress.FINISH_S + progress.MAX_IDLE_S + 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Mode:
    """The faults of a course.

    ``down`` has hosts away for seconds, ``reborn`` has them restart behind
    a cut. With ``disturbed``, daemons are killed and frozen too, and hosts
    are cut off. With ``met``, late calls reach a restarted host only
    after the leader has learnt of its incarnation; before, the host has
    nothing to refuse them by. With ``late_renewals``, a part of the lease
    renewals is late as well. With ``kept_cursors``, hosts also forget ends
    that come after the renewal that acknowledges their numbers. With
    ``gangs`` half of the jobs are gangs.
    """

    late: bool = True
    down: bool = False
    reborn: bool = False
    disturbed: bool = False
    met: bool = False
    late_renewals: bool = False
    kept_cursors: bool = False
    gangs: bool = False


MODES = {
    "late": Mode(),
    "late-down": Mode(down=True),
    "reborn": Mode(reborn=True),
    "no-late": Mode(late=False, disturbed=True),
    "all": Mode(disturbed=True),
    "all-reborn": Mode(reborn=True, disturbed=True),
    "late-met": Mode(met=True),
    "late-down-met": Mode(down=True, met=True),
    "reborn-met": Mode(reborn=True, met=True),
    "all-met": Mode(disturbed=True, met=True),
    "all-reborn-met": Mode(reborn=True, disturbed=True, met=True),
    "gangs": Mode(gangs=True),
    "gangs-reborn": Mode(gangs=True, reborn=True),
    "gangs-all": Mode(gangs=True, disturbed=True),
    "gangs-all-reborn": Mode(gangs=True, reborn=True, disturbed=True),
}
HAND_MODES = {
    "late-renewals": Mode(late=False, late_renewals=True),
    "all-late-renewals": Mode(disturbed=True, late_renewals=True),
    "kept-cursors": Mode(late=False, late_renewals=True, kept_cursors=True),
    "all-kept-cursors": Mode(
        disturbed=True, late_renewals=True, kept_cursors=True
    ),
}
"""Modes that are known to break rules, and are played by hand only."""


class Course:
    """A course of jobs and faults, which its seed and mode determine."""

    __slots__ = ("_jobs", "_mode", "_random", "made")

    def __init__(self, *, seed: int, mode: Mode) -> None:
        self._random = random.Random(seed)
        self._mode = mode
        self._jobs = 0
        self.made: worlds.World = deployment.world(
            seed=seed, **{"s-one": 4, "s-two": 3}
        )
        share = self._random.choice(LATE_SHARES)
        self.made.late_share = share if mode.late else 0.0
        if mode.late_renewals:
            self.made.late_renewal_share = LATE_RENEWAL_SHARE
        self.made.late_after_contact = mode.met
        self.made.hosts_keep_cursors = mode.kept_cursors

    def play(self) -> list[rules.Breach]:
        """Play the course up to its first breach; return all breaches."""
        for _ in range(STEPS):
            self._step()
            if self.made.rules.breaches:
                return self.made.rules.breaches
        disturbances.heal(self.made)
        self.made.run(SETTLE_S)
        self.made.check_shown_phases()
        return self.made.rules.breaches

    def _step(self) -> None:
        if self._random.random() < 0.5:
            self._submit()
        draw = self._random.random()
        if draw < 0.25:
            self._restart_one()
        elif self._mode.disturbed:
            self._disturb(draw)
        self.made.run(self._random.choice(PAUSES_S))

    def _submit(self) -> None:
        self._jobs += 1
        shapes = SHAPES
        if self._mode.gangs:
            shapes += ((GANG,),) * len(SHAPES)
        steps = self._random.choice(shapes)
        job = deployment.job(self.made, self._jobs, *steps)
        self.made.submit(self._random.choice(self.made.members), job)

    def _restart_one(self) -> None:
        host = self._random.choice(
            sorted(self.made.hosts.values(), key=lambda host: host.id)
        )
        if self._mode.reborn and self._random.random() < 0.5:
            cut_off(self.made, host, self._random.uniform(2.0, MAX_CUT_S))
            self.made.run(self._random.choice(SHORT_DOWN_S))
        if host.up:
            host.crash()
            if self._mode.down:
                self.made.run(self._random.choice(LONG_DOWN_S))
            elif self._random.random() < 0.7:
                self.made.run(self._random.choice(SHORT_DOWN_S))
        if self.made.machines[host.machine].host == host.id and not host.up:
            host.restart()

    def _disturb(self, draw: float) -> None:
        """Cut a host off, or kill, start or freeze a daemon."""
        made = self.made
        if draw < 0.33:
            made.cut_hosts ^= {self._random.choice(sorted(made.hosts))}
        elif draw < 0.40:
            member = self._random.choice(made.members)
            if member.up:
                member.kill()
            else:
                member.start()
        elif draw < 0.45:
            seconds = self._random.choice((1, 3, 5))
            self._random.choice(made.members).freeze(seconds)
        elif draw < 0.48 and made.leaders():
            made.leaders()[0].kill()


def cut_off(made: worlds.World, host: hosts.SimHost, seconds: float) -> None:
    """Cut a host off from all daemons for ``seconds``."""
    made.cut_hosts.add(host.id)
    made.clock.after(seconds, lambda: made.cut_hosts.discard(host.id))


@click.command()
@click.option(
    "--mode",
    "names",
    type=click.Choice([*MODES, *HAND_MODES]),
    multiple=True,
    default=list(MODES),
    help="Several may be given; the default is all.",
)
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--seeds", default=200, show_default=True, help="How many.")
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
