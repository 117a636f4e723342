"""Errors of the configuration that operators publish."""

from azurewood.checks import exceptions


class InvalidDocument(exceptions.InvalidInput):
    """A configuration document was refused."""
