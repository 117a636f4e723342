"""Starts without an answer, which a host may carry out seconds later.

In the incarnation that a start was sent to, the run is barred by a stop or by
its end, and the lease that the start carries expires on the host's clock. An
incarnation that begins later knows of neither, and its clock starts anew. So
a start without an answer is remembered until it can no longer take effect:

* When a host has restarted, its new incarnation refuses the start once it
  has got a call with a higher fencing token. Until then a run that it does
  not list may still begin.
* When a host is silent, it may have restarted unnoticed. The task of such a
  run starts elsewhere only once a lease that a late start obtained has
  expired too.

No call tells a host which incarnation it is for. A start that is carried out
in an incarnation that the leader has not reached yet is only found on its
list.
"""

from azurewood.scheduling import model
from azurewood.scheduling import runs


def forget_impossible(host: model.Host, now: float) -> None:
    """Forget the starts whose runs can no longer exist."""
    host.late_starts = {
        key: late
        for key, late in host.late_starts.items()
        if now <= late.possible_until + runs.MAX_LEASE_S
    }


def expires_at(host: model.Host, run: model.Run) -> float:
    """Return when all leases under which a run may exist have expired."""
    late = host.late_starts.get(run.key)
    if late is None:
        return host.leases_expire_at
    return max(host.leases_expire_at, late.possible_until + runs.MAX_LEASE_S)


def is_barred(host: model.Host, run: model.Run) -> bool:
    """Return whether a run that the host does not list can't begin late.

    The host refuses it if the list was requested with a higher fence.
    """
    late = host.late_starts.get(run.key)
    if late is None or late.incarnation_ms == host.incarnation_ms:
        return True
    return late.fence < host.renewal_fence


def raise_fence(state: model.State, host: model.Host) -> None:
    """Raise the fencing token of a host that has restarted, if possible."""
    if state.fence > host.fence:
        host.fence = state.fence
        host.fence_due = False
