"""Operators' interface and state dump."""
