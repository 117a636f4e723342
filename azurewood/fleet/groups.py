"""Short forms of a document: host groups and pools that consist of groups.

A group is expanded to ``count`` hosts in one zone. Their names have the form
``group-zone-number``, with numbers that begin at ``first``. Their addresses
are consecutive and begin at ``address``. All are in ``rack``, or they are
distributed over ``racks`` round robin.
"""

from collections import abc
import dataclasses
import ipaddress
import typing

from azurewood.fleet import model

MAX_HOSTS: typing.Final = 20000


@dataclasses.dataclass(slots=True, kw_only=True)
class HostGroup:
    """A group of hosts that differ only in number, address and rack."""

    group: str
    zone: str
    address: str
    rack: str = ""
    racks: tuple[str, ...] = ()
    count: int = 1
    first: int = 1
    cores: int = 16
    memory_gb: int = 32
    accelerators: int = 0
    slots: int = 8
    connections: int = 64


@dataclasses.dataclass(slots=True, kw_only=True)
class GroupedPool:
    """A pool that lists its hosts by name, by host group, or both."""

    name: str
    hosts: tuple[str, ...] = ()
    groups: tuple[str, ...] = ()
    spare: bool = False


def expand(group: HostGroup) -> abc.Iterator[model.Host]:
    """Yield the hosts of a group.

    If the zone, rack or address of the group is None, so is that of each
    host. Raise ValueError if the address range is too long for IPv4 or IPv6.
    """
    racks = group.racks or (group.rack,)
    for index in range(group.count):
        yield model.Host(
            name=f"{group.group}-{group.zone}-{group.first + index}",
            zone=group.zone,
            rack=racks[index % len(racks)],
            address=_address(group.address, index),
            cores=group.cores,
            memory_gb=group.memory_gb,
            accelerators=group.accelerators,
            slots=group.slots,
            connections=group.connections,
        )


def _address(first: str | None, index: int) -> str | None:
    if first is None:
        return None
    try:
        return str(ipaddress.ip_address(first) + index)
    except ipaddress.AddressValueError as exc:
        raise ValueError("addresses leave the address space") from exc
    except ValueError:
        return first if index == 0 else None
