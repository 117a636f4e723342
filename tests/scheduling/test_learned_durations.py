"""Durations and slow hosts, learned by leaders in the in-memory deployment."""

import functools
import math
import random

import msgspec
import pytest

from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.policy import durations as policy
from azurewood.policy import host_speed
from azurewood.scheduling import durations
from azurewood.scheduling import job_records
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import progress
from azurewood.scheduling import reducer
from tests.scheduling import deployment

NEEDS = model.Resources(1000, 500, 0)
STEP = model.Step(count=2, needs=NEEDS, estimate_ms=200)
BIAS = 3.0
KEY = policy.key_of("one", 0, "")


def _learning(made):
    return made.leaders()[0].member.term.state.durations


def _predicted_ms(made, key=KEY):
    return _learning(made).model.predict_ms(key, STEP.estimate_ms)


def _play(made, count=20, step=STEP, first=1):
    """Submit jobs one after the other, whose tasks take ``BIAS`` as long."""
    made.run_duration_s = lambda task, step: BIAS * step.estimate_ms / 1000
    member = next(member for member in made.members if not member.leads)
    for number in range(count):
        made.submit(member, deployment.job(made, first + number, step))
        made.run(0.25)
    made.run(1.0)


def _stored(made):
    return made.store.values(pages.Topic.PROGRESS).get(progress.DURATIONS_KEY)


def test_a_bias_of_estimates_is_learned_and_corrects_jobs():
    """Guards against work, chain and objective by estimates that are wrong."""
    made = deployment.world()
    _play(made)
    assert 450 <= _predicted_ms(made) <= 700
    job = deployment.job(made, 99, STEP)
    made.submit(made.members[0], job)
    made.run(0.15)
    state = made.leaders()[0].member.term.state.jobs[job.id]
    assert state.remaining_ms() == state.durations_ms[0] >= 450
    assert state.work() == 2 * NEEDS.cpu * state.durations_ms[0]
    length_ms = state.objective_at_ms - state.accepted_ms
    assert length_ms == pytest.approx(1.6 * state.durations_ms[0] + 600)
    deployment.check(made)


def test_good_estimates_count_as_they_are():
    """Guards against an order that changes although estimates are right."""
    made = deployment.world()
    step = msgspec.structs.replace(STEP, estimate_ms=600)
    made.run_duration_s = lambda task, step: step.estimate_ms / 1000
    for number in range(15):
        made.submit(made.members[0], deployment.job(made, number, step))
        made.run(0.3)
    assert len(_learning(made).model) == 1
    assert _learning(made).model.predict_ms(KEY, 600) == 600


def test_a_new_leader_restores_what_was_learned():
    """Guards against days that begin anew with each leader."""
    made = deployment.world()
    _play(made)
    before = _predicted_ms(made)
    made.run(durations.STORE_ALONE_S)
    made.leaders()[0].kill()
    made.run(5.0)
    assert _predicted_ms(made) == pytest.approx(before, rel=0.02)
    deployment.check(made)


def test_without_the_record_it_learns_anew(monkeypatch):
    """The test above fails with its mechanism off."""
    monkeypatch.setattr(durations, "record", lambda state, now: None)
    with pytest.raises(AssertionError):
        test_a_new_leader_restores_what_was_learned()


def test_the_record_is_written_rarely():
    """Guards against a record of the model with every batch of progress."""
    made = deployment.world()
    began_at = made.clock.now
    written = []
    real = durations.record

    def count(state, now):
        before = state.durations.store_at
        real(state, now)
        if state.durations.store_at != before:
            written.append(now)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(durations, "record", count)
        _play(made)
    assert written
    assert len(written) <= 1 + (made.clock.now - began_at) / 2.0


