"""Measure urgent latency and goodput under overload and failures.

``python -m benchmarks.overload`` runs six entry daemons in three zones in
front of two services with six workers each. With ``--proxy naive`` it
measures baseline proxies instead: round robin over the same workers, with
no queue, no limit and no retry. Callers send urgent, normal and deferrable
requests in an open loop.

The capacity is workers x 8 slots / service time. Loads are multiples of the
capacity; a tenth of the requests are urgent.
"""

import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import tempfile
import typing

import click

from azurewood.fleet import model
from benchmarks import results
from standins import processes
from standins import testbed

ZONES = ("z1", "z2", "z3")
NETWORK = "127.8"
WORK_MS = 200
SLOTS = 8
WORKERS_PER_ZONE = 2
URGENT_SHARE = 0.1
DEFERRABLE_SHARE = 0.2
SCENARIO_DURATION_S = 6.0
DEADLINE_MS = 1000
CALLER_TIMEOUT_MS = 2500
CALLS_PER_THREAD_AND_S = 0.8
MAX_URGENT_LATENCY_RATIO = 2.0
"""The target for urgent p99 latency at 5x load, relative to unloaded."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Scenario:
    """A load per service, as a multiple of capacity, and a failure.

    ``fail`` injects the failure before the load; ``recover`` ends it after.
    """

    name: str
    loads: dict[str, float]
    fail: collections.abc.Callable[["Bench"], None] | None = None
    recover: collections.abc.Callable[["Bench"], None] | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """Answers to the callers of one urgency class in one scenario."""

    proxy: str
    scenario: str
    service: str
    urgency: str
    sent: int
    whole: int
    not_run: int
    unknown_or_none: int
    wrong: int
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Bench:
    """The processes of a run; ``entries`` has base URLs per service."""

    running: processes.Processes
    deployment: testbed.Deployment
    entries: dict[str, list[str]]
    proxy: str


def capacity_per_s() -> float:
    """Return how many requests per second a service's slots allow."""
    workers = WORKERS_PER_ZONE * len(ZONES)
    return workers * SLOTS * 1000 / WORK_MS


def make_fleet(ports: dict[str, int]) -> model.Fleet:
    """Return a fleet of two services, each with hosts in every zone."""
    hosts = tuple(
        model.Host(
            name=f"{service}-{zone}-{number}",
            zone=zone,
            rack=f"{zone}-r{number}",
            address=f"{NETWORK}.{place}.{number + 10 * zone_number}",
        )
        for place, service in enumerate(ports, 1)
        for zone_number, zone in enumerate(ZONES)
        for number in range(1, WORKERS_PER_ZONE + 1)
    )
    return model.Fleet(
        deployment="overload",
        zones=tuple(model.Zone(name=zone, region="r") for zone in ZONES),
        hosts=hosts,
        pools=tuple(
            model.Pool(
                name=service,
                hosts=tuple(
                    host.name
                    for host in hosts
                    if host.name.startswith(f"{service}-")
                ),
                spare=service == list(ports)[-1],
            )
            for service in ports
        ),
        services=tuple(_service(name, port) for name, port in ports.items()),
        presets=(model.Preset(name="ordinary"),),
        preset="ordinary",
    )


def _service(name: str, port: int) -> model.Service:
    return model.Service(
        name=name,
        pool=name,
        port=port,
        deadline_ms=DEADLINE_MS,
        quota=0.5,
        routes=(
            model.Route(prefix="/urgent", urgency=model.Urgency.URGENT),
            model.Route(
                prefix="/deferrable", urgency=model.Urgency.DEFERRABLE
            ),
            model.Route(prefix="/normal"),
        ),
    )


@contextlib.contextmanager
def started(
    directory: pathlib.Path, proxy: str
) -> collections.abc.Iterator[Bench]:
    """Start the workers and the proxies that are measured."""
    ports = {
        name: processes.free_port(f"{NETWORK}.{place}.1")
        for place, name in enumerate(("desk", "office"), 1)
    }
    with processes.Processes(log_dir=directory) as running:
        deployment = testbed.Deployment(
            running=running, fleet=make_fleet(ports)
        )
        deployment.start_workers(per_process=1)
        deployment.start_daemons(per_zone=2)
        deployment.publish()
        deployment.wait_serving()
        entries = _daemon_entries(deployment)
        if proxy == "naive":
            entries = _start_baseline(running, deployment, ports)
        yield Bench(
            running=running,
            deployment=deployment,
            entries=entries,
            proxy=proxy,
        )


def _daemon_entries(deployment: testbed.Deployment) -> dict[str, list[str]]:
    urls = [
        f"http://{processes.LOOPBACK}:{daemon.port}"
        for daemon in deployment.daemons.values()
    ]
    return {service.name: urls for service in deployment.fleet.services}


def _start_baseline(
    running: processes.Processes,
    deployment: testbed.Deployment,
    ports: dict[str, int],
) -> dict[str, list[str]]:
    """Start three baseline proxies for each service."""
    entries: dict[str, list[str]] = {}
    for service, port in ports.items():
        targets = [
            word
            for host in deployment.fleet.hosts
            if host.name.startswith(f"{service}-")
            for word in ("--target", f"http://{host.address}:{port}")
        ]
        for _ in ZONES:
            listen = processes.free_port()
            running.start_ready(
                f"naive-{service}",
                "standins.passthrough",
                *("--listen", f"{processes.LOOPBACK}:{listen}"),
                *targets,
                ready=lambda listen=listen: processes.is_listening(
                    processes.LOOPBACK, listen
                ),
            )
            url = f"http://{processes.LOOPBACK}:{listen}"
            entries.setdefault(service, []).append(url)
    return entries


