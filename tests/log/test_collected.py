"""Counters and histograms of events."""

from azurewood.log import collected


def _get(app, path):
    status = []
    body = app({"PATH_INFO": path}, lambda line, headers: status.append(line))
    return status[0], b"".join(body).decode()


def test_events_are_counted_by_outcome_and_timed():
    made = collected.Collected()
    made.observe({"event": "accepted", "verdict": "Taken", "took_ms": 12})
    made.observe({"event": "accepted", "verdict": "Refused", "took_ms": 900})
    made.observe({"message": "no event"})
    status, page = _get(made, collected.PATH)
    assert status == "200 OK"
    taken = 'azurewood_events_total{event="accepted",outcome="Taken"} 1.0'
    assert taken in page
    assert 'azurewood_event_seconds_count{event="accepted"} 2.0' in page
    assert 'le="0.02"} 1.0' in page
    assert 'azurewood_events_total{event="other",outcome=""} 1.0' in page


def test_other_paths_are_not_found():
    assert _get(collected.Collected(), "/")[0] == "404 Not Found"
