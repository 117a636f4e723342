"""Callers' jobs: what they ask for, their lasting records, their states."""
