"""The sums of what accounts use, against a recount after each event."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import registry
from azurewood.scheduling import account_usage
from azurewood.scheduling import host_state
from azurewood.scheduling import listings
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import progress
from azurewood.scheduling import reducer
from azurewood.scheduling import restoration
from azurewood.scheduling import tasks
from tests.scheduling import accounts

TASK = model.TaskId("j", 0, 0, 0)
SUSPENDED_S = 60.0
LEASE_MS = 6000
FAULTS = ("kill", "freeze", "restart", "cut", "cancel")


def _disturb(made, fault, pick):
    """Inject a fault into a world."""
    hosts = [host for host in made.hosts.values() if host.up]
    host = hosts[pick % len(hosts)]
    leaders = made.leaders()
    match fault:
        case "kill" if leaders:
            leaders[0].kill()
            made.clock.after(1.0, leaders[0].start)
        case "freeze" if leaders:
            leaders[0].freeze(2.0)
        case "restart":
            host.crash()
            host.restart()
            made.publish_entry(host)
        case "cut":
            made.cut_hosts.add(host.id)
            made.clock.after(4.0, lambda: made.cut_hosts.discard(host.id))
        case "cancel":
            ids = list(made.rules.asked)
            made.cancel(made.members[pick % 3], ids[pick % len(ids)])


def _play(monkeypatch, seed, faults, late_share=0.2):
    """Play faults beside late calls; return where the sums were wrong."""
    made = accounts.world(seed=seed, a=4, b=2)
    wrong = accounts.watch(monkeypatch, made)
    made.late_share = late_share
    for number, (fault, pick) in enumerate(faults):
        for which, account in enumerate(("a", "b", "")):
            first = 100 * number + 10 * which
            steps = (accounts.ONE,) if account == "a" else ()
            accounts.submit(made, range(first, first + 2), account, *steps)
        made.run(0.5)
        _disturb(made, fault, pick)
        made.run(1.5)
    made.late_share = 0.0
    made.run(30.0)
    left = [m.member.term.state.usage.accounts() for m in made.leaders()]
    return wrong, left


COURSES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(FAULTS), strategies.integers(0, 9)
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.settings(
    max_examples=15,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(seed=strategies.integers(1, 999), faults=COURSES)
def test_sums_equal_a_recount_after_each_event(seed, faults):
    """Guards against QUOTA and LOST: a sum that drifts never recovers."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        wrong, left = _play(monkeypatch, seed, faults)
    assert not wrong
    assert left == [set()]


def _without_late_starts(monkeypatch):
    usual = late_starts.LateSteps.__init__
    monkeypatch.setattr(
        late_starts.LateSteps, "__init__", lambda self, usage=None: usual(self)
    )


def _without_restored(monkeypatch):
    usual = restoration._restore_task

    def restore(state, job, task, row, now):
        known = job.job
        job.job = msgspec.structs.replace(known, account="")
        usual(state, job, task, row, now)
        job.job = known

    monkeypatch.setattr(restoration, "_restore_task", restore)


@pytest.mark.parametrize("off", [_without_late_starts, _without_restored])
def test_the_recount_finds_what_is_not_counted(monkeypatch, off):
    """Late starts, and the runs of an earlier leader."""
    off(monkeypatch)
    faults = [("cut", 0), ("kill", 1), ("restart", 1)]
    wrong, _ = _play(monkeypatch, 3, faults, late_share=0.5)
    assert wrong


def _list_an_unknown_run(monkeypatch):
    """Begin a run that the leader does not know; return the wrong sums."""
    made = accounts.world(pools={"s-one": 1}, a=4)
    wrong = accounts.watch(monkeypatch, made)
    state = made.leaders()[0].member.term.state
    (known,) = state.hosts.values()
    known.suspended_until = made.clock.now + SUSPENDED_S
    (job_id,) = accounts.submit(made, [1], "a", accounts.LASTING)
    made.run(0.5)
    host = made.hosts[known.id]
    start = messages.StartRun(
        host=host.id,
        address=host.address,
        fence=state.fence,
        incarnation_ms=host.incarnation_ms,
        task=model.TaskId(job_id, 0, 0, 0),
        run=1,
        payload="",
        saved="",
        lease_until_ms=host.clock_ms() + LEASE_MS,
    )
    assert host.start(start, host.fence, accounts.LASTING) is None
    made.run(1.2)
    assert made.rules.starts == 1
    return wrong


