"""Choice of a host: the sorted index against a linear search."""

import hypothesis
from hypothesis import strategies
import msgspec

from azurewood.incarnations import late_starts
from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages

LABELS = ("kind-a", "rack-0", "rack-1")
HOST_IDS = tuple(f"h{number}" for number in range(6))

AMOUNTS = strategies.builds(
    jobs.Resources,
    strategies.sampled_from((0, 500, 1000, 1500)),
    strategies.sampled_from((0, 300, 800)),
    strategies.integers(0, 1),
)
ROOMS = strategies.builds(
    jobs.Resources,
    strategies.sampled_from((1000, 2000, 4000)),
    strategies.sampled_from((500, 1000, 4000)),
    strategies.integers(0, 2),
)
STEPS = strategies.builds(
    jobs.Step,
    count=strategies.integers(1, 6),
    needs=AMOUNTS,
    label=strategies.sampled_from(("", "kind-a")),
    data_rack=strategies.sampled_from(("", "rack-0", "rack-1")),
    per_host=strategies.integers(0, 2),
    long_lived=strategies.booleans(),
    background=strategies.booleans(),
)
HOSTS = strategies.tuples(
    ROOMS, strategies.lists(strategies.sampled_from(LABELS), unique=True)
)
SUBSETS = strategies.none() | strategies.sets(
    strategies.sampled_from(HOST_IDS)
)
PICKS = strategies.tuples(
    strategies.integers(0, 2),
    strategies.sets(strategies.sampled_from(HOST_IDS), max_size=2),
    SUBSETS,
    strategies.booleans(),
)


def _host(id, capacity, labels):
    host = host_state.Host(id=id, leases_expire_at=0.0, fence=1)
    host.describe(
        messages.HostEntry(
            id=id,
            address="",
            service="s",
            zone="a",
            state=messages.HostState.READY,
            capacity=capacity,
            labels=tuple(labels),
            incarnation_ms=1,
        )
    )
    return host


def _room(host):
    """Return the free resources, computed from the host's runs."""
    free = host.entry.capacity
    for run in host.runs.values():
        free = free.minus(run.step.reserved)
    return free


def _let_wait(host):
    """Let the host have a start without an answer."""
    late = late_starts.LateStart(
        host=host.id,
        run=1,
        incarnation_ms=1,
        fence=1,
        possible_until=12.0,
    )
    host.late_starts.add((jobs.TaskId("late", 0, 0, 0), 1), late)


def _search_linearly(hosts, step, task, avoid_waiting, slow):
    """Return the best host, found by examining all hosts and their runs."""

    def here(host):
        return sum(run.task[:3] == task.id[:3] for run in host.runs.values())

    def suits(host):
        if not step.reserved.fits(_room(host)):
            return False
        waits = host.late_starts or host.incarnation.ends.withheld
        count = host.incarnation.ends.listed + len(host.runs)
        if waits and count >= 500 and not step.long_lived:
            return False
        if step.label and step.label not in host.entry.labels:
            return False
        return not step.per_host or here(host) < step.per_host

    def rank(host):
        failed = host.id in task.avoid
        far = step.data_rack and step.data_rack not in host.entry.labels
        free = _room(host).cpu
        if not step.long_lived:
            waits = avoid_waiting and bool(host.late_starts)
            last = host.id in slow and not (slow[host.id] and not host.runs)
            return (failed, last, bool(far), waits, free, host.id)
        half = here(host) >= (step.count + 1) // 2
        long_lived = any(run.step.long_lived for run in host.runs.values())
        last = host.id in slow
        return (failed, last, bool(far), half, not long_lived, -free, host.id)

    return min(filter(suits, hosts), key=rank, default=None)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    described=strategies.lists(HOSTS, min_size=1, max_size=len(HOST_IDS)),
    steps=strategies.lists(STEPS, min_size=3, max_size=3),
    picks=strategies.lists(PICKS, max_size=25),
    waiting=strategies.sets(strategies.sampled_from(HOST_IDS)),
    full=strategies.sets(strategies.sampled_from(HOST_IDS)),
    avoid_waiting=strategies.booleans(),
    slow=strategies.dictionaries(
        strategies.sampled_from(HOST_IDS), strategies.booleans()
    ),
)
def test_index_chooses_the_same_host_as_a_linear_search(
    described, steps, picks, waiting, full, avoid_waiting, slow
):
    hosts = [
        _host(id, *given)
        for id, given in zip(HOST_IDS, described, strict=False)
    ]
    for host in hosts:
        if host.id in waiting:
            _let_wait(host)
        if host.id in full:
            host.incarnation.ends.listed = 499
    ids = {host.id for host in hosts}
    slow = {id: probe for id, probe in slow.items() if id in ids}
    rooms = host_choice.HostIndex(
        hosts=hosts, avoid_waiting=avoid_waiting, slow=slow
    )
    if len(slow) == len(hosts):
        slow = {}
    for index, (number, avoid, among, kept) in enumerate(picks):
        step = steps[number]
        task = jobstates.Task(id=jobs.TaskId("j", 0, number, index))
        task.avoid = avoid
        allowed = [h for h in hosts if among is None or h.id in among]
        expected = _search_linearly(allowed, step, task, avoid_waiting, slow)
        found = rooms.choose(step, task, among)
        assert found is expected
        if found is not None and kept:
            run = host_state.Run(task=task.id, run=1, step=step, now=0.0)
            rooms.add(found, run)
        elif found is not None:
            rooms.reserve(found, step, task)
            rooms.release(found, step, task)
        assert rooms.largest_free() == jobs.largest_of_each(map(_room, hosts))


