"""Preconditions and effects of each change to the agreed state."""

from azurewood.fleet import model
from azurewood.state import agreed as agreed_state
from azurewood.state import host_transitions
from azurewood.state import records

HostPhase = agreed_state.HostPhase
WavePhase = agreed_state.WavePhase
ClaimPhase = records.ClaimPhase


def revision_of(state: agreed_state.Agreed, name: str) -> int:
    """Return the revision of an object, 0 if it does not exist."""
    kind, _, rest = name.partition(":")
    match kind:
        case records.FLEET:
            return state.fleet_revision
        case records.IN_FORCE:
            return state.in_force_revision
        case "preset":
            found = state.presets.get(rest)
        case "host":
            found = state.hosts.get(rest)
        case "wave":
            found = state.waves.get(rest)
        case "claim":
            found = state.claims.get(rest)
        case _:
            found = None
    return found.revision if found else 0


def refusal(
    state: agreed_state.Agreed, writer: str, proposal: records.Proposal
) -> str:
    """Return why the state does not allow a change, or an empty string."""
    kind, _, name = proposal.object.partition(":")
    match proposal.change:
        case records.PublishFleet():
            return _expect(kind == records.FLEET, "object must be fleet")
        case records.EditPreset(preset=preset):
            return _expect(
                kind == "preset" and preset.name == name,
                f"object must be preset:{preset.name}",
            )
        case records.UsePreset(name=preset_name):
            return _expect(
                kind == records.IN_FORCE and preset_name in state.presets,
                f"there is no preset {preset_name}",
            )
        case records.StartWave(hosts=hosts):
            return _wave_start_refusal(state, kind, hosts)
        case records.PauseWave():
            return _wave_refusal(state, kind, name, WavePhase.RUNNING)
        case records.ResumeWave():
            return _wave_refusal(state, kind, name, WavePhase.PAUSED)
        case records.Claim():
            return _claim_refusal(state, kind, name)
        case records.SettleClaim():
            return _settle_refusal(state, writer, name, proposal.change)
        case _:
            return host_transitions.refusal(state, kind, name, proposal.change)


def _expect(condition: bool, reason: str) -> str:
    return "" if condition else reason


def _wave_start_refusal(
    state: agreed_state.Agreed, kind: str, hosts: tuple[str, ...]
) -> str:
    if kind != "wave" or not hosts:
        return "a wave needs a name and hosts"
    unknown = sorted(set(hosts) - state.hosts.keys())
    return _expect(not unknown, f"unknown hosts: {', '.join(unknown)}")


def _wave_refusal(
    state: agreed_state.Agreed, kind: str, name: str, phase: WavePhase
) -> str:
    wave = state.waves.get(name) if kind == "wave" else None
    if wave is None:
        return f"there is no wave {name}"
    return _expect(
        wave.phase == phase, f"wave {name} is {wave.phase}, not {phase}"
    )


def _claim_refusal(state: agreed_state.Agreed, kind: str, name: str) -> str:
    claim = state.claims.get(name)
    if kind != "claim":
        return "object must be a claim"
    if claim is None or claim.phase == ClaimPhase.NOT_RUN:
        return ""
    return f"the request is {claim.phase} by {claim.holder}"


def _settle_refusal(
    state: agreed_state.Agreed,
    writer: str,
    name: str,
    change: records.SettleClaim,
) -> str:
    """Return why a claim may not be settled, or an empty string.

    Only the holder may record that a request ran or did not run. Any daemon
    may record that its outcome is unknown.
    """
    claim = state.claims.get(name)
    if claim is None:
        return f"there is no claim {name}"
    if change.phase != ClaimPhase.UNKNOWN and claim.holder != writer:
        return f"the claim is held by {claim.holder}"
    return _expect(
        claim.phase in (ClaimPhase.HELD, ClaimPhase.UNKNOWN),
        f"the claim is settled as {claim.phase}",
    )


def carry_out(
    state: agreed_state.Agreed, writer: str, proposal: records.Proposal
) -> None:
    """Apply an accepted change at the state's new revision."""
    _, _, name = proposal.object.partition(":")
    match proposal.change:
        case records.PublishFleet(fleet=fleet):
            _publish(state, fleet)
        case records.EditPreset(preset=preset):
            state.presets[name] = agreed_state.PresetState(
                preset=preset, revision=state.revision
            )
        case records.UsePreset(name=preset_name):
            state.in_force = preset_name
            state.in_force_revision = state.revision
        case records.StartWave(hosts=hosts):
            state.waves[name] = agreed_state.WaveState(
                name=name,
                phase=WavePhase.RUNNING,
                revision=state.revision,
                hosts=list(hosts),
                done=[],
            )
        case records.PauseWave(reason=reason):
            _set_wave(state, name, WavePhase.PAUSED, reason)
        case records.ResumeWave():
            _set_wave(state, name, WavePhase.RUNNING, "")
        case records.Claim():
            _claim(state, writer, name, proposal.change)
        case records.SettleClaim():
            _settle(state, name, proposal.change)
        case _:
            host_transitions.carry_out(
                state, state.hosts[name], proposal.change
            )


def _publish(state: agreed_state.Agreed, fleet: model.Fleet) -> None:
    state.fleet = fleet
    state.fleet_revision = state.revision
    state.hosts_revision = state.revision
    for preset in fleet.presets:
        if preset.name not in state.presets:
            state.presets[preset.name] = agreed_state.PresetState(
                preset=preset, revision=state.revision
            )
    if not state.in_force:
        state.in_force = fleet.preset
        state.in_force_revision = state.revision
    _publish_hosts(state, fleet)


def _publish_hosts(state: agreed_state.Agreed, fleet: model.Fleet) -> None:
    """Add new hosts to their pools and drop those no longer listed.

    A known host keeps its pool, unless that pool was removed.
    """
    pool_of = {host: pool.name for pool in fleet.pools for host in pool.hosts}
    pools = {pool.name for pool in fleet.pools}
    for name in [name for name in state.hosts if name not in pool_of]:
        del state.hosts[name]
    for name, pool in pool_of.items():
        known = state.hosts.get(name)
        if known is not None:
            if (known.target or known.pool) not in pools:
                host_transitions.reassign_pool(state, known, pool)
        else:
            state.hosts[name] = agreed_state.HostState(
                name=name,
                pool=pool,
                phase=HostPhase.STARTING,
                revision=state.revision,
                since_ms=state.at_ms,
                task=host_transitions.task_id(pool, name, state.revision),
                reason="published configuration",
            )


def _set_wave(
    state: agreed_state.Agreed, name: str, phase: WavePhase, reason: str
) -> None:
    wave = state.waves[name]
    wave.phase = phase
    wave.reason = reason
    wave.revision = state.revision


def _claim(
    state: agreed_state.Agreed, writer: str, key: str, change: records.Claim
) -> None:
    earlier = state.claims.pop(key, None)
    state.claims[key] = agreed_state.ClaimState(
        key=key,
        service=change.service,
        holder=writer,
        request=change.request,
        digest=change.digest,
        phase=ClaimPhase.HELD,
        revision=state.revision,
        at_ms=state.at_ms,
        attempt=earlier.attempt + 1 if earlier else 1,
    )


def _settle(
    state: agreed_state.Agreed, key: str, change: records.SettleClaim
) -> None:
    claim = state.claims[key]
    claim.phase = change.phase
    claim.revision = state.revision
    claim.status = change.status
    claim.content_type = change.content_type
    claim.answer = change.answer
