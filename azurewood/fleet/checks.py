"""Checks of a whole configuration, registered under the tag ``fleet``.

Each check takes an `azurewood.fleet.draft.Draft`. Checks skip values that
are None: these could not be read, and the reader has reported them.
"""

import collections
from collections import abc
import ipaddress
import itertools
import re
import typing

from azurewood.checks import base
from azurewood.fleet import draft
from azurewood.fleet import model

TAG: typing.Final = "fleet"
NAME: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,79}\Z")
NAMED_SECTIONS: typing.Final = (
    "zones",
    "hosts",
    "pools",
    "services",
    "teams",
    "presets",
)
Findings = abc.Iterator[base.Finding]
Entry = tuple[draft.Path, typing.Any]


def entries(subject: draft.Draft, section: str) -> abc.Iterator[Entry]:
    """Yield the path and the object of each item in a section."""
    for index, item in enumerate(getattr(subject.fleet, section)):
        yield (section, index), item


def names(subject: draft.Draft, section: str) -> set[str]:
    """Return the names of the items in a section."""
    return {item.name for item in getattr(subject.fleet, section)}


def find_duplicates(
    items: abc.Iterable[tuple[draft.Path, abc.Hashable, str]],
) -> abc.Iterator[tuple[draft.Path, abc.Hashable, str]]:
    """Yield path, key and first holder of each repeated occurrence of a key.

    Items whose key is None are skipped.
    """
    holders: dict[abc.Hashable, str] = {}
    for path, key, holder in items:
        if key is None:
            continue
        if key in holders:
            yield path, key, holders[key]
        holders.setdefault(key, holder)


@base.register(TAG)
def check_names(subject: draft.Draft) -> Findings:
    """Check that names are well formed and unique in their section."""
    top = (("deployment",), subject.fleet.deployment)
    listed = [
        ((*path, "name"), item.name)
        for section in NAMED_SECTIONS
        for path, item in entries(subject, section)
    ]
    for path, name in (top, *listed):
        if name is not None and not NAME.match(name):
            yield subject.finding(
                "azurewood.E101",
                path,
                f"{name[:80]!r} is not a name",
                "letters, digits, '-', '_' and '.', at most 80",
            )
    for section in NAMED_SECTIONS:
        named = (
            (path, item.name, item.name)
            for path, item in entries(subject, section)
        )
        for path, name, _ in find_duplicates(named):
            yield subject.finding(
                "azurewood.E102", path, f"{section}: duplicate name {name!r}"
            )


@base.register(TAG)
def check_sections(subject: draft.Draft) -> Findings:
    """Check that the required sections are not empty."""
    for section in ("zones", "hosts", "pools", "services", "presets"):
        if not getattr(subject.fleet, section):
            yield subject.finding(
                "azurewood.E103", (section,), f"section {section!r} is empty"
            )


@base.register(TAG)
def check_references(subject: draft.Draft) -> Findings:
    """Check that referenced zones, pools, hosts, teams and presets exist."""
    fleet = subject.fleet
    references = itertools.chain(
        _references(subject, "hosts", "zone", "zones"),
        _references(subject, "services", "pool", "pools"),
        _references(subject, "services", "team", "teams"),
        _pool_hosts(subject),
        _targets(subject),
        [(("preset",), "preset in force", fleet.preset, "presets")],
    )
    known = {section: names(subject, section) for section in NAMED_SECTIONS}
    for path, holder, name, section in references:
        if name and name not in known[section]:
            yield subject.finding(
                "azurewood.E104",
                path,
                f"{holder}: {name!r} is not defined in {section}",
            )


def _references(subject, section, field, target):
    for path, item in entries(subject, section):
        holder = f"{section} {item.name!r}"
        yield (*path, field), holder, getattr(item, field), target


def _pool_hosts(subject):
    for path, pool in entries(subject, "pools"):
        for index, host in enumerate(pool.hosts):
            place = (*path, "hosts", index)
            yield place, f"pool {pool.name!r}", host, "hosts"


def _targets(subject):
    for path, preset in entries(subject, "presets"):
        for index, target in enumerate(preset.targets):
            place = (*path, "targets", index, "pool")
            yield place, f"preset {preset.name!r}", target.pool, "pools"


@base.register(TAG)
def check_pools(subject: draft.Draft) -> Findings:
    """Check that each host is in one pool and that one pool is spare."""
    members = (
        ((*path, "hosts", index), host, pool.name)
        for path, pool in entries(subject, "pools")
        for index, host in enumerate(pool.hosts)
    )
    for path, host, pool in find_duplicates(members):
        yield subject.finding(
            "azurewood.E111",
            path,
            f"host {host!r} is already in pool {pool!r}",
        )
    pooled = {host for pool in subject.fleet.pools for host in pool.hosts}
    for path, host in entries(subject, "hosts"):
        if host.name and host.name not in pooled:
            yield subject.finding(
                "azurewood.E112", path, f"host {host.name!r} is in no pool"
            )
    spare = [
        (path, pool) for path, pool in entries(subject, "pools") if pool.spare
    ]
    if subject.fleet.pools and not spare:
        yield subject.finding(
            "azurewood.E113",
            ("pools",),
            "no pool is the spare pool",
            "set 'spare: true' on one",
        )
    for path, pool in spare[1:]:
        yield subject.finding(
            "azurewood.E114",
            path,
            f"pool {pool.name!r} is a second spare pool",
        )


