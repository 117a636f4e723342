"""Errors of the platform clients."""

from azurewood import exceptions


class PlatformError(exceptions.AzurewoodError):
    """Base of the errors of the platform clients."""


class NotDone(PlatformError):
    """The call certainly had no effect."""


class OutcomeUnknown(PlatformError):
    """The call may or may not have taken effect."""


class Rejected(PlatformError):
    """The platform rejected the call as invalid (4xx)."""
