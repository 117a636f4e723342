"""Whether something disturbs the simulated fleet, and its end."""

import typing


def are_present(world: typing.Any) -> bool:
    """Return whether a fault lasts, or a machine lacks its host."""
    return (
        world.store_down
        or world.slow != 1.0
        or any((world.cut_hosts, world.cut_zones, world.append_s))
        or any((world.lost_share, world.late_share, world.late_write_share))
        or world.late_renewal_share > 0.0
        or any(m.frozen or m.cut_from or not m.up for m in world.members)
        or any(host.failing for host in world.hosts.values())
        or any(
            machine.host and not world.hosts[machine.host].up
            for machine in world.machines.values()
        )
    )


def condition(world: typing.Any) -> object:
    """Return what changes if hosts restart or change their capacity.

    It also changes if the advice service refuses calls.
    """
    born = {
        host.id: (host.born_at, host.capacity) for host in world.hosts.values()
    }
    return born, world.advice.refused


def heal(world: typing.Any) -> None:
    """End all faults; crashed hosts are back under their ids."""
    world.store_down = False
    world.cut_hosts.clear()
    world.cut_zones.clear()
    world.lost_share = world.late_share = world.late_write_share = 0.0
    world.late_renewal_share = 0.0
    for member in world.members:
        member.cut_from.clear()
        if not member.up:
            member.start()
    for machine in world.machines.values():
        if machine.host and not world.hosts[machine.host].up:
            world.hosts[machine.host].restart()
    for host in world.hosts.values():
        host.failing = False