def test_it_learns_while_the_store_is_down():
    """Guards against a leader that stops, or forgets, with the store."""
    made = deployment.world()
    _play(made, 8)
    made.store_down = True
    made.run(2.0)
    made.store_down = False
    made.run(4.0)
    _play(made, 8, first=50)
    assert 450 <= _predicted_ms(made) <= 750
    made.run(durations.STORE_ALONE_S)
    assert _stored(made) is not None
    deployment.check(made)


LATER = msgspec.msgpack.encode(
    progress.DurationsProgress(
        rows=b"", width=policy.ROW_BYTES, version=progress.VERSION + 1
    )
)
ODD_ROWS = msgspec.msgpack.encode(
    progress.DurationsProgress(rows=b"odd", width=policy.ROW_BYTES)
)


@pytest.mark.parametrize("value", [b"\xc1", LATER, ODD_ROWS])
def test_a_record_that_cannot_be_read_is_left_as_it_is(value):
    """Guards against a later release's record that is overwritten."""
    made = deployment.world()
    record = appender.Record(key=progress.DURATIONS_KEY, value=value)
    made.store.add(pages.Topic.PROGRESS, (record,))
    made.leaders()[0].kill()
    made.run(5.0)
    assert not _learning(made).storable
    _play(made)
    made.run(durations.STORE_ALONE_S)
    assert _stored(made) == value
    deployment.check(made)


def test_the_previous_release_passes_over_the_record():
    """Guards against a leader of the previous release that cannot begin."""
    earlier = msgspec.msgpack.Decoder(
        job_records.Whole
        | job_records.Part
        | progress.WaveProgress
        | progress.OrdersProgress
        | progress.SilentProgress
        | progress.LateStartsProgress
    )
    with pytest.raises(msgspec.ValidationError):
        earlier.decode(LATER)
    assert job_records.owner_of(progress.DURATIONS_KEY) is None


@pytest.mark.parametrize(
    "changes", [{"data_rack": "rack-9"}, {"background": True}]
)
def test_runs_that_waited_or_were_far_are_no_samples(changes):
    """Guards against times that tell of the place and not of the task."""
    made = deployment.world()
    _play(made, 6, msgspec.structs.replace(STEP, **changes))
    assert made.rules.starts >= 12
    assert not len(_learning(made).model)


def _running(made):
    """Return the leader's state, and a host, run and job that go on."""
    job = deployment.job(made, 1, STEP)
    made.run_duration_s = lambda task, step: 30.0
    made.submit(made.members[0], job)
    made.run(0.3)
    state = made.leaders()[0].member.term.state
    host = next(host for host in state.hosts.values() if host.runs)
    return state, host, next(iter(host.runs.values())), state.jobs[job.id]


def test_a_resumed_run_and_members_of_a_gang_are_not_measured():
    """Guards against times of a part, or of the slowest of several hosts."""
    state, host, run, job = _running(deployment.world())
    task = job.task(run.task)
    assert run.overdue_after_s == 2 * STEP.estimate_ms / 1000
    run.overdue_after_s = None
    task.saved = "half"
    durations.expect(host, run, job, task)
    assert run.overdue_after_s is None
    task.saved = ""
    run.step = msgspec.structs.replace(STEP, gang=True)
    durations.expect(host, run, job, task)
    assert run.overdue_after_s is None


@pytest.mark.parametrize(
    ("name", "value", "samples"),
    [
        ("starts_sent", 1, 1),
        ("starts_sent", 2, 0),
        ("unanswered", True, 0),
        ("inherited", True, 0),
        ("confirmed_at", None, 0),
        ("overdue_after_s", None, 0),
    ],
)
def test_runs_with_an_unsure_start_are_no_samples(name, value, samples):
    """Guards against times that count from a start that came later."""
    made = deployment.world()
    state, host, run, job = _running(made)
    setattr(run, name, value)
    host.unheard_s = 0.0
    durations.on_done(state, host, run, job, made.clock.now)
    assert state.durations.samples == samples


