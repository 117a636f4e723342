"""Clients of the project's own platform protocol.

The stand-ins implement the other side of it.
"""