@base.register(TAG)
def check_racks(subject: draft.Draft) -> Findings:
    """Check that all hosts of a rack are in the same zone."""
    zones: dict[str, str] = {}
    for path, host in entries(subject, "hosts"):
        if not host.rack or not host.zone:
            continue
        zone = zones.setdefault(host.rack, host.zone)
        if zone != host.zone:
            yield subject.finding(
                "azurewood.E115",
                path,
                f"rack {host.rack!r} is in zone {zone!r} and in "
                f"zone {host.zone!r}",
            )


@base.register(TAG)
def check_addresses(subject: draft.Draft) -> Findings:
    """Check that host addresses are valid IP addresses and unique."""
    parsed = []
    for path, host in entries(subject, "hosts"):
        if host.address is None:
            continue
        try:
            ip = ipaddress.ip_address(host.address)
        except ValueError:
            yield subject.finding(
                "azurewood.E116",
                (*path, "address"),
                f"{host.address[:80]!r} is not an IP address",
            )
            continue
        parsed.append(((*path, "address"), ip, host.name))
    for path, ip, holder in find_duplicates(parsed):
        yield subject.finding(
            "azurewood.E117",
            path,
            f"host {holder!r} also has address {ip}",
        )


@base.register(TAG)
def check_services(subject: draft.Draft) -> Findings:
    """Check that ports and pools of services and route prefixes are unique.

    A route prefix has to be unique within its service.
    """
    for field, id in (("port", "azurewood.E121"), ("pool", "azurewood.E122")):
        held = (
            ((*path, field), getattr(item, field), item.name)
            for path, item in entries(subject, "services")
        )
        for path, key, holder in find_duplicates(held):
            yield subject.finding(
                id, path, f"service {holder!r} also has {field} {key!r}"
            )
    for path, service in entries(subject, "services"):
        prefixes = (
            ((*path, "routes", index, "prefix"), route.prefix, service.name)
            for index, route in enumerate(service.routes)
        )
        for place, prefix, name in find_duplicates(prefixes):
            yield subject.finding(
                "azurewood.E123",
                place,
                f"service {name!r} has two routes with prefix {prefix!r}",
            )


@base.register(TAG)
def check_targets(subject: draft.Draft) -> Findings:
    """Check that the pool targets of each preset can be satisfied."""
    total = len(subject.fleet.hosts)
    for path, preset in entries(subject, "presets"):
        targets = [
            ((*path, "targets", index), target.pool, target)
            for index, target in enumerate(preset.targets)
        ]
        for place, pool, _ in find_duplicates(targets):
            yield subject.finding(
                "azurewood.E131", place, f"duplicate target for pool {pool!r}"
            )
        for place, pool, target in targets:
            if target.min_hosts > target.max_hosts:
                yield subject.finding(
                    "azurewood.E132",
                    place,
                    f"pool {pool!r}: min_hosts {target.min_hosts} exceeds "
                    f"max_hosts {target.max_hosts}",
                )
        least = sum(target.min_hosts for target in preset.targets)
        if least > total:
            yield subject.finding(
                "azurewood.E133",
                (*path, "targets"),
                f"the targets need {least} hosts, the fleet has {total}",
            )


@base.register(TAG)
def check_thresholds(subject: draft.Draft) -> Findings:
    """Check that a pool gives hosts away at a lower load than it gains them.

    With the thresholds reversed, hosts would move back and forth.
    """
    for path, preset in entries(subject, "presets"):
        match preset.moves:
            case model.HysteresisMoves(gain_load=gain, give_load=give) if (
                give >= gain
            ):
                yield subject.finding(
                    "azurewood.E134",
                    (*path, "moves", "give_load"),
                    f"give_load {give} is not below gain_load {gain}",
                )


@base.register(TAG)
def check_quotas(subject: draft.Draft) -> Findings:
    """Check that the pools of a team's services stay within its host quota."""
    sizes = {pool.name: len(pool.hosts) for pool in subject.fleet.pools}
    held: collections.Counter[str] = collections.Counter()
    for service in subject.fleet.services:
        held[service.team] += sizes.get(service.pool, 0)
    for path, team in entries(subject, "teams"):
        if team.host_quota is not None and held[team.name] > team.host_quota:
            yield subject.finding(
                "azurewood.E135",
                (*path, "host_quota"),
                f"team {team.name!r} has a quota of {team.host_quota} "
                f"hosts, its pools have {held[team.name]}",
            )
