"""Prometheus metrics that are derived from log events.

Every logged event is counted, even if its line is dropped. A field
``took_ms`` or ``after_ms`` is observed in the event's histogram. Some events
also set gauges, which are reset when this daemon stops being the leader.
"""

from collections import abc
import dataclasses
import typing

import prometheus_client

PATH: typing.Final = "/metrics"
BUCKETS_S: typing.Final = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
DURATION_FIELDS: typing.Final = ("took_ms", "after_ms")
OUTCOME_FIELDS: typing.Final = (
    "verdict",
    "phase",
    "result",
    "refusal",
    "how",
    "reason",
    "why",
)
"""Fields that give an event's outcome; the first one present is used."""
REFUSALS: typing.Final = frozenset(
    {"call.unauthorized", "job.id_in_use", "job.refused"}
)
"""Events of callers' calls that were refused."""
JOB_ENDED: typing.Final = "job.ended"
TERM_OVER: typing.Final = "term.over"
"""After this event another daemon, the next leader, sets the gauges."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FieldGauge:
    """A gauge that is set from a field of an event.

    The value is divided by ``divisor`` and, if ``per`` is not empty, by the
    field of that name. If ``label`` is not empty, there is one series for
    each value of the field of that name.
    """

    event: str
    field: str
    name: str
    help: str
    divisor: float = 1.0
    label: str = ""
    per: str = ""


GAUGES: typing.Final = (
    FieldGauge(
        event="leader.loop",
        field="longest_step_ms",
        name="azurewood_leader_longest_step_seconds",
        help="Longest step of the leader's loop in its newest second.",
        divisor=1000.0,
    ),
    FieldGauge(
        event="leader.loop",
        field="longest_gap_ms",
        name="azurewood_leader_longest_gap_seconds",
        help="Longest time between two ticks in its newest second.",
        divisor=1000.0,
    ),
    FieldGauge(
        event="leader.loop",
        field="busy_ms",
        name="azurewood_leader_busy_ratio",
        help="Share of the time in which the leader's loop did not wait.",
        per="over_ms",
    ),
    FieldGauge(
        event="leader.loop",
        field="processor_ms",
        name="azurewood_leader_processor_cores",
        help="Processor time that the leader's process used, in cores.",
        per="over_ms",
    ),
    FieldGauge(
        event="pool.state",
        field="jobs_waiting",
        name="azurewood_pool_waiting_jobs",
        help="Jobs with a task whose turn has come and that has no host.",
        label="pool",
    ),
    FieldGauge(
        event="pool.state",
        field="oldest_ms",
        name="azurewood_pool_oldest_waiting_seconds",
        help="For how long the oldest of these jobs has waited.",
        divisor=1000.0,
        label="pool",
    ),
    FieldGauge(
        event="host.calls",
        field="under_way",
        name="azurewood_host_connections_in_use",
        help="Connections to a host that calls use while others wait.",
        label="host",
    ),
    FieldGauge(
        event="host.calls",
        field="waiting",
        name="azurewood_host_waiting_calls",
        help="Calls to a host that wait for a connection.",
        label="host",
    ),
    FieldGauge(
        event="host.calls",
        field="oldest_ms",
        name="azurewood_host_oldest_waiting_call_seconds",
        help="For how long the oldest of these calls has waited.",
        divisor=1000.0,
        label="host",
    ),
    FieldGauge(
        event="account.state",
        field="running",
        name="azurewood_account_running_tasks",
        help="Tasks of an account that may be running on any host.",
        label="account",
    ),
    FieldGauge(
        event="account.state",
        field="waiting",
        name="azurewood_account_waiting_tasks",
        help="Tasks of an account whose turn has come without a host.",
        label="account",
    ),
    FieldGauge(
        event="account.state",
        field="running_cpu",
        name="azurewood_account_running_cores",
        help="Cores of the account's tasks that may be running.",
        divisor=1000.0,
        label="account",
    ),
    FieldGauge(
        event="account.state",
        field="limit_cpu",
        name="azurewood_account_limit_cores",
        help="Most cores that the account may use at a time; 0 is no limit.",
        divisor=1000.0,
        label="account",
    ),
    FieldGauge(
        event="account.state",
        field="share_cpu",
        name="azurewood_account_share_cores",
        help="Cores that the account is due in full pools; 0 if none is full.",
        divisor=1000.0,
        label="account",
    ),
    FieldGauge(
        event="durations.learned",
        field="estimates_off",
        name="azurewood_estimates_off_ratio",
        help="Factor by which callers' estimates were off on average.",
    ),
    FieldGauge(
        event="durations.learned",
        field="predictions_off",
        name="azurewood_predictions_off_ratio",
        help="Factor by which learned durations were off on average.",
    ),
)
GAUGE_EVENTS: typing.Final = frozenset(
    {TERM_OVER, *(gauge.event for gauge in GAUGES)}
)


class EventMetrics:
    """The event metrics of one daemon."""

    __slots__ = (
        "_events",
        "_gauges",
        "_late_jobs",
        "_registry",
        "_durations",
        "_first_host_waits",
        "_refused",
    )

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "azurewood_events",
            "Events that were logged or left out, by name and outcome.",
            ["event", "outcome"],
            registry=self._registry,
        )
        self._durations = prometheus_client.Histogram(
            "azurewood_event_seconds",
            "Time that an event took, in seconds.",
            ["event"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._first_host_waits = prometheus_client.Histogram(
            "azurewood_job_first_host_seconds",
            "Time from a job's acceptance to its first task's host.",
            ["queue"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._refused = prometheus_client.Counter(
            "azurewood_calls_refused",
            "Refused calls by account, empty if none is known.",
            ["account", "event"],
            registry=self._registry,
        )
        self._late_jobs = prometheus_client.Counter(
            "azurewood_jobs_late",
            "Jobs that ended after their objective.",
            ["queue"],
            registry=self._registry,
        )
        self._gauges = {
            gauge: prometheus_client.Gauge(
                gauge.name,
                gauge.help,
                [gauge.label] if gauge.label else [],
                registry=self._registry,
            )
            for gauge in GAUGES
        }

    def observe(self, fields: abc.Mapping[str, typing.Any]) -> None:
        """Update the metrics from the fields of a log line."""
        event = str(fields.get("event", "other"))
        outcome = next(
            (str(fields[name]) for name in OUTCOME_FIELDS if name in fields),
            "",
        )
        self._events.labels(event=event, outcome=outcome).inc()
        if event in REFUSALS or fields.get("verdict") == "Refused":
            account = str(fields.get("account", ""))
            self._refused.labels(account=account, event=event).inc()
        for name in DURATION_FIELDS:
            if name in fields:
                seconds = float(fields[name]) / 1000
                self._durations.labels(event=event).observe(seconds)
        if event in GAUGE_EVENTS:
            self._set_gauges(event, fields)
        elif event == JOB_ENDED:
            self._observe_job_end(fields)

    def _observe_job_end(self, fields: abc.Mapping[str, typing.Any]) -> None:
        """Record the first wait and the lateness of an ended job by queue."""
        queue = str(fields.get("queue", ""))
        if fields.get("wait_ms") is not None:
            seconds = float(fields["wait_ms"]) / 1000
            self._first_host_waits.labels(queue=queue).observe(seconds)
        if fields.get("late_ms", 0) > 0:
            self._late_jobs.labels(queue=queue).inc()

    def _set_gauges(
        self, event: str, fields: abc.Mapping[str, typing.Any]
    ) -> None:
        for declared, gauge in self._gauges.items():
            if event == TERM_OVER:
                _reset(declared, gauge)
            elif event == declared.event and declared.field in fields:
                _series(declared, gauge, fields).set(_value(declared, fields))

    def page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serve the metrics over HTTP (WSGI, PEP 3333)."""
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self.page()
        headers = [
            ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]


def _reset(declared: FieldGauge, gauge: prometheus_client.Gauge) -> None:
    if declared.label:
        gauge.clear()
    else:
        gauge.set(0)


def _series(
    declared: FieldGauge,
    gauge: prometheus_client.Gauge,
    fields: abc.Mapping[str, typing.Any],
) -> prometheus_client.Gauge:
    if declared.label:
        return gauge.labels(str(fields[declared.label]))
    return gauge


def _value(
    declared: FieldGauge, fields: abc.Mapping[str, typing.Any]
) -> float:
    divisor = float(fields[declared.per]) if declared.per else 1.0
    return float(fields[declared.field]) / declared.divisor / max(divisor, 1.0)
