"""``python -m tests.soak``: run seeds of the soak and print findings."""

import concurrent.futures
import pathlib
import sys
import tempfile

import click

from tests.soak import base


@click.command()
@click.option(
    "--seed",
    "chosen",
    type=int,
    multiple=True,
    help="A seed to play; several may be given, instead of a range.",
)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=10, show_default=True, help="How many.")
@click.option("--seconds", default=20.0, show_default=True, help="Of traffic.")
@click.option("--daemons", default=4, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="Runs at once.")
@click.option("--logs", default="", help="Folder for the daemons' logs.")
def soak(chosen, first, seeds, seconds, daemons, jobs, logs):
    """Play seeds; exit with 1 if any showed a finding."""
    chosen = chosen or range(first, first + seeds)
    folder = pathlib.Path(logs or tempfile.mkdtemp(prefix="soak-"))
    click.echo(f"logs in {folder}")
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(_play, seed, folder, seconds, daemons)
            for seed in chosen
        ]
        results = [_print_result(fut.result()) for fut in futures]
    bad = [result.seed for result in results if result.findings]
    click.echo(f"{len(chosen)} seeds, {len(bad)} with findings: {bad}")
    sys.exit(bool(bad))


def _play(seed, folder, seconds, daemons):
    place = folder / str(seed)
    place.mkdir(parents=True, exist_ok=True)
    return base.play(seed=seed, folder=place, seconds=seconds, daemons=daemons)


def _print_result(result):
    click.echo(
        f"seed {result.seed}: {result.accepted} jobs, {result.starts} starts,"
        f" {len(result.faults)} faults, {len(result.findings)} findings"
    )
    for finding in result.findings:
        click.echo(f"  {finding}")
    if result.findings:
        for fault in result.faults:
            click.echo(f"    {fault}")
    return result


if __name__ == "__main__":
    soak()
