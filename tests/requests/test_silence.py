"""Connections that stop answering for good, with real processes."""

from tests.requests import deployment as deployments

CALLERS = 16
# A hedge after 0.25 s or 8 mean times, its check and a new connection.
BOUND_S = 2.0
DEADLINE_S = 6.0
SLOW_MS = 1500


def start_and_warm_up(fleet, program):
    fleet.start(1, program=program)
    for _ in range(3):
        call_all(fleet, range(CALLERS), Work_Ms=30)


def call_all(fleet, numbers, **headers):
    daemon = fleet.daemons[0]
    return deployments.in_threads(
        lambda n: deployments.timed_call(daemon.call, f"/{n}", **headers),
        numbers,
    )


def test_stalled_connections_are_detected_within_a_bound(tmp_path):
    with deployments.running(tmp_path, net=59, hosts=2) as fleet:
        start_and_warm_up(fleet, ("azurewood",))
        fleet.set_behaviour(silent="old")
        results = call_all(fleet, range(100, 100 + 4 * CALLERS), Work_Ms=20)
        assert {reply.outcome for reply, _ in results} == {"ran"}
        assert max(took for _, took in results) < BOUND_S
        # A slow request on a used connection is hedged but not cut.
        (reply, _), *_ = call_all(fleet, [900], Work_Ms=SLOW_MS)
        assert reply.outcome == "ran"
        runs = [e for e in fleet.executions() if e["path"] == "/900"]
        first = min(runs, key=lambda entry: entry["started_ms"])
        assert first["ending"] == "finished"


def test_baseline_waits_for_stalled_connections_until_the_deadline(tmp_path):
    with deployments.running(tmp_path, net=59, hosts=2) as fleet:
        start_and_warm_up(fleet, ("tests.requests.baseline", "no-hedging"))
        fleet.set_behaviour(silent="old")
        results = call_all(fleet, range(100, 100 + CALLERS), Work_Ms=20)
        assert max(took for _, took in results) > DEADLINE_S - 0.5
        assert "unknown" in {reply.outcome for reply, _ in results}
