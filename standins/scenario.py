"""The demo's scenario: operations and faults under constant traffic."""

import concurrent.futures
import dataclasses
import http.client
import pathlib
import threading
import time
import typing

from standins.callers import arrivals
from standins.callers import load as loads
from standins.callers import model
from standins import command_line
from standins import processes
from standins import summary
from standins import testbed

DAEMONS_PER_ZONE = 2
RATE_PER_S = 80.0
MAX_DURATION_S = 60.0
THREADS = 24
WORK_MS = "5"
PROBE_EVERY_S = 0.1
SETTLE_DELAY_S = 2.0
MAX_ROUNDS = 100_000
SWEEP_THREADS = 2
FAILED_HOST_S = 15.0
AFTER_FAULT_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """One kind of request that callers send."""

    service: str
    path: str
    method: str = "GET"
    at_most_once: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """The requests, operations and faults for one deployment."""

    requests: tuple[Request, ...]
    preset: str
    moved_host: str
    to_pool: str
    failing_host: str


PLANS: typing.Final[dict[str, Plan]] = {
    "al-hadeed": Plan(
        requests=(
            Request(service="quoting", path="/quotes/17"),
            Request(service="inspection", path="/scans/4"),
            Request(service="furnace", path="/slots/2"),
            Request(
                service="certs",
                path="/issue",
                method="POST",
                at_most_once=True,
            ),
            Request(service="backoffice", path="/stores/9"),
        ),
        preset="peak",
        moved_host="backoffice-nizwa-1-1",
        to_pool="quoting",
        failing_host="quoting-nizwa-2-1",
    ),
    "karamanlis": Plan(
        requests=(
            Request(service="field-desk", path="/readings/8"),
            Request(service="stand-office", path="/tables/3"),
            Request(service="crew-desk", path="/lookups/21"),
            Request(
                service="ministry-desk",
                path="/submit",
                method="POST",
                at_most_once=True,
            ),
            Request(service="accounts-desk", path="/billing/5"),
        ),
        preset="peak",
        moved_host="accounts-desk-larissa-1",
        to_pool="crew-desk",
        failing_host="crew-desk-trikala-1",
    ),
}


class Balancer:
    """Simulates a load balancer that sends only to ready daemons."""

    def __init__(
        self, *, daemons: list[testbed.Daemon], load: loads.Load
    ) -> None:
        self._daemons = daemons
        self._load = load
        self._stopped = threading.Event()

    def run(self) -> None:
        """Probe the daemons and restrict the load to the ready ones."""
        while not self._stopped.wait(PROBE_EVERY_S):
            ready = tuple(
                daemon.url for daemon in self._daemons if _is_ready(daemon)
            )
            if ready:
                self._load.entries = ready

    def stop(self) -> None:
        """Stop probing."""
        self._stopped.set()


def _is_ready(daemon: testbed.Daemon) -> bool:
    try:
        return daemon.operate("GET", "/readyz")["ready"]
    except (
        OSError,
        http.client.HTTPException,
        testbed.OperatorsCallError,
    ):
        return False


def calls(
    plan: Plan, *, key_prefix: str, rounds: int = MAX_ROUNDS
) -> typing.Iterator[model.Call]:
    """Yield the plan's requests in turn, ``rounds`` times."""
    for number in range(rounds):
        for request in plan.requests:
            yield model.Call(
                path=f"/{request.service}{request.path}",
                echo_path=request.path,
                method=request.method,
                key=f"{key_prefix}-{number}" if request.at_most_once else "",
                headers=(("Work-Ms", WORK_MS),),
            )


