"""Root of the exception tree; each package has its own ``exceptions.py``."""


class AzurewoodError(Exception):
    """Base class of all errors that azurewood raises."""
