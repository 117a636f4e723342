"""Checks of a whole configuration, registered under the tag ``fleet``.

Each takes a `azurewood.fleet.draft.Draft` and skips values that could not
be read, which have a finding already.
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
    """Yield path and object of each item in a section of the document."""
    for index, item in enumerate(getattr(subject.fleet, section)):
        yield (section, index), item


def names(subject: draft.Draft, section: str) -> set[str]:
    """Return the names of the items in a section."""
    return {item.name for item in getattr(subject.fleet, section)}


def find_duplicates(
    items: abc.Iterable[tuple[draft.Path, abc.Hashable, str]],
) -> abc.Iterator[tuple[draft.Path, abc.Hashable, str]]:
    """Yield path, key and first holder of each key that stands again."""
    holders: dict[abc.Hashable, str] = {}
    for path, key, holder in items:
        if key is None:
            continue
        if key in holders:
            yield path, key, holders[key]
        holders.setdefault(key, holder)


@base.register(TAG)
def check_names(subject: draft.Draft) -> Findings:
    """Names are well formed and stand once in their section."""
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
                "azurewood.E102", path, f"{section}: {name!r} stands twice"
            )


@base.register(TAG)
def check_sections(subject: draft.Draft) -> Findings:
    """Sections that a fleet cannot be without are not empty."""
    for section in ("zones", "hosts", "pools", "services", "presets"):
        if not getattr(subject.fleet, section):
            yield subject.finding(
                "azurewood.E103", (section,), f"there are no {section}"
            )


@base.register(TAG)
def check_references(subject: draft.Draft) -> Findings:
    """Zones, pools, hosts, teams and presets that are named exist."""
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
                f"{holder}: {section} do not hold {name!r}",
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
    """Each host is in one pool, and one pool is the spare pool."""
    members = (
        ((*path, "hosts", index), host, pool.name)
        for path, pool in entries(subject, "pools")
        for index, host in enumerate(pool.hosts)
    )
    for path, host, pool in find_duplicates(members):
        yield subject.finding(
            "azurewood.E111",
            path,
            f"host {host!r} is in pool {pool!r} already",
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
    """No rack stands in two zones."""
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
    """Hosts have IP numbers of their own."""
    parsed = []
    for path, host in entries(subject, "hosts"):
        if host.address is None:
            continue
        try:
            number = ipaddress.ip_address(host.address)
        except ValueError:
            yield subject.finding(
                "azurewood.E116",
                (*path, "address"),
                f"{host.address[:80]!r} is not an IP number",
            )
            continue
        parsed.append(((*path, "address"), number, host.name))
    for path, number, holder in find_duplicates(parsed):
        yield subject.finding(
            "azurewood.E117", path, f"host {holder!r} has address {number} too"
        )


@base.register(TAG)
def check_services(subject: draft.Draft) -> Findings:
    """No two services share a port or a pool, nor two routes a prefix."""
    for field, id in (("port", "azurewood.E121"), ("pool", "azurewood.E122")):
        held = (
            ((*path, field), getattr(item, field), item.name)
            for path, item in entries(subject, "services")
        )
        for path, key, holder in find_duplicates(held):
            yield subject.finding(
                id, path, f"service {holder!r} has {field} {key!r} too"
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
                f"service {name!r} has two routes {prefix!r}",
            )


@base.register(TAG)
def check_targets(subject: draft.Draft) -> Findings:
    """A preset's targets can be met."""
    total = len(subject.fleet.hosts)
    for path, preset in entries(subject, "presets"):
        targets = [
            ((*path, "targets", index), target.pool, target)
            for index, target in enumerate(preset.targets)
        ]
        for place, pool, _ in find_duplicates(targets):
            yield subject.finding(
                "azurewood.E131", place, f"a second target for pool {pool!r}"
            )
        for place, pool, target in targets:
            if target.min_hosts > target.max_hosts:
                yield subject.finding(
                    "azurewood.E132",
                    place,
                    f"pool {pool!r}: min_hosts {target.min_hosts} is over "
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
    """A pool gives hosts at a lower load than it gains them."""
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
    """The pools of a team's services hold no more than its quota."""
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
                f"hosts, its pools hold {held[team.name]}",
            )