class Scenario:
    """One run of a plan on a deployment; it fills in a report."""

    def __init__(
        self,
        *,
        deployment: testbed.Deployment,
        document: pathlib.Path,
        plan: Plan,
        report: summary.Report,
        say: typing.Callable[[str], object],
    ) -> None:
        self._deployment = deployment
        self._commands = command_line.CommandLine(deployment=deployment)
        self._document = document
        self._plan = plan
        self._report = report
        self._say = say

    @property
    def _daemons(self) -> list[testbed.Daemon]:
        return list(self._deployment.daemons.values())

    def run(self) -> None:
        """Start the deployment and run the plan to the last request."""
        self._deployment.start_daemons(per_zone=DAEMONS_PER_ZONE)
        self._deployment.start_workers(apart=(self._plan.failing_host,))
        self._apply_configuration()
        swept = self._sweep()
        load = self._load()
        run = loads.Run(load=load)
        balancer = Balancer(daemons=self._daemons, load=load)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            sending = pool.submit(run.run)
            pool.submit(balancer.run)
            try:
                self._run_events()
            finally:
                run.stop()
                balancer.stop()
            results = sending.result()
        self._count(swept + results, run.elapsed_s)

    def _apply_configuration(self) -> None:
        """Publish the configuration and wait until all hosts serve."""
        begun = time.monotonic()
        processes.wait_for(
            lambda: all(d.status()["log_reachable"] for d in self._daemons),
            what="the log is read",
        )
        self._commands.checked(
            "config", "apply", str(self._document), "--wait"
        )
        self._deployment.wait_serving()
        self._record_event(
            "configuration applied, all hosts serve",
            f"{len(self._deployment.fleet.hosts)} hosts after"
            f" {time.monotonic() - begun:.1f} s",
        )

    def _sweep(self) -> list[model.Result]:
        """Send each kind of request once through each entry daemon."""
        results = []
        for entry in self._daemons:
            load = loads.Load(
                entries=(entry.url,),
                calls=calls(self._plan, key_prefix=entry.name, rounds=1),
                arrivals=arrivals.ClosedLoop(duration_s=MAX_DURATION_S),
                threads=SWEEP_THREADS,
            )
            results += loads.Run(load=load).run()
        whole = [r for r in results if r.answer is model.Answer.WHOLE]
        wanted = len(self._daemons) * len(self._plan.requests)
        self._report.check(
            "every entry host answered a request of every service",
            len(whole) == wanted,
        )
        return results

    def _load(self) -> loads.Load:
        phase = arrivals.Phase(
            rate_per_s=RATE_PER_S, duration_s=MAX_DURATION_S
        )
        return loads.Load(
            entries=tuple(entry.url for entry in self._daemons),
            calls=calls(self._plan, key_prefix="run"),
            arrivals=arrivals.OpenLoop(phases=(phase,)),
            threads=THREADS,
        )

    def _run_events(self) -> None:
        time.sleep(SETTLE_DELAY_S)
        self._use_preset()
        self._move_host()
        self._fail_host()
        self._stop_daemon()
        time.sleep(AFTER_FAULT_S)

    def _record_event(self, what: str, result: str) -> None:
        self._report.add_event(what, result)
        self._say(f"{self._report.name}: {what}: {result}")

    def _use_preset(self) -> None:
        preset = self._plan.preset
        ended = self._commands.checked_json("preset", "use", preset, "--wait")
        zones = {zone.name for zone in self._deployment.fleet.zones}
        self._report.preset = preset
        self._report.zones = ended["zones"]
        slowest = max(ended["zones"].values())
        self._record_event(
            f"preset {preset} in force", f"after {slowest:.2f} s"
        )
        in_force = {
            command_line.client(entry).status().in_force
            for entry in self._daemons
        }
        self._report.check(
            f"preset {preset} is in force in every zone and daemon",
            ended["zones"].keys() == zones and in_force == {preset},
        )

    def _move_host(self) -> None:
        host, pool = self._plan.moved_host, self._plan.to_pool
        begun = time.monotonic()
        self._commands.checked("host", "move", host, pool, "--wait")
        took = time.monotonic() - begun
        self._record_event(
            f"{host} moved to {pool}", f"serves after {took:.1f} s"
        )
        pools = {
            command_line.client(entry).agreed().hosts[host].pool
            for entry in self._daemons
        }
        self._report.check(
            f"{host} belongs to {pool} alone, in every daemon's view",
            pools == {pool},
        )

    def _fail_host(self) -> None:
        host = self._plan.failing_host
        self._deployment.workers[host].kill()
        begun = time.monotonic()
        clients = [command_line.client(entry) for entry in self._daemons]
        try:
            processes.wait_for(
                lambda: not any(c.host(host).usable for c in clients),
                what=f"{host} is used no more",
                timeout_s=FAILED_HOST_S,
            )
            held = True
        except processes.NotReadyError:
            held = False
        took = time.monotonic() - begun
        self._record_event(
            f"{host} killed", f"used no more after {took:.1f} s"
        )
        self._report.check(f"no daemon sends to {host} after it failed", held)

    def _stop_daemon(self) -> None:
        entry = self._daemons[-1]
        begun = time.monotonic()
        status = entry.process.terminate(timeout_s=20.0)
        took = time.monotonic() - begun
        self._record_event(
            f"{entry.name} stopped gracefully",
            f"exit code {status} after {took:.1f} s",
        )
        self._report.check(f"{entry.name} exited with code 0", status == 0)

    def _count(self, results: list[model.Result], elapsed_s: float) -> None:
        for request in self._plan.requests:
            prefix = f"/{request.service}/"
            own = [r for r in results if r.call.path.startswith(prefix)]
            self._report.requests.append(
                _counts(request.service, own, elapsed_s)
            )
        self._check_requests(results)

    def _check_requests(self, results: list[model.Result]) -> None:
        answers = [result.answer for result in results]
        check = self._report.check
        check(
            "no caller got a wrong or partial answer as a success",
            model.Answer.WRONG not in answers,
        )
        check(
            "no request stayed without an answer",
            model.Answer.NONE not in answers,
        )
        check(
            "every answer said whether the request ran",
            all(r.outcome for r in results if r.status),
        )


def _counts(
    service: str, results: list[model.Result], elapsed_s: float
) -> summary.RequestCounts:
    totals = model.summarize(results, elapsed_s=elapsed_s)
    return summary.RequestCounts(
        service=service,
        sent=totals.calls,
        ran=totals.outcomes.get("ran", 0),
        not_run=totals.outcomes.get("not-run", 0),
        unknown=totals.outcomes.get("unknown", 0),
        unanswered=totals.answers.get(model.Answer.NONE, 0),
        wrong=totals.answers.get(model.Answer.WRONG, 0),
        p50_ms=totals.p50_ms,
        p99_ms=totals.p99_ms,
    )
