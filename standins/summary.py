"""The demo's results and their rendering as tables."""

import dataclasses
import typing

from azurewood.commands import output


@dataclasses.dataclass(slots=True, kw_only=True)
class Check:
    """A condition that must hold, and whether it did."""

    text: str
    held: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestCounts:
    """The number of requests to one service, by outcome."""

    service: str
    sent: int = 0
    ran: int = 0
    not_run: int = 0
    unknown: int = 0
    unanswered: int = 0
    wrong: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """The results of the demo for one deployment."""

    name: str
    requests: list[RequestCounts] = dataclasses.field(default_factory=list)
    preset: str = ""
    zones: dict[str, float] = dataclasses.field(default_factory=dict)
    events: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    checks: list[Check] = dataclasses.field(default_factory=list)

    def add_event(self, what: str, result: str) -> None:
        """Add an event and its result to the report."""
        self.events.append((what, result))

    def check(self, text: str, held: bool) -> None:
        """Add a condition that must hold."""
        self.checks.append(Check(text=text, held=held))

    @property
    def failures(self) -> list[Check]:
        """Return the checks that did not hold."""
        return [check for check in self.checks if not check.held]


def render(report: Report) -> str:
    """Return a report as text."""
    return "\n".join(_lines(report))


def _lines(report: Report) -> typing.Iterator[str]:
    yield f"\n=== {report.name} ==="
    yield "\nRequests by outcome"
    yield output.render(
        (
            "SERVICE",
            "SENT",
            "RAN",
            "NOT RUN",
            "UNKNOWN",
            "UNANSWERED",
            "WRONG",
            "P50 MS",
            "P99 MS",
        ),
        [
            (
                item.service,
                item.sent,
                item.ran,
                item.not_run,
                item.unknown,
                item.unanswered,
                item.wrong,
                f"{item.p50_ms:.1f}",
                f"{item.p99_ms:.1f}",
            )
            for item in report.requests
        ],
    )
    yield f"\nPreset {report.preset or '-'} in force"
    yield output.render(
        ("ZONE", "AFTER S"),
        [(zone, f"{s:.2f}") for zone, s in sorted(report.zones.items())],
    )
    yield "\nEvents"
    yield output.render(("WHAT", "RESULT"), report.events)
    yield "\nMust hold"
    yield output.render(
        ("HELD", "WHAT"),
        [("yes" if c.held else "NO", c.text) for c in report.checks],
    )
