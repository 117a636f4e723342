"""Scheduling and traffic policies, written as pure functions."""
