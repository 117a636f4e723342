"""Exceptions about callers' jobs."""

from azurewood import exceptions


class JobError(exceptions.AzurewoodError):
    """Base class of this package's exceptions."""


class InvalidJob(JobError):
    """A job's description is invalid; the message gives the reason."""


class InvalidRecord(JobError):
    """A stored record cannot be decoded by this version."""
