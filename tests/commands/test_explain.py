"""``azurewood explain`` with log lines of several daemons."""

import json

from click import testing
import pytest

from azurewood.commands import main
from azurewood.scheduling import stuck


def _line(at, event, daemon="m1", **fields):
    body = {"time": f"2026-05-15T02:16:{at:06.3f}+00:00", "level": "info"}
    body |= {"daemon": daemon, "event": event, "message": event, **fields}
    return f"  {at:.4f} {daemon} {json.dumps(body)}"


LOG = "\n".join(
    [
        _line(5.0, "step.placed", "m2", job="a1", runs="0:1@h1"),
        _line(4.0, "accepted", job="a1", verdict="Taken"),
        "not a line of a daemon {",
        _line(4.5, "accepted", job="b2", verdict="Taken"),
        _line(4.7, "term.leading", "m3", term=57),
        _line(9.0, "term.leading", "m3", term=58),
        _line(6.0, "job.ended", "m2", job="a1", phase="failed"),
        _line(5.1, "leader.late", "m2", job_count=1, late_ms=900),
        _line(5.2, "task.stuck", "m2", job="a1", why="waiting for room"),
        _line(5.3, "task.stuck", "m2", job="b2", why="waiting for room"),
        _line(5.9, "request.cut", "m1", path="/q/a1", reason="reset"),
        '{"time":"2026-05-15T02:16:05.95","ev'
        + _line(5.95, "leader.saturated"),
        _line(9.9, "leader.late", "m3", late_ms=400),
    ]
)


def _run(job):
    runner = testing.CliRunner()
    return runner.invoke(main.main, ["explain", job, "-"], input=LOG)


def test_lines_of_all_daemons_are_shown_in_order_of_time():
    result = _run("a1")
    assert result.exit_code == 0
    events = [line.split()[2] for line in result.output.splitlines()]
    assert events == [
        "accepted",
        "term.leading",
        "step.placed",
        "leader.late",
        "task.stuck",
        "request.cut",
        "leader.saturated",
        "job.ended",
    ]
    assert "phase=failed" in result.output


def test_json_output_has_the_same_lines():
    runner = testing.CliRunner()
    args = ["explain", "a1", "-", "--output", "json"]
    lines = json.loads(runner.invoke(main.main, args, input=LOG).output)
    assert [line["event"] for line in lines][0] == "accepted"
    assert len(lines) == 8


def test_a_job_without_log_lines_is_an_error():
    result = _run("c3")
    assert result.exit_code == 1
    assert "no line" in result.output


def _account_log(*lines):
    shown = [_line(1.0, "accepted", job="a1", account="x", verdict="Taken")]
    return "\n".join([*shown, *lines])


def _explained(log):
    runner = testing.CliRunner()
    args = ["explain", "a1", "-", "--output", "json"]
    entries = json.loads(runner.invoke(main.main, args, input=log).output)
    table = runner.invoke(main.main, ["explain", "a1", "-"], input=log).output
    assert "job a1: account x" in table
    assert all(reason["text"] in table for reason in entries[-1]["reasons"])
    return entries


def _placed(at, waited_ms, **fields):
    fields = {"job": "a1", "account": "x", "waited_ms": waited_ms, **fields}
    return _line(at, "step.placed", "m2", **fields)


def _state(at, account="x", **fields):
    fields = {"running": 4, "waiting": 3, "account": account, **fields}
    return _line(at, "account.state", "m2", **fields)


AT_LIMIT = {"running_cpu": 4000, "limit_cpu": 4500}
FULL = {"running_cpu": 4000, "limit_cpu": 9000, "full_pools": "p1:3000"}


@pytest.mark.parametrize(
    ("lines", "causes"),
    [
        ([_placed(2.5, 1500), _state(2.0, **AT_LIMIT)], ["limit"]),
        ([_placed(2.5, 1500), _state(2.0, **FULL)], ["share"]),
        ([_placed(2.5, 1500), _state(2.0, "y", **AT_LIMIT)], []),
        ([_placed(1.5, 500, far=2), _state(1.2, **AT_LIMIT)], ["rack"]),
    ],
)
def test_a_short_wait_is_explained_by_its_account(lines, causes):
    """Guards against another account's state, and a cause without a wait."""
    last = _explained(_account_log(*lines))[-1]
    assert (last["event"], last["account"]) == ("explanation", "x")
    assert [reason["cause"] for reason in last["reasons"]] == causes


@pytest.mark.parametrize("why", stuck.Why)
def test_each_reason_of_stuck_work_has_a_cause(why):
    """Guards against a reason whose text changed and is not known here."""
    line = _line(3.5, "task.stuck", job="a1", why=why.value, stuck_ms=2100)
    (reason,) = _explained(_account_log(line))[-1]["reasons"]
    expected = {"ACCOUNT_LIMIT": "limit", "SHARE": "share", "ROOM": "room"}
    expected |= {"NO_HOST": "room", "NOT_APPROVED": "room"}
    assert reason["cause"] == expected.get(why.name, "other")
    assert why.value in reason["text"] and "2100" in reason["text"]


def test_a_refusal_and_what_changed_meanwhile_are_shown():
    """Guards against refusals, limits and denied calls that are left out."""
    refused = {"job": "a1", "account": "x", "queue": "q1"}
    refused |= {"reason": "too many jobs wait", "wait_ms": 7100}
    entries = _explained(
        _account_log(
            _line(0.5, "job.refused", retry_after_s=4, **refused),
            _line(0.7, "account.limit", account="x", after="2000/0/0"),
            _line(0.7, "account.limit", account="y", after="2000/0/0"),
            _line(0.8, "call.unauthorized", queue="q1", account=""),
            _line(0.8, "call.unauthorized", queue="q2", account=""),
        )
    )
    assert [entry["event"] for entry in entries[1:-2]] == [
        "account.limit",
        "call.unauthorized",
    ]
    (reason,) = entries[-1]["reasons"]
    assert reason["cause"] == "refused"
    for part in ("too many jobs wait", "7100 ms", "4 s"):
        assert part in reason["text"]
