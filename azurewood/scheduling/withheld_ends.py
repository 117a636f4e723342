"""Run ends that are not acknowledged while a start of their task may be late.

The platform doesn't count such an end yet. The leader does.
"""

from azurewood.scheduling import host_state
from azurewood.scheduling import messages
from azurewood.scheduling import model


def withhold(
    state: model.State,
    host: host_state.Host,
    row: messages.EndedRow,
    now: float,
) -> None:
    """Don't acknowledge an end while a start of its run may be late.

    Ends that bar no further run need not be withheld.
    """
    if row.how not in (messages.End.DONE, messages.End.FAILED):
        return
    possible = tuple(
        late
        for late in state.late_steps.of_end(row.task)
        if now <= late.possible_until
    )
    if not possible:
        return
    host.incarnation.ends.withhold(row.number, possible)
    until = max(late.possible_until for late in possible)
    state.log_event(
        "end.withheld",
        job=row.task.job,
        task=str(tuple(row.task[1:])),
        run=row.run,
        host=host.id,
        incarnation=host.incarnation.began_ms,
        for_ms=int((until - now) * 1000),
    )
