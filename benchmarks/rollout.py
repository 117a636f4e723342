"""Measure the time from an operator's call until every daemon applies it.

``python -m benchmarks.rollout`` starts the example ``karamanlis.yaml`` with
two entry daemons per zone. It switches presets through the daemons in turn,
in phases with and without failures. Each time is measured from before the
call until the time of the last daemon's ``preset_in_force`` log line.
"""

import contextlib
import dataclasses
import datetime
import json
import pathlib
import tempfile
import time
import typing

import click
from hdrh import histogram

from azurewood.fleet import document
from azurewood.state import effects
from benchmarks import results
from standins import processes
from standins import testbed

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "karamanlis.yaml"
BOUND_MS = 4000
"""The maximum time of a roll-out during a failure."""
TARGET_MS = 500
"""The target for a roll-out without failures."""
IN_FORCE_TIMEOUT_S = 10.0
MAX_MS = 60000


@dataclasses.dataclass(slots=True, kw_only=True)
class Phase:
    """A series of preset switches during one injected failure."""

    name: str
    faults: dict[str, typing.Any]
    bound_ms: int


PHASES = (
    Phase(name="no failure", faults={}, bound_ms=TARGET_MS),
    Phase(
        name="platform answers 200 ms late",
        faults={"delay_ms": 200},
        bound_ms=BOUND_MS,
    ),
    Phase(
        name="a zone cut from the platform",
        faults={"cut_zones": ["trikala"]},
        bound_ms=BOUND_MS,
    ),
    Phase(
        name="every answer to an append lost",
        faults={"lose_answers": 1},
        bound_ms=BOUND_MS,
    ),
    Phase(
        name="every second append refused",
        faults={"append_fails": 1},
        bound_ms=BOUND_MS,
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """The roll-out times of one phase, in milliseconds."""

    phase: str
    changes: int
    median_ms: int
    p99_ms: int
    worst_ms: int
    bound_ms: int
    holds: bool


def run_phase(
    deployment: testbed.Deployment, phase: Phase, changes: int
) -> Row:
    """Switch presets during a failure and return the roll-out times."""
    deployment.platform.post("/v1/faults", **phase.faults)
    cut = set(phase.faults.get("cut_zones", ()))
    reachable = [
        daemon
        for daemon in deployment.daemons.values()
        if daemon.zone not in cut
    ]
    if cut:
        _wait_cut(deployment, cut)
    times = histogram.HdrHistogram(1, MAX_MS, 3)
    for number in range(changes):
        deployment.platform.post("/v1/faults", **phase.faults)
        times.record_value(
            _switch(deployment, reachable[number % len(reachable)])
        )
    deployment.platform.post(
        "/v1/faults", delay_ms=0, cut_zones=[], lose_answers=0, append_fails=0
    )
    _wait_reachable(deployment)
    worst = times.get_max_value()
    return Row(
        phase=phase.name,
        changes=changes,
        median_ms=times.get_value_at_percentile(50),
        p99_ms=times.get_value_at_percentile(99),
        worst_ms=worst,
        bound_ms=phase.bound_ms,
        holds=worst <= phase.bound_ms,
    )


def _wait_cut(deployment: testbed.Deployment, zones: set[str]) -> None:
    for daemon in deployment.daemons.values():
        if daemon.zone in zones:
            processes.wait_for(
                lambda daemon=daemon: not daemon.status()["log_reachable"],
                what=f"{daemon.name} is cut off",
            )


def _wait_reachable(deployment: testbed.Deployment) -> None:
    for daemon in deployment.daemons.values():
        processes.wait_for(
            lambda daemon=daemon: daemon.status()["log_reachable"],
            what=f"{daemon.name} reads the log",
        )


def _switch(deployment: testbed.Deployment, daemon: testbed.Daemon) -> int:
    """Switch the preset; return the time until all daemons apply it, in ms."""
    in_force = daemon.status()["in_force"]
    preset = "peak" if in_force != "peak" else "ordinary"
    begun = time.time()
    resolved = daemon.use_preset(preset)
    if resolved.resolution != effects.Resolution.ACCEPTED:
        raise testbed.OperatorsCallError(
            f"preset switch was not accepted: {resolved}"
        )
    last = max(
        processes.wait_for(
            lambda each=each: _in_force_at(each, resolved.revision),
            what=f"revision {resolved.revision} in {each.name}",
            timeout_s=IN_FORCE_TIMEOUT_S,
        )
        for each in deployment.daemons.values()
    )
    return max(1, round((last - begun) * 1000))


def _in_force_at(daemon: testbed.Daemon, revision: int) -> float:
    """Return when a daemon logged a revision as in force, or 0.0."""
    for line in reversed(daemon.process.output().splitlines()):
        if '"preset_in_force"' not in line:
            continue
        fields = json.loads(line)
        if fields["revision"] >= revision:
            at = datetime.datetime.fromisoformat(fields["time"])
            return at.timestamp()
        return 0.0
    return 0.0


@contextlib.contextmanager
def started(log_dir: pathlib.Path) -> typing.Iterator[testbed.Deployment]:
    """Run the daemons of the example fleet, without workers."""
    fleet = document.load(EXAMPLE.read_text(), EXAMPLE.name)
    with processes.Processes(log_dir=log_dir) as running:
        deployment = testbed.Deployment(running=running, fleet=fleet)
        deployment.start_daemons(per_zone=2)
        deployment.publish()
        deployment.wait_in_force(fleet.preset)
        yield deployment


@click.command()
@click.option("--changes", default=100, show_default=True, help="Per phase.")
@click.option("--record/--no-record", default=False, help="Keep the table.")
def main(changes: int, record: bool) -> None:
    """Measure roll-out times; exit with 1 if a bound is exceeded."""
    with (
        tempfile.TemporaryDirectory() as directory,
        started(pathlib.Path(directory)) as deployment,
    ):
        rows = [run_phase(deployment, phase, changes) for phase in PHASES]
    table = results.table(rows)
    click.echo(table)
    if record:
        results.save("rollout", "python -m benchmarks.rollout", rows)
    if not all(row.holds for row in rows):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
