"""Connections that go silent for good, with real processes."""

from tests.requests import deployment as deployments

CALLERS = 16
# The hedge at 0.25 s or 8 mean times, a check of it and a new connection.
BOUND_S = 2.0
DEADLINE_S = 6.0
SLOW_MS = 1500


def warm(fleet, program):
    fleet.start(1, program=program)
    for _ in range(3):
        call_all(fleet, range(CALLERS), Work_Ms=30)


def call_all(fleet, numbers, **headers):
    daemon = fleet.daemons[0]
    return deployments.in_threads(
        lambda n: deployments.elapsed(daemon.call, f"/{n}", **headers),
        numbers,
    )


def test_silent_connections_are_found_within_a_bound(tmp_path):
    with deployments.running(tmp_path, net=59, hosts=2) as fleet:
        warm(fleet, ("azurewood",))
        fleet.behave(silent="old")
        results = call_all(fleet, range(100, 100 + 4 * CALLERS), Work_Ms=20)
        assert {reply.outcome for reply, _ in results} == {"ran"}
        assert max(took for _, took in results) < BOUND_S
        # A slow request on a used connection is hedged but not cut.
        (reply, _), *_ = call_all(fleet, [900], Work_Ms=SLOW_MS)
        assert reply.outcome == "ran"
        runs = [e for e in fleet.executions() if e["path"] == "/900"]
        first = min(runs, key=lambda entry: entry["started_ms"])
        assert first["ending"] == "finished"


def test_baseline_waits_for_silent_connections_until_the_deadline(tmp_path):
    with deployments.running(tmp_path, net=59, hosts=2) as fleet:
        warm(fleet, ("tests.requests.baseline", "no-hedging"))
        fleet.behave(silent="old")
        results = call_all(fleet, range(100, 100 + CALLERS), Work_Ms=20)
        assert max(took for _, took in results) > DEADLINE_S - 0.5
        assert "unknown" in {reply.outcome for reply, _ in results}
