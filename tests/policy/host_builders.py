"""Hosts for tests of decisions, without a platform."""

from azurewood.jobs import model as jobs
from azurewood.scheduling import host_state
from azurewood.scheduling import messages


def make_host(id, *, labels=()):
    """Return a ready host of four cores."""
    host = host_state.Host(id=id, leases_expire_at=0.0, fence=1)
    host.describe(
        messages.HostEntry(
            id=id,
            address=f"{id}:80",
            service="s",
            zone="a",
            state=messages.HostState.READY,
            capacity=jobs.Resources(4000, 8000, 0),
            labels=labels,
            incarnation_ms=1,
        )
    )
    return host
