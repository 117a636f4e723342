"""Compare an entry daemon with a pass-through proxy under closed-loop load.

``python -m benchmarks.throughput`` measures the throughput and the processor
time per request of one entry daemon and of one proxy without any policy,
built on the same two libraries. Both run at the same time in front of
the same six workers. Each is loaded in alternating rounds by 16 callers in a
closed loop.
"""

import dataclasses
import json
import pathlib
import statistics
import sys
import tempfile
import typing

import click
import psutil

from azurewood.fleet import model
from benchmarks import results
from standins import processes
from standins import testbed

CALLERS = 16
WORKERS = 6
NETWORK = "127.7.1"
MIN_THROUGHPUT_SHARE = 0.85
"""The daemon's target throughput, as a share of the pass-through's."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """Results of one program: medians over its rounds, total failures."""

    program: str
    rounds: int
    requests_per_s: float
    cpu_us_per_request: float
    p50_ms: float
    p99_ms: float
    not_answered: int
    share_of_bare: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Round:
    """Results of one program in one round; ``rate`` is per second."""

    rate: float
    cpu_us: float
    p50_ms: float
    p99_ms: float
    failed: int


def make_fleet(port: int) -> model.Fleet:
    """Return a fleet of one zone and one service on six hosts."""
    names = tuple(f"w{number}" for number in range(1, WORKERS + 1))
    return model.Fleet(
        deployment="throughput",
        zones=(model.Zone(name="z", region="r"),),
        hosts=tuple(
            model.Host(
                name=name,
                zone="z",
                rack=f"rack-{name}",
                address=f"{NETWORK}.{number}",
            )
            for number, name in enumerate(names, 1)
        ),
        pools=(model.Pool(name="desk", hosts=names, spare=True),),
        services=(model.Service(name="desk", pool="desk", port=port),),
        presets=(model.Preset(name="ordinary"),),
        preset="ordinary",
    )


def start(
    running: processes.Processes,
) -> tuple[testbed.Daemon, processes.Process, int]:
    """Start all processes; return the daemon, the proxy and its port."""
    port = processes.free_port(f"{NETWORK}.1")
    deployment = testbed.Deployment(running=running, fleet=make_fleet(port))
    deployment.start_workers(per_process=2)
    daemon = deployment.start_daemon("entry", "z")
    deployment.publish()
    deployment.wait_serving()
    bare_port = processes.free_port()
    targets = [
        word
        for host in deployment.fleet.hosts
        for word in ("--target", f"http://{host.address}:{port}")
    ]
    bare = running.start_ready(
        "bare",
        "standins.passthrough",
        *("--listen", f"{processes.LOOPBACK}:{bare_port}"),
        *targets,
        ready=lambda: processes.is_listening(processes.LOOPBACK, bare_port),
    )
    return daemon, bare, bare_port


def measure(
    running: processes.Processes,
    process: processes.Process,
    port: int,
    seconds: float,
) -> Round:
    """Send load to one program for ``seconds`` and return the results."""
    watched = psutil.Process(process.pid)
    before = sum(watched.cpu_times()[:2])
    callers = running.start(
        "callers",
        "standins.callers",
        *("--entry", f"http://{processes.LOOPBACK}:{port}"),
        *("--path", "/desk/lookups/1", "--echo-path", "/lookups/1"),
        *("--threads", str(CALLERS)),
        *("--duration-s", str(seconds)),
    )
    callers.popen.wait(seconds * 4 + 10)
    used = sum(watched.cpu_times()[:2]) - before
    summary = json.loads(callers.output().splitlines()[-1])
    return _round(summary, used)


def _round(summary: dict[str, typing.Any], used: float) -> Round:
    total = summary["calls"]
    whole = summary["answers"].get("whole", 0)
    return Round(
        rate=whole / summary["elapsed_s"],
        cpu_us=used / max(1, total) * 1e6,
        p50_ms=summary["p50_ms"],
        p99_ms=summary["p99_ms"],
        failed=total - whole,
    )


def row(program: str, rounds: list[Round]) -> Row:
    """Summarize the rounds of a program in a result row."""
    return Row(
        program=program,
        rounds=len(rounds),
        requests_per_s=statistics.median(item.rate for item in rounds),
        cpu_us_per_request=statistics.median(item.cpu_us for item in rounds),
        p50_ms=statistics.median(item.p50_ms for item in rounds),
        p99_ms=statistics.median(item.p99_ms for item in rounds),
        not_answered=sum(item.failed for item in rounds),
    )


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--seconds", default=3.0, show_default=True)
@click.option("--record/--no-record", default=False, help="Keep the table.")
def main(rounds: int, seconds: float, record: bool) -> None:
    """Measure both programs; exit with 1 if the target is missed."""
    bare_rounds, daemon_rounds = [], []
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.Processes(log_dir=pathlib.Path(directory)) as running,
    ):
        daemon, bare, bare_port = start(running)
        for _ in range(rounds):
            bare_rounds.append(measure(running, bare, bare_port, seconds))
            daemon_rounds.append(
                measure(running, daemon.process, daemon.port, seconds)
            )
    rows = [row("bare pass-through", bare_rounds)]
    rows.append(row("entry daemon", daemon_rounds))
    rows[1].share_of_bare = rows[1].requests_per_s / rows[0].requests_per_s
    click.echo(results.table(rows))
    if record:
        results.save("throughput", "python -m benchmarks.throughput", rows)
    sys.exit(rows[1].share_of_bare < MIN_THROUGHPUT_SHARE)


if __name__ == "__main__":
    main()
