"""Learns durations and the speed of hosts from the runs that end.

The model is `azurewood.policy.durations`, and `azurewood.policy.host_speed`
judges hosts. The model is stored in the progress topic for later leaders.
"""

from collections import abc
import math
import typing

import msgspec

from azurewood.policy import durations as policy
from azurewood.policy import host_speed
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import progress

STORE_INTERVAL_S: typing.Final = 2.0
"""Shortest time between two records of the model."""
STORE_ALONE_S: typing.Final = 10.0
"""Time after which the model is stored without any other record."""
MIN_RUN_S: typing.Final = 0.001
"""Shorter runs count as this long, as the model is in milliseconds."""
CHECK_INTERVAL_S: typing.Final = 1.0
"""Pause between checks for runs that take too long."""
LOG_INTERVAL_S: typing.Final = 10.0
RENEWAL_WAIT_S: typing.Final = 1.0
"""How long a host may delay its list until a run ends."""
MAX_UNHEARD_SHARE: typing.Final = 0.25
"""Largest share of a run's time in which its end may have been unheard. For
samples of the model it is that of the expected time: by their own times, only
the long runs would be samples. For hosts' speeds it is that of the run's own
time, so that the runs of slow hosts count."""
BATCH: typing.Final = 8
"""Ended tasks of a step that are added to the model at once."""
MIN_SAMPLES: typing.Final = 3.0
"""Steps of a key from which on its expected times tell of a host's speed."""
MIN_SIBLINGS: typing.Final = 2
"""Ended tasks of a step from which on its expected time does so."""


def restore(
    state: scheduling.State,
    stored: abc.Mapping[str, progress.Progress | None],
) -> None:
    """Restore the model from the records of an earlier leader.

    A record that cannot be read is left as it is. This leader then learns
    anew and stores nothing.
    """
    if progress.DURATIONS_KEY not in stored:
        return
    record = stored[progress.DURATIONS_KEY]
    if isinstance(record, progress.DurationsProgress):
        try:
            state.durations.model.decode(record.rows, record.width)
            return
        except ValueError:
            state.log_event("progress.unreadable", key=progress.DURATIONS_KEY)
    state.durations.storable = False


def predict(state: scheduling.State, job: jobstates.JobState) -> None:
    """Set the predicted durations of a job's steps."""
    if not state.durations.used:
        return
    model = state.durations.model
    job.set_durations(
        {
            number: model.predict_ms(_key(job, number), step.estimate_ms)
            for number, step in enumerate(job.job.steps)
            if not step.long_lived
        }
    )


def _key(job: jobstates.JobState, number: int) -> bytes:
    image = job.job.steps[number].image
    return policy.key_of(job.job.queue, number, image)


def on_listed(host: host_state.Host, sent_at: float, now: float) -> None:
    """Note for how long a run may have ended without being listed.

    A list answers a call that was sent at ``sent_at``. A host answers a call
    as soon as a run ends, but there is none while a record is stored or the
    host is unreachable.
    """
    uncalled_s = sent_at - host.heard_at
    late_s = now - sent_at - RENEWAL_WAIT_S
    host.unheard_s = uncalled_s if uncalled_s > late_s else late_s
    host.heard_at = now


def expect(
    host: host_state.Host,
    run: host_state.Run,
    job: jobstates.JobState,
    task: jobstates.Task,
) -> None:
    """Note from when on a run that is placed takes too long.

    The time of a run that resumes, is far from its data, or waits for others,
    as members of a gang and background runs do, tells nothing.
    """
    step = run.step
    if step.long_lived or step.background or step.gang or task.saved:
        return
    if step.data_rack and step.data_rack not in host.entry.labels:
        return
    expected_s = job.durations_ms[task.id.step] / 1000
    run.overdue_after_s = host_speed.SLOW_MULTIPLE * expected_s


