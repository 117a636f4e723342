"""Errors of the stand-ins."""


class StandinError(Exception):
    """Base of all errors of the stand-ins."""
