"""Clients of the project's own platform protocol, spoken by its stand-ins."""
