"""Exceptions that carry findings."""

from collections import abc

from azurewood.checks import base
import azurewood.exceptions


class InvalidInput(azurewood.exceptions.AzurewoodError):
    """Input was rejected; ``findings`` lists all of its faults."""

    def __init__(self, findings: abc.Iterable[base.Finding]) -> None:
        self.findings = list(findings)
        super().__init__(base.render(self.findings))
