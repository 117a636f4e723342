"""A played load on one pool: accounts with skewed weights and peaks.

The demand of the queue rises to five times its mean for some seconds. One
account sends twelve times its usual rate meanwhile, if asked for.
"""

import collections
import dataclasses
import random
import types

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.policy import load_shedding
from azurewood.scheduling import account_shares
from azurewood.scheduling import jobstates
from azurewood.scheduling import load
from azurewood.scheduling import model as scheduling

ACCOUNTS = 20
WEIGHTS = {f"a{n:02d}": 12.0 / (n + 1) for n in range(ACCOUNTS)}
FLOODING = "a00"
POOL = "pool"
STEP_MS = 50
BEAT_MS = 400
END_MS = 18_000
PEAK_MS = (4_000, 10_000)
FLOOD_MS = (5_000, 9_000)
CAPACITY = model.Resources(48_000, 100_000, 0)
MEAN_JOBS_PER_S = 12.0
ESTIMATE_SPREAD = 0.5
CATALOG = catalog.Catalog(
    version=1,
    queues={
        "q": catalog.Queue(name="q", host="h", path_prefix="/", service=POOL)
    },
    pools={POOL: catalog.Pool(name=POOL)},
    accounts={
        name: catalog.Account(name=name, weight=weight)
        for name, weight in WEIGHTS.items()
    },
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """The fate of each job: when it ended or was refused, in ms."""

    jobs: dict[str, model.Job]
    ended: dict[str, float]
    refused: dict[str, float]

    def useful(self, job_id, multiple=load_shedding.WORTHLESS_AFTER):
        """Return whether a job ended within a multiple of its length."""
        job = self.jobs[job_id]
        length = job.objective_at_ms() - job.accepted_ms
        end = self.ended.get(job_id, float("inf"))
        return end <= job.accepted_ms + multiple * length

    def in_time(self, *, without=""):
        """Return the share of each account's jobs that meet their goal."""
        counts = collections.defaultdict(list)
        for job in self.jobs.values():
            if job.account != without:
                counts[job.account].append(self.useful(job.id, 1.0))
        return {name: sum(c) / len(c) for name, c in counts.items()}


def make_job(id, account, accepted_ms, *, cpu=1000, count=1, ms=600, **step):
    """Return a job with one step."""
    return model.Job(
        id=id,
        queue="q",
        service=POOL,
        payload="",
        account=account,
        steps=(
            model.Step(
                count=count,
                needs=model.Resources(cpu, 100, 0),
                estimate_ms=ms,
                **step,
            ),
        ),
        accepted_ms=int(accepted_ms),
        objective_factor=1.6,
        objective_ms=600,
    )


def arrivals(seed, *, flood):
    """Return the arriving jobs, with the same others whether one floods."""
    found = []
    total = sum(WEIGHTS.values())
    for name, weight in WEIGHTS.items():
        source = random.Random(f"{seed} {name}")
        now = 0.0
        number = 0
        while now < END_MS:
            rate = MEAN_JOBS_PER_S * weight / total
            flooding = flood and name == FLOODING
            if flooding and FLOOD_MS[0] <= now < FLOOD_MS[1]:
                rate *= 12
            elif PEAK_MS[0] <= now < PEAK_MS[1]:
                rate *= 5
            now += source.expovariate(rate / 1000)
            number += 1
            job = make_job(
                f"{name}-{number}",
                name,
                now,
                cpu=source.choice((500, 1000, 1500)),
                count=source.randint(1, 4),
                ms=source.randint(300, 900),
            )
            found.append(job)
    return sorted(found, key=lambda job: job.accepted_ms)


def state_of(accounts=True):
    """Return the state of a leader that has only a configuration."""
    state = scheduling.State(term=1, leases_expire_at=0.0)
    state.catalog = CATALOG
    if not accounts:
        state.catalog = dataclasses.replace(CATALOG, accounts=None)
    return state


def host():
    """Return one host with the capacity of the whole pool."""
    entry = types.SimpleNamespace(capacity=CAPACITY)
    return types.SimpleNamespace(present=True, entry=entry)


def by_shares(state, found):
    """Return the jobs in the order of `azurewood.scheduling`."""
    return account_shares.order(state, found, [host()])


def first_come(state, found):
    """Return the jobs in the order of their arrival, as baseline."""
    return found


def play(coming, order, *, shed=False, accounts=True):
    """Play arriving jobs on the pool; return their fate."""
    state = state_of(accounts)
    outcome = Outcome(jobs={j.id: j for j in coming}, ended={}, refused={})
    left = collections.deque(coming)
    running = []
    queues = ()
    found = {}
    for now in range(0, END_MS + 12_000, STEP_MS):
        state.clock_ms = state.unix_ms = float(now)
        for run in [run for run in running if run[0] <= now]:
            running.remove(run)
            _end(found, run, outcome, now)
        while left and left[0].accepted_ms <= now:
            job = left.popleft()
            decided = load_shedding.decide(job, queues, 0.2)
            if shed and isinstance(decided, load_shedding.Refuse):
                outcome.refused[job.id] = now
                continue
            found[job.id] = jobstates.JobState(job=job, now=now / 1000)
        _start(order(state, list(found.values())), running, now)
        if shed and now % BEAT_MS == 0:
            queues = tuple(
                load.loaded_queues(state, POOL, list(found.values()), CAPACITY)
            )
    return outcome


def _start(ordered, running, now):
    free = CAPACITY.cpu - sum(run[1].needs.cpu for run in running)
    for job in ordered:
        step = job.job.steps[0]
        for task in job.tasks():
            if step.needs.cpu > free:
                break
            if task.phase is jobstates.TaskPhase.WAITING:
                free -= step.needs.cpu
                job.set_phase(task, jobstates.TaskPhase.OPEN)
                factor = random.Random(str(task.id)).lognormvariate(
                    0.0, ESTIMATE_SPREAD
                )
                end = now + step.estimate_ms * factor
                running.append((end, step, job, task))


def _end(found, run, outcome, now):
    _, _, job, task = run
    job.set_phase(task, jobstates.TaskPhase.DONE)
    if job.done:
        outcome.ended[job.job.id] = now
        del found[job.job.id]
