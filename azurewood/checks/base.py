"""Findings, and a registry of the checks that yield them.

A check is a generator function that is registered under a tag. It takes the
object to check, whose type depends on the tag, and yields a `Finding` for
each fault. All checks of a tag are run, so that all findings are reported
together.
"""

import collections
from collections import abc
import dataclasses
import enum
import typing


class Severity(enum.StrEnum):
    """Severity of a finding; input is rejected for errors only."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(slots=True, kw_only=True)
class Finding:
    """One fault, its location and how to fix it.

    ``id`` is a stable identifier such as ``azurewood.E101``. ``place`` is a
    file and line (``fleet.yaml:12``), a flag or an environment variable.
    """

    id: str
    message: str
    place: str
    hint: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        text = f"{self.place}: {self.severity} {self.id}: {self.message}"
        return f"{text}\n    hint: {self.hint}" if self.hint else text


Check = abc.Callable[[typing.Any], abc.Iterable[Finding]]


class Registry:
    """The checks of each tag, in the order of registration."""

    def __init__(self) -> None:
        self._checks: dict[str, list[Check]] = collections.defaultdict(list)

    def register(self, tag: str) -> abc.Callable[[Check], Check]:
        """Return a decorator that registers a check under ``tag``."""

        def decorate(check: Check) -> Check:
            if check not in self._checks[tag]:
                self._checks[tag].append(check)
            return check

        return decorate

    def run(self, tag: str, subject: typing.Any) -> list[Finding]:
        """Return the findings of all checks under ``tag``.

        Raises KeyError for a tag without checks.
        """
        if tag not in self._checks:
            raise KeyError(tag)
        checks = self._checks[tag]
        return [found for check in checks for found in check(subject)]


registry: typing.Final = Registry()
register = registry.register
run = registry.run


def errors(findings: abc.Iterable[Finding]) -> list[Finding]:
    """Return only the findings that are errors."""
    return [found for found in findings if found.severity is Severity.ERROR]


def render(findings: abc.Iterable[Finding]) -> str:
    """Return findings as text, followed by a line with their numbers."""
    findings = list(findings)
    faults = len(errors(findings))
    lines = [str(found) for found in findings]
    lines.append(f"{faults} errors, {len(findings) - faults} warnings")
    return "\n".join(lines)
