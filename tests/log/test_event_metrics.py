"""Counters, histograms and gauges of log events."""

from azurewood.log import event_metrics


def _get(app, path):
    status = []
    body = app({"PATH_INFO": path}, lambda line, headers: status.append(line))
    return status[0], b"".join(body).decode()


def test_events_are_counted_by_outcome_and_timed():
    collector = event_metrics.EventMetrics()
    collector.observe({"event": "accepted", "verdict": "Taken", "took_ms": 12})
    collector.observe(
        {"event": "accepted", "verdict": "Refused", "took_ms": 900}
    )
    collector.observe({"message": "no event"})
    status, page = _get(collector, event_metrics.PATH)
    assert status == "200 OK"
    taken = 'azurewood_events_total{event="accepted",outcome="Taken"} 1.0'
    assert taken in page
    assert 'azurewood_event_seconds_count{event="accepted"} 2.0' in page
    assert 'le="0.02"} 1.0' in page
    assert 'azurewood_events_total{event="other",outcome=""} 1.0' in page


def test_leader_loop_and_pool_state_set_gauges():
    collector = event_metrics.EventMetrics()
    collector.observe(
        {
            "event": "leader.loop",
            "over_ms": 1000,
            "busy_ms": 250,
            "processor_ms": 100,
            "longest_step_ms": 40,
            "longest_gap_ms": 60,
        }
    )
    state = {"event": "pool.state", "pool": "p1", "jobs_waiting": 7}
    collector.observe(state | {"oldest_ms": 1500})
    page = collector.page().decode()
    assert "azurewood_leader_busy_ratio 0.25" in page
    assert "azurewood_leader_processor_cores 0.1" in page
    assert "azurewood_leader_longest_step_seconds 0.04" in page
    assert "azurewood_leader_longest_gap_seconds 0.06" in page
    assert 'azurewood_pool_waiting_jobs{pool="p1"} 7.0' in page
    assert 'azurewood_pool_oldest_waiting_seconds{pool="p1"} 1.5' in page


def test_gauges_are_reset_when_the_term_is_over():
    collector = event_metrics.EventMetrics()
    loop = {"event": "leader.loop", "over_ms": 1000, "busy_ms": 250}
    collector.observe(loop)
    collector.observe({"event": "pool.state", "pool": "p1", "jobs_waiting": 7})
    collector.observe({"event": "term.over", "reason": "the daemon stops"})
    page = collector.page().decode()
    assert "azurewood_leader_busy_ratio 0.0" in page
    assert 'pool="p1"' not in page


def test_first_waits_and_late_jobs_are_counted_by_queue():
    collector = event_metrics.EventMetrics()
    ended = {"event": "job.ended", "phase": "completed", "queue": "q1"}
    collector.observe(ended | {"wait_ms": 150, "late_ms": -20})
    collector.observe(ended | {"wait_ms": None, "late_ms": 20})
    page = collector.page().decode()
    assert 'azurewood_job_first_host_seconds_count{queue="q1"} 1.0' in page
    assert 'azurewood_jobs_late_total{queue="q1"} 1.0' in page


def test_other_paths_are_not_found():
    assert _get(event_metrics.EventMetrics(), "/")[0] == "404 Not Found"


def test_account_state_sets_gauges_that_fall_to_0_when_it_is_idle():
    """Guards against an account that seems to run what has ended."""
    collector = event_metrics.EventMetrics()
    state = {"event": "account.state", "account": "a", "limit_cpu": 8000}
    busy = {"running": 3, "waiting": 5, "running_cpu": 2500}
    collector.observe(state | busy)
    page = collector.page().decode()
    assert 'azurewood_account_running_tasks{account="a"} 3.0' in page
    assert 'azurewood_account_waiting_tasks{account="a"} 5.0' in page
    assert 'azurewood_account_running_cores{account="a"} 2.5' in page
    assert 'azurewood_account_limit_cores{account="a"} 8.0' in page
    collector.observe(state | dict.fromkeys(busy, 0))
    page = collector.page().decode()
    assert 'azurewood_account_running_tasks{account="a"} 0.0' in page
