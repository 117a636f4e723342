"""A small deployment on an in-memory platform, for tests."""

import concurrent.futures

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.scheduling import messages
from standins.fleet import members
from standins.fleet import world as worlds

CATALOG = catalog.Catalog(
    version=1,
    queues={
        name: catalog.Queue(
            name=name,
            host="a.example",
            path_prefix=f"/{name}/",
            service=f"s-{name}",
            attempts=2,
            objective_factor=1.6,
            objective_ms=600,
        )
        for name in ("one", "two")
    },
    pools={
        "s-one": catalog.Pool(name="s-one"),
        "s-two": catalog.Pool(name="s-two"),
        "spare": catalog.Pool(name="spare", standby=True),
    },
)
CALLER_WAITS_S = 1.0
"""How long a caller waits in real time, while the simulated one runs fast."""
STEP = model.Step(
    count=3, needs=model.Resources(1000, 500, 0), estimate_ms=400
)
LONG_LIVED = model.Step(
    count=3, needs=model.Resources(500, 500, 0), long_lived=True, per_host=1
)


def world(
    *,
    seed: int = 1,
    members: int = 3,
    cores: tuple[float, ...] = (),
    zones: tuple[str, ...] = ("a",),
    pools_off: frozenset[str] = frozenset(),
    **pools: int,
) -> worlds.World:
    """Return a configured world whose members have elected a leader.

    ``cores`` has the number of cores of each member. Without it no member
    knows its number of cores. The machines of a pool are in ``zones`` in
    turn; those of ``pools_off`` are off and have no hosts.
    """
    counts = pools or {"s-one": 3, "s-two": 2}
    made = worlds.World(
        seed=seed,
        members=len(cores) or members,
        pools=counts,
        cores=cores,
        zones=zones,
        pools_off=pools_off,
    )
    made.configure(CATALOG)
    made.run(4.0)
    assert len(made.leaders()) == 1
    return made


def job(
    made: worlds.World,
    number: int,
    *steps: model.Step,
    queue: str = "one",
) -> model.Job:
    """Return a job with the given steps.

    The default is a step of three tasks, followed by one of two.
    """
    found = CATALOG.queues[queue]
    after = model.Step(
        count=2,
        needs=model.Resources(1000, 500, 0),
        estimate_ms=300,
        after=(0,),
    )
    return model.Job(
        id=f"{number:016x}",
        queue=queue,
        service=found.service,
        payload="payload",
        steps=steps or (STEP, after),
        accepted_ms=int(made.clock.now * 1000),
        attempts=found.attempts,
        objective_factor=found.objective_factor,
        objective_ms=found.objective_ms,
    )


def lose_starts(made: worlds.World, count: int = 1) -> list[str]:
    """Have the first starts carried out late; return their hosts' ids.

    The list grows as starts are sent.
    """
    late: list[str] = []

    def fault_of(call):
        if call.target in made.hosts and call.changes and len(late) < count:
            late.append(call.target)
            return "late"
        return ""

    made.fault_of = fault_of
    return late


def cancel(
    made: worlds.World, member: members.SimMember, job_id: str
) -> verdicts.Verdict:
    """Return the verdict on a caller's cancellation, who waits for it."""
    service = member.member.job_service
    with concurrent.futures.ThreadPoolExecutor(max_workers=1) as pool:
        fut = pool.submit(service.cancel, job_id, timeout_s=CALLER_WAITS_S)
        while not concurrent.futures.wait((fut,), timeout=0.002).done:
            made.run(0.05)
        return fut.result()


def phase(made: worlds.World, job_id: str) -> model.Phase | None:
    """Return a job's phase as shown by a live member, or None.

    It is asked for by the account of the job.
    """
    asked = made.rules.asked.get(job_id)
    account = asked.account if asked is not None else ""
    for member in made.members:
        if member.up:
            shown = member.member.job_service.show(job_id, account)
            if isinstance(shown, verdicts.JobStatus):
                return shown.phase
    return None


def running_tasks(made: worlds.World, job_id: str) -> int:
    """Return how many tasks of a job are running."""
    return len(made.rules.live(job_id))


def wave(number: int, *machines: str, max_down: int = 1):
    """Return a request for a maintenance wave."""
    return messages.WaveRequested(
        number=number, machines=machines, max_down=max_down, finish_by_s=30.0
    )


def check(made: worlds.World) -> None:
    """Fail with all rule breaches, if there are any."""
    made.check_shown_phases()
    assert not made.rules.breaches, "\n".join(map(str, made.rules.breaches))