def test_ends_that_were_listed_late_are_no_samples():
    """Guards against a short cut of a link that makes a host look slow."""
    made = deployment.world()
    state, host, run, job = _running(made)
    for uncalled_s, samples in ((1.0, 0), (0.01, 1)):
        now = run.confirmed_at + 2.0
        host.heard_at = now - 0.02 - uncalled_s
        durations.on_listed(host, now - 0.02, now)
        durations.on_done(state, host, run, job, now)
        assert state.durations.samples == samples


def _learned_through_gaps(estimate_ms, unheard_s, *, of_result):
    """Return what is learned of tasks of 300 ms, 3% of them seven times that.

    For ``unheard_s`` at the end of each run its host was not listened to.
    With ``of_result`` that is compared with the run's own time.
    """
    made = deployment.world()
    state, host, run, _ = _running(made)
    step = msgspec.structs.replace(STEP, count=1, estimate_ms=estimate_ms)
    source = random.Random(3)
    host.unheard_s = unheard_s
    for number in range(300):
        job = jobstates.JobState(
            job=deployment.job(made, number, step), now=0.0
        )
        durations.predict(state, job)
        task = job.task(model.TaskId(job.job.id, 0, 0, 0))
        run.task, run.step = task.id, step
        durations.expect(host, run, job, task)
        elapsed_s = 0.3 * math.exp(0.2 * source.gauss(0.0, 1.0))
        elapsed_s *= 7.0 if source.random() < 0.03 else 1.0
        if of_result:
            run.overdue_after_s = 2 * elapsed_s
        now = run.confirmed_at + elapsed_s
        durations.on_done(state, host, run, job, now)
    return state.durations.model.predict_ms(KEY, estimate_ms)


def test_gaps_in_listening_do_not_select_the_long_runs():
    """Guards against right estimates that are replaced by too long ones.

    While the store is slow, most ends are unheard for some time. If this is
    compared with the time of the run itself, the samples are the stragglers.
    """
    for unheard_s in (0.1, 0.2, 0.4):
        found = _learned_through_gaps(300, unheard_s, of_result=False)
        assert found == pytest.approx(300, rel=0.15)
    assert _learned_through_gaps(300, 0.2, of_result=True) > 600
    # Estimates that are far too long are corrected all the same.
    assert _learned_through_gaps(3000, 0.2, of_result=False) < 900


def test_the_setting_leaves_estimates_and_placement_as_they_are(monkeypatch):
    """Guards against a switch that doesn't switch."""
    real = reducer.begin

    def begin(**kwargs):
        return real(**kwargs | {"learned_durations": False})

    monkeypatch.setattr(reducer, "begin", begin)
    made = deployment.world()
    _play(made)
    assert _predicted_ms(made) > 450
    job = deployment.job(made, 99, STEP)
    made.submit(made.members[0], job)
    made.run(0.15)
    state = made.leaders()[0].member.term.state
    assert state.jobs[job.id].durations_ms == [STEP.estimate_ms]
    hosts = list(state.hosts.values())
    hosts[0].incarnation.speed.slow = True
    assert durations.slow_hosts(state, hosts, 0.0) == {}


# Slow hosts

SLOW = 5.0
SLOW_HOSTS = 3
ARRIVAL_S = 0.075
"""Pause between jobs; the sound hosts are two thirds busy by that."""
POOL = {"s-one": 12}


def _slow_down(made):
    """Let some machines be slow, whatever host they run; return them."""
    slow = {f"s-one-{number}" for number in range(SLOW_HOSTS)}
    add_host = made.add_host

    def set_speed(host):
        host.run_duration_s = functools.partial(
            _duration_s,
            random.Random(host.id),
            SLOW if host.machine in slow else 1.0,
        )
        return host

    made.add_host = lambda *args: set_speed(add_host(*args))
    for host in made.hosts.values():
        set_speed(host)
    return slow


def _duration_s(source, factor, task, step):
    tail = 7.0 if source.random() < 0.03 else 1.0
    noise = source.lognormvariate(0, 0.2)
    return factor * tail * noise * step.estimate_ms / 1000


