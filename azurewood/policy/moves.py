"""Decides which hosts move between pools, and when.

The functions are pure, except that ``find_needs`` updates the
``MoveDeadlines`` that it is given. Deadlines are in seconds of the caller's
clock. The load of a pool is the number of its requests in flight and
waiting, over all daemons, per slot.

A decision has two steps: ``find_needs`` examines the pools only and returns
which of them gain hosts and which may give hosts. ``choose_hosts`` examines
the hosts of those pools and selects the ones that move.
"""

import collections
import collections.abc
import dataclasses
import math

from azurewood.fleet import model


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolLoad:
    """A pool's open requests, and its capacity in slots and hosts.

    ``busy`` and ``waiting`` count the requests at all daemons. ``demand``
    is the sustained demand in slots. ``incoming`` counts the slots of hosts
    that are moving to the pool, ``outgoing`` the slots of hosts that are
    leaving it. ``known`` is true if the counts include all daemons.
    """

    name: str
    busy: int
    waiting: int
    demand: float
    slots: int
    hosts: int
    incoming: int = 0
    outgoing: int = 0
    min_hosts: int = 1
    max_hosts: int = 1000000
    spare: bool = False
    team: str = ""
    known: bool = True

    @property
    def slots_per_host(self) -> float:
        """Return the mean number of slots per host, 1 without hosts."""
        return self.slots / self.hosts if self.hosts else 1.0

    @property
    def incoming_hosts(self) -> int:
        """Return roughly how many hosts are moving to the pool."""
        return math.ceil(self.incoming / self.slots_per_host)

    @property
    def load(self) -> float:
        """Return the load with the slots of the incoming hosts included."""
        slots = self.slots + self.incoming
        requests = self.busy + self.waiting
        if slots:
            return requests / slots
        return math.inf if requests else 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class HostLoad:
    """A host that serves a pool, and how many of its slots are busy."""

    name: str
    zone: str
    rack: str
    slots: int
    busy: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class MoveDeadlines:
    """Deadlines by pool that prevent hosts from moving back and forth.

    A pool whose load has passed a threshold may gain hosts from ``gain_at``
    on or give hosts from ``give_at`` on. It may return hosts to the spare
    pool from ``return_at`` on. A pool gives no hosts before
    ``no_give_until`` and gains none before ``no_gain_until``.
    """

    gain_at: dict[str, float] = dataclasses.field(default_factory=dict)
    give_at: dict[str, float] = dataclasses.field(default_factory=dict)
    return_at: dict[str, float] = dataclasses.field(default_factory=dict)
    no_give_until: dict[str, float] = dataclasses.field(default_factory=dict)
    no_gain_until: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Need:
    """A pool that gains up to ``count`` hosts, from ``donors`` in order."""

    pool: str
    count: int
    donors: tuple[str, ...]
    reason: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Move:
    """A host that should move to another pool, and why."""

    host: str
    from_pool: str
    to_pool: str
    reason: str


Loads = collections.abc.Mapping[str, PoolLoad]
Hosts = collections.abc.Mapping[str, collections.abc.Sequence[HostLoad]]


def target_load(policy: model.HysteresisMoves) -> float:
    """Return the load that a pool should have after gaining hosts.

    The higher the weight of idle slots, the closer it is to the gain
    threshold. The higher the weight of a slow roll-out, the closer it is to
    the give threshold.
    """
    weights = policy.buffer_weight + policy.roll_out_weight
    share = policy.buffer_weight / weights if weights else 0.5
    span = policy.gain_load - policy.give_load
    load = policy.give_load + span * share
    return max(0.05, min(load, 1.0 - policy.buffer))


def return_hold_s(policy: model.HysteresisMoves) -> float:
    """Return for how long a pool is idle before the spare pool gets hosts.

    The time grows with the weights of moves and of a slow roll-out, relative
    to the weight of idle slots.
    """
    weights = policy.move_weight + policy.roll_out_weight
    factor = weights / policy.buffer_weight if policy.buffer_weight else 1.0
    return policy.rest_ms / 1000 * max(1.0, factor)


