"""Preconditions and effects of each change to a host."""

import collections

from azurewood.state import agreed as agreed_state
from azurewood.state import records

FAILURE_RESET_MS = 60000
"""A job that has served for this long has its failure count reset."""

REASSIGN_DRAIN_MS = 30000
"""Time to drain a host whose pool was removed from the configuration."""

HostPhase = agreed_state.HostPhase
WavePhase = agreed_state.WavePhase


def task_id(pool: str, host: str, revision: int) -> str:
    """Return the id of the task that runs a host's job.

    Each start of a job has a new revision, and so a new task id.
    """
    return f"{pool}.{host}.{revision}"


def refusal(
    state: agreed_state.Agreed,
    kind: str,
    name: str,
    change: records.AnyChange,
) -> str:
    """Return why the state does not allow a change, or an empty string."""
    host = state.hosts.get(name) if kind == "host" else None
    if host is None:
        return f"there is no host {name}"
    if host.phase not in _allowed_phases(change):
        return f"host {name} is {host.phase}"
    match change:
        case records.MoveHost(to_pool=to_pool):
            return _move_refusal(state, host, to_pool)
        case records.DrainHost(wave=wave) if wave:
            return _wave_refusal(state, host, wave)
        case records.CancelMove() if not _has_pool(state, host.pool):
            return f"there is no pool {host.pool} any more"
        case _:
            return ""


def _allowed_phases(change: records.AnyChange) -> tuple[HostPhase, ...]:
    """Return the host phases in which a change is allowed."""
    match change:
        case records.MoveHost() | records.DrainHost():
            return (HostPhase.SERVING, HostPhase.STARTING)
        case records.CancelMove() | records.ReleaseHost():
            return (HostPhase.LEAVING,)
        case records.RestartJob() | records.QuarantineHost():
            return (HostPhase.SERVING, HostPhase.STARTING)
        case records.MarkServing():
            return (HostPhase.STARTING,)
        case records.MarkDown():
            return (HostPhase.DRAINING,)
        case records.ReturnHost():
            return (
                HostPhase.DOWN,
                HostPhase.DRAINING,
                HostPhase.QUARANTINED,
            )
        case _:
            return ()


def _move_refusal(
    state: agreed_state.Agreed,
    host: agreed_state.HostState,
    to_pool: str,
) -> str:
    if to_pool == host.pool:
        return f"host {host.name} is in pool {to_pool} already"
    if not _has_pool(state, to_pool):
        return f"there is no pool {to_pool}"
    return _limit_refusal(state, host.pool, to_pool)


def _wave_refusal(
    state: agreed_state.Agreed, host: agreed_state.HostState, name: str
) -> str:
    """Return why a wave may not drain a host, or an empty string.

    A wave drains only its own hosts, and no more of a pool at a time than
    the preset in force allows.
    """
    wave = state.waves.get(name)
    if wave is None or wave.phase != WavePhase.RUNNING:
        return f"wave {name} does not run"
    if host.name not in wave.hosts:
        return f"host {host.name} is not in wave {name}"
    found = state.presets.get(state.in_force)
    if found is None:
        return ""
    rules = found.preset.maintenance
    out = sum(
        bool(other.wave)
        for other in state.hosts.values()
        if other.pool == host.pool
    )
    if not rules.allowed or out >= rules.at_once:
        return f"pool {host.pool} has {out} hosts out for maintenance"
    return ""


def _has_pool(state: agreed_state.Agreed, name: str) -> bool:
    return any(pool.name == name for pool in state.fleet.pools)


def _limit_refusal(
    state: agreed_state.Agreed, from_pool: str, to_pool: str
) -> str:
    """Return why the pool targets or the team quota forbid a move."""
    found = state.presets.get(state.in_force)
    targets = {t.pool: t for t in found.preset.targets} if found else {}
    source, target = targets.get(from_pool), targets.get(to_pool)
    counts = _hosts_by_pool(state)
    if source and counts[from_pool] <= source.min_hosts:
        return f"pool {from_pool} is at its {source.min_hosts} hosts at least"
    if target and counts[to_pool] >= target.max_hosts:
        return f"pool {to_pool} is at its {target.max_hosts} hosts at most"
    return _quota_refusal(state, from_pool, to_pool, counts)


def _hosts_by_pool(
    state: agreed_state.Agreed,
) -> collections.Counter[str]:
    """Count the hosts that each pool will have after the open moves."""
    return collections.Counter(
        host.target or host.pool for host in state.hosts.values()
    )


