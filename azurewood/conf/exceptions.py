"""Errors of the settings."""

from azurewood.checks import exceptions


class InvalidSettings(exceptions.InvalidInput):
    """Flags and environment variables were refused."""