def find_needs(
    policy: model.MovePolicy, loads: Loads, memory: MoveDeadlines, now: float
) -> list[Need]:
    """Return the pools that should gain hosts now, the most loaded first."""
    match policy:
        case model.FixedPools():
            return []
        case model.ThresholdMoves():
            return list(_threshold_needs(policy, loads))
        case model.HysteresisMoves():
            _update_deadlines(policy, loads, memory, now)
            gains = list(_gain_needs(policy, loads, memory, now))
            return gains or list(_return_needs(policy, loads, memory, now))


def _threshold_needs(
    policy: model.ThresholdMoves, loads: Loads
) -> collections.abc.Iterator[Need]:
    for load in loads.values():
        if load.load < policy.load:
            continue
        donors = sorted(
            (other for other in loads.values() if other.load < policy.load),
            key=lambda other: (other.load, other.name),
        )
        yield Need(
            pool=load.name,
            count=policy.at_once,
            donors=tuple(other.name for other in donors),
            reason=f"load {load.load:.2f}",
        )


def _update_deadlines(
    policy: model.HysteresisMoves,
    loads: Loads,
    memory: MoveDeadlines,
    now: float,
) -> None:
    """Set, keep or delete the deadlines of each pool."""
    hold_s, rest_s = policy.hold_ms / 1000, policy.rest_ms / 1000
    for name, load in loads.items():
        is_low = load.load <= policy.give_load
        _set_deadline(
            memory.gain_at, name, load.load >= policy.gain_load, now + hold_s
        )
        _set_deadline(memory.give_at, name, is_low, now + hold_s)
        _set_deadline(
            memory.return_at, name, is_low, now + return_hold_s(policy)
        )
        if load.incoming:
            memory.no_give_until[name] = now + rest_s
        if load.outgoing:
            memory.no_gain_until[name] = now + rest_s


def _set_deadline(
    deadlines: dict[str, float], name: str, is_past: bool, deadline: float
) -> None:
    if is_past:
        deadlines.setdefault(name, deadline)
    else:
        deadlines.pop(name, None)


def _gain_needs(
    policy: model.HysteresisMoves,
    loads: Loads,
    memory: MoveDeadlines,
    now: float,
) -> collections.abc.Iterator[Need]:
    """Yield the needs of overloaded pools, with their possible donors."""
    over = sorted(
        (
            load
            for load in loads.values()
            if memory.gain_at.get(load.name, math.inf) <= now
            and memory.no_gain_until.get(load.name, 0.0) <= now
            and not load.spare
        ),
        key=lambda load: (-load.load, load.name),
    )
    if not over:
        return
    donors = tuple(_donors(loads, memory, now))
    for load in over:
        count = min(policy.at_once, _missing_hosts(policy, load))
        if count > 0:
            yield Need(
                pool=load.name,
                count=count,
                donors=tuple(name for name in donors if name != load.name),
                reason=f"load {load.load:.2f}",
            )


def _missing_hosts(policy: model.HysteresisMoves, load: PoolLoad) -> int:
    """Return how many hosts a pool lacks for its target load.

    A fraction of a host is rounded up if a slow roll-out has a high weight,
    and down if a move has a high weight.
    """
    slots = load.slots + load.incoming
    missing = load.demand / target_load(policy) - slots
    weights = policy.roll_out_weight + policy.move_weight
    round_up = policy.roll_out_weight / weights if weights else 0.5
    return max(0, math.floor(missing / load.slots_per_host + round_up))


def _donors(
    loads: Loads, memory: MoveDeadlines, now: float
) -> collections.abc.Iterator[str]:
    """Yield the pools that may give, the least loaded first.

    Spare pools come last: their slots do work that can wait, whereas the
    slots of the other donors are idle.
    """
    ranked = sorted(
        loads.values(),
        key=lambda load: (load.spare, load.load, load.name),
    )
    for load in ranked:
        is_idle = memory.give_at.get(load.name, math.inf) <= now
        is_resting = memory.no_give_until.get(load.name, 0.0) > now
        if load.spare or (is_idle and load.known and not is_resting):
            yield load.name