def test_a_run_that_no_leader_knows_counts_until_it_has_ended(monkeypatch):
    """Guards against QUOTA: the hosts of the world tell what runs there."""
    assert not _list_an_unknown_run(monkeypatch)


def test_the_recount_finds_unknown_runs_that_are_not_counted(monkeypatch):
    monkeypatch.setattr(listings, "_counted", lambda *_: {})
    assert _list_an_unknown_run(monkeypatch)


def test_a_place_counts_once_until_its_last_reason_is_over():
    """Guards against runs that count twice, or that stop counting too soon."""
    usage = account_usage.AccountUsage()
    place = ("h1", TASK, 1)
    for _ in range(2):
        usage.add(place, "a", accounts.ONE.needs)
    assert usage.used("a") == accounts.ONE.needs
    usage.remove(place, "a")
    assert usage.used("a") == accounts.ONE.needs
    usage.remove(place, "a")
    assert usage.used("a") == model.Resources()


def test_a_limit_of_0_leaves_room_for_anything():
    """Guards against accounts without a limit that may run nothing."""
    usage = account_usage.AccountUsage()
    usage.add(("h1", TASK, 1), "a", model.Resources(3000, 500, 1))
    room = usage.room("a", model.Resources(2000, 0, 1))
    assert (room.cpu, room.gpu) == (-1000, 0)
    assert room.memory_mb > 10**9


def test_a_refused_start_that_is_repeated_brings_no_account_over_its_limit():
    """Guards against LOST: each was stopped, and so were others' starts."""
    usage = account_usage.AccountUsage()
    limit = model.Resources(4000, 0, 0)
    places = [("h1", TASK._replace(index=index), 1) for index in range(4)]
    for place in places:
        usage.add(place, "a", accounts.ONE.needs)
        usage.set_refused(place, "a", refused=True)
    for index in range(2):
        usage.add(
            ("h2", TASK._replace(index=index), 2), "a", accounts.ONE.needs
        )
    assert usage.room("a", limit).cpu == 0
    usage.add(places[0], "a", accounts.ONE.needs)
    assert usage.room("a", limit).cpu < 0
    assert not usage.is_over("a", limit)
    assert usage.is_over("a", model.Resources(2000, 0, 0))


def _listed(host, *rows):
    return messages.LeaseRenewed(
        host=host.id,
        number=host.renewals,
        incarnation_ms=1,
        clock_ms=1,
        sent_at=1.0,
        running=rows,
        ended=(),
        connected_by=1.0,
    )


def _job(account="a"):
    return model.Job(
        id="j",
        queue="one",
        service="s-one",
        payload="",
        steps=(accounts.ONE,),
        account=account,
    )


def _leader():
    state = scheduling.State(term=1, leases_expire_at=0.0)
    state.catalog = accounts.limited(a=2)
    tasks.restore_job(state, _job(), 1.0)
    entry = messages.HostEntry(
        id="h1",
        address="127.0.0.1:1",
        service="s-one",
        zone="a",
        state=messages.HostState.READY,
        capacity=model.Resources(4000, 8000, 0),
        labels=(),
        incarnation_ms=1,
    )
    reducer.handle_event(state, messages.HostSeen(entry=entry), 1.0)
    return state, state.hosts["h1"]


