"""The demo: run the example deployments side by side, with faults.

``python -m standins.demo`` exits with status 1 if any check failed.
"""

import concurrent.futures
import os
import pathlib
import sys
import tempfile
import time

import click

from azurewood.fleet import document
from standins import command_line
from standins import exceptions
from standins import processes
from standins import scenario
from standins import summary
from standins import testbed

EXAMPLES = ("al-hadeed", "karamanlis")
EXAMPLES_DIR = pathlib.Path("examples")
FIRST_NETWORK = 20
NETWORKS = 200
PLATFORM_ARGS = (
    "--host-list-lag-ms",
    "300",
    "--heartbeat-timeout-ms",
    "1000",
)


def _network(name: str) -> int:
    """Return a loopback network derived from the process id.

    Demos that run at the same time on a machine rarely share a network.
    """
    place = len(EXAMPLES) * os.getpid() + EXAMPLES.index(name)
    return FIRST_NETWORK + place % NETWORKS


@click.command()
@click.option(
    "--example",
    "examples",
    multiple=True,
    default=EXAMPLES,
    show_default=True,
    type=click.Choice(EXAMPLES),
)
@click.option("--work-dir", help="Where logs go; a new directory if unset.")
def main(examples: tuple[str, ...], work_dir: str | None) -> None:
    """Run the scenario on each example deployment."""
    place = pathlib.Path(work_dir or tempfile.mkdtemp(prefix="azurewood-"))
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(len(examples)) as pool:
        reports = list(
            pool.map(_run, examples, [place / name for name in examples])
        )
    for report in reports:
        click.echo(summary.render(report))
    failed = [check for report in reports for check in report.failures]
    elapsed = time.monotonic() - begun
    click.echo(f"\n{elapsed:.0f} s in all; the processes' logs: {place}")
    if failed:
        click.echo(f"FAILED: {len(failed)} things that must hold did not")
        sys.exit(1)
    click.echo("all that must hold did")


def _run(name: str, place: pathlib.Path) -> summary.Report:
    click.echo(f"{name}: starting ...")
    fleet = command_line.load_example(
        EXAMPLES_DIR / f"{name}.yaml", network=_network(name)
    )
    place.mkdir(parents=True, exist_ok=True)
    path = place / f"{name}.yaml"
    path.write_text(document.dump(fleet), encoding="utf-8")
    report = summary.Report(name=name)
    with processes.Processes(log_dir=place / "logs") as running:
        started = testbed.Deployment(
            running=running, fleet=fleet, platform_args=PLATFORM_ARGS
        )
        try:
            scenario.Scenario(
                deployment=started,
                document=path,
                plan=scenario.PLANS[name],
                report=report,
                say=click.echo,
            ).run()
        except (exceptions.StandinError, OSError) as exc:
            report.check(f"the scenario ran to its end ({exc})", False)
    return report


if __name__ == "__main__":
    main()