def _return_needs(
    policy: model.HysteresisMoves,
    loads: Loads,
    memory: MoveDeadlines,
    now: float,
) -> collections.abc.Iterator[Need]:
    """Yield the need of a spare pool for hosts of pools idle for long."""
    idle = [
        load
        for load in loads.values()
        if memory.return_at.get(load.name, math.inf) <= now
        and memory.no_give_until.get(load.name, 0.0) <= now
        and load.known
        and not load.spare
    ]
    for load in loads.values():
        if load.spare and idle and not load.incoming:
            idle.sort(key=lambda other: (other.load, other.name))
            yield Need(
                pool=load.name,
                count=policy.at_once,
                donors=tuple(other.name for other in idle),
                reason="idle hosts",
            )


def choose_hosts(
    policy: model.MovePolicy,
    needs: collections.abc.Iterable[Need],
    loads: Loads,
    hosts: Hosts,
    team_quota_left: collections.abc.Mapping[str, int],
) -> collections.abc.Iterator[Move]:
    """Yield the moves that meet the needs, each host at most once.

    ``team_quota_left`` maps a team to the number of hosts that it may still
    gain. A team that it does not contain has no quota.
    """
    left = {name: list(members) for name, members in hosts.items()}
    quota_left = dict(team_quota_left)
    gained: collections.Counter[str] = collections.Counter()
    for need in needs:
        for _ in range(need.count):
            move = _next_move(policy, need, loads, left, quota_left, gained)
            if move is None:
                break
            yield move


def _next_move(
    policy: model.MovePolicy,
    need: Need,
    loads: Loads,
    left: dict[str, list[HostLoad]],
    quota_left: dict[str, int],
    gained: collections.Counter[str],
) -> Move | None:
    """Remove the best host of the first donor that can give one.

    Return its move, or None if the pool may not gain a host or no donor can
    give one.
    """
    recipient = loads[need.pool]
    coming = recipient.incoming_hosts + gained[need.pool]
    if recipient.hosts + coming >= recipient.max_hosts:
        return None
    for name in need.donors:
        donor = loads[name]
        if (
            donor.team != recipient.team
            and quota_left.get(recipient.team, 1) <= 0
        ):
            continue
        host = _choose_host(policy, donor, left.get(name, []), left[need.pool])
        if host is None:
            continue
        left[name].remove(host)
        gained[need.pool] += 1
        if donor.team != recipient.team and recipient.team in quota_left:
            quota_left[recipient.team] -= 1
        return Move(
            host=host.name,
            from_pool=name,
            to_pool=need.pool,
            reason=need.reason,
        )
    return None


def _choose_host(
    policy: model.MovePolicy,
    donor: PoolLoad,
    members: list[HostLoad],
    taken: list[HostLoad],
) -> HostLoad | None:
    """Return the host whose move spreads both pools best.

    Among equal hosts the least busy one is chosen.
    """
    if len(members) <= donor.min_hosts:
        return None
    if isinstance(policy, model.ThresholdMoves):
        return members[0]
    mine = collections.Counter(_failure_domains(members))
    theirs = collections.Counter(_failure_domains(taken))
    ranked = sorted(
        members,
        key=lambda host: (
            theirs[host.zone] - mine[host.zone],
            theirs[(host.zone, host.rack)] - mine[(host.zone, host.rack)],
            host.busy,
            host.name,
        ),
    )
    return next(
        (host for host in ranked if _can_spare(policy, donor, members, host)),
        None,
    )


def _failure_domains(
    members: collections.abc.Iterable[HostLoad],
) -> collections.abc.Iterator[str | tuple[str, str]]:
    for host in members:
        yield host.zone
        yield (host.zone, host.rack)


def _can_spare(
    policy: model.HysteresisMoves,
    donor: PoolLoad,
    members: list[HostLoad],
    host: HostLoad,
) -> bool:
    """Return whether a donor can give a host and then lose any one rack.

    The remaining hosts must carry the donor's demand. The work of a spare
    pool may wait, so a spare pool can always give a host.
    """
    if donor.spare:
        return True
    needed = max(donor.demand, donor.busy)
    racks: collections.Counter[tuple[str, str]] = collections.Counter()
    for other in members:
        if other is not host:
            racks[(other.zone, other.rack)] += other.slots
    rest = racks.total() - max(racks.values(), default=0)
    return needed <= rest * target_load(policy)
