"""Exceptions of the operators' client."""

from collections import abc

from azurewood import exceptions


class OperatorsError(exceptions.AzurewoodError):
    """Base class of the exceptions of the operators' client."""


class DaemonsUnreachable(OperatorsError):
    """No daemon answered; ``reasons`` holds one message per daemon tried."""

    def __init__(self, reasons: abc.Iterable[str]) -> None:
        self.reasons = tuple(reasons)
        super().__init__("no daemon answered: " + "; ".join(self.reasons))


class RequestRefused(OperatorsError):
    """A daemon refused a request, and nothing was proposed."""

    def __init__(
        self, *, status: int, text: str, findings: abc.Iterable[str] = ()
    ) -> None:
        self.status = status
        self.findings = tuple(findings)
        super().__init__("\n".join([text, *self.findings]))