def run(bench: Bench, scenario: Scenario) -> collections.abc.Iterator[Row]:
    """Run one scenario and yield a row per service and urgency class."""
    if scenario.fail is not None:
        scenario.fail(bench)
    started_callers = [
        (service, urgency, _start_callers(bench, service, urgency, load))
        for service, load in scenario.loads.items()
        for urgency in ("urgent", "normal", "deferrable")
    ]
    for service, urgency, callers in started_callers:
        callers.popen.wait(SCENARIO_DURATION_S * 5 + 30)
        summary = json.loads(callers.output().splitlines()[-1])
        yield _row(bench.proxy, scenario.name, service, urgency, summary)
    if scenario.recover is not None:
        scenario.recover(bench)


def _start_callers(
    bench: Bench, service: str, urgency: str, load: float
) -> processes.Process:
    share = {
        "urgent": URGENT_SHARE,
        "deferrable": DEFERRABLE_SHARE,
        "normal": 1 - URGENT_SHARE - DEFERRABLE_SHARE,
    }[urgency]
    entries = [
        word for url in bench.entries[service] for word in ("--entry", url)
    ]
    rate = capacity_per_s() * load * share
    return bench.running.start(
        f"callers-{service}-{urgency}",
        "standins.callers",
        *entries,
        *("--path", f"/{service}/{urgency}"),
        *("--echo-path", f"/{urgency}"),
        *("--header", f"Work-Ms:{WORK_MS}"),
        *("--rate-per-s", str(rate)),
        *("--duration-s", str(SCENARIO_DURATION_S)),
        *("--threads", str(16 + round(rate / CALLS_PER_THREAD_AND_S))),
        *("--timeout-ms", str(CALLER_TIMEOUT_MS)),
    )


def _row(
    proxy: str,
    scenario: str,
    service: str,
    urgency: str,
    summary: dict[str, typing.Any],
) -> Row:
    answers = summary["answers"]
    not_run = summary["outcomes"].get("not-run", 0)
    lost = summary["calls"] - answers.get("whole", 0) - not_run
    wrong = answers.get("wrong", 0)
    return Row(
        proxy=proxy,
        scenario=scenario,
        service=service,
        urgency=urgency,
        sent=summary["calls"],
        whole=answers.get("whole", 0),
        not_run=not_run,
        unknown_or_none=lost - wrong,
        wrong=wrong,
        p50_ms=summary["p50_ms"],
        p99_ms=summary["p99_ms"],
    )


def _kill_rack(bench: Bench) -> None:
    """Kill the workers of one rack of each service."""
    for name, process in bench.deployment.workers.items():
        if name.endswith("-z1-1"):
            process.kill()


def _stall_connections(bench: Bench) -> None:
    """Make a sixth of the hosts stop answering on open connections."""
    for name, control in bench.deployment.controls.items():
        if name.endswith("-z3-2"):
            control.post("/control/behaviour", silent="old")


def _resume_connections(bench: Bench) -> None:
    for name, control in bench.deployment.controls.items():
        if name.endswith("-z3-2"):
            control.post("/control/behaviour", silent="no")


def _cut_zone(bench: Bench) -> None:
    bench.deployment.platform.post("/v1/faults", cut_zones=["z2"])


def _reconnect_zone(bench: Bench) -> None:
    bench.deployment.platform.post("/v1/faults", cut_zones=[])


SCENARIOS = (
    Scenario(name="unloaded", loads={"desk": 0.2}),
    Scenario(name="1x", loads={"desk": 1.0}),
    Scenario(name="2x", loads={"desk": 2.0}),
    Scenario(name="5x", loads={"desk": 5.0}),
    Scenario(name="one service at 5x", loads={"desk": 5.0, "office": 0.5}),
    Scenario(
        name="2x, a zone cut from the platform",
        loads={"desk": 2.0},
        fail=_cut_zone,
        recover=_reconnect_zone,
    ),
    Scenario(
        name="0.5x, connections of a sixth of the hosts silent",
        loads={"desk": 0.5},
        fail=_stall_connections,
        recover=_resume_connections,
    ),
    Scenario(name="2x, a rack lost", loads={"desk": 2.0}, fail=_kill_rack),
)


def urgent_latency_ratio(rows: list[Row], proxy: str, scenario: str) -> float:
    """Return urgent p99 latency of "desk", relative to the unloaded run."""
    urgent = {
        row.scenario: row.p99_ms
        for row in rows
        if (row.proxy, row.service, row.urgency) == (proxy, "desk", "urgent")
    }
    return urgent[scenario] / max(urgent["unloaded"], 1e-9)


@click.command()
@click.option("--proxy", "proxies", multiple=True, default=("azurewood",))
@click.option("--only", multiple=True, help="Names of scenarios.")
@click.option("--record/--no-record", default=False, help="Keep the table.")
def main(
    proxies: tuple[str, ...], only: tuple[str, ...], record: bool
) -> None:
    """Run the scenarios; exit with 1 if urgent latency misses its target."""
    rows: list[Row] = []
    for proxy in proxies:
        with (
            tempfile.TemporaryDirectory() as directory,
            started(pathlib.Path(directory), proxy) as bench,
        ):
            for scenario in SCENARIOS:
                if not only or scenario.name in only:
                    rows.extend(run(bench, scenario))
                    click.echo(results.table(rows[-3:]))
    if record:
        results.save("overload", "python -m benchmarks.overload", rows)
    if not only and "azurewood" in proxies:
        factor = urgent_latency_ratio(rows, "azurewood", "5x")
        click.echo(f"urgent p99 at 5x over unloaded: {factor:.2f}")
        raise SystemExit(factor > MAX_URGENT_LATENCY_RATIO)


if __name__ == "__main__":
    main()