def test_few_hosts_are_passed_over_as_ends_wait_there():
    capacity = jobs.Resources(1000, 1000, 0)
    hosts = [_host(f"h{number:03}", capacity, ()) for number in range(100)]
    for host in hosts[:-1]:
        _let_wait(host)
    step = jobs.Step(count=1, needs=capacity)
    task = jobstates.Task(id=jobs.TaskId("j", 0, 0, 0))
    few = host_choice.HostIndex(hosts=hosts[-10:], avoid_waiting=True)
    assert few.choose(step, task) is hosts[-1]
    many = host_choice.HostIndex(hosts=hosts, avoid_waiting=True)
    assert many.choose(step, task) is hosts[0]


LIMITED = jobs.Step(
    count=3,
    needs=jobs.Resources(500, 0, 0),
    per_host=1,
    long_lived=True,
)


def _late_sibling():
    """Return a host where one task of a step may start late, and an index."""
    host = _host("h0", jobs.Resources(4000, 4000, 0), LABELS)
    late = late_starts.LateStart(
        host=host.id, run=1, incarnation_ms=1, fence=1, possible_until=12.0
    )
    host.late_starts.add((jobs.TaskId("j", 0, 0, 0), 1), late)
    return host, host_choice.HostIndex(hosts=[host])


def test_a_place_is_left_to_the_task_that_may_start_on_no_other_host():
    """Guards against LOST: its place was taken, and it waited for 12 s."""
    host, rooms = _late_sibling()
    other = jobstates.Task(id=jobs.TaskId("j", 0, 0, 1))
    assert rooms.choose(LIMITED, other) is None
    bound = jobstates.Task(id=jobs.TaskId("j", 0, 0, 0))
    assert rooms.only_host(LIMITED, bound, "h0") is host


def test_two_tasks_that_may_start_on_one_host_only_leave_it_to_no_one():
    host, rooms = _late_sibling()
    late = late_starts.LateStart(
        host=host.id, run=1, incarnation_ms=1, fence=1, possible_until=12.0
    )
    host.late_starts.add((jobs.TaskId("j", 0, 0, 1), 1), late)
    other = jobstates.Task(id=jobs.TaskId("j", 0, 0, 1))
    assert rooms.only_host(LIMITED, other, "h0") is host


def test_a_task_that_runs_there_needs_no_further_place():
    host, rooms = _late_sibling()
    step = msgspec.structs.replace(LIMITED, per_host=2)
    run = host_state.Run(
        task=jobs.TaskId("j", 0, 0, 0), run=1, step=step, now=0.0
    )
    rooms.add(host, run)
    other = jobstates.Task(id=jobs.TaskId("j", 0, 0, 1))
    assert rooms.choose(step, other) is host


def test_a_slow_host_gets_one_task_as_a_probe_and_no_gang():
    """Guards against a probe that sends several tasks to a slow host."""
    capacity = jobs.Resources(1000, 1000, 0)
    slow = _host("h0", capacity, ())
    sound = _host("h1", jobs.Resources(2000, 2000, 0), ())
    step = jobs.Step(count=2, needs=jobs.Resources(100, 100, 0))
    task = jobstates.Task(id=jobs.TaskId("j", 0, 0, 0))
    rooms = host_choice.HostIndex(hosts=[slow, sound], slow={"h0": True})
    gang = msgspec.structs.replace(step, gang=True)
    assert rooms.choose(gang, task) is sound
    assert rooms.choose(step, task) is slow
    rooms.reserve(slow, step, task)
    assert rooms.choose(step, task) is sound
    rooms.release(slow, step, task)
    assert rooms.choose(step, task) is slow


def test_the_cost_of_a_start_does_not_grow_with_the_slow_hosts(monkeypatch):
    """Guards against starts that examine all slow hosts of a full pool."""
    room = jobs.Resources(4000, 4000, 0)
    none = jobs.Resources(0, 4000, 0)
    hosts = [
        _host(f"h{number:03}", room if number else none, ())
        for number in range(100)
    ]
    slow = {host.id: False for host in hosts[1:]}
    rooms = host_choice.HostIndex(hosts=hosts, slow=slow)
    examined = []
    real = host_choice.suits
    monkeypatch.setattr(
        host_choice,
        "suits",
        lambda *args: examined.append(args) or real(*args),
    )
    step = jobs.Step(count=1, needs=jobs.Resources(1000, 500, 0))
    task = jobstates.Task(id=jobs.TaskId("j", 0, 0, 0))
    assert rooms.choose(step, task) is hosts[1]
    assert len(examined) == 1