SLOW_HOSTS_SEEDS = range(1, 5)


def _play_slow_hosts(seed=1, jobs=400):
    """Return the machines judged at any time, and the mean time of jobs.

    The first 200 jobs, while the leader learns, don't count for the mean. A
    host is judged anew after each move of its machine between pools.
    """
    made = deployment.world(seed=seed, **POOL)
    slow = _slow_down(made)
    step = msgspec.structs.replace(STEP, count=3, estimate_ms=500)
    member = next(member for member in made.members if not member.leads)
    begun, ended, judged = {}, {}, set()
    for number in range(jobs):
        job = deployment.job(made, number, step)
        begun[job.id] = made.clock.now
        made.submit(member, job)
        made.run(ARRIVAL_S)
        _note_ended(made, begun, ended)
        judged |= _judged(made)
    while len(ended) < len(begun):
        made.run(0.05)
        _note_ended(made, begun, ended)
    deployment.check(made)
    times = [ended[id] - begun[id] for id in begun]
    return judged, slow, sum(times[200:]) / len(times[200:])


def _note_ended(made, begun, ended):
    for id in begun.keys() - ended.keys():
        if deployment.phase(made, id) is model.Phase.COMPLETED:
            ended[id] = made.clock.now


def _judged(made):
    """Return the machines whose hosts are judged to be slow."""
    hosts = made.leaders()[0].member.term.state.hosts.values()
    return {
        made.hosts[host.id].machine
        for host in hosts
        if host.incarnation.speed.slow
    }


def test_slow_hosts_are_found_and_get_tasks_last(monkeypatch):
    """Guards against jobs that wait for the tasks on slow hosts."""
    aware_s = unaware_s = 0.0
    for seed in SLOW_HOSTS_SEEDS:
        judged, slow, mean_s = _play_slow_hosts(seed)
        assert judged == slow
        aware_s += mean_s
    monkeypatch.setattr(durations, "slow_hosts", lambda *args: {})
    for seed in SLOW_HOSTS_SEEDS:
        *_, mean_s = _play_slow_hosts(seed)
        unaware_s += mean_s
    assert aware_s <= 0.75 * unaware_s


def test_slow_hosts_are_used_if_there_are_no_others():
    """Guards against LOST: a pool whose hosts are all slow stands still."""
    made = deployment.world(**{"s-one": 2})
    state = made.leaders()[0].member.term.state
    for host in state.hosts.values():
        host.incarnation.speed.slow = True
    _play(made, 4)
    assert made.rules.starts == 8
    made.run(2.0)
    deployment.check(made)


def test_a_restarted_host_is_sound_until_its_runs_show_otherwise():
    """Guards against a verdict that outlives the incarnation it is about."""
    made = deployment.world()
    state = made.leaders()[0].member.term.state
    host = next(iter(state.hosts.values()))
    host.incarnation.speed.slow = True
    made.hosts[host.id].crash()
    made.hosts[host.id].restart()
    made.publish_entry(made.hosts[host.id])
    made.run(2.0)
    assert not state.hosts[host.id].incarnation.speed.slow


def test_slow_and_recovered_hosts_are_logged():
    """Guards against an operator who cannot see why a host stays idle."""
    made = deployment.world()
    state = made.leaders()[0].member.term.state
    host = next(iter(state.hosts.values()))
    for step in range(3):
        host.incarnation.speed.on_ended(step, 2.0, 0.1, made.clock.now)
    durations._judge(state, host, made.clock.now)
    for probe in range(2):
        host.incarnation.speed.on_ended(
            f"probe-{probe}", 0.0, 0.1, made.clock.now
        )
    durations._judge(state, host, made.clock.now)
    logged = [
        effect.event
        for effect in state.effects
        if isinstance(effect, messages.LogEvent)
    ]
    assert logged[-2:] == ["host.slow", "host.recovered"]
    assert host_speed.FIRST_PROBE_S >= 1.0
