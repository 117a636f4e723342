"""Moves on demand: limits in the fold, and two daemons under load."""

import concurrent.futures
import threading

from azurewood.fleet import model
from azurewood.state import agreed as agreed_state
from azurewood.state import fold
from azurewood.state import records
from standins import processes
from tests.moves import deployment

HOSTS = {"h1": "quoting", "h2": "quoting", "h3": "quoting", "h4": "certs"}
PRESET = model.Preset(
    name="ordinary",
    moves=model.HysteresisMoves(hold_ms=500, at_once=1),
    targets=(model.PoolTarget(pool="quoting", min_hosts=2),),
)


def fleet_of(preset, **changes):
    addresses = {name: f"127.1.1.{n}" for n, name in enumerate(HOSTS, 1)}
    ports = {"quoting": 1001, "certs": 1002}
    fleet = deployment.make_fleet(HOSTS, addresses, ports, preset)
    for name, value in changes.items():
        setattr(fleet, name, value)
    return fleet


def apply(state, object_name, change, *, base=0):
    proposal = records.Proposal(object=object_name, base=base, change=change)
    record = records.Proposals(
        writer=f"w{state.offset}", sequence=1, proposals=(proposal,)
    )
    return fold.apply(state, offset=state.offset, at_ms=1, record=record)[0]


def move(state, host, to_pool):
    change = records.MoveHost(to_pool=to_pool, reason="", drain_ms=1)
    base = state.hosts[host].revision
    return apply(state, f"host:{host}", change, base=base)


def published(fleet):
    state = agreed_state.Agreed()
    assert apply(state, "fleet", records.PublishFleet(fleet=fleet)).accepted
    return state


def test_racing_movers_cannot_empty_a_pool():
    state = published(fleet_of(PRESET))
    verdicts = [move(state, host, "certs") for host in ("h1", "h2", "h3")]
    assert [verdict.accepted for verdict in verdicts] == [True, False, False]
    assert "2 hosts at least" in verdicts[1].reason


def test_move_beyond_the_quota_of_a_team_is_rejected():
    fleet = fleet_of(
        model.Preset(name="ordinary"),
        teams=(model.Team(name="workshop", host_quota=2),),
    )
    fleet.services[0].team = "workshop"
    assert fleet.services[0].pool == "certs"
    state = published(fleet)
    assert move(state, "h1", "certs").accepted
    assert "holds its 2 hosts" in move(state, "h2", "certs").reason


def test_host_of_a_removed_pool_is_drained_before_it_moves():
    state = published(fleet_of(PRESET))
    fleet = fleet_of(PRESET)
    fleet.pools = (model.Pool(name="certs", hosts=tuple(HOSTS)),)
    base = state.fleet_revision
    change = records.PublishFleet(fleet=fleet)
    assert apply(state, "fleet", change, base=base).accepted
    host = state.hosts["h1"]
    assert (host.pool, host.phase, host.target) == (
        "quoting",
        "leaving",
        "certs",
    )


def test_daemons_move_a_host_to_the_loaded_pool(tmp_path):
    done = threading.Event()
    with (
        processes.Processes(log_dir=tmp_path) as running,
        concurrent.futures.ThreadPoolExecutor(24) as pool,
    ):
        dep = deployment.Deployment(
            running=running, hosts=HOSTS, preset=PRESET
        )
        dep.publish()
        callers = [
            pool.submit(call_until, done, dep.daemons[n % 2])
            for n in range(24)
        ]
        try:
            processes.wait_for(lambda: moved(dep), what="a host moves")
            name = moved(dep)[0]
            deployment.wait_move(dep.daemons[0], name, "certs")
            processes.wait_for(
                lambda: executed(dep, name), what="certs runs there"
            )
        finally:
            done.set()
        statuses = [status for fut in callers for status in fut.result(20)]
        assert moved(dep) == [name]
    assert set(statuses) == {200}


def call_until(done, daemon):
    """Call the service until ``done`` is set; return the statuses."""
    statuses = []
    while not done.is_set():
        statuses.append(daemon.call("certs", Work_Ms=200)[0])
    return statuses


def executed(dep, host):
    return any(e["service"] == "certs" for e in dep.executions(host))


def moved(dep):
    hosts = dep.daemons[0].agreed()["hosts"]
    return [
        name
        for name, host in hosts.items()
        if (host["target"] or host["pool"]) != HOSTS[name]
    ]
