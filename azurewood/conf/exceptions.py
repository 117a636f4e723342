"""Exceptions raised for settings."""

from azurewood.checks import exceptions


class InvalidSettings(exceptions.InvalidInput):
    """Settings are invalid; ``findings`` lists the errors."""
