"""``azurewood explain`` with log lines of several daemons."""

import json

from click import testing

from azurewood.commands import main


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
