"""Counters and histograms of log events, in the text format of Prometheus.

Every event that is logged is counted, also when its line is left out; a
field ``took_ms`` or ``after_ms`` goes into the event's histogram.
"""

from collections import abc
import typing

import prometheus_client

PATH: typing.Final = "/metrics"
BOUNDS_S: typing.Final = (
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
TIMED_FIELDS: typing.Final = ("took_ms", "after_ms")
OUTCOME_FIELDS: typing.Final = (
    "verdict",
    "phase",
    "result",
    "refusal",
    "how",
    "reason",
)
"""The field of an event that tells its outcome; the first that it has."""


class Collected:
    """What one daemon counts."""

    __slots__ = ("_events", "_registry", "_seconds")

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "azurewood_events",
            "Events that were logged or left out, by name and outcome.",
            ["event", "outcome"],
            registry=self._registry,
        )
        self._seconds = prometheus_client.Histogram(
            "azurewood_event_seconds",
            "Time that an event took, in seconds.",
            ["event"],
            buckets=BOUNDS_S,
            registry=self._registry,
        )

    def observe(self, fields: abc.Mapping[str, typing.Any]) -> None:
        """Take in the fields of a log line."""
        event = str(fields.get("event", "other"))
        outcome = next(
            (str(fields[name]) for name in OUTCOME_FIELDS if name in fields),
            "",
        )
        self._events.labels(event=event, outcome=outcome).inc()
        for name in TIMED_FIELDS:
            if name in fields:
                seconds = float(fields[name]) / 1000
                self._seconds.labels(event=event).observe(seconds)

    def page(self) -> bytes:
        """Return all counters and histograms as text."""
        return prometheus_client.generate_latest(self._registry)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serve the page."""
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
