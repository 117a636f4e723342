"""Exceptions raised for configuration documents."""

from azurewood.checks import exceptions


class InvalidDocument(exceptions.InvalidInput):
    """A configuration document is invalid; ``findings`` lists the errors."""
