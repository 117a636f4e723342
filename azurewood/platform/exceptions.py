"""Exceptions raised by the platform adapter."""

from azurewood import exceptions


class PlatformError(exceptions.AzurewoodError):
    """Base class of the exceptions of this package."""


class InvalidMessage(PlatformError):
    """A message of the platform cannot be decoded; the text says why."""


class InvalidSettings(PlatformError):
    """The settings file cannot be read or decoded; the text says why."""
