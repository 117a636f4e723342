"""Command that measures capacity, stores the run and updates the page.

Run ``python -m benchmarks.capacity``.
"""

import datetime
import os
import pathlib
import platform as host_platform
import subprocess
import tempfile
import typing

import click

from benchmarks.capacity import agreed
from benchmarks.capacity import control
from benchmarks.capacity import daemons
from benchmarks.capacity import heartbeats
from benchmarks.capacity import limits
from benchmarks.capacity import owners
from benchmarks.capacity import platform
from benchmarks.capacity import render
from benchmarks.capacity import requests
from benchmarks.capacity import results
from benchmarks.capacity import roles
from benchmarks.capacity import starts
from benchmarks.capacity import target_size
from standins import processes

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESULTS = ROOT / "benchmarks" / "results" / "capacity"
PAGE = ROOT / "docs" / "CAPACITY.md"
WHOLE_RUN = "capacity"

IN_PROCESS = {
    "agreed": agreed.measure,
    "control": control.measure,
    "heartbeats": heartbeats.measure,
    "requests": requests.measure,
    "starts": starts.measure,
    "owners": owners.measure,
}
WITH_PROCESSES = {
    "platform": platform.measure,
    "daemons": daemons.measure,
}


def _tables(piece: str) -> typing.Iterator[results.Table]:
    if piece in IN_PROCESS:
        yield from IN_PROCESS[piece]()
        return
    with (
        tempfile.TemporaryDirectory() as log_dir,
        processes.Processes(log_dir=pathlib.Path(log_dir)) as procs,
    ):
        yield from WITH_PROCESSES[piece](procs)


def _commit() -> str:
    found = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=10"],
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
    )
    return found.stdout.strip() or "unknown"


def _machine() -> str:
    cores = len(os.sched_getaffinity(0))
    version = host_platform.python_version()
    return f"{cores} cores, {host_platform.machine()}, CPython {version}"


def write_page() -> None:
    """Replace the tables of docs/CAPACITY.md with those of stored runs."""
    runs = {
        name: derived(run) for name, run in results.load_all(RESULTS).items()
    }
    PAGE.write_text(render.page(PAGE.read_text(), runs))


def derived(run: results.Run) -> results.Run:
    """Add the tables that are computed from measured tables to a run."""
    if "entry-requests" in run.tables and run.name == WHOLE_RUN:
        run.tables = target_size.derive(run.tables)
        for table in (roles.table(run.tables), limits.table(run.tables)):
            run.tables[table.name] = table
    return run


@click.command()
@click.option("--run", "name", default=WHOLE_RUN, show_default=True)
@click.option(
    "--piece",
    "pieces",
    multiple=True,
    type=click.Choice([*IN_PROCESS, *WITH_PROCESSES]),
    help="Measure only this; may be repeated.",
)
@click.option("--render-only", is_flag=True, help="Measure nothing.")
def main(name: str, pieces: tuple[str, ...], render_only: bool) -> None:
    """Measure each piece, record the run and write docs/CAPACITY.md."""
    if not render_only:
        _measure(name, pieces or (*IN_PROCESS, *WITH_PROCESSES))
    recorded = RESULTS / f"{WHOLE_RUN}.json"
    if recorded.exists():
        results.save(derived(results.load(recorded)), recorded)
    if PAGE.exists():
        write_page()


def _measure(name: str, pieces: tuple[str, ...]) -> None:
    whole = {*IN_PROCESS, *WITH_PROCESSES} <= set(pieces)
    flags = "".join(f" --piece {piece}" for piece in pieces if not whole)
    run = results.Run(
        name=name,
        command=f"python -m benchmarks.capacity --run {name}{flags}",
        commit=_commit(),
        at=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        machine=_machine(),
    )
    for piece in pieces:
        for table in _tables(piece):
            run.tables[table.name] = table
            click.echo(render.table(run, table.name))
    RESULTS.mkdir(parents=True, exist_ok=True)
    results.save(derived(run), RESULTS / f"{name}.json")


if __name__ == "__main__":
    main()
