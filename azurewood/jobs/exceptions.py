"""Errors of callers' jobs."""

from azurewood import exceptions


class JobError(exceptions.AzurewoodError):
    """Base of the errors of this package."""


class InvalidJob(JobError):
    """A job's description cannot be accepted; the text says why."""


class InvalidRecord(JobError):
    """A stored record cannot be read by this version."""