def on_done(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    job: jobstates.JobState,
    now: float,
) -> None:
    """Learn from a run that ended and has done its task.

    It runs at the end of every run, so it makes few function calls.
    """
    if run.overdue_after_s is None or run.confirmed_at is None:
        return
    if run.inherited or run.unanswered or run.starts_sent != 1:
        return
    elapsed_s = now - run.confirmed_at
    expected_s = run.overdue_after_s / host_speed.SLOW_MULTIPLE or elapsed_s
    is_sample = host.unheard_s <= MAX_UNHEARD_SHARE * expected_s
    is_timed = host.unheard_s <= MAX_UNHEARD_SHARE * elapsed_s
    if not is_sample and not is_timed:
        return
    log_ms = math.log(elapsed_s * 1000) if elapsed_s > MIN_RUN_S else 0.0
    number = run.task.step
    evidence = job.evidence.get(number)
    if evidence is None:
        evidence = _begin_step(state, job, number, log_ms)
    speed = host.incarnation.speed
    log_ratio = log_ms - evidence.log_ms
    if is_timed and (speed.suspected or log_ratio > host_speed.SLOW_LOG_RATIO):
        _count_run(state, host, run, evidence, log_ratio, now)
    if not is_sample:
        return
    learned = state.durations
    learned.samples += 1
    learned.prediction_errors += log_ratio if log_ratio > 0 else -log_ratio
    if evidence.estimate_log is not None:
        error = log_ms - evidence.estimate_log
        learned.estimated += 1
        learned.estimate_errors += error if error > 0 else -error
    evidence.add(log_ms)
    left = job.undone[run.task.occurrence, number]
    if evidence.pending >= BATCH or left == 1:
        _learn(state, job, number, evidence)
    moved = evidence.log_ms - evidence.applied_log
    if not -policy.NEGLIGIBLE < moved < policy.NEGLIGIBLE:
        _set_expected(state, job, number, evidence)


def _begin_step(
    state: scheduling.State,
    job: jobstates.JobState,
    number: int,
    log_ms: float,
) -> policy.Evidence:
    """Return the evidence for a step of which no task has ended before."""
    estimate_ms = job.job.steps[number].estimate_ms
    prior = state.durations.model.predict(_key(job, number), estimate_ms)
    if prior is None:
        prior = policy.Prediction(log_ms, policy.WITHIN_VARIANCE, 0.0)
    evidence = policy.Evidence(prior=prior, estimate_ms=estimate_ms)
    job.evidence[number] = evidence
    return evidence


def _learn(
    state: scheduling.State,
    job: jobstates.JobState,
    number: int,
    evidence: policy.Evidence,
) -> None:
    """Add the tasks of a step that have ended to the model."""
    log_ms, count = evidence.take_pending()
    step = job.job.steps[number]
    key = _key(job, number)
    share = count / step.count
    state.durations.model.add(key, step.estimate_ms, log_ms, share)
    state.durations.changed = True


def _set_expected(
    state: scheduling.State,
    job: jobstates.JobState,
    number: int,
    evidence: policy.Evidence,
) -> None:
    """Correct the expected duration of the step's other tasks."""
    evidence.applied_log = evidence.log_ms
    if state.durations.used:
        estimate_ms = job.job.steps[number].estimate_ms
        expected_ms = policy.to_ms(evidence.log_ms, estimate_ms)
        job.set_durations({number: expected_ms})


def _count_run(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    evidence: policy.Evidence,
    log_ratio: float,
    now: float,
) -> None:
    """Let an ended run count for the speed of its host."""
    if _is_reliable(evidence):
        host.incarnation.speed.on_ended(
            jobstates.step_key(run.task),
            log_ratio,
            evidence.variance + policy.WITHIN_VARIANCE,
            now,
        )
        _judge(state, host, now)


def _is_reliable(evidence: policy.Evidence) -> bool:
    """Return whether an expected time tells how fast a host is."""
    return evidence.samples >= MIN_SAMPLES or evidence.count >= MIN_SIBLINGS


