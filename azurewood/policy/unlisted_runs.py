"""Decides how much may run that no host has listed to a new leader.

The load: all daemons lose power, and some hosts with them. Jobs were cancelled
or failed shortly before, and no record tells which of their tasks still run.
If all of them count until the last host has listed its runs, an account is at
its limit by tasks that have long ended, and its other jobs wait beside free
hosts for one host that is gone for good. If none of them count, the account
exceeds its limit by runs whose stops have not arrived.

So they count as far as the hosts that have not listed could run them. A host
whose machine is down or has another host runs nothing of before.
"""

from collections import abc
import dataclasses

import msgspec

from azurewood.jobs import model


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HostView:
    """What a leader knows of a host.

    ``listed`` is whether the host has listed its runs to this leader, and
    ``leases_expire_at`` when all leases given by earlier ones have expired.
    ``silent`` is whether it doesn't answer, or has no entry. ``on_machine`` is
    whether a list of machines names it on one that isn't down.
    """

    listed: bool
    leases_expire_at: float
    silent: bool
    on_machine: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Tasks:
    """What tasks of stopped jobs use, if all of them run.

    Of ``needs``, ``reserved`` is what counts against the capacities of hosts.
    """

    needs: model.Resources = model.Resources()
    reserved: model.Resources = model.Resources()

    def with_step(self, step: model.Step) -> "Tasks":
        """Return the sum with all tasks of a step."""
        return Tasks(
            needs=self.needs.plus(step.needs.times(step.count)),
            reserved=self.reserved.plus(step.reserved.times(step.count)),
        )


def may_have_runs(host: HostView, now: float, *, machines_known: bool) -> bool:
    """Return whether a host may have runs of before that it has not listed.

    ``machines_known`` is whether a list of machines is known that shows what
    has ended since earlier leaders placed their last runs.
    """
    if host.listed or now > host.leases_expire_at:
        return False
    return not (machines_known and host.silent and not host.on_machine)


def most_used(
    tasks: Tasks, hosts: int, largest: model.Resources
) -> model.Resources:
    """Return the most that tasks may use on a number of hosts.

    ``largest`` is the capacity of the largest machine, zero if not known.
    """
    if largest == model.Resources():
        return tasks.needs
    room = largest.times(hosts)
    beyond = tasks.needs.minus(tasks.reserved)
    return _smallest_of_each((tasks.reserved, room)).plus(beyond)


def _smallest_of_each(
    amounts: abc.Sequence[model.Resources],
) -> model.Resources:
    values = zip(*map(msgspec.structs.astuple, amounts), strict=True)
    return model.Resources(*map(min, values))
