"""The platform stand-in: log, host list and task service over HTTP."""