def check(state: scheduling.State, now: float) -> None:
    """Look for runs that take too long, and report what was learned."""
    learned = state.durations
    if now >= learned.check_at:
        learned.check_at = now + CHECK_INTERVAL_S
        busy = [host for host in state.hosts.values() if host.runs]
        for host in busy:
            for run in host.runs.values():
                if run.overdue_after_s is None or run.confirmed_at is None:
                    continue
                if host.heard_at - run.confirmed_at > run.overdue_after_s:
                    _check_run(state, host, run, now)
    if learned.samples and now >= learned.log_at:
        learned.log_at = now + LOG_INTERVAL_S
        _log_errors(state)


def _check_run(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    now: float,
) -> None:
    """Let a run count that has taken too long already.

    Its time is counted until the host's newest list, which has it.
    """
    job = state.jobs.get(run.task.job)
    running = run.phase is host_state.RunPhase.RUNNING
    if job is None or not running or run.inherited or run.unanswered:
        return
    number = run.task.step
    elapsed_ms = (host.heard_at - run.confirmed_at) * 1000
    log_ms = policy.to_log(elapsed_ms)
    evidence = job.evidence.get(number)
    if evidence is None:
        estimate_ms = run.step.estimate_ms
        prior = state.durations.model.predict(_key(job, number), estimate_ms)
        if prior is None:
            return
        evidence = policy.Evidence(prior=prior, estimate_ms=estimate_ms)
    if _is_reliable(evidence):
        host.incarnation.speed.on_overdue(
            jobstates.step_key(run.task),
            log_ms - evidence.log_ms,
            evidence.variance + policy.WITHIN_VARIANCE,
        )
        _judge(state, host, now)


def _judge(state: scheduling.State, host: host_state.Host, now: float) -> None:
    speed = host.incarnation.speed
    if speed.judge(now):
        state.log_event(
            "host.slow" if speed.slow else "host.recovered",
            host=host.id,
            service=host.entry.service if host.entry else "",
            incarnation=host.incarnation.began_ms,
            runs=len(host.runs),
            used=state.durations.used,
        )


def slow_hosts(
    state: scheduling.State, hosts: list[host_state.Host], now: float
) -> dict[str, bool]:
    """Return the slow hosts and whether each is to be probed now."""
    if not state.durations.used:
        return {}
    return {
        host.id: now >= host.incarnation.speed.probe_at
        and not any(_is_timed(run) for run in host.runs.values())
        for host in hosts
        if host.incarnation.speed.slow
    }


def _is_timed(run: host_state.Run) -> bool:
    return not (run.step.long_lived or run.step.background)


def _log_errors(state: scheduling.State) -> None:
    """Log how far estimates and predictions were off, as factors."""
    learned = state.durations
    estimated = max(1, learned.estimated)
    state.log_event(
        "durations.learned",
        keys=len(learned.model),
        samples=learned.samples,
        estimates_off=round(math.exp(learned.estimate_errors / estimated), 3),
        predictions_off=round(
            math.exp(learned.prediction_errors / learned.samples), 3
        ),
        used=learned.used,
    )
    learned.clear_errors()


def record(state: scheduling.State, now: float) -> None:
    """Store the changed model with the next batch of progress records.

    Without other records it waits until ``store_alone_at``.
    """
    learned = state.durations
    if not learned.storable or state.saving_effects is not None:
        return
    others = state.values or state.dirty_jobs or state.dirty_late_starts
    if not others and now < learned.store_alone_at:
        return
    learned.changed = False
    learned.store_at = now + STORE_INTERVAL_S
    learned.store_alone_at = now + STORE_ALONE_S
    state.values[progress.DURATIONS_KEY] = msgspec.msgpack.encode(
        progress.DurationsProgress(
            rows=learned.model.encode(), width=policy.ROW_BYTES
        )
    )