def _quota_refusal(
    state: agreed_state.Agreed,
    from_pool: str,
    to_pool: str,
    counts: collections.Counter[str],
) -> str:
    team_of = {item.pool: item.team for item in state.fleet.services}
    team = team_of.get(to_pool, "")
    if not team or team == team_of.get(from_pool, ""):
        return ""
    quota = next(
        (item.host_quota for item in state.fleet.teams if item.name == team),
        None,
    )
    if quota is None:
        return ""
    held = sum(counts[pool] for pool in team_of if team_of[pool] == team)
    return "" if held < quota else f"team {team} holds its {quota} hosts"


def carry_out(
    state: agreed_state.Agreed,
    host: agreed_state.HostState,
    change: records.AnyChange,
) -> None:
    """Apply an accepted change to a host."""
    is_old = state.at_ms >= host.since_ms + FAILURE_RESET_MS
    state.hosts_revision = state.revision
    host.revision = state.revision
    host.since_ms = state.at_ms
    match change:
        case records.MoveHost(to_pool=to_pool, reason=reason):
            host.phase = HostPhase.LEAVING
            host.target = to_pool
            host.reason = reason
            host.deadline_ms = state.at_ms + change.drain_ms
        case records.CancelMove(reason=reason):
            host.phase = HostPhase.SERVING
            host.target = ""
            host.reason = reason
        case records.ReleaseHost():
            host.pool = host.target
            host.target = ""
            host.failures = 0
            _start(host)
        case records.MarkServing():
            host.phase = HostPhase.SERVING
            _mark_done_in_wave(state, host)
        case records.DrainHost(reason=reason, wave=wave):
            host.phase = HostPhase.DRAINING
            host.reason = reason
            host.reboot = change.reboot
            host.wave = wave
            host.deadline_ms = state.at_ms + change.drain_ms
        case records.MarkDown():
            host.phase = HostPhase.DOWN
        case records.ReturnHost(reason=reason):
            host.reason = reason
            _return(host)
        case records.RestartJob(reason=reason, failed=failed):
            host.reason = reason
            _count_failure(host, failed, is_old)
            _start(host)
        case records.QuarantineHost(reason=reason):
            host.reason = reason
            host.phase = HostPhase.QUARANTINED


def _return(host: agreed_state.HostState) -> None:
    """Return a host to service, keeping a job that may still be running.

    Only a host that is down gets a new job at once. If the kept job has been
    told to stop, the host owner starts another one after it has ended. A
    host whose pool was removed continues its move to the target pool.
    """
    host.failures = 0
    if host.phase == HostPhase.DOWN:
        _start(host)
        return
    host.phase = HostPhase.LEAVING if host.target else HostPhase.SERVING
    host.wave = ""


def reassign_pool(
    state: agreed_state.Agreed, host: agreed_state.HostState, pool: str
) -> None:
    """Assign a host whose pool was removed to another pool.

    Its job is drained and stopped first, as in any move.
    """
    host.revision = state.revision
    host.since_ms = state.at_ms
    host.deadline_ms = state.at_ms + REASSIGN_DRAIN_MS
    match host.phase:
        case HostPhase.DOWN:
            host.pool = pool
        case HostPhase.SERVING | HostPhase.STARTING:
            host.phase = HostPhase.LEAVING
            host.target = pool
        case _:
            host.target = pool


def _count_failure(
    host: agreed_state.HostState, failed: bool, is_old: bool
) -> None:
    """Count consecutive failures.

    The count restarts for a job that served for ``FAILURE_RESET_MS``.
    """
    if is_old and host.phase == HostPhase.SERVING:
        host.failures = 0
    if failed:
        host.failures += 1


def _start(host: agreed_state.HostState) -> None:
    host.phase = HostPhase.STARTING
    host.task = task_id(host.pool, host.name, host.revision)


def _mark_done_in_wave(
    state: agreed_state.Agreed, host: agreed_state.HostState
) -> None:
    """Mark a host that serves again as done in its wave."""
    wave = state.waves.get(host.wave)
    host.wave = ""
    if wave is None or host.name in wave.done:
        return
    wave.done.append(host.name)
    if set(wave.done) >= set(wave.hosts) & state.hosts.keys():
        wave.phase = WavePhase.DONE
        wave.revision = state.revision
