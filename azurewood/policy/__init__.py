"""Decisions as pure functions."""
