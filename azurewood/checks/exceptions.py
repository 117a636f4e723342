"""Errors that carry findings."""

from collections import abc

from azurewood.checks import base
import azurewood.exceptions


class InvalidInput(azurewood.exceptions.AzurewoodError):
    """Input was refused; ``findings`` says all that is wrong with it."""

    def __init__(self, findings: abc.Iterable[base.Finding]) -> None:
        self.findings = list(findings)
        super().__init__(base.render(self.findings))