def test_runs_that_the_leader_does_not_hold_count_while_they_are_listed():
    """Guards against QUOTA: what an earlier leader started runs on."""
    state, host = _leader()
    row = messages.RunningRow(task=TASK, run=7, saved="", percent=0, measure=0)
    reducer.handle_event(state, _listed(host, row), 1.0)
    assert state.usage.used("a") == accounts.ONE.needs
    tasks.close(state, "j")
    reducer.handle_event(state, _listed(host, row), 1.1)
    assert state.usage.used("a") == accounts.ONE.needs
    reducer.handle_event(state, _listed(host), 1.2)
    assert not state.usage.accounts()


@pytest.mark.parametrize("index", [0, 1])
def test_runs_of_a_job_that_was_over_before_this_leader_count(index):
    """Guards against QUOTA: such runs exist until they have been stopped."""
    state, host = _leader()
    state.known_job = {"gone": _job()}.get
    id = model.TaskId("gone", 0, index, 0)
    row = messages.RunningRow(task=id, run=1, saved="", percent=0, measure=0)
    reducer.handle_event(state, _listed(host, row), 1.0)
    expected = accounts.ONE.needs if index == 0 else model.Resources()
    assert state.usage.used("a") == expected
    reducer.handle_event(state, _listed(host), 1.1)
    assert not state.usage.accounts()


def _stored(state, host):
    late = late_starts.LateStart(
        host=host.id,
        run=1,
        incarnation_ms=1,
        fence=1,
        possible_until=10.0,
        account="a",
        needs=accounts.ONE.needs,
    )
    state.add_late_start(host, (TASK, 1), late)
    return progress.encode_late_starts(state, host, 1.0)


def _next_leader(data, found=()):
    return reducer.begin(
        term=2,
        found=list(found),
        stored={"l/h1": data},
        leases_expire_at=0.0,
        order_pause_s=0.0,
        now=1.0,
    )


def test_a_new_leader_counts_late_starts_of_jobs_that_are_over():
    """Guards against QUOTA: the start may be carried out all the same."""
    data = _stored(*_leader())
    assert _next_leader(data).usage.used("a") == accounts.ONE.needs


class _OldRow(msgspec.Struct, frozen=True, array_like=True):
    """A late start as the previous release records it."""

    job: str
    occurrence: int
    step: int
    index: int
    run: int
    host_born_ms: int
    left_ms: int
    ended: bool = False
    gang: bool = True
    repeated: bool = False


class _OldRecord(msgspec.Struct, frozen=True, kw_only=True, tag="late"):
    starts: tuple[_OldRow, ...]
    version: int = 1


def test_this_release_and_the_previous_one_read_each_others_late_starts():
    """Guards against a term that ends as a record cannot be read."""
    data = _stored(*_leader())
    old = msgspec.msgpack.decode(data, type=_OldRecord)
    assert [row.job for row in old.starts] == ["j"]
    earlier = _next_leader(msgspec.msgpack.encode(old), [_job()])
    assert earlier.usage.used("a") == accounts.ONE.needs
    unknown = _next_leader(msgspec.msgpack.encode(old))
    assert unknown.hosts["h1"].late_starts and not unknown.usage.accounts()


def test_work_without_an_account_is_not_counted():
    """Guards against sums that grow for jobs of public queues."""
    state, host = _leader()
    run = host_state.Run(task=TASK, run=1, step=accounts.ONE, now=1.0)
    host.add(run)
    assert not state.usage.accounts()
    host.remove(run)


@pytest.mark.parametrize("phase", [model.Phase.COMPLETED, model.Phase.FAILED])
def test_only_jobs_that_were_stopped_may_have_runs_left(phase):
    """Guards against an account that waits for jobs that are over long since.

    Records of completed jobs may have steps, if the store was slow.
    """
    known = registry.JobRegistry()
    known.apply(records.Accepted(job=_job()))
    assert not known.stopped_jobs()
    known.apply(records.Ended(id="j", phase=phase))
    failed = phase is model.Phase.FAILED
    assert known.stopped_jobs() == ([_job()] if failed else [])
    known.apply(records.Accepted(job=_job().without_work()))
    assert not known.stopped_jobs()
