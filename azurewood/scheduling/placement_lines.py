"""Log lines about placed tasks."""

from azurewood.scheduling import jobstates
from azurewood.scheduling import model


def log_placed(
    state: model.State,
    job: jobstates.JobState,
    placed: list[jobstates.Task],
    ready: int,
) -> None:
    """Log the hosts on which runs of a step were placed."""
    if placed:
        state.log_event(
            "step.placed",
            job=job.job.id,
            account=job.job.account,
            occurrence=placed[0].id.occurrence,
            step=placed[0].id.step,
            runs=" ".join(f"{t.id.index}:{t.run}@{t.host}" for t in placed),
            left=ready - len(placed),
            waited_ms=int(state.clock_ms - job.accepted_ms),
            far=_count_far(state, job, placed),
        )


def _count_far(
    state: model.State, job: jobstates.JobState, placed: list[jobstates.Task]
) -> int:
    """Return how many tasks were placed outside the rack of their data."""
    rack = job.step_of(placed[0].id).data_rack
    if not rack:
        return 0
    entries = [state.hosts[task.host].entry for task in placed]
    return sum(bool(entry) and rack not in entry.labels for entry in entries)
