"""Errors of the platform's adapter."""

from azurewood import exceptions


class PlatformError(exceptions.AzurewoodError):
    """Base of the errors of this package."""


class InvalidMessage(PlatformError):
    """A message of the platform cannot be read; the text says why."""


class InvalidSettings(PlatformError):
    """The settings file cannot be read; the text says why."""
